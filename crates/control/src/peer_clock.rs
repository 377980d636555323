//! Whether this VM or a peer's stood still between two answers.

use std::time::{Duration, Instant};

use comfreyturn_policy::EVIDENCE_LIFETIME;

/// How far two clocks may run apart before one of them must have stood still.
const UPTIME_SLACK: Duration = Duration::from_millis(500);

/// What two answers of a peer say of the clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClockVerdict {
    /// Both ran.
    Even,

    /// The peer's ran on for longer than this node's can have.
    OwnStoodStill,

    /// This node's ran on for longer than the peer's can have.
    PeerStoodStill,
}

/// An answer, in the times of both.
#[derive(Clone, Copy, Debug)]
struct UptimeMark {
    asked_at: Instant,
    answered_at: Instant,
    uptime: Duration,
}

/// Compares a peer's clock with this node's.
///
/// A peer whose clock stood still states ages of its reports that are too low until it has polled
/// anew. So relayed reports count only after [`EVIDENCE_LIFETIME`] in which its clock ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerClock {
    mark: Option<UptimeMark>,
    trusted_from: Instant,
}

impl PeerClock {
    /// Nothing is known of the peer's clock yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self { mark: None, trusted_from: now + EVIDENCE_LIFETIME }
    }

    /// Takes in the uptime in an answer that came at `now`.
    pub(crate) fn check(
        &mut self,
        now: Instant,
        asked_at: Instant,
        uptime: Duration,
    ) -> ClockVerdict {
        let mark = UptimeMark { asked_at, answered_at: now, uptime };
        let Some(earlier) = self.mark.replace(mark) else {
            self.trusted_from = now + EVIDENCE_LIFETIME;
            return ClockVerdict::Even;
        };
        let passed_there = uptime.saturating_sub(earlier.uptime);
        let longest_here = now.saturating_duration_since(earlier.asked_at);
        let shortest_here = asked_at.saturating_duration_since(earlier.answered_at);
        if passed_there > longest_here + UPTIME_SLACK {
            return ClockVerdict::OwnStoodStill;
        }
        if passed_there + UPTIME_SLACK < shortest_here {
            self.trusted_from = now + EVIDENCE_LIFETIME;
            return ClockVerdict::PeerStoodStill;
        }
        ClockVerdict::Even
    }

    /// Whether reports that the peer relays count.
    pub(crate) fn trusts(&self, now: Instant) -> bool {
        now >= self.trusted_from
    }
}
