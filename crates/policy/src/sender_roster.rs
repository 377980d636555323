//! The nodes that share what a server takes, or what a fleet may do.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyturn_types::NodeId;

/// A node that was last alive longer ago than this has no share of a stated limit any more.
const SENDER_RETENTION: Duration = Duration::from_secs(60);

/// The same where nodes that are cut off from each other must stay within a common bound. Two parts
/// of a fleet that are cut off from each other for longer each use all of it.
const SILENT_RETENTION: Duration = Duration::from_secs(300);

/// Interval at which the nodes are taken in.
const UPDATE_PERIOD: Duration = Duration::from_millis(500);

/// The nodes that share what a server with a rate limit takes.
///
/// A node that seems to have crashed may only be cut off, and then still sends. So it keeps its
/// place for a while, and a node that hears nobody keeps all places as they were.
#[derive(Debug)]
pub struct SenderRoster {
    /// When each node was last known to be alive.
    nodes: BTreeMap<NodeId, Instant>,

    updated_at: Option<Instant>,

    /// How long a node that is not heard keeps its place.
    retention: Duration,
}

impl Default for SenderRoster {
    fn default() -> Self {
        Self { nodes: BTreeMap::new(), updated_at: None, retention: SENDER_RETENTION }
    }
}

impl SenderRoster {
    /// A roster that keeps the places of nodes that are not heard for longer.
    pub fn with_silent_nodes() -> Self {
        Self { retention: SILENT_RETENTION, ..Self::default() }
    }

    /// Records which other nodes are alive, and this one, `own`, unless that was done shortly before.
    pub fn update<'a>(
        &mut self,
        now: Instant,
        own: &NodeId,
        others: impl Iterator<Item = &'a NodeId>,
    ) {
        let since = self.updated_at.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < UPDATE_PERIOD) {
            return;
        }
        self.updated_at = Some(now);
        let mut is_alone = true;
        for node in others {
            is_alone = false;
            match self.nodes.get_mut(node) {
                Some(at) => *at = now,
                None => {
                    self.nodes.insert(node.clone(), now);
                }
            }
        }
        self.nodes.insert(own.clone(), now);
        if !is_alone {
            self.nodes.retain(|_, at| now.saturating_duration_since(*at) < self.retention);
        }
    }

    /// The nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.nodes.keys()
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}
