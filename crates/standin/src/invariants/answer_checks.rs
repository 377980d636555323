//! Checks for whole answers, correct "not run" outcomes, and at most one run of a non-idempotent
//! request.

use std::collections::BTreeMap;

use comfreyturn_types::{IdempotencyKey, RequestOutcome};

use super::{CallEnd, CallRecord, PromiseViolation, RunRecords};

/// Calls that ended with neither the whole answer to their own request nor an outcome word.
pub(super) fn bad_answers(records: &RunRecords) -> Vec<PromiseViolation> {
    records.calls.iter().filter_map(|call| bad_answer(records, call)).collect()
}

fn bad_answer(records: &RunRecords, call: &CallRecord) -> Option<PromiseViolation> {
    let request = call.request.clone();
    match call.end {
        CallEnd::Whole { answer_hash } => {
            let is_wrong = call.expected_hash.is_some_and(|expected| expected != answer_hash);
            is_wrong.then_some(PromiseViolation::WrongAnswer { request })
        }
        CallEnd::Outcome(_) => None,
        CallEnd::Cut if node_was_killed(records, call) => None,
        CallEnd::Missing if node_was_killed(records, call) => None,
        CallEnd::Cut => Some(PromiseViolation::CutAnswer { request }),
        CallEnd::Missing => Some(PromiseViolation::MissingAnswer { request }),
    }
}

fn node_was_killed(records: &RunRecords, call: &CallRecord) -> bool {
    let open = call.sent_ms..=call.ended_ms;
    records.deaths.iter().any(|death| death.node == call.node && open.contains(&death.at_ms))
}

/// Requests that ran although each submission sent by then was answered as not run.
pub(super) fn false_not_run(records: &RunRecords) -> Vec<PromiseViolation> {
    let mut submissions: BTreeMap<u64, Vec<&CallRecord>> = BTreeMap::new();
    for call in &records.calls {
        submissions.entry(call.content_hash).or_default().push(call);
    }
    let mut violations = Vec::new();
    for (content_hash, at_ms) in runs(records) {
        let calls = submissions.get(&content_hash).map_or(&[][..], Vec::as_slice);
        let mut sent = calls.iter().filter(|call| call.sent_ms <= at_ms);
        if sent.clone().any(|call| !is_not_run(call)) {
            continue;
        }
        if let Some(call) = sent.next() {
            let request = call.request.clone();
            violations.push(PromiseViolation::FalseNotRun { request, at_ms });
        }
    }
    violations
}

fn is_not_run(call: &CallRecord) -> bool {
    call.end == CallEnd::Outcome(RequestOutcome::NotRun)
}

/// The content hash of each run, and when the run was accepted.
fn runs(records: &RunRecords) -> impl Iterator<Item = (u64, u64)> {
    let completions = records.executions.iter().map(|run| (run.prompt_hash, run.accepted_ms));
    let plains = records.plain_executions.iter().map(|run| (run.body_hash, run.started_ms));
    completions.chain(plains)
}

/// Non-idempotent requests that ran more than once.
pub(super) fn repeated_runs(records: &RunRecords) -> Vec<PromiseViolation> {
    let mut submissions: BTreeMap<(Option<&IdempotencyKey>, u64), Vec<&CallRecord>> =
        BTreeMap::new();
    for call in records.calls.iter().filter(|call| call.non_idempotent) {
        // A key identifies one request, regardless of its content.
        let content = if call.key.is_some() { 0 } else { call.content_hash };
        submissions.entry((call.key.as_ref(), content)).or_default().push(call);
    }
    submissions
        .values()
        .filter_map(|calls| {
            let call = calls.first()?;
            // Without a key, each submission is a separate request.
            let allowed = if call.key.is_some() { 1 } else { calls.len() };
            let runs = run_count(records, call);
            let request = call.request.clone();
            (runs > allowed).then_some(PromiseViolation::RepeatedRun { request, runs })
        })
        .collect()
}

fn run_count(records: &RunRecords, call: &CallRecord) -> usize {
    let key = call.key.as_ref().map(IdempotencyKey::as_str);
    let completions =
        records.executions.iter().filter(|run| run.prompt_hash == call.content_hash).count();
    let plains = records.plain_executions.iter().filter(|run| match key {
        Some(key) => run.key.as_deref() == Some(key),
        None => run.body_hash == call.content_hash,
    });
    completions + plains.count()
}
