//! The other nodes, as their datagrams and those of relays describe them.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyturn_policy::RelayCandidate;
use comfreyturn_types::{FailureDomain, Incarnation, NodeId, StoreVersion};
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3::Xxh3;

/// Times after which a node that shows no sign of life counts as crashed.
#[derive(Clone, Copy, Debug)]
pub struct PeerTimeouts {
    /// For a node whose own datagrams are received.
    pub heard: Duration,

    /// For a node that only relays tell of.
    pub relayed: Duration,
}

/// What a node tells about itself. It changes rarely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The incarnation of its process.
    pub incarnation: Incarnation,

    /// Where it receives datagrams.
    pub peer_address: SocketAddr,

    /// Where it accepts callers.
    pub caller_address: SocketAddr,

    /// The failure domain that it belongs to.
    pub failure_domain: FailureDomain,

    /// Its share of processors, in thousandths of a core.
    pub capacity: u32,

    /// Whether callers should use it: it serves, and has paths to the servers.
    pub ready: bool,

    /// The fencing number of the fleet's lease while it holds the lease, else zero.
    pub lease_fencing: u64,
}

impl PeerStatus {
    /// A short hash of the node and its status. Relays list live nodes by their tags; a node whose
    /// status changed has another tag.
    pub fn tag(&self, node: &NodeId) -> u32 {
        let mut hasher = Xxh3::new();
        hasher.update(node.as_str().as_bytes());
        hasher.update(&self.incarnation.0.to_le_bytes());
        hasher.update(&[u8::from(self.ready)]);
        hasher.update(&self.lease_fencing.to_le_bytes());
        let [first, second, third, fourth, ..] = hasher.digest().to_le_bytes();
        u32::from_le_bytes([first, second, third, fourth])
    }
}

/// How far a node is, as its last datagram said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerProgress {
    /// The sequence number of the datagram; zero if there was none.
    pub sequence: u64,

    /// The version up to which it has the list of servers.
    pub list_version: StoreVersion,

    /// Whether it reads the configuration from the platform, with success.
    pub reads_config: bool,
}

/// The last known state of another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// What it told about itself.
    pub status: PeerStatus,

    /// [`PeerStatus::tag`] of the status.
    pub tag: u32,

    /// How far it is, as its last datagram said.
    pub progress: PeerProgress,

    /// When it was last known to be alive; `None` if only its row was read.
    pub last_seen_at: Option<Instant>,

    /// When its last datagram was received; `None` if only relays told of it.
    pub last_heard_at: Option<Instant>,

    /// When it was added or its status changed.
    pub changed_at: Instant,
}

/// The other nodes.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeId, PeerRecord>,
}

impl PeerTable {
    /// Adds a node found in the list of nodes, unless it or a later run of it is known.
    pub fn add_listed(&mut self, now: Instant, node: NodeId, status: PeerStatus) {
        let known = self.peers.get(&node);
        let is_known = |known: &PeerRecord| {
            known.status.incarnation == status.incarnation || known.last_seen_at.is_some()
        };
        if known.is_some_and(is_known) {
            return;
        }
        let tag = status.tag(&node);
        let record = PeerRecord {
            status,
            tag,
            progress: PeerProgress::default(),
            last_seen_at: None,
            last_heard_at: None,
            changed_at: now,
        };
        self.peers.insert(node, record);
    }

    /// Records a datagram of a node; returns whether it is newer than the last one.
    pub fn record(
        &mut self,
        now: Instant,
        node: NodeId,
        status: PeerStatus,
        progress: PeerProgress,
    ) -> bool {
        let known = self.peers.get(&node);
        let is_old = |known: &PeerRecord| {
            known.status.incarnation == status.incarnation
                && known.progress.sequence >= progress.sequence
        };
        if known.is_some_and(is_old) {
            return false;
        }
        let tag = status.tag(&node);
        let changed_at = known.filter(|known| known.tag == tag).map_or(now, |old| old.changed_at);
        let record = PeerRecord {
            status,
            tag,
            progress,
            last_seen_at: Some(now),
            last_heard_at: Some(now),
            changed_at,
        };
        self.peers.insert(node, record);
        true
    }

    /// Records a status that a relay told. The node's own datagrams are newer, if any of them was
    /// received within the timeout.
    pub fn record_relayed(
        &mut self,
        now: Instant,
        node: NodeId,
        status: PeerStatus,
        timeouts: PeerTimeouts,
    ) {
        let tag = status.tag(&node);
        let known = self.peers.get(&node);
        if known.is_some_and(|known| known.is_heard(now, timeouts.heard)) {
            return;
        }
        let changed_at = known.filter(|known| known.tag == tag).map_or(now, |old| old.changed_at);
        let progress = known
            .filter(|known| known.status.incarnation == status.incarnation)
            .map(|known| known.progress)
            .unwrap_or_default();
        let record = PeerRecord {
            status,
            tag,
            progress,
            last_seen_at: Some(now),
            last_heard_at: known.and_then(|known| known.last_heard_at),
            changed_at,
        };
        self.peers.insert(node, record);
    }

