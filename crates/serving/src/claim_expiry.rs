//! Queue of settled claims that await deletion.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    time::Instant,
};

use comfreyturn_ports::RowKey;

use crate::ClaimRecord;

struct SettledClaim {
    expires_at: Instant,
    key: RowKey,
    owned: ClaimRecord,
}

/// The settled claims of this incarnation of a node, until the end of their retention time.
#[derive(Default)]
pub(crate) struct ClaimExpiry {
    /// Invariant: ordered by `expires_at`.
    claims: RefCell<VecDeque<SettledClaim>>,
    /// Whether a task that deletes expired claims is running.
    pub(crate) sweeping: Cell<bool>,
}

impl ClaimExpiry {
    pub(crate) fn push(&self, expires_at: Instant, key: RowKey, owned: ClaimRecord) {
        self.claims.borrow_mut().push_back(SettledClaim { expires_at, key, owned });
    }

    /// When the next claim expires.
    pub(crate) fn next_at(&self) -> Option<Instant> {
        self.claims.borrow().front().map(|claim| claim.expires_at)
    }

    /// Removes and returns the next claim to expire.
    pub(crate) fn pop(&self) -> Option<(RowKey, ClaimRecord)> {
        self.claims.borrow_mut().pop_front().map(|claim| (claim.key, claim.owned))
    }
}
