//! The nodes that share what a server with a rate limit takes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyturn_types::NodeId;

/// A node that was last alive longer ago than this has no share any more.
const SENDER_RETENTION: Duration = Duration::from_secs(60);

/// Interval at which the nodes are taken in.
const UPDATE_PERIOD: Duration = Duration::from_millis(500);

/// The nodes that share what a server with a rate limit takes.
///
/// A node that seems to have crashed may only be cut off, and then still sends. So it keeps its
/// place for a while, and a node that hears nobody keeps all places as they were.
#[derive(Debug, Default)]
pub struct SenderRoster {
    /// When each node was last known to be alive.
    nodes: BTreeMap<NodeId, Instant>,

    updated_at: Option<Instant>,
}

impl SenderRoster {
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
            self.nodes.retain(|_, at| now.saturating_duration_since(*at) < SENDER_RETENTION);
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
