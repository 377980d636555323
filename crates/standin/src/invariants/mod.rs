//! Checks the records of a test run against what the system promises.
//!
//! A test collects [`RunRecords`] from stand-ins, callers and nodes, all on one clock, and passes
//! them to [`check_promises`].

mod answer_checks;
mod backend_checks;
mod check_settings;
mod config_checks;
mod group_checks;
mod promise_violation;
mod run_records;

pub use check_settings::*;
pub use promise_violation::*;
pub use run_records::*;

/// All violations in the records of a run, grouped by promise.
pub fn check_promises(records: &RunRecords, settings: &CheckSettings) -> Vec<PromiseViolation> {
    let mut violations = group_checks::absent_members(records, settings);
    violations.extend(group_checks::shared_vms(records, settings));
    violations.extend(answer_checks::bad_answers(records));
    violations.extend(answer_checks::false_not_run(records));
    violations.extend(answer_checks::repeated_runs(records));
    violations.extend(backend_checks::work_after_leaving(records, settings));
    violations.extend(backend_checks::interrupted_calls(records));
    violations.extend(config_checks::late_configs(records, settings));
    violations.extend(config_checks::reverted_configs(records));
    violations
}
