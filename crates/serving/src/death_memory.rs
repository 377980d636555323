//! Deaths that were heard of.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

/// Deaths that are remembered at most, and requests whose clearings are counted at most.
const MAX_MARKS: usize = 4096;

/// A request by its fingerprint, and the death that it is held to account for.
type DeathMark = (u64, u64);

/// Remembers deaths by request, so that a late or repeated notice neither raises a suspicion that
/// was cleared nor is passed on for ever.
#[derive(Default)]
pub(crate) struct DeathMemory {
    marks: BTreeSet<DeathMark>,
    order: VecDeque<DeathMark>,
    /// How often a request was cleared.
    clearings: BTreeMap<u64, u64>,
}

impl DeathMemory {
    /// Whether this is news.
    pub(crate) fn note(&mut self, fingerprint: u64, death: u64) -> bool {
        let mark = (fingerprint, death);
        if !self.marks.insert(mark) {
            return false;
        }
        self.order.push_back(mark);
        if self.order.len() > MAX_MARKS
            && let Some(oldest) = self.order.pop_front()
        {
            self.marks.remove(&oldest);
        }
        true
    }

    /// Whether a death is held against a request.
    pub(crate) fn knows(&self, fingerprint: u64, death: u64) -> bool {
        self.marks.contains(&(fingerprint, death))
    }

    /// The request was cleared.
    pub(crate) fn note_cleared(&mut self, fingerprint: u64) {
        *self.clearings.entry(fingerprint).or_default() += 1;
        if self.clearings.len() > MAX_MARKS {
            self.clearings.pop_first();
        }
    }

    /// The number of a death that is seen now. After a clearing it differs from that of the same
    /// backend servers' death before, which was none.
    pub(crate) fn number(&self, fingerprint: u64, death: u64) -> u64 {
        match self.clearings.get(&fingerprint) {
            None => death,
            Some(clearings) => xxh3_64(format!("{death} {clearings}").as_bytes()),
        }
    }
}
