//! Which part of a prompt is found to crash servers.

use std::time::{Duration, Instant};

use comfreyturn_policy::{PartLedger, PartLedgerSettings, PartVerdict, SuspectStatus};
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
    assert_eq!(told, [(CULPRIT, ledger.at(5000))]);
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
    let told = ledger.ledger.record_quarantine(ledger.at(400), COMMON);
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
    let first = ledger.ledger.record_quarantine(ledger.at(1000), CULPRIT);
    assert_eq!(first, PartVerdict::Quarantined);
    let again = ledger.ledger.record_quarantine(ledger.at(300_000), CULPRIT);
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
