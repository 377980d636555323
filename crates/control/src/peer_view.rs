//! What a node knows of a peer.

use std::time::Instant;

use comfreyturn_policy::CONFIG_EVIDENCE_LIFETIME;
use comfreyturn_types::{ConfigVersion, RosterMember};

/// What a node knows of a peer.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The peer.
    pub member: RosterMember,

    /// When the last question that it answered was sent.
    pub asked_at: Option<Instant>,

    /// The version that it last said to know.
    pub config: ConfigVersion,

    /// Whether it is leaving. Invariant: once true, it stays so.
    pub leaving: bool,

    /// Requests in progress there.
    pub in_flight: u32,
}

impl PeerView {
    pub(crate) fn new(member: RosterMember) -> Self {
        let config = ConfigVersion::default();
        Self { member, asked_at: None, config, leaving: false, in_flight: 0 }
    }

    /// Whether it answered recently.
    pub fn is_heard(&self, now: Instant) -> bool {
        let age = self.asked_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age <= CONFIG_EVIDENCE_LIFETIME)
    }
}
