//! When a lease is held and when it has expired.

use std::time::{Duration, Instant};

use comfreyturn_types::{FencingNumber, RowVersion};

/// The timing of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// How long an observer must see no renewal before it may take over the lease.
    pub term: Duration,

    /// How long before the end of the term the holder stops acting. Covers the drift between two
    /// clocks.
    pub safety_margin: Duration,
}

impl Default for LeaseTerm {
    fn default() -> Self {
        Self { term: Duration::from_secs(8), safety_margin: Duration::from_secs(2) }
    }
}

impl LeaseTerm {
    /// Whether the holder may still act. The term starts when the last successful renewal was
    /// sent.
    pub fn is_held(&self, now: Instant, lease: &HeldLease) -> bool {
        now.saturating_duration_since(lease.renewed_at)
            < self.term.saturating_sub(self.safety_margin)
    }

    /// Whether an observer may take over the lease: it saw no change for a whole term.
    pub fn has_lapsed(&self, now: Instant, observation: &LeaseObservation) -> bool {
        now.saturating_duration_since(observation.since) >= self.term
    }
}

/// A lease as seen by its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing number sent with each order.
    pub fencing: FencingNumber,

    /// The version of the lease's row. Every control write checks it.
    pub row: RowVersion,

    /// When the last successful renewal was sent.
    pub renewed_at: Instant,
}

/// A lease as seen by a node that does not hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseObservation {
    /// The versions of the lease's row and of the row with its renewals.
    pub rows: (RowVersion, RowVersion),

    /// When these versions were first seen.
    pub since: Instant,
}

impl LeaseObservation {
    /// Merges a read of the rows that completed at `now` into the earlier observation.
    #[must_use]
    pub fn update(earlier: Option<Self>, now: Instant, rows: (RowVersion, RowVersion)) -> Self {
        match earlier {
            Some(observation) if observation.rows == rows => observation,
            _ => Self { rows, since: now },
        }
    }
}
