//! Finds the part of a prompt that crashes servers.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::PromptPart;

use crate::SuspectStatus;

/// Settings of a [`PartLedger`].
#[derive(Clone, Copy, Debug)]
pub struct PartLedgerSettings {
    /// Crashes after which a part is quarantined. Invariant: at least two.
    pub quarantine_crashes: usize,

    /// Crashes closer together than this count as one: many servers that fail at the same moment
    /// have a cause outside of the requests.
    pub crash_spacing: Duration,

    /// A part that a server answered at most this long before a crash did not cause it.
    pub proof_lead: Duration,

    /// How long answers are remembered. Invariant: longer than news of a crash travel.
    pub proof_retention: Duration,

    /// How long a part stays a suspect, counted from its latest crash.
    pub suspect_retention: Duration,

    /// How long a part is quarantined.
    pub quarantine_retention: Duration,

    /// Number of parts at which the oldest suspects and answers are evicted.
    pub max_parts: usize,
}

impl Default for PartLedgerSettings {
    fn default() -> Self {
        Self {
            quarantine_crashes: 3,
            crash_spacing: Duration::from_millis(100),
            proof_lead: Duration::from_secs(2),
            proof_retention: Duration::from_secs(10),
            suspect_retention: Duration::from_secs(600),
            quarantine_retention: Duration::from_secs(600),
            max_parts: 10_000,
        }
    }
}

/// What a record says about a part now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// A server answered a prompt with it, so it is none of the causes.
    Sound,

    /// It may be the cause.
    Suspect,

    /// It was quarantined by this record.
    Quarantined,
}

/// A part that may be the cause of crashes.
#[derive(Clone, Debug)]
struct PartEntry {
    /// Crashes that count, each with its time. Invariant: bounded by
    /// [`PartLedgerSettings::quarantine_crashes`].
    crashes: Vec<(u64, Instant)>,

    quarantined_at: Option<Instant>,
    changed_at: Instant,
}

/// Counts crashes by the parts of the prompts that servers were about to answer.
///
/// A part that crashes each server that begins to answer it is never answered. Parts that sound
/// prompts share with it are, so an answer clears a part of all crashes up to then. Answers count
/// whichever node received them; nodes tell each other of answers to suspects.
#[derive(Debug, Default)]
pub struct PartLedger {
    settings: PartLedgerSettings,
    suspects: HashMap<PromptPart, PartEntry>,

    /// When a server last answered a prompt with the part.
    proofs: HashMap<PromptPart, Instant>,
}

