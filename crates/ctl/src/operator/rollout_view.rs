//! Rollout of a configuration version.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyturn_proto::operator::{Accepted, Rollout};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use crate::{CtlError, Result, TextTable, operator::OperatorSession};

/// Redraw interval of the progress line.
const REDRAW_PERIOD: Duration = Duration::from_millis(100);

/// Follows a version until it is in force on every node, or until `limit` has passed. Shows
/// progress if standard error is a terminal. Returns the last state.
pub(crate) async fn follow(address: SocketAddr, version: u64, limit: Duration) -> Result<Rollout> {
    let deadline = Instant::now() + limit;
    let mut session = OperatorSession::connect(address).await?;
    let mut rollouts = session.watch(version).await?;
    let progress = progress_bar(version);
    let mut last = None;
    while let Some(rollout) = rollouts.next().await? {
        show(&progress, &rollout);
        let done = rollout.in_force_everywhere || Instant::now() >= deadline;
        last = Some(rollout);
        if done {
            break;
        }
    }
    progress.finish_and_clear();
    last.ok_or(CtlError::NotInForce { version })
}

fn progress_bar(version: u64) -> ProgressBar {
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("{spinner} {msg} {bar:30} {pos}/{len} nodes") {
        bar.set_style(style);
    }
    bar.set_message(format!("version {version}"));
    bar.enable_steady_tick(REDRAW_PERIOD);
    bar
}

fn show(bar: &ProgressBar, rollout: &Rollout) {
    bar.set_length(count(rollout.nodes.len()));
    bar.set_position(count(nodes_in_force(rollout)));
}

fn nodes_in_force(rollout: &Rollout) -> usize {
    rollout.nodes.iter().filter(|node| node.known_version >= rollout.version).count()
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// A rollout as JSON.
#[derive(Serialize)]
pub(crate) struct RolloutView {
    version: u64,
    in_force_everywhere: bool,
    nodes: Vec<NodeRolloutView>,
}

#[derive(Serialize)]
struct NodeRolloutView {
    node: String,
    known_version: u64,
    reachable: bool,
}

impl From<&Rollout> for RolloutView {
    fn from(rollout: &Rollout) -> Self {
        let nodes = rollout.nodes.iter().map(|node| NodeRolloutView {
            node: node.node.clone(),
            known_version: node.known_version,
            reachable: node.reachable,
        });
        Self {
            version: rollout.version,
            in_force_everywhere: rollout.in_force_everywhere,
            nodes: nodes.collect(),
        }
    }
}

/// A rollout as a text table.
pub(crate) fn rollout_table(rollout: &Rollout) -> TextTable {
    let mut table = TextTable::new(["NODE", "VERSION", "STATE"]);
    for node in &rollout.nodes {
        let state = match (node.known_version >= rollout.version, node.reachable) {
            (true, _) => "in force",
            (false, true) => "behind",
            (false, false) => "not reached",
        };
        table.push([node.node.clone(), node.known_version.to_string(), state.to_owned()]);
    }
    table
}

/// An accepted change as JSON.
#[derive(Serialize)]
pub(crate) struct AcceptedView {
    version: u64,
    operation_id: String,
    in_force_everywhere: bool,
}

impl AcceptedView {
    /// Creates the view of an accepted change.
    pub(crate) fn new(accepted: &Accepted, rollout: Option<&Rollout>) -> Self {
        Self {
            version: accepted.version,
            operation_id: accepted.operation_id.clone(),
            in_force_everywhere: rollout.is_some_and(|rollout| rollout.in_force_everywhere),
        }
    }
}

/// An accepted change as text.
pub(crate) fn accepted_text(accepted: &Accepted, rollout: Option<&Rollout>) -> String {
    let version = accepted.version;
    match rollout {
        Some(rollout) if rollout.in_force_everywhere => {
            format!("accepted as version {version}, in force on every node\n")
        }
        Some(rollout) => {
            let table = rollout_table(rollout);
            format!("accepted as version {version}, not in force everywhere yet\n{table}")
        }
        None => format!("accepted as version {version}\n"),
    }
}
