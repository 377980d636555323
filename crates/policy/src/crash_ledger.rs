//! The ledger of requests that ran at backend servers when those died.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{SuspectLedger, SuspectStatus};

/// Settings of a [`CrashLedger`].
#[derive(Clone, Debug)]
pub struct CrashLedgerSettings {
    /// How long a request is condemned, counted from the death that condemned it.
    pub quarantine_retention: Duration,

    /// How long one death is held against a request, counted from the latest one.
    pub suspect_retention: Duration,

    /// Deaths further apart than this count as separate events.
    pub burst_window: Duration,

    /// If more deaths than this fall into one burst window, they share a cause outside of the
    /// requests, such as a dark fabric domain.
    pub burst_crashes: usize,

    /// Deaths that condemn a request even within a burst. Invariant: at least two.
    pub burst_quarantine_crashes: usize,

    /// Fingerprints kept, as long as suspects can make room.
    pub max_fingerprints: usize,

    /// Fingerprints kept at most, condemned ones included.
    /// Invariant: not below `max_fingerprints`.
    pub hard_max_fingerprints: usize,
}

impl Default for CrashLedgerSettings {
    fn default() -> Self {
        Self {
            quarantine_retention: Duration::from_secs(600),
            suspect_retention: Duration::from_secs(600),
            burst_window: Duration::from_secs(5),
            burst_crashes: 4,
            burst_quarantine_crashes: 3,
            max_fingerprints: 10_000,
            hard_max_fingerprints: 20_000,
        }
    }
}

/// Deaths needed to condemn a request outside of a burst.
const CONDEMNING_DEATHS: usize = 2;

/// What is remembered of one fingerprint.
#[derive(Debug)]
struct CrashEntry {
    /// The distinct deaths, oldest first. Invariant: not empty, and bounded by
    /// [`CrashLedgerSettings::burst_quarantine_crashes`].
    deaths: Vec<u64>,

    /// Whether the request is condemned.
    condemned: bool,

    /// When the entry is forgotten.
    expires_at: Instant,
}

/// Counts deaths by fingerprint: one makes a suspect, a second one condemns.
///
/// When many backend servers die at once, requests that are sent again soon meet a second death by
/// coincidence. Deaths of such a burst condemn a request only once it met
/// [`CrashLedgerSettings::burst_quarantine_crashes`] of them.
#[derive(Debug)]
pub struct CrashLedger {
    settings: CrashLedgerSettings,
    entries: HashMap<u64, CrashEntry>,

    /// Distinct deaths within the burst window, oldest first.
    recent_deaths: VecDeque<(Instant, u64)>,
}

impl CrashLedger {
    /// An empty ledger.
    pub fn new(settings: CrashLedgerSettings) -> Self {
        Self { settings, entries: HashMap::new(), recent_deaths: VecDeque::new() }
    }

    /// Fingerprints that are remembered now.
    #[inline]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no fingerprint is remembered.
    #[inline]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn note_death(&mut self, now: Instant, death: u64) {
        let window = self.settings.burst_window;
        self.recent_deaths.retain(|(at, _)| now.saturating_duration_since(*at) <= window);
        if self.recent_deaths.iter().all(|(_, known)| *known != death) {
            self.recent_deaths.push_back((now, death));
        }
        while self.recent_deaths.len() > self.settings.hard_max_fingerprints {
            self.recent_deaths.pop_front();
        }
    }

    fn condemning_deaths(&self) -> usize {
        if self.recent_deaths.len() > self.settings.burst_crashes {
            self.settings.burst_quarantine_crashes
        } else {
            CONDEMNING_DEATHS
        }
    }

    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < self.settings.max_fingerprints {
            return;
        }
        self.entries.retain(|_, entry| now < entry.expires_at);
        if self.entries.len() < self.settings.max_fingerprints {
            return;
        }
        let evict_condemned = self.entries.len() >= self.settings.hard_max_fingerprints;
        if !self.evict_oldest(false) && evict_condemned {
            self.evict_oldest(true);
        }
    }

    fn evict_oldest(&mut self, condemned: bool) -> bool {
        let oldest = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.condemned == condemned)
            .min_by_key(|(fingerprint, entry)| (entry.expires_at, **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        let Some(fingerprint) = oldest else { return false };
        self.entries.remove(&fingerprint);
        true
    }
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self::new(CrashLedgerSettings::default())
    }
}

impl SuspectLedger for CrashLedger {
    fn record_crash(&mut self, now: Instant, fingerprint: u64, death: u64) {
        self.note_death(now, death);
        if self.entries.get(&fingerprint).is_some_and(|entry| entry.expires_at <= now) {
            self.entries.remove(&fingerprint);
        }
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let needed = self.condemning_deaths();
        let suspect_until = now + self.settings.suspect_retention;
        let entry = self.entries.entry(fingerprint).or_insert_with(|| CrashEntry {
            deaths: Vec::new(),
            condemned: false,
            expires_at: suspect_until,
        });
        if entry.condemned || entry.deaths.contains(&death) {
            return;
        }
        entry.deaths.push(death);
        entry.condemned = entry.deaths.len() >= needed;
        entry.expires_at =
            if entry.condemned { now + self.settings.quarantine_retention } else { suspect_until };
    }

    fn clear(&mut self, _now: Instant, fingerprint: u64) {
        self.entries.remove(&fingerprint);
    }

    fn status(&self, now: Instant, fingerprint: u64) -> SuspectStatus {
        let Some(entry) = self.entries.get(&fingerprint) else { return SuspectStatus::Clear };
        if entry.expires_at <= now {
            return SuspectStatus::Clear;
        }
        if !entry.condemned {
            return SuspectStatus::Suspect;
        }
        SuspectStatus::Quarantined { retry_after: entry.expires_at.saturating_duration_since(now) }
    }
}