impl PartLedger {
    /// Creates an empty ledger.
    pub fn new(settings: PartLedgerSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that a server answered a prompt with a part; returns whether the part was a suspect.
    pub fn record_answer(&mut self, at: Instant, part: PromptPart) -> bool {
        self.evict_proofs(at);
        let proof = self.proofs.entry(part).or_insert(at);
        *proof = at.max(*proof);
        let proof_end = *proof + self.settings.proof_lead;
        let Some(entry) = self.suspects.get_mut(&part) else { return false };
        if entry.quarantined_at.is_some_and(|at| at <= proof_end) {
            entry.quarantined_at = None;
        }
        entry.crashes.retain(|(_, at)| *at > proof_end);
        if entry.crashes.is_empty() && entry.quarantined_at.is_none() {
            self.suspects.remove(&part);
        }
        true
    }

    /// Records that a server crashed before it had answered a prompt with a part. `crash` identifies
    /// the crash.
    pub fn record_crash(&mut self, at: Instant, crash: u64, part: PromptPart) -> PartVerdict {
        if self.has_proof(at, part) {
            return PartVerdict::Sound;
        }
        self.evict_suspects(at);
        let settings = self.settings;
        let entry = self.suspects.entry(part).or_insert_with(|| PartEntry::new(at));
        entry.expire(at, &settings);
        let distance = |other: Instant| at.max(other) - at.min(other);
        let is_known = |(known, other): &(u64, Instant)| {
            *known == crash || distance(*other) < settings.crash_spacing
        };
        if entry.quarantined_at.is_some() || entry.crashes.iter().any(is_known) {
            return PartVerdict::Suspect;
        }
        entry.crashes.push((crash, at));
        entry.changed_at = entry.changed_at.max(at);
        if entry.crashes.len() < settings.quarantine_crashes {
            return PartVerdict::Suspect;
        }
        entry.quarantined_at = Some(at);
        PartVerdict::Quarantined
    }

    /// Records that another node quarantined a part.
    pub fn record_quarantine(&mut self, at: Instant, part: PromptPart) -> PartVerdict {
        if self.has_proof(at, part) {
            return PartVerdict::Sound;
        }
        self.evict_suspects(at);
        let entry = self.suspects.entry(part).or_insert_with(|| PartEntry::new(at));
        entry.expire(at, &self.settings);
        entry.changed_at = entry.changed_at.max(at);
        // The earliest time counts: on its way through other nodes, news seems to become younger.
        let known =
            entry.quarantined_at.replace(entry.quarantined_at.map_or(at, |known| known.min(at)));
        if known.is_none() { PartVerdict::Quarantined } else { PartVerdict::Suspect }
    }

    /// The number of suspects and quarantined parts.
    #[inline]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no part is recorded.
    #[inline]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// When a server last answered a prompt with a part, as far as that is remembered.
    pub fn answered_at(&self, part: PromptPart) -> Option<Instant> {
        self.proofs.get(&part).copied()
    }

    /// The status of a part.
    pub fn status(&self, now: Instant, part: PromptPart) -> SuspectStatus {
        let Some(entry) = self.suspects.get(&part) else { return SuspectStatus::Clear };
        if let Some(at) = entry.quarantined_at {
            let age = now.saturating_duration_since(at);
            let left = self.settings.quarantine_retention.saturating_sub(age);
            if !left.is_zero() {
                return SuspectStatus::Quarantined { retry_after: left };
            }
        }
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) < self.settings.suspect_retention;
        let is_suspect = entry.quarantined_at.is_none() && is_recent(entry.changed_at);
        if is_suspect { SuspectStatus::Suspect } else { SuspectStatus::Clear }
    }

    /// The quarantined parts, and since when.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = (PromptPart, Instant)> {
        let retention = self.settings.quarantine_retention;
        let quarantined =
            self.suspects.iter().filter_map(|(part, entry)| Some((*part, entry.quarantined_at?)));
        quarantined.filter(move |(_, at)| now.saturating_duration_since(*at) < retention)
    }

    /// Whether a part was answered so late that it can't have caused a crash at some time.
    fn has_proof(&self, crash_at: Instant, part: PromptPart) -> bool {
        let proof = self.proofs.get(&part);
        proof.is_some_and(|at| *at + self.settings.proof_lead >= crash_at)
    }

    fn evict_proofs(&mut self, now: Instant) {
        if self.proofs.len() < self.settings.max_parts {
            return;
        }
        for retention in [self.settings.proof_retention, self.settings.proof_lead] {
            self.proofs.retain(|_, at| now.saturating_duration_since(*at) < retention);
            if self.proofs.len() < self.settings.max_parts / 2 {
                return;
            }
        }
        self.proofs.clear();
    }

    fn evict_suspects(&mut self, now: Instant) {
        if self.suspects.len() < self.settings.max_parts {
            return;
        }
        let retention = self.settings.suspect_retention;
        self.suspects
            .retain(|_, entry| now.saturating_duration_since(entry.changed_at) < retention);
        if self.suspects.len() >= self.settings.max_parts {
            self.suspects.retain(|_, entry| entry.quarantined_at.is_some());
        }
    }
}

impl PartEntry {
    fn new(now: Instant) -> Self {
        Self { crashes: Vec::new(), quarantined_at: None, changed_at: now }
    }

    /// Forgets crashes and a quarantine that are too old to count.
    fn expire(&mut self, now: Instant, settings: &PartLedgerSettings) {
        let age = |at: Instant| now.saturating_duration_since(at);
        if self.quarantined_at.is_some_and(|at| age(at) >= settings.quarantine_retention) {
            self.quarantined_at = None;
            self.crashes.clear();
        }
        self.crashes.retain(|(_, at)| age(*at) < settings.suspect_retention);
    }
}
