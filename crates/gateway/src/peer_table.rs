//! The other nodes, as their heartbeats describe them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyturn_types::{Incarnation, NodeId};

/// The last known state of another node.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerRecord {
    /// The incarnation of its process.
    pub incarnation: Incarnation,

    /// Where it receives datagrams.
    pub peer_address: SocketAddr,

    /// Where it accepts callers; `None` until its first heartbeat.
    pub caller_address: Option<SocketAddr>,

    /// The sequence number of its last heartbeat.
    pub sequence: u64,

    /// When its last heartbeat was received; `None` if the node is known from its row only.
    pub last_seen_at: Option<Instant>,

    /// Whether it accepts callers.
    pub ready: bool,

    /// The fencing number of the fleet's lease while it holds the lease, else zero.
    pub lease_fencing: u64,

    /// Whether it knows of any traffic from callers.
    pub has_traffic: bool,

    /// Requests per second that it refused for lack of capacity, by model.
    pub refusals: Vec<(String, f64)>,
}

/// The other nodes.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeId, PeerRecord>,
}

impl PeerTable {
    /// Adds a node found in the list of nodes, unless its heartbeats were received.
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
            lease_fencing: 0,
            has_traffic: false,
            refusals: Vec::new(),
        };
        self.peers.insert(node, record);
    }

    /// Records a heartbeat; returns whether it is newer than the known state.
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

    /// The number of known other nodes.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// All known other nodes with their names, live or not.
    pub fn named(&self) -> impl Iterator<Item = (&NodeId, &PeerRecord)> {
        self.peers.iter()
    }

    /// All known other nodes, live or not.
    pub fn all(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// Nodes with a heartbeat within `timeout`.
    pub fn alive(
        &self,
        now: Instant,
        timeout: Duration,
    ) -> impl Iterator<Item = (&NodeId, &PeerRecord)> {
        self.peers.iter().filter(move |(_, peer)| {
            peer.last_seen_at.is_some_and(|at| now.saturating_duration_since(at) < timeout)
        })
    }

    /// Removes nodes whose last heartbeat is older than `limit`.
    pub fn forget_unresponsive(&mut self, now: Instant, limit: Duration) {
        self.peers.retain(|_, peer| {
            peer.last_seen_at.is_none_or(|at| now.saturating_duration_since(at) < limit)
        });
    }
}
