//! The reports that a watcher collects from its backend servers and relays to its peers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_ports::{RelayedReport, UnchangedReports, WatchCursor, WatchUpdate};
use comfreyturn_types::{VmId, VmLoad, VmReport};

/// A VM whose last successful poll is older than this is not reported as unchanged.
const MAX_UNCHANGED_AGE: Duration = Duration::from_secs(2);

/// The smallest change of a VM's load that is relayed, in requests.
const MIN_LOAD_CHANGE: u32 = 2;

#[derive(Clone, Debug)]
struct WatchedVm {
    /// The last report, or `None` if the last poll failed or the VM is no longer watched.
    report: Option<VmReport>,

    /// The load that was last relayed to peers.
    announced_load: VmLoad,

    /// When the poll of `report` was sent.
    polled_at: Instant,

    /// The sequence number of the last change.
    change_sequence: u64,
}

/// The reports of watched VMs, with a sequence number for each change.
#[derive(Clone, Debug, Default)]
pub(crate) struct WatchLog {
    /// VMs that are no longer watched stay in the map, so that peers are informed of it.
    vms: BTreeMap<VmId, WatchedVm>,
    sequence: u64,
}

impl WatchLog {
    /// Records the report that a poll sent at `polled_at` returned.
    pub(crate) fn record(&mut self, polled_at: Instant, report: VmReport) {
        let change_sequence = match self.vms.get(&report.vm) {
            Some(known) if known.polled_at > polled_at => return,
            Some(known) if !differs(known, &report) => known.change_sequence,
            _ => self.next_sequence(),
        };
        let announced_load = match self.vms.get(&report.vm) {
            Some(known) if known.change_sequence == change_sequence => known.announced_load,
            _ => report.load,
        };
        let vm = report.vm.clone();
        let watched =
            WatchedVm { report: Some(report), announced_load, polled_at, change_sequence };
        self.vms.insert(vm, watched);
    }

    /// Records that polls of a VM failed, and drops its report.
    pub(crate) fn record_failure(&mut self, vm: &VmId) {
        let sequence = self.sequence + 1;
        if let Some(watched) = self.vms.get_mut(vm)
            && watched.report.take().is_some()
        {
            watched.change_sequence = sequence;
            self.sequence = sequence;
        }
    }

    /// Drops the reports of all VMs that are not in `watched`.
    pub(crate) fn retain(&mut self, watched: &BTreeSet<VmId>) {
        let dropped: Vec<VmId> =
            self.vms.keys().filter(|vm| !watched.contains(*vm)).cloned().collect();
        for vm in dropped {
            self.record_failure(&vm);
        }
    }

    /// The changes since `cursor`, the position up to which a peer has received the log.
    pub(crate) fn update(&self, now: Instant, cursor: WatchCursor) -> WatchUpdate {
        let mut update = WatchUpdate {
            cursor: WatchCursor { sequence: self.sequence },
            ..WatchUpdate::default()
        };
        for (vm, watched) in &self.vms {
            let age = now.saturating_duration_since(watched.polled_at);
            if watched.change_sequence > cursor.sequence {
                let report = watched.report.clone();
                update.changed.push(RelayedReport { vm: vm.clone(), report, age });
            } else if watched.report.is_some() {
                add_unchanged(&mut update.unchanged, vm, age);
            }
        }
        update
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

fn add_unchanged(unchanged: &mut UnchangedReports, vm: &VmId, age: Duration) {
    if age > MAX_UNCHANGED_AGE {
        unchanged.except.push(vm.clone());
    } else {
        unchanged.age = unchanged.age.max(age);
    }
}

/// Whether a report differs from the last one other than in load, or its load differs from the load
/// that was last relayed by at least [`MIN_LOAD_CHANGE`] and at least a quarter of the latter.
fn differs(known: &WatchedVm, report: &VmReport) -> bool {
    let Some(known_report) = &known.report else { return true };
    let same = VmReport { load: known_report.load, ..report.clone() } == *known_report;
    let announced = known.announced_load.running + known.announced_load.queued;
    let load = report.load.running + report.load.queued;
    !same || load.abs_diff(announced) >= MIN_LOAD_CHANGE.max(announced / 4)
}

/// The reports that a node has received from one watcher.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayedReports {
    /// The position up to which the node has received the watcher's log.
    pub(crate) cursor: WatchCursor,

    /// Reports, with the time when their load was measured.
    reports: BTreeMap<VmId, (VmReport, Instant)>,
}

/// A relayed report, with the earliest time at which its poll can have been sent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AgedReport {
    pub(crate) vm: VmId,
    pub(crate) asked_at: Instant,
    pub(crate) report: VmReport,
}

/// The changes in an update of a watcher.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RelayedChanges {
    /// Reports that are new or confirmed as unchanged.
    pub(crate) reports: Vec<AgedReport>,

    /// VMs that the watcher no longer has a report of.
    pub(crate) unreported: Vec<VmId>,
}

impl RelayedReports {
    /// Applies the update in the answer to a heartbeat that was sent at `asked_at`.
    pub(crate) fn apply(&mut self, asked_at: Instant, update: WatchUpdate) -> RelayedChanges {
        let mut changes = RelayedChanges::default();
        let changed: BTreeSet<VmId> = update.changed.iter().map(|r| r.vm.clone()).collect();
        let unchanged = &update.unchanged;
        if let Some(at) = asked_at.checked_sub(unchanged.age) {
            let refreshed = self
                .reports
                .iter()
                .filter(|(vm, _)| !changed.contains(*vm) && !unchanged.except.contains(*vm));
            changes.reports.extend(refreshed.map(|(vm, (report, load_at))| {
                let mut report = report.clone();
                report.load.age = at.saturating_duration_since(*load_at);
                AgedReport { vm: vm.clone(), asked_at: at, report }
            }));
        }
        for relayed in update.changed {
            self.apply_change(asked_at, relayed, &mut changes);
        }
        self.cursor = update.cursor;
        changes
    }

    fn apply_change(
        &mut self,
        asked_at: Instant,
        relayed: RelayedReport,
        changes: &mut RelayedChanges,
    ) {
        let at = asked_at.checked_sub(relayed.age);
        let (Some(report), Some(at)) = (relayed.report, at) else {
            self.reports.remove(&relayed.vm);
            changes.unreported.push(relayed.vm);
            return;
        };
        let load_at = at.checked_sub(report.load.age).unwrap_or(at);
        self.reports.insert(relayed.vm.clone(), (report.clone(), load_at));
        changes.reports.push(AgedReport { vm: relayed.vm, asked_at: at, report });
    }
}
