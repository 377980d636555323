//! What nodes tell each other about prompt parts, and requests, that may crash servers.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use comfreyturn_policy::PartQuarantine;
use comfreyturn_proto::peer;
use comfreyturn_types::PromptPart;

/// The most crashes, and the most quarantined and sound parts, in a datagram; the newest go first.
const MAX_CRASHES: usize = 32;
const MAX_PARTS: usize = 256;

/// The most quarantined requests in a datagram; the newest go first.
const MAX_REQUESTS: usize = 64;

/// The most parts of one crash in a datagram, enough for the requests that a server runs at once.
const MAX_CRASHED_PARTS: usize = 128;

/// The parts of the prompts that a server was about to answer when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedParts {
    /// When a node first saw the crash.
    pub at: Instant,

    /// The parts.
    pub parts: BTreeSet<PromptPart>,
}

/// What a node, or a set of nodes, knows about prompt parts that may crash servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartReport {
    /// Recent crashes.
    pub crashes: HashMap<u64, CrashedParts>,

    /// Suspects that a server answered recently, and when.
    pub sound: HashMap<PromptPart, Instant>,

    /// Quarantined parts.
    pub quarantined: HashMap<PromptPart, PartQuarantine>,
}

impl PartReport {
    /// Adds another report to this one.
    pub fn merge(&mut self, other: &Self) {
        for (crash, CrashedParts { at, parts }) in &other.crashes {
            self.add_crash(*at, *crash, parts.iter().copied());
        }
        for (part, at) in &other.sound {
            let known = self.sound.entry(*part).or_insert(*at);
            *known = (*known).max(*at);
        }
        for (part, told) in &other.quarantined {
            let known = self.quarantined.entry(*part).or_insert(*told);
            known.since = known.since.min(told.since);
            known.is_undecided &= told.is_undecided;
        }
    }

    /// Adds parts to a crash.
    pub(crate) fn add_crash(
        &mut self,
        at: Instant,
        crash: u64,
        parts: impl Iterator<Item = PromptPart>,
    ) {
        let empty = || CrashedParts { at, parts: BTreeSet::new() };
        let known = self.crashes.entry(crash).or_insert_with(empty);
        known.at = known.at.min(at);
        known.parts.extend(parts);
    }

    /// Writes the report into a message.
    pub(crate) fn encode(&self, now: Instant, beat: &mut peer::GatewayBeat) {
        let crash = |(crash, seen): (&u64, &CrashedParts)| peer::PartCrash {
            crash: *crash,
            age_ms: age_ms(now, seen.at),
            parts: seen.parts.iter().take(MAX_CRASHED_PARTS).map(|part| part.0).collect(),
        };
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_by_key(|(_, seen)| Reverse(seen.at));
        beat.part_crashes = crashes.into_iter().take(MAX_CRASHES).map(crash).collect();
        let since = |(part, told): (&PromptPart, &PartQuarantine)| (*part, told.since);
        let is_undecided =
            |part: PromptPart| self.quarantined.get(&part).is_some_and(|told| told.is_undecided);
        beat.sound_parts = encode_parts(now, &self.sound, |_| false);
        let quarantined = self.quarantined.iter().map(since).collect();
        beat.quarantined_parts = encode_parts(now, &quarantined, is_undecided);
    }

    /// Reads the report in a message.
    pub(crate) fn decode(now: Instant, beat: &peer::GatewayBeat) -> Self {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(u64::from(age_ms)));
        let crash = |crash: &peer::PartCrash| {
            let parts = crash.parts.iter().copied().map(PromptPart).collect();
            Some((crash.crash, CrashedParts { at: at(crash.age_ms)?, parts }))
        };
        let part = |time: &peer::PartTime| Some((PromptPart(time.part), at(time.age_ms)?));
        let quarantine = |time: &peer::PartTime| {
            let (part, since) = part(time)?;
            Some((part, PartQuarantine { since, is_undecided: time.undecided }))
        };
        Self {
            crashes: beat.part_crashes.iter().filter_map(crash).collect(),
            sound: beat.sound_parts.iter().filter_map(part).collect(),
            quarantined: beat.quarantined_parts.iter().filter_map(quarantine).collect(),
        }
    }
}

fn encode_parts(
    now: Instant,
    times: &HashMap<PromptPart, Instant>,
    is_undecided: impl Fn(PromptPart) -> bool,
) -> Vec<peer::PartTime> {
    let time = |(part, age_ms): (&PromptPart, u32)| peer::PartTime {
        part: part.0,
        age_ms,
        undecided: is_undecided(*part),
    };
    newest(now, times, MAX_PARTS).map(time).collect()
}

/// Writes quarantined requests, and since when they are.
pub(crate) fn encode_requests(
    now: Instant,
    times: &HashMap<u64, Instant>,
) -> Vec<peer::RequestTime> {
    let time = |(request, age_ms): (&u64, u32)| peer::RequestTime { fingerprint: *request, age_ms };
    newest(now, times, MAX_REQUESTS).map(time).collect()
}

/// Reads what [`encode_requests`] writes. Ages that this node's clock can't express are left out.
pub(crate) fn decode_requests(now: Instant, times: &[peer::RequestTime]) -> HashMap<u64, Instant> {
    let at = |age_ms: u32| now.checked_sub(Duration::from_millis(u64::from(age_ms)));
    times.iter().filter_map(|time| Some((time.fingerprint, at(time.age_ms)?))).collect()
}

/// The newest entries, with their ages in milliseconds.
fn newest<K>(
    now: Instant,
    times: &HashMap<K, Instant>,
    limit: usize,
) -> impl Iterator<Item = (&K, u32)> {
    let mut times: Vec<_> = times.iter().collect();
    times.sort_by_key(|(_, at)| Reverse(**at));
    times.into_iter().take(limit).map(move |(key, at)| (key, age_ms(now, *at)))
}

fn age_ms(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}
