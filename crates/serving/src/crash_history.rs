//! Remembers reported crashes and the requests that ran during them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of remembered crashes, and of requests whose clearings are counted.
const MAX_ENTRIES: usize = 4096;

/// Fingerprint of a request and id of the crash recorded for it.
type CrashKey = (u64, u64);

/// Remembers crashes by request, so that a late or repeated notice neither restores a suspicion
/// that was cleared nor is relayed without end.
#[derive(Default)]
pub(crate) struct CrashHistory {
    known: BTreeSet<CrashKey>,
    order: VecDeque<CrashKey>,
    /// How often each request was cleared, by fingerprint.
    clear_counts: BTreeMap<u64, u64>,
}

impl CrashHistory {
    /// Records a crash for a request; `false` if that was known.
    pub(crate) fn record(&mut self, fingerprint: u64, crash: u64) -> bool {
        let key = (fingerprint, crash);
        if !self.known.insert(key) {
            return false;
        }
        self.order.push_back(key);
        if self.order.len() > MAX_ENTRIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }

    /// Whether a crash is recorded for a request.
    pub(crate) fn contains(&self, fingerprint: u64, crash: u64) -> bool {
        self.known.contains(&(fingerprint, crash))
    }

    /// Counts a clearing of the request.
    pub(crate) fn record_cleared(&mut self, fingerprint: u64) {
        *self.clear_counts.entry(fingerprint).or_default() += 1;
        if self.clear_counts.len() > MAX_ENTRIES {
            self.clear_counts.pop_first();
        }
    }

    /// Identifies a crash detected now for a request. The id differs after each clearing, so that
    /// a new crash is not mistaken for a retracted one of the same backend servers.
    pub(crate) fn request_crash_id(&self, fingerprint: u64, crash: u64) -> u64 {
        match self.clear_counts.get(&fingerprint) {
            None => crash,
            Some(clear_count) => xxh3_64(format!("{crash} {clear_count}").as_bytes()),
        }
    }
}
