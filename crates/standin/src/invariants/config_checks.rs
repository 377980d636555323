//! Checks that accepted configurations are in force everywhere in time, and never revert.

use std::collections::BTreeMap;

use super::{CheckSettings, ConfigReport, PromiseViolation, RunRecords};

/// Nodes that admitted requests under a version that had been outdated for too long.
pub(super) fn late_configs(
    records: &RunRecords,
    settings: &CheckSettings,
) -> Vec<PromiseViolation> {
    let admitting = records.configs.iter().filter(|report| report.admits);
    admitting.filter_map(|report| late_config(records, settings, report)).collect()
}

fn late_config(
    records: &RunRecords,
    settings: &CheckSettings,
    report: &ConfigReport,
) -> Option<PromiseViolation> {
    let due = records
        .acceptances
        .iter()
        .filter(|acceptance| acceptance.at_ms + settings.config_ms < report.at_ms);
    let accepted = due.map(|acceptance| acceptance.version).max()?;
    (report.version < accepted).then(|| PromiseViolation::LateConfig {
        node: report.node.clone(),
        version: report.version,
        accepted,
        at_ms: report.at_ms,
    })
}

/// Nodes that reverted to an older version while running.
pub(super) fn reverted_configs(records: &RunRecords) -> Vec<PromiseViolation> {
    let mut runs: BTreeMap<_, Vec<&ConfigReport>> = BTreeMap::new();
    for report in &records.configs {
        runs.entry((&report.node, report.incarnation)).or_default().push(report);
    }
    let mut violations = Vec::new();
    for reports in runs.values_mut() {
        reports.sort_by_key(|report| report.at_ms);
        for pair in reports.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            if after.version < before.version {
                violations.push(PromiseViolation::RevertedConfig {
                    node: after.node.clone(),
                    from: before.version,
                    to: after.version,
                });
            }
        }
    }
    violations
}
