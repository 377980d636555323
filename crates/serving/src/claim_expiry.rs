//! Settled claims on their way out.

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

/// The settled claims of this run of a node, until their retention time is over.
#[derive(Default)]
pub(crate) struct ClaimExpiry {
    /// Invariant: the first one expires first.
    claims: RefCell<VecDeque<SettledClaim>>,
    /// Whether a task deletes what expires.
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

    /// Takes the next claim.
    pub(crate) fn pop(&self) -> Option<(RowKey, ClaimRecord)> {
        self.claims.borrow_mut().pop_front().map(|claim| (claim.key, claim.owned))
    }
}
