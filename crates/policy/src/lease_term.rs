//! When a lease is held and when it has lapsed.

use std::time::{Duration, Instant};

use comfreyturn_types::{FencingNumber, RowVersion};

/// The times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// How long an observer must see no renewal before it takes the lease.
    pub term: Duration,

    /// How much sooner than that the holder stops. Covers the difference of two clocks.
    pub safety_margin: Duration,
}

impl Default for LeaseTerm {
    fn default() -> Self {
        Self { term: Duration::from_secs(8), safety_margin: Duration::from_secs(2) }
    }
}

impl LeaseTerm {
    /// Whether the holder may still act. It counts from when the last renewal that took effect
    /// was sent.
    pub fn is_held(&self, now: Instant, lease: &HeldLease) -> bool {
        now.saturating_duration_since(lease.renewed_at)
            < self.term.saturating_sub(self.safety_margin)
    }

    /// Whether an observer may take the lease: it saw no change for a whole term.
    pub fn has_lapsed(&self, now: Instant, observation: &LeaseObservation) -> bool {
        now.saturating_duration_since(observation.since) >= self.term
    }
}

/// A lease, as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The number under which orders are given.
    pub fencing: FencingNumber,

    /// The version of the lease's row. Every control write checks it.
    pub row: RowVersion,

    /// When the last renewal that took effect was sent.
    pub renewed_at: Instant,
}

/// A lease, as somebody else sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseObservation {
    /// The versions of the lease's row and of its renewals' row.
    pub rows: (RowVersion, RowVersion),

    /// When these versions were first seen.
    pub since: Instant,
}

impl LeaseObservation {
    /// Takes in a look at the rows that was answered at `now`.
    #[must_use]
    pub fn update(earlier: Option<Self>, now: Instant, rows: (RowVersion, RowVersion)) -> Self {
        match earlier {
            Some(observation) if observation.rows == rows => observation,
            _ => Self { rows, since: now },
        }
    }
}
