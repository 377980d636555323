//! Which servers are cold: they tolerate only a low rate of requests for some time.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::ServerLife;

use crate::AnswerReceiver;

/// The longest time for which a server counts as cold without saying so anew.
pub const LONGEST_COLD_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// What a server said in an answer about how long it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStatement {
    /// When it stops being cold; not later than `at` if it is not cold.
    pub until: Instant,

    /// When a node received the answer.
    pub at: Instant,
}

impl ColdStatement {
    /// The statement of an answer that was received now.
    pub fn new(now: Instant, left: Duration) -> Self {
        Self { until: now + left.min(LONGEST_COLD_TIME), at: now }
    }

    /// Whether the server said that it is cold.
    #[inline]
    pub fn is_cold(&self) -> bool {
        self.until > self.at
    }
}

/// Whether a server that was not in the list before has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstListing {
    /// This node had the whole list before, and callers send requests: the server is cold, even if
    /// its entry doesn't say so yet.
    DuringTraffic,

    /// It may have run for long.
    Unknown,
}

/// How a server came to count as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ColdCause {
    /// Its entry in the list says so.
    Entry,

    /// It said so in an answer, to this or another node.
    Answer,

    /// It started during traffic.
    Start,

    /// It was out of use, and no node has received data from it since.
    Return,
}

/// What is known of one server.
#[derive(Clone, Debug)]
struct ColdRecord {
    /// When this life was first listed, if that was during traffic, and its entry and answers have
    /// said nothing since.
    started_at: Option<Instant>,

    /// The time in the newest entry.
    entry_left: Duration,

    /// When that time ends, counted from when it was received.
    entry_until: Instant,

    /// When the newest change of that time was received.
    entry_at: Instant,

    /// The newest answer, and who received it.
    answer: Option<(ColdStatement, AnswerReceiver)>,

    /// When it came back to the list after it had dropped out.
    returned_at: Option<Instant>,

    /// When it dropped out of the list; `None` while it is listed.
    dropped_at: Option<Instant>,
}

impl ColdRecord {
    fn new(now: Instant) -> Self {
        Self {
            started_at: None,
            entry_left: Duration::ZERO,
            entry_until: now,
            entry_at: now,
            answer: None,
            returned_at: None,
            dropped_at: None,
        }
    }

    fn cause(&self, now: Instant, start_time: Duration) -> Option<ColdCause> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < start_time;
        if self.answer.is_some_and(|(answer, _)| now < answer.until) {
            Some(ColdCause::Answer)
        } else if now < self.entry_until {
            Some(ColdCause::Entry)
        } else {
            self.started_at.filter(is_recent).map(|_| ColdCause::Start)
        }
    }
}

/// A life that dropped out of the list is remembered for this time. One that comes back later
/// counts as started anew; the store's outages are shorter.
const LIFE_RETENTION: Duration = Duration::from_secs(600);

/// The end of a coldness is told to other nodes for this time.
const END_TOLD_TIME: Duration = Duration::from_secs(5);

/// Which servers are cold, from the list and from answers.
///
/// An entry states a time as of when it was written, so it counts from when its value was first
/// received; the same value told again extends nothing. An entry of zero ends what entries said,
/// but not what a server said in an answer, since the entry may be older. An answer of zero ends
/// all.
#[derive(Debug, Default)]
pub struct ColdServers {
    records: HashMap<ServerLife, ColdRecord>,
}

impl ColdServers {
    /// Records the entry of a listed server. `first` tells what it means that a life is new.
    pub fn record_entry(
        &mut self,
        now: Instant,
        life: &ServerLife,
        left: Duration,
        first: FirstListing,
    ) {
        let is_new = !self.records.contains_key(life);
        let record = self.records.entry(life.clone()).or_insert_with(|| ColdRecord::new(now));
        if is_new && first == FirstListing::DuringTraffic {
            record.started_at = Some(now);
        }
        if record.dropped_at.take().is_some() {
            record.returned_at = Some(now);
        }
        if left == record.entry_left {
            return;
        }
        record.entry_left = left;
        record.entry_until = now + left.min(LONGEST_COLD_TIME);
        record.entry_at = now;
        record.started_at = None;
    }

    /// Records that a server dropped out of the list.
    pub fn record_dropped(&mut self, now: Instant, life: &ServerLife) {
        if let Some(record) = self.records.get_mut(life) {
            record.dropped_at = Some(now);
        }
    }

    /// Records what a server said in an answer; returns whether it turned cold by that. Of two
    /// answers the later one counts, whichever node received it.
    pub fn record_answer(
        &mut self,
        life: &ServerLife,
        statement: ColdStatement,
        receiver: AnswerReceiver,
    ) -> bool {
        let ColdStatement { at, .. } = statement;
        let record = self.records.entry(life.clone()).or_insert_with(|| ColdRecord::new(at));
        if record.answer.is_some_and(|(known, _)| known.at >= at) {
            return false;
        }
        let was_cold = record.answer.is_some_and(|(known, _)| at < known.until);
        record.answer = Some((statement, receiver));
        record.started_at = None;
        if !statement.is_cold() && record.entry_at <= at {
            record.entry_until = record.entry_until.min(at);
        }
        statement.is_cold() && !was_cold
    }

    /// Why a server is cold, if it is. `start_time` is how long servers of its service are cold
    /// after their start.
    pub fn cause(
        &self,
        now: Instant,
        life: &ServerLife,
        start_time: Duration,
    ) -> Option<ColdCause> {
        self.records.get(life)?.cause(now, start_time)
    }

    /// When a server came back to the list.
    pub fn returned_at(&self, life: &ServerLife) -> Option<Instant> {
        self.records.get(life)?.returned_at
    }

    /// What servers that are cold, or were until shortly, said in answers to this node.
    pub fn own_recent(&self, now: Instant) -> HashMap<ServerLife, ColdStatement> {
        let own = self.records.iter().filter_map(|(life, record)| {
            let (statement, receiver) = record.answer?;
            let age = now.saturating_duration_since(statement.at);
            let is_recent = now < statement.until || age < END_TOLD_TIME;
            let is_own = receiver == AnswerReceiver::This;
            (is_own && is_recent).then(|| (life.clone(), statement))
        });
        own.collect()
    }

    /// Forgets lives that dropped out of the list long ago.
    pub fn forget_dropped(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            record.dropped_at.is_none_or(|at| now.saturating_duration_since(at) < LIFE_RETENTION)
        });
    }
}
