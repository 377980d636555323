//! Detects whether this process or a peer was paused between two answers of the peer.

use std::time::{Duration, Instant};

use comfreyturn_policy::EVIDENCE_LIFETIME;

/// How far two clocks may drift apart before one process counts as paused.
const UPTIME_TOLERANCE: Duration = Duration::from_millis(500);

/// The result of comparing the clocks over two answers of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClockVerdict {
    /// Neither process was paused.
    BothRan,

    /// The peer's clock advanced by more than this node's clock can have: this process was paused.
    OwnPaused,

    /// This node's clock advanced by more than the peer's clock can have: the peer was paused.
    PeerPaused,
}

/// The peer's uptime in one answer, with the local times of the request and the answer.
#[derive(Clone, Copy, Debug)]
struct UptimeSample {
    asked_at: Instant,
    answered_at: Instant,
    uptime: Duration,
}

/// Compares a peer's clock with this node's.
///
/// A peer that was paused reports ages that are too low, until it has polled its backend servers
/// again. So its relayed reports are trusted only after its clock has run without a pause for
/// [`EVIDENCE_LIFETIME`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerClock {
    last_sample: Option<UptimeSample>,
    trusted_from: Instant,
}

impl PeerClock {
    /// Creates the state for a peer that has not answered yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self { last_sample: None, trusted_from: now + EVIDENCE_LIFETIME }
    }

    /// Compares the uptime in an answer that was received at `now` with that of the last answer.
    pub(crate) fn check(
        &mut self,
        now: Instant,
        asked_at: Instant,
        uptime: Duration,
    ) -> ClockVerdict {
        let sample = UptimeSample { asked_at, answered_at: now, uptime };
        let Some(earlier) = self.last_sample.replace(sample) else {
            self.trusted_from = now + EVIDENCE_LIFETIME;
            return ClockVerdict::BothRan;
        };
        let peer_elapsed = uptime.saturating_sub(earlier.uptime);
        let max_own_elapsed = now.saturating_duration_since(earlier.asked_at);
        let min_own_elapsed = asked_at.saturating_duration_since(earlier.answered_at);
        if peer_elapsed > max_own_elapsed + UPTIME_TOLERANCE {
            return ClockVerdict::OwnPaused;
        }
        if peer_elapsed + UPTIME_TOLERANCE < min_own_elapsed {
            self.trusted_from = now + EVIDENCE_LIFETIME;
            return ClockVerdict::PeerPaused;
        }
        ClockVerdict::BothRan
    }

    /// Whether reports that the peer relays are trusted.
    pub(crate) fn trusts(&self, now: Instant) -> bool {
        now >= self.trusted_from
    }
}
