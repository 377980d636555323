//! Stand-ins for clients, servers and the platform, and the cases that use them.
//!
//! `rig-3 CASE RECORD` plays a case against the project's own program. With `TROUBLE=0` in the
//! environment it plays the same without the disruption. Exit code: 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

mod cases;
mod client;
mod cut;
mod engine;
mod http;
mod json;
mod nodes;
mod plain;
mod store;
mod util;

use std::process::ExitCode;

use cases::{Verdict, crashing_part::Plot, cut_node};
use util::{open_record, tell};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    open_record(path);
    tell(&format!("case {name}, {}", if has_trouble { "with trouble" } else { "without trouble" }));
    let guard = nodes::ProcessGuard;
    let verdict = match name.as_str() {
        "body-memory" => cases::body_memory::play(has_trouble),
        "left-server" => cases::left_server::play(has_trouble),
        "fleet-soak" => cases::fleet_soak::play(),
        "two-servers" => cases::cut_node::play(
            has_trouble,
            &cut_node::Plot {
                nodes: 2,
                cut_nodes: 1,
                servers: 2,
                has_no_length: false,
                cut_s: 12.0,
            },
        ),
        "four-servers" => cases::cut_node::play(
            has_trouble,
            &cut_node::Plot {
                nodes: 2,
                cut_nodes: 1,
                servers: 4,
                has_no_length: false,
                cut_s: 12.0,
            },
        ),
        "no-length" => cases::cut_node::play(
            has_trouble,
            &cut_node::Plot { nodes: 3, cut_nodes: 2, servers: 4, has_no_length: true, cut_s: 5.5 },
        ),
        "with-length" => cases::cut_node::play(
            has_trouble,
            &cut_node::Plot {
                nodes: 3,
                cut_nodes: 2,
                servers: 4,
                has_no_length: false,
                cut_s: 5.5,
            },
        ),
        "short-streams" => {
            let plot =
                Plot { servers: 6, events: 3, gap_ms: 30, has_no_length: true, is_one_body: false };
            cases::crashing_part::play(has_trouble, &plot)
        }
        "same-body" => {
            let plot = Plot {
                servers: 6,
                events: 20,
                gap_ms: 40,
                has_no_length: false,
                is_one_body: true,
            };
            cases::crashing_part::play(has_trouble, &plot)
        }
        "control-body" => {
            let plot = Plot {
                servers: 6,
                events: 20,
                gap_ms: 40,
                has_no_length: false,
                is_one_body: false,
            };
            cases::crashing_part::play(has_trouble, &plot)
        }
        "control-streams" => {
            let plot = Plot {
                servers: 6,
                events: 3,
                gap_ms: 30,
                has_no_length: false,
                is_one_body: false,
            };
            cases::crashing_part::play(has_trouble, &plot)
        }
        _ => Verdict::NotRun("no such case".to_owned()),
    };
    drop(guard);
    match verdict {
        Verdict::Held => {
            tell("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            tell("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Verdict::NotRun(cause) => {
            tell(&format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
