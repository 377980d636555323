//! A claim held by the node that inserted it.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use comfreyturn_ports::{RowKey, TableResult};
use comfreyturn_types::StreamId;

use crate::{
    ClaimPhase, ClaimRecord, StoredAnswer,
    claim_store::{ClaimStore, is_same_submission},
};

/// State of the claim's row, which decides what happens to it when the guard is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowState {
    /// This submission has no row, or its outcome is being recorded: nothing to do.
    Absent,
    /// The request was not dispatched: the row is deleted.
    Undispatched,
    /// The request may have run: the row stays until its outcome is recorded.
    Dispatched,
}

/// A claim held by the node that inserted it. Dropping the guard before the dispatch deletes the
/// claim.
pub(crate) struct ClaimGuard {
    store: Rc<ClaimStore>,
    pub(crate) key: RowKey,
    pub(crate) record: ClaimRecord,
    /// When the read or write was sent that last confirmed the claim.
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

    /// Whether a row belongs to this submission.
    pub(crate) fn owns(&self, record: &ClaimRecord) -> bool {
        is_same_submission(record, &self.record)
    }

    /// Whether the request is sent as a stream that others can resume.
    pub(crate) fn has_stream(&self) -> bool {
        matches!(self.record.phase, ClaimPhase::Dispatching { stream: Some(_), .. })
    }

    /// Records that this submission has no row.
    pub(crate) fn mark_absent(&mut self) {
        self.state = RowState::Absent;
        self.store.release(&self.record);
    }

    /// Whether the request may be dispatched. Reads the row again if it was confirmed too long ago.
    pub(crate) async fn confirm(&mut self, now: Instant) -> TableResult<bool> {
        if !self.store.needs_recheck(self.confirmed_at) {
            return Ok(true);
        }
        self.confirmed_at = now;
        self.store.is_unchanged(self).await
    }

    /// Updates the row if the request goes to another backend server.
    pub(crate) async fn set_destination(&mut self, address: SocketAddr, stream: Option<StreamId>) {
        let phase = ClaimPhase::Dispatching { address, stream };
        if self.record.phase == phase {
            return;
        }
        self.record.phase = phase;
        self.store.write_destination(self).await;
    }

    /// Records that bytes are about to be written to the backend server.
    pub(crate) fn dispatched(&mut self) {
        self.state = RowState::Dispatched;
    }

    /// Records that the backend server did not start the request.
    pub(crate) fn not_started(&mut self) {
        self.state = RowState::Undispatched;
    }

    /// Records the outcome, and drops `in_flight` when that is done.
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
