//! Finds the part of a prompt that crashes servers.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::PromptPart;

use crate::SuspectStatus;

/// The latest crashes of a part that are remembered.
const KNOWN_CRASHES: usize = 16;

/// Crashes with a part that other parts don't explain, and that may have happened by chance.
const CHANCE_CRASHES: usize = 1;

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

/// What is known of a prompt, by its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptStatus {
    /// None of its parts is quarantined.
    Clear,

    /// It lacks a part that may be the cause in place of those of its parts that are quarantined.
    /// Only a server can tell.
    Undecided {
        /// The first of these parts.
        part: PromptPart,
    },

    /// It has all the parts one of which is the cause.
    Quarantined,
}

/// A quarantined part, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartQuarantine {
    /// Since when it is quarantined.
    pub since: Instant,

    /// Whether another quarantined part may have caused the same crashes.
    pub is_undecided: bool,
}

/// A part that may be the cause of crashes.
#[derive(Clone, Debug)]
struct PartEntry {
    /// The latest crashes, each with its time. Invariant: bounded by [`KNOWN_CRASHES`].
    crashes: Vec<(u64, Instant)>,

    quarantined_at: Option<Instant>,

    /// Whether all nodes that told of the quarantine know of another part that may be the cause.
    /// Counts while no crash is known.
    is_told_undecided: bool,
    changed_at: Instant,
}

/// Counts crashes by the parts of the prompts that servers were about to answer.
///
/// A part that crashes each server that begins to answer it is never answered. Parts that sound
/// prompts share with it are, so an answer clears a part of all crashes up to then. Answers count
/// whichever node received them; nodes tell each other of answers to suspects.
///
/// Parts that all prompts share may be quarantined beside the cause, if none of them was answered
/// lately. So a prompt is refused for good only if it has all the parts that explain the same crashes.
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
        if entry.knows(crash) {
            return PartVerdict::Suspect;
        }
        entry.add_crash(crash, at);
        let is_enough = entry.spaced_crashes(settings.crash_spacing) >= settings.quarantine_crashes;
        if entry.quarantined_at.is_some() || !is_enough {
            return PartVerdict::Suspect;
        }
        entry.quarantined_at = Some(at);
        PartVerdict::Quarantined
    }

    /// Records that another node quarantined a part.
    pub fn record_quarantine(
        &mut self,
        part: PromptPart,
        quarantine: PartQuarantine,
    ) -> PartVerdict {
        let PartQuarantine { since: at, is_undecided } = quarantine;
        if self.has_proof(at, part) {
            return PartVerdict::Sound;
        }
        self.evict_suspects(at);
        let entry = self.suspects.entry(part).or_insert_with(|| PartEntry::new(at));
        entry.expire(at, &self.settings);
        let is_news = entry.quarantined_at.is_none();
        entry.is_told_undecided = is_undecided && (is_news || entry.is_told_undecided);
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

    /// What is known of a prompt with these parts.
    pub fn prompt_status(&self, now: Instant, parts: &[PromptPart]) -> PromptStatus {
        let entries =
            parts.iter().filter_map(|part| Some((*part, self.quarantined_entry(now, *part)?)));
        let mut first = None;
        for (part, entry) in entries {
            let mut others = self.alternatives(now, part, entry);
            if others.all(|other| parts.contains(&other)) {
                return PromptStatus::Quarantined;
            }
            first = Some(first.map_or(part, |first: PromptPart| first.min(part)));
        }
        first.map_or(PromptStatus::Clear, |part| PromptStatus::Undecided { part })
    }

    /// The quarantined parts.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = (PromptPart, PartQuarantine)> {
        self.quarantined_entries(now).map(move |(part, entry, since)| {
            let is_undecided = self.alternatives(now, part, entry).next().is_some();
            (part, PartQuarantine { since, is_undecided })
        })
    }

    fn quarantined_entry(&self, now: Instant, part: PromptPart) -> Option<&PartEntry> {
        let entry = self.suspects.get(&part)?;
        entry.quarantined_since(now, &self.settings).map(|_| entry)
    }

    fn quarantined_entries(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (PromptPart, &PartEntry, Instant)> {
        let entries = self.suspects.iter();
        entries.filter_map(move |(part, entry)| {
            Some((*part, entry, entry.quarantined_since(now, &self.settings)?))
        })
    }

    /// Other quarantined parts that may have caused the crashes of a part.
    fn alternatives(
        &self,
        now: Instant,
        part: PromptPart,
        entry: &PartEntry,
    ) -> impl Iterator<Item = PromptPart> {
        let others = self.quarantined_entries(now).filter(move |(other, _, _)| *other != part);
        others.filter(|(_, other, _)| other.explains(entry)).map(|(other, _, _)| other)
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
        Self {
            crashes: Vec::new(),
            quarantined_at: None,
            is_told_undecided: false,
            changed_at: now,
        }
    }

    fn knows(&self, crash: u64) -> bool {
        self.crashes.iter().any(|(known, _)| *known == crash)
    }

    fn add_crash(&mut self, crash: u64, at: Instant) {
        self.crashes.push((crash, at));
        self.crashes.sort_by_key(|(_, at)| *at);
        if self.crashes.len() > KNOWN_CRASHES {
            self.crashes.remove(0);
        }
        self.changed_at = self.changed_at.max(at);
    }

    /// The crashes, of which those that are close together count as one.
    fn spaced_crashes(&self, spacing: Duration) -> usize {
        let mut count = 0;
        let mut counted_at: Option<Instant> = None;
        for (_, at) in &self.crashes {
            if counted_at.is_none_or(|counted| at.saturating_duration_since(counted) >= spacing) {
                count += 1;
                counted_at = Some(*at);
            }
        }
        count
    }

    fn quarantined_since(&self, now: Instant, settings: &PartLedgerSettings) -> Option<Instant> {
        let is_recent =
            |at: &Instant| now.saturating_duration_since(*at) < settings.quarantine_retention;
        self.quarantined_at.filter(is_recent)
    }

    /// Whether this part may have caused the crashes of another one.
    fn explains(&self, other: &Self) -> bool {
        if other.crashes.is_empty() {
            return other.is_told_undecided;
        }
        let unexplained = other.crashes.iter().filter(|(crash, _)| !self.knows(*crash));
        unexplained.count() <= CHANCE_CRASHES
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
