//! Deaths that were heard of.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

/// Deaths that are remembered at most, and requests whose clearings are counted at most.
const MAX_ENTRIES: usize = 4096;

/// A request by its fingerprint, and the death that it is held to account for.
type CrashKey = (u64, u64);

/// Remembers deaths by request, so that a late or repeated notice neither raises a suspicion that
/// was cleared nor is passed on for ever.
#[derive(Default)]
pub(crate) struct CrashHistory {
    known: BTreeSet<CrashKey>,
    order: VecDeque<CrashKey>,
    /// How often a request was cleared.
    clear_counts: BTreeMap<u64, u64>,
}

impl CrashHistory {
    /// Whether this is news.
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

    /// Whether a death is held against a request.
    pub(crate) fn contains(&self, fingerprint: u64, crash: u64) -> bool {
        self.known.contains(&(fingerprint, crash))
    }

    /// The request was cleared.
    pub(crate) fn record_cleared(&mut self, fingerprint: u64) {
        *self.clear_counts.entry(fingerprint).or_default() += 1;
        if self.clear_counts.len() > MAX_ENTRIES {
            self.clear_counts.pop_first();
        }
    }

    /// The number of a death that is seen now. After a clearing it differs from that of the same
    /// backend servers' death before, which was none.
    pub(crate) fn request_crash_id(&self, fingerprint: u64, crash: u64) -> u64 {
        match self.clear_counts.get(&fingerprint) {
            None => crash,
            Some(clear_count) => xxh3_64(format!("{crash} {clear_count}").as_bytes()),
        }
    }
}
