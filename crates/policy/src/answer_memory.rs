//! How much memory the answers of servers may take at once.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// What each answer may take, whatever others take, in bytes.
const GUARANTEED_BYTES: usize = 16 * 1024;

/// The memory for answers that a node keeps until they are returned, in bytes. Each answer has a small
/// part of its own; what is beyond that is limited for all of them together. It is used on one thread;
/// the count is atomic because the content of an answer may be sent to others.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    limit: usize,

    /// What answers take beyond their own parts. Invariant: at most `limit`.
    shared: Arc<AtomicUsize>,
}

/// What one answer takes; released when dropped.
#[derive(Debug)]
pub struct HeldMemory {
    memory: AnswerMemory,

    /// What it takes beyond its own part.
    shared: usize,
}

/// The content of an answer, with the memory that it takes.
struct HeldBytes {
    bytes: Bytes,
    _held: HeldMemory,
}

impl AnswerMemory {
    /// Memory of which all answers together may take `limit` bytes beyond their own parts.
    pub fn new(limit: usize) -> Self {
        Self { limit, shared: Arc::default() }
    }

    /// The memory of an answer that takes none yet.
    pub fn hold(&self) -> HeldMemory {
        HeldMemory { memory: self.clone(), shared: 0 }
    }

    /// What answers take beyond their own parts, in bytes.
    pub fn shared_bytes(&self) -> usize {
        self.shared.load(Ordering::Relaxed)
    }
}

impl HeldMemory {
    /// Sets how many bytes the answer takes. Returns whether there is room; if not, nothing changes.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(GUARANTEED_BYTES);
        let others = self.memory.shared_bytes() - self.shared;
        if wanted > self.shared && others + wanted > self.memory.limit {
            return false;
        }
        self.memory.shared.store(others + wanted, Ordering::Relaxed);
        self.shared = wanted;
        true
    }

    /// The content of the answer, which takes its memory until it is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.shared == 0 {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _held: self })
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.shared.fetch_sub(self.shared, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
