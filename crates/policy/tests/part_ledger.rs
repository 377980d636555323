//! Which part of a prompt is found to crash servers.

use std::time::{Duration, Instant};

use comfreyturn_policy::{
    PartLedger, PartLedgerSettings, PartQuarantine, PartTrials, PartVerdict, PromptStatus,
    SuspectStatus,
};
use comfreyturn_types::PromptPart;

const CULPRIT: PromptPart = PromptPart(1);
const COMMON: PromptPart = PromptPart(2);

/// A ledger with times counted from its start, in milliseconds.
struct TimedLedger {
    ledger: PartLedger,
    start: Instant,
}

impl TimedLedger {
    fn new() -> Self {
        Self::with(PartLedgerSettings::default())
    }

    fn with(settings: PartLedgerSettings) -> Self {
        Self { ledger: PartLedger::new(settings), start: Instant::now() }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn crash(&mut self, ms: u64, crash: u64, part: PromptPart) -> PartVerdict {
        self.ledger.record_crash(self.at(ms), crash, part)
    }

    fn answer(&mut self, ms: u64, part: PromptPart) -> bool {
        self.ledger.record_answer(self.at(ms), part)
    }

    /// Another node tells of a quarantine.
    fn told(&mut self, ms: u64, part: PromptPart, is_undecided: bool) -> PartVerdict {
        let quarantine = PartQuarantine { since: self.at(ms), is_undecided };
        self.ledger.record_quarantine(part, quarantine)
    }

    fn prompt(&self, ms: u64, parts: &[PromptPart]) -> PromptStatus {
        self.ledger.prompt_status(self.at(ms), parts)
    }

    fn is_quarantined(&self, ms: u64, part: PromptPart) -> bool {
        matches!(self.ledger.status(self.at(ms), part), SuspectStatus::Quarantined { .. })
    }
}

/// Guards against a part that crashes server after server (BUDGET).
#[test]
fn part_that_is_never_answered_is_quarantined_after_three_crashes() {
    let mut ledger = TimedLedger::new();
    assert_eq!(ledger.crash(0, 1, CULPRIT), PartVerdict::Suspect);
    assert_eq!(ledger.crash(10, 1, CULPRIT), PartVerdict::Suspect, "the same crash, told again");
    assert_eq!(ledger.crash(500, 2, CULPRIT), PartVerdict::Suspect);
    assert!(!ledger.is_quarantined(500, CULPRIT));
    assert_eq!(ledger.crash(5000, 3, CULPRIT), PartVerdict::Quarantined);
    assert!(ledger.is_quarantined(5000, CULPRIT));
    let told: Vec<_> = ledger.ledger.quarantined(ledger.at(6000)).collect();
    let quarantine = PartQuarantine { since: ledger.at(5000), is_undecided: false };
    assert_eq!(told, [(CULPRIT, quarantine)]);
    assert!(ledger.is_quarantined(600_000, CULPRIT));
    assert!(!ledger.is_quarantined(606_000, CULPRIT), "not for ever");
    assert_eq!(ledger.crash(700_000, 4, CULPRIT), PartVerdict::Suspect, "it counts from one again");
}

/// Guards against sound prompts that are refused since they share a part with those that crash.
#[test]
fn part_that_servers_answer_is_never_quarantined() {
    let mut ledger = TimedLedger::new();
    for crash in 0..20 {
        let ms = 10_000 + crash * 300;
        assert!(!ledger.is_quarantined(ms, COMMON));
        ledger.crash(ms, crash, COMMON);
        if crash % 3 == 1 {
            ledger.answer(ms + 50, COMMON);
        }
    }
    ledger.answer(20_000, COMMON);
    let late = ledger.crash(20_000, 100, COMMON);
    assert_eq!(late, PartVerdict::Sound, "an answer shortly before a crash counts as well");
    assert_eq!(ledger.crash(23_000, 101, COMMON), PartVerdict::Suspect);
}

#[test]
fn answer_elsewhere_lifts_a_quarantine() {
    let mut ledger = TimedLedger::new();
    (0..3).for_each(|crash| {
        ledger.crash(crash * 200, crash, COMMON);
    });
    assert!(ledger.is_quarantined(400, COMMON));
    assert!(ledger.answer(900, COMMON));
    assert!(!ledger.is_quarantined(900, COMMON));
    let told = ledger.told(400, COMMON, false);
    assert_eq!(told, PartVerdict::Sound, "late news of the quarantine");
    assert!(!ledger.is_quarantined(1000, COMMON));
}

#[test]
fn servers_that_fail_at_the_same_moment_count_as_one_crash() {
    let mut ledger = TimedLedger::new();
    for crash in 0..10 {
        assert_eq!(ledger.crash(1000 + crash * 5, crash, COMMON), PartVerdict::Suspect);
    }
    assert!(!ledger.is_quarantined(2000, COMMON));
}

#[test]
fn the_earliest_quarantine_counts_however_often_it_is_told() {
    let mut ledger = TimedLedger::new();
    let first = ledger.told(1000, CULPRIT, false);
    assert_eq!(first, PartVerdict::Quarantined);
    let again = ledger.told(300_000, CULPRIT, false);
    assert_eq!(again, PartVerdict::Suspect);
    assert!(ledger.is_quarantined(600_000, CULPRIT));
    assert!(!ledger.is_quarantined(601_000, CULPRIT));
}

#[test]
fn made_up_parts_do_not_grow_the_ledger_without_bound() {
    let settings = PartLedgerSettings { max_parts: 100, ..Default::default() };
    let mut ledger = TimedLedger::with(settings);
    (0..3).for_each(|crash| {
        ledger.crash(crash * 200, crash, CULPRIT);
    });
    for part in 1000..3000 {
        ledger.crash(1000 + part, part, PromptPart(part));
        ledger.answer(1000 + part, PromptPart(part + 10_000));
    }
    assert!(ledger.ledger.len() <= 101, "{} suspects", ledger.ledger.len());
    assert!(ledger.is_quarantined(5000, CULPRIT), "a quarantined part is kept");
}

/// A ledger in which four crashes count against both parts.
fn undecided() -> TimedLedger {
    let mut ledger = TimedLedger::new();
    for crash in 0..4 {
        ledger.crash(crash * 500, crash, COMMON);
        ledger.crash(crash * 500, crash, CULPRIT);
        ledger.crash(crash * 500, crash, PromptPart(100 + crash));
    }
    assert_eq!(ledger.prompt(2000, &[COMMON, CULPRIT]), PromptStatus::Quarantined);
    ledger
}

/// Guards against sound prompts that are refused until the end of the quarantine, as their common part
/// was in all prompts that crashed servers (LOST).
#[test]
fn part_that_is_only_one_of_the_possible_causes_may_be_tried() {
    let mut ledger = undecided();
    assert_eq!(ledger.prompt(2000, &[COMMON]), PromptStatus::Undecided { part: COMMON });
    assert_eq!(
        ledger.prompt(2000, &[COMMON, PromptPart(9)]),
        PromptStatus::Undecided { part: COMMON }
    );
    assert_eq!(ledger.prompt(2000, &[PromptPart(100)]), PromptStatus::Clear);
    ledger.answer(2500, COMMON);
    assert_eq!(ledger.prompt(2500, &[COMMON]), PromptStatus::Clear);
    assert_eq!(ledger.prompt(2500, &[CULPRIT]), PromptStatus::Quarantined);
    assert_eq!(ledger.prompt(2500, &[COMMON, CULPRIT]), PromptStatus::Quarantined);
}

/// Guards against trials that go on though the part crashes servers without the others (BUDGET).
#[test]
fn part_that_crashes_servers_without_the_others_is_tried_no_more() {
    let mut ledger = undecided();
    for crash in 10..12 {
        assert_eq!(ledger.prompt(3000, &[CULPRIT]), PromptStatus::Undecided { part: CULPRIT });
        ledger.crash(3000 + crash * 200, crash, CULPRIT);
    }
    assert_eq!(ledger.prompt(6000, &[CULPRIT]), PromptStatus::Quarantined);
    assert_eq!(ledger.prompt(6000, &[COMMON]), PromptStatus::Undecided { part: COMMON });
}

/// Guards against a sound part that is refused for good because one server crashed by chance while it
/// was tried.
#[test]
fn one_crash_by_chance_convicts_no_part() {
    let mut ledger = undecided();
    ledger.crash(3000, 10, COMMON);
    assert_eq!(ledger.prompt(4000, &[COMMON]), PromptStatus::Undecided { part: COMMON });
}

/// Guards against a node that knows of a quarantine by others only, and refuses sound prompts, or sends
/// those that crash servers.
#[test]
fn told_quarantine_is_undecided_as_long_as_all_who_tell_say_so() {
    let mut ledger = TimedLedger::new();
    ledger.told(0, COMMON, true);
    ledger.told(0, CULPRIT, true);
    assert_eq!(ledger.prompt(100, &[COMMON]), PromptStatus::Undecided { part: COMMON });
    assert_eq!(ledger.prompt(100, &[COMMON, CULPRIT]), PromptStatus::Quarantined);
    ledger.told(0, CULPRIT, false);
    ledger.told(0, CULPRIT, true);
    assert_eq!(ledger.prompt(200, &[CULPRIT]), PromptStatus::Quarantined);
    assert_eq!(ledger.prompt(200, &[COMMON]), PromptStatus::Undecided { part: COMMON });
    ledger.answer(300, COMMON);
    assert_eq!(ledger.prompt(300, &[COMMON]), PromptStatus::Clear);
    // Builds that say nothing of it mean a part that crashes servers.
    ledger.told(5000, COMMON, false);
    assert_eq!(ledger.prompt(5000, &[COMMON]), PromptStatus::Quarantined);
}

/// Guards against hundreds of nodes that try a part at the same moment, and against a node that waits
/// for ever for others that have no such prompts.
#[test]
fn nodes_try_a_part_one_after_the_other() {
    let start = Instant::now();
    let mut nodes: Vec<PartTrials> = (0..300).map(|_| PartTrials::default()).collect();
    let mut try_all = |ms: u64| {
        let now = start + Duration::from_millis(ms);
        let ranked = nodes.iter_mut().enumerate();
        ranked
            .filter_map(|(rank, trials)| trials.try_begin(now, COMMON, rank).then_some(rank))
            .count()
    };
    assert_eq!((0..5).map(|tenth| try_all(tenth * 100)).sum::<usize>(), 1);
    assert_eq!(try_all(500), 1);
    let mut alone = PartTrials::default();
    let tried = (0..20)
        .position(|half| alone.try_begin(start + Duration::from_millis(half * 500), COMMON, 299));
    assert_eq!(tried, Some(9), "the last one of 300 nodes");
}
