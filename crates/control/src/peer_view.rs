//! The state of a peer, as observed by this node.

use std::time::Instant;

use comfreyturn_policy::CONFIG_EVIDENCE_LIFETIME;
use comfreyturn_types::{ConfigVersion, RosterMember};

/// The state of a peer, as observed by this node.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The peer.
    pub member: RosterMember,

    /// When the last heartbeat that the peer answered was sent.
    pub asked_at: Option<Instant>,

    /// The configuration version that the peer last reported.
    pub config: ConfigVersion,

    /// Whether the peer is leaving. Invariant: never reset to `false`.
    pub leaving: bool,

    /// The number of requests in progress at the peer.
    pub in_flight: u32,
}

impl PeerView {
    pub(crate) fn new(member: RosterMember) -> Self {
        let config = ConfigVersion::default();
        Self { member, asked_at: None, config, leaving: false, in_flight: 0 }
    }

    /// Whether the peer answered recently.
    pub fn is_responsive(&self, now: Instant) -> bool {
        let age = self.asked_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age <= CONFIG_EVIDENCE_LIFETIME)
    }
}
