//! Runs a case of the review on loopback addresses: `rig CASE FOLDER`. Exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod drill;
mod engines;
mod foreign;
mod grey;
mod http;
mod json;
mod record;
mod revoke;
mod setup;
mod site;
mod store;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) =
        (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("comfreyturn-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let broken = match case.as_str() {
        "drill" => drill::run(&folder, &temporary, trouble),
        "grey" => grey::run(&folder, &temporary, trouble),
        "revoke" => revoke::run(&folder, &temporary, trouble),
        "foreign" => foreign::run(&folder, &temporary, trouble),
        _ => None,
    };
    if std::env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&temporary).ok();
    } else {
        println!("kept {}", temporary.display());
    }
    std::process::exit(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
