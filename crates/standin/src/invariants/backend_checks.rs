//! Checks that leaving backend servers get no work, and that graceful shutdowns interrupt no
//! request.

use comfreyturn_types::RequestOutcome;

use super::{
    CallEnd, CallRecord, CheckSettings, DispatchRecord, LeavingRecord, PromiseViolation,
    RunRecords, ShutdownRecord,
};

/// Work that arrived at a backend server too long after it began to leave.
pub(super) fn work_after_leaving(
    records: &RunRecords,
    settings: &CheckSettings,
) -> Vec<PromiseViolation> {
    let mut violations = Vec::new();
    for leaving in &records.leavings {
        let dispatches = records.dispatches.iter().filter(|dispatch| dispatch.vm == leaving.vm);
        for after_ms in dispatches.filter_map(|dispatch| time_after(leaving, dispatch)) {
            if after_ms > settings.leaving_ms {
                let vm = leaving.vm.clone();
                violations.push(PromiseViolation::WorkAfterLeaving { vm, after_ms });
            }
        }
    }
    violations
}

fn time_after(leaving: &LeavingRecord, dispatch: &DispatchRecord) -> Option<u64> {
    let is_over = leaving.until_ms.is_some_and(|until_ms| dispatch.at_ms >= until_ms);
    if is_over { None } else { dispatch.at_ms.checked_sub(leaving.at_ms) }
}

/// Requests that were open at a node when its shutdown began, and ended without a definite result.
pub(super) fn interrupted_calls(records: &RunRecords) -> Vec<PromiseViolation> {
    let mut violations = Vec::new();
    for shutdown in &records.shutdowns {
        for call in records.calls.iter().filter(|call| is_interrupted(shutdown, call)) {
            let (node, request) = (shutdown.node.clone(), call.request.clone());
            violations.push(PromiseViolation::InterruptedCall { node, request });
        }
    }
    violations
}

fn is_interrupted(shutdown: &ShutdownRecord, call: &CallRecord) -> bool {
    let is_open = call.sent_ms < shutdown.began_ms && call.ended_ms >= shutdown.began_ms;
    let is_broken = matches!(
        call.end,
        CallEnd::Cut | CallEnd::Missing | CallEnd::Outcome(RequestOutcome::Unknown)
    );
    call.node == shutdown.node && is_open && is_broken
}
