//! A claim in its owner's hands.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use comfreyturn_ports::{RowKey, TableResult};
use comfreyturn_types::StreamId;

use crate::{
    ClaimPhase, ClaimRecord, StoredAnswer,
    claim_book::{ClaimBook, is_same},
};

/// What must happen to the row when the hold ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldState {
    /// Nothing: there is no row of this submission.
    Absent,
    /// It is deleted: the request was not dispatched.
    Undispatched,
    /// It stays until the outcome is recorded.
    Dispatched,
}

/// A claim in its owner's hands. Dropped before its dispatch, the claim is deleted.
pub(crate) struct ClaimHold {
    book: Rc<ClaimBook>,
    pub(crate) key: RowKey,
    pub(crate) record: ClaimRecord,
    /// When the question was sent whose answer said that the claim stands.
    pub(crate) confirmed_at: Instant,
    state: HoldState,
}

impl ClaimHold {
    pub(crate) fn new(book: Rc<ClaimBook>, key: RowKey, record: ClaimRecord, now: Instant) -> Self {
        Self { book, key, record, confirmed_at: now, state: HoldState::Undispatched }
    }

    /// Whether a row is of this submission.
    pub(crate) fn is(&self, record: &ClaimRecord) -> bool {
        is_same(record, &self.record)
    }

    /// The row is known not to be there.
    pub(crate) fn forget(&mut self) {
        self.state = HoldState::Absent;
        self.book.release(&self.record);
    }

    /// Whether the request may be dispatched. After a long pause the row is read again.
    pub(crate) async fn confirm(&mut self, now: Instant) -> TableResult<bool> {
        if !self.book.is_late(self.confirmed_at) {
            return Ok(true);
        }
        self.confirmed_at = now;
        self.book.still_holds(self).await
    }

    /// The request goes to another backend server than the row says.
    pub(crate) async fn move_to(&mut self, address: SocketAddr, stream: Option<StreamId>) {
        let phase = ClaimPhase::Dispatching { address, stream };
        if self.record.phase == phase {
            return;
        }
        self.record.phase = phase;
        self.book.move_claim(self).await;
    }

    /// Bytes are about to be written to the backend server.
    pub(crate) fn dispatched(&mut self) {
        self.state = HoldState::Dispatched;
    }

    /// The backend server did not start the request.
    pub(crate) fn not_started(&mut self) {
        self.state = HoldState::Undispatched;
    }

    /// Records the outcome, and holds `guard` until that is done.
    pub(crate) fn settle<G: 'static>(mut self, answer: StoredAnswer, guard: G) {
        if self.state != HoldState::Dispatched {
            return;
        }
        self.state = HoldState::Absent;
        let (book, key, record) = (self.book.clone(), self.key.clone(), self.record.clone());
        self.book.spawn(async move {
            book.settle(&key, &record, answer).await;
            book.release(&record);
            drop(guard);
        });
    }
}

impl Drop for ClaimHold {
    fn drop(&mut self) {
        let (book, key, record) = (self.book.clone(), self.key.clone(), self.record.clone());
        match self.state {
            HoldState::Absent => {}
            HoldState::Undispatched => self.book.spawn(async move {
                book.abandon(key, record).await;
            }),
            HoldState::Dispatched => book.release(&record),
        }
    }
}
