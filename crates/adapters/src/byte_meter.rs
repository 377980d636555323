//! Counts bytes sent and received.

use std::{cell::Cell, rc::Rc};

/// Counts the bytes of a set of connections. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct ByteMeter {
    counts: Rc<ByteCounts>,
}

#[derive(Debug, Default)]
struct ByteCounts {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl ByteMeter {
    /// Bytes handed to the operating system for sending.
    #[inline]
    pub fn sent(&self) -> u64 {
        self.counts.sent.get()
    }

    /// Bytes received.
    #[inline]
    pub fn received(&self) -> u64 {
        self.counts.received.get()
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        add(&self.counts.sent, bytes);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        add(&self.counts.received, bytes);
    }
}

fn add(count: &Cell<u64>, bytes: usize) {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    count.set(count.get().saturating_add(bytes));
}
