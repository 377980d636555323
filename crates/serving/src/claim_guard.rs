//! A claim in its owner's hands.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use comfreyturn_ports::{RowKey, TableResult};
use comfreyturn_types::StreamId;

use crate::{
    ClaimPhase, ClaimRecord, StoredAnswer,
    claim_store::{ClaimStore, is_same_submission},
};

/// What must happen to the row when the hold ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowState {
    /// Nothing: there is no row of this submission.
    Absent,
    /// It is deleted: the request was not dispatched.
    Undispatched,
    /// It stays until the outcome is recorded.
    Dispatched,
}

/// A claim in its owner's hands. Dropped before its dispatch, the claim is deleted.
pub(crate) struct ClaimGuard {
    store: Rc<ClaimStore>,
    pub(crate) key: RowKey,
    pub(crate) record: ClaimRecord,
    /// When the question was sent whose answer said that the claim stands.
    pub(crate) confirmed_at: Instant,
    state: RowState,
}

impl ClaimGuard {
    pub(crate) fn new(
        store: Rc<ClaimStore>,
        key: RowKey,
        record: ClaimRecord,
        now: Instant,
    ) -> Self {
        Self { store, key, record, confirmed_at: now, state: RowState::Undispatched }
    }

    /// Whether a row is of this submission.
    pub(crate) fn owns(&self, record: &ClaimRecord) -> bool {
        is_same_submission(record, &self.record)
    }

    /// The row is known not to be there.
    pub(crate) fn mark_absent(&mut self) {
        self.state = RowState::Absent;
        self.store.release(&self.record);
    }

    /// Whether the request may be dispatched. After a long pause the row is read again.
    pub(crate) async fn confirm(&mut self, now: Instant) -> TableResult<bool> {
        if !self.store.needs_recheck(self.confirmed_at) {
            return Ok(true);
        }
        self.confirmed_at = now;
        self.store.is_unchanged(self).await
    }

    /// The request goes to another backend server than the row says.
    pub(crate) async fn set_destination(&mut self, address: SocketAddr, stream: Option<StreamId>) {
        let phase = ClaimPhase::Dispatching { address, stream };
        if self.record.phase == phase {
            return;
        }
        self.record.phase = phase;
        self.store.write_destination(self).await;
    }

    /// Bytes are about to be written to the backend server.
    pub(crate) fn dispatched(&mut self) {
        self.state = RowState::Dispatched;
    }

    /// The backend server did not start the request.
    pub(crate) fn not_started(&mut self) {
        self.state = RowState::Undispatched;
    }

    /// Records the outcome, and holds `in_flight` until that is done.
    pub(crate) fn settle<G: 'static>(mut self, answer: StoredAnswer, in_flight: G) {
        if self.state != RowState::Dispatched {
            return;
        }
        self.state = RowState::Absent;
        let (store, key, record) = (self.store.clone(), self.key.clone(), self.record.clone());
        self.store.spawn(async move {
            store.settle(&key, &record, answer).await;
            store.release(&record);
            drop(in_flight);
        });
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let (store, key, record) = (self.store.clone(), self.key.clone(), self.record.clone());
        match self.state {
            RowState::Absent => {}
            RowState::Undispatched => self.store.spawn(async move {
                store.abandon(key, record).await;
            }),
            RowState::Dispatched => store.release(&record),
        }
    }
}
