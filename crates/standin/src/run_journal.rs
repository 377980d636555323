//! Shared records of a server.

use std::sync::{Arc, Mutex, PoisonError};

/// Shared records of a server, readable from other threads and after the server has ended.
#[derive(Clone, Debug, Default)]
pub struct RunJournal<R> {
    records: Arc<Mutex<R>>,
}

impl<R: Clone> RunJournal<R> {
    /// A copy of the records.
    pub fn records(&self) -> R {
        self.write(|records| records.clone())
    }

    /// Changes the records.
    pub(crate) fn write<T>(&self, change: impl FnOnce(&mut R) -> T) -> T {
        change(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
