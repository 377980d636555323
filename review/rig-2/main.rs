//! Stand-ins and checks of the review's scripts: one run of one case.

mod cases;
mod cut;
mod http;
mod json;
mod nodes;
mod record;
mod servers;
mod store;

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use nodes::{Folder, Node, Site};
use record::Record;
use servers::World;
use store::Store;

/// How a run ended.
pub enum End {
    /// The rule held.
    Held,

    /// The rule was broken, as the text says.
    Broken(String),

    /// The case couldn't run.
    NotRun(String),
}

/// What each case starts from.
pub struct Scene {
    pub site: Site,
    pub store: Arc<Store>,
    pub world: Arc<World>,
    pub record: Record,

    /// Whether the disruption is brought about.
    pub trouble: bool,
}

impl Scene {
    /// Starts the first nodes of the site, one in each zone in turn.
    pub fn start_nodes(&self, count: usize) -> std::io::Result<Vec<Node>> {
        let zones = ["hn-a", "hn-b", "hn-c"];
        (0..count).map(|n| Node::start(&self.site, n + 1, zones[n % 3], true)).collect()
    }
}

/// Waits until something holds.
pub fn wait_until(limit: Duration, holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: rig CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(case, PathBuf::from(root), PathBuf::from(record), trouble) {
        Ok(End::Held) => {
            println!("held");
            ExitCode::from(0)
        }
        Ok(End::Broken(text)) => {
            println!("broken: {text}");
            ExitCode::from(1)
        }
        Ok(End::NotRun(text)) => {
            println!("could not run: {text}");
            ExitCode::from(2)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, root: PathBuf, record: PathBuf, trouble: bool) -> std::io::Result<End> {
    let record = Record::create(&record)?;
    record
        .line(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let folder = Folder::create()?;
    let store = Store::start()?;
    let world = World::new(store.clone(), record.clone());
    let site =
        Site { root, folder: folder.path().to_owned(), store: store.addr, record: record.clone() };
    let scene = Scene { site, store, world, record: record.clone(), trouble };
    let end = cases::run(case, &scene)?;
    match &end {
        End::Held => record.line("result: the rule held"),
        End::Broken(text) => record.line(format!("result: the rule was broken: {text}")),
        End::NotRun(text) => record.line(format!("result: could not run: {text}")),
    }
    Ok(end)
}
