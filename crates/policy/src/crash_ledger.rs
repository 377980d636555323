//! Records which requests were running at backend servers when these crashed, and quarantines
//! requests that crash them repeatedly.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{SuspectLedger, SuspectStatus};

/// Settings of a [`CrashLedger`].
#[derive(Clone, Debug)]
pub struct CrashLedgerSettings {
    /// How long a request is quarantined, counted from the crash that caused it.
    pub quarantine_retention: Duration,

    /// How long a request stays a suspect, counted from its latest crash.
    pub suspect_retention: Duration,

    /// Length of the window over which crashes are counted as one burst.
    pub burst_window: Duration,

    /// If there are more crashes than this within one burst window, their cause is assumed to lie
    /// outside of the requests, such as a lost fabric domain.
    pub burst_crashes: usize,

    /// Crashes after which a request is quarantined even within a burst. Invariant: at least two.
    pub burst_quarantine_crashes: usize,

    /// Number of fingerprints at which the oldest suspects are evicted.
    pub max_fingerprints: usize,

    /// Maximum number of fingerprints. Once it is reached, quarantined requests are evicted if
    /// there are no suspects. Invariant: not below `max_fingerprints`.
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

/// Crashes after which a request is quarantined outside of a burst.
const QUARANTINE_CRASHES: usize = 2;

/// The record of one fingerprint.
#[derive(Debug)]
struct CrashEntry {
    /// The distinct crashes, oldest first; none if another node quarantined the request. Invariant:
    /// bounded by [`CrashLedgerSettings::burst_quarantine_crashes`].
    crashes: Vec<u64>,

    /// Whether the request is quarantined.
    quarantined: bool,

    /// When the entry is removed.
    expires_at: Instant,
}

/// Counts crashes by fingerprint: after one a request is a suspect, after two it is quarantined.
///
/// When many backend servers crash at once, a request that is retried soon may run into a second
/// crash by coincidence. During such a burst a request is quarantined only after
/// [`CrashLedgerSettings::burst_quarantine_crashes`] crashes.
#[derive(Debug)]
pub struct CrashLedger {
    settings: CrashLedgerSettings,
    entries: HashMap<u64, CrashEntry>,

    /// Distinct crashes within the burst window, oldest first. Invariant: at most
    /// [`CrashLedgerSettings::hard_max_fingerprints`] entries.
    recent_crashes: VecDeque<(Instant, u64)>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(settings: CrashLedgerSettings) -> Self {
        Self { settings, entries: HashMap::new(), recent_crashes: VecDeque::new() }
    }

    /// Number of recorded fingerprints.
    #[inline]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no fingerprint is recorded.
    #[inline]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The quarantined requests, and since when they are.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = (u64, Instant)> {
        let retention = self.settings.quarantine_retention;
        let quarantined = self
            .entries
            .iter()
            .filter(move |(_, entry)| entry.quarantined && entry.expires_at > now);
        quarantined.map(move |(fingerprint, entry)| (*fingerprint, entry.expires_at - retention))
    }

    /// Records that another node has quarantined a request at `at`.
    pub fn record_quarantine(&mut self, at: Instant, fingerprint: u64) {
        if !self.entries.contains_key(&fingerprint) {
            self.evict_if_full(at);
        }
        let until = at + self.settings.quarantine_retention;
        let entry = self.entries.entry(fingerprint).or_insert_with(|| CrashEntry {
            crashes: Vec::new(),
            quarantined: false,
            expires_at: until,
        });
        // The earliest time counts: on its way through other nodes, news seems to become younger.
        entry.expires_at = if entry.quarantined { entry.expires_at.min(until) } else { until };
        entry.quarantined = true;
    }

    fn record_recent_crash(&mut self, now: Instant, crash: u64) {
        let window = self.settings.burst_window;
        self.recent_crashes.retain(|(at, _)| now.saturating_duration_since(*at) <= window);
        if self.recent_crashes.iter().all(|(_, known)| *known != crash) {
            self.recent_crashes.push_back((now, crash));
        }
        while self.recent_crashes.len() > self.settings.hard_max_fingerprints {
            self.recent_crashes.pop_front();
        }
    }

    fn quarantine_threshold(&self) -> usize {
        if self.recent_crashes.len() > self.settings.burst_crashes {
            self.settings.burst_quarantine_crashes
        } else {
            QUARANTINE_CRASHES
        }
    }

    fn evict_if_full(&mut self, now: Instant) {
        if self.entries.len() < self.settings.max_fingerprints {
            return;
        }
        self.entries.retain(|_, entry| now < entry.expires_at);
        if self.entries.len() < self.settings.max_fingerprints {
            return;
        }
        let evict_quarantined = self.entries.len() >= self.settings.hard_max_fingerprints;
        if !self.evict_oldest(false) && evict_quarantined {
            self.evict_oldest(true);
        }
    }

    fn evict_oldest(&mut self, quarantined: bool) -> bool {
        let oldest = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.quarantined == quarantined)
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
    fn record_crash(&mut self, now: Instant, fingerprint: u64, crash: u64) {
        self.record_recent_crash(now, crash);
        if self.entries.get(&fingerprint).is_some_and(|entry| entry.expires_at <= now) {
            self.entries.remove(&fingerprint);
        }
        if !self.entries.contains_key(&fingerprint) {
            self.evict_if_full(now);
        }
        let needed = self.quarantine_threshold();
        let suspect_until = now + self.settings.suspect_retention;
        let entry = self.entries.entry(fingerprint).or_insert_with(|| CrashEntry {
            crashes: Vec::new(),
            quarantined: false,
            expires_at: suspect_until,
        });
        if entry.quarantined || entry.crashes.contains(&crash) {
            return;
        }
        entry.crashes.push(crash);
        entry.quarantined = entry.crashes.len() >= needed;
        entry.expires_at = if entry.quarantined {
            now + self.settings.quarantine_retention
        } else {
            suspect_until
        };
    }

    fn clear(&mut self, _now: Instant, fingerprint: u64) {
        self.entries.remove(&fingerprint);
    }

    fn status(&self, now: Instant, fingerprint: u64) -> SuspectStatus {
        let Some(entry) = self.entries.get(&fingerprint) else { return SuspectStatus::Clear };
        if entry.expires_at <= now {
            return SuspectStatus::Clear;
        }
        if !entry.quarantined {
            return SuspectStatus::Suspect;
        }
        SuspectStatus::Quarantined { retry_after: entry.expires_at.saturating_duration_since(now) }
    }
}
