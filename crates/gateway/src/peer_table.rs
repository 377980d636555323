//! The other nodes, as they tell of themselves.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyturn_types::{Incarnation, NodeId};

/// What is known of another node.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerRecord {
    /// Its run.
    pub incarnation: Incarnation,

    /// Where it takes datagrams.
    pub peer_address: SocketAddr,

    /// Where it takes callers.
    pub caller_address: Option<SocketAddr>,

    /// The number of its last datagram.
    pub sequence: u64,

    /// When that came; `None` if it is known from its row alone.
    pub last_seen_at: Option<Instant>,

    /// Whether it takes callers.
    pub ready: bool,

    /// The fencing number of the fleet's lease, if it holds that; else zero.
    pub lease: u64,

    /// Whether callers have come to it.
    pub has_traffic: bool,

    /// Requests that it refused for want of room, by model, each second.
    pub refusals: Vec<(String, f64)>,
}

/// The other nodes.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeId, PeerRecord>,
}

impl PeerTable {
    /// Takes in a node that was found in its row, unless more is known of it.
    pub fn add_listed(&mut self, node: NodeId, incarnation: Incarnation, address: SocketAddr) {
        let known = self.peers.get(&node);
        if known
            .is_some_and(|known| known.incarnation == incarnation || known.last_seen_at.is_some())
        {
            return;
        }
        let record = PeerRecord {
            incarnation,
            peer_address: address,
            caller_address: None,
            sequence: 0,
            last_seen_at: None,
            ready: false,
            lease: 0,
            has_traffic: false,
            refusals: Vec::new(),
        };
        self.peers.insert(node, record);
    }

    /// Takes in a datagram; returns whether it is newer than what is known.
    pub fn record(&mut self, node: NodeId, record: PeerRecord) -> bool {
        if let Some(known) = self.peers.get(&node) {
            let same = known.incarnation == record.incarnation;
            if same && known.sequence >= record.sequence {
                return false;
            }
        }
        self.peers.insert(node, record);
        true
    }

    /// How many other nodes are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// All other nodes with their names, heard of or not.
    pub fn named(&self) -> impl Iterator<Item = (&NodeId, &PeerRecord)> {
        self.peers.iter()
    }

    /// All other nodes, heard of or not.
    pub fn all(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// Nodes that were heard of within `timeout`.
    pub fn alive(
        &self,
        now: Instant,
        timeout: Duration,
    ) -> impl Iterator<Item = (&NodeId, &PeerRecord)> {
        self.peers.iter().filter(move |(_, peer)| {
            peer.last_seen_at.is_some_and(|at| now.saturating_duration_since(at) < timeout)
        })
    }

    /// Forgets nodes that were not heard of for `limit`.
    pub fn forget_unresponsive(&mut self, now: Instant, limit: Duration) {
        self.peers.retain(|_, peer| {
            peer.last_seen_at.is_none_or(|at| now.saturating_duration_since(at) < limit)
        });
    }
}