    /// Applies a relay's list of tags of live nodes. If it `is_whole`, nodes that are not in it and
    /// were not heard within the timeout count as crashed.
    pub fn apply_live(
        &mut self,
        now: Instant,
        tags: &HashSet<u32>,
        is_whole: bool,
        timeouts: PeerTimeouts,
    ) {
        for record in self.peers.values_mut() {
            if tags.contains(&record.tag) {
                record.last_seen_at = Some(now);
            } else if is_whole && !record.is_heard(now, timeouts.heard) {
                record.last_seen_at = record.last_heard_at;
            }
        }
    }

    /// Records that all nodes that were live within the timeouts still are.
    pub fn refresh_live(&mut self, now: Instant, timeouts: PeerTimeouts) {
        for record in self.peers.values_mut().filter(|record| record.is_alive(now, timeouts)) {
            record.last_seen_at = Some(now);
        }
    }

    /// The number of known other nodes.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// A node.
    pub fn get(&self, node: &NodeId) -> Option<&PeerRecord> {
        self.peers.get(node)
    }

    /// All known other nodes with their names, live or not.
    pub fn named(&self) -> impl Iterator<Item = (&NodeId, &PeerRecord)> {
        self.peers.iter()
    }

    /// Nodes that were known to be alive within the timeouts.
    pub fn alive(
        &self,
        now: Instant,
        timeouts: PeerTimeouts,
    ) -> impl Iterator<Item = (&NodeId, &PeerRecord)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_alive(now, timeouts))
    }

    /// A random node among those that seem to have crashed.
    pub fn random_dead(&self, now: Instant, timeouts: PeerTimeouts) -> Option<&NodeId> {
        let dead = self.peers.iter().filter(|(_, record)| !record.is_alive(now, timeouts));
        dead.map(|(node, _)| node).choose(&mut rand::rng())
    }

    /// The exclusive or of the tags of the nodes that were alive within the timeouts.
    pub fn live_hash(&self, now: Instant, timeouts: PeerTimeouts) -> u32 {
        self.alive(now, timeouts).fold(0, |hash, (_, peer)| hash ^ peer.tag)
    }

    /// Nodes that could be relays: live ones, and those found in the list of nodes within
    /// `trial_time`, until they are heard.
    pub fn relay_candidates(
        &self,
        now: Instant,
        timeouts: PeerTimeouts,
        trial_time: Duration,
    ) -> Vec<RelayCandidate> {
        let is_candidate = |record: &PeerRecord| {
            let age = now.saturating_duration_since(record.changed_at);
            record.is_alive(now, timeouts) || (record.last_seen_at.is_none() && age < trial_time)
        };
        let candidates = self.peers.iter().filter(|(_, record)| is_candidate(record));
        let candidate = |(node, record): (&NodeId, &PeerRecord)| RelayCandidate {
            node: node.clone(),
            failure_domain: record.status.failure_domain.clone(),
            capacity: record.status.capacity,
        };
        candidates.map(candidate).collect()
    }

    /// Those of some tags that are the tag of no known node.
    pub fn unknown_tags(&self, tags: &HashSet<u32>) -> HashSet<u32> {
        let known: HashSet<u32> = self.peers.values().map(|record| record.tag).collect();
        tags.difference(&known).copied().collect()
    }

    /// The nodes with some tags.
    pub fn with_tags(&self, tags: &HashSet<u32>) -> impl Iterator<Item = (&NodeId, &PeerStatus)> {
        let records = self.peers.iter().filter(|(_, record)| tags.contains(&record.tag));
        records.map(|(node, record)| (node, &record.status))
    }

    /// Removes nodes that were last alive longer ago than `limit`, and listed ones that were not
    /// heard within it.
    pub fn forget_unresponsive(&mut self, now: Instant, limit: Duration) {
        self.peers.retain(|_, peer| {
            let at = peer.last_seen_at.unwrap_or(peer.changed_at);
            now.saturating_duration_since(at) < limit
        });
    }
}

impl PeerRecord {
    /// Whether the node counts as alive: its own datagrams arrive, or relays tell that it is.
    pub fn is_alive(&self, now: Instant, timeouts: PeerTimeouts) -> bool {
        self.is_heard(now, timeouts.heard) || self.was_seen(now, timeouts.relayed)
    }

    /// Whether there was any sign of life within `limit`.
    pub fn was_seen(&self, now: Instant, limit: Duration) -> bool {
        self.last_seen_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Whether a datagram of the node itself was received within `limit`.
    pub fn is_heard(&self, now: Instant, limit: Duration) -> bool {
        self.last_heard_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
    }
}
