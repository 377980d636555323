//! What a node found out by polling the backend servers that it watches.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_ports::{RelayedReport, UnchangedReports, WatchCursor, WatchUpdate};
use comfreyturn_types::{VmId, VmLoad, VmReport};

/// A VM whose last good poll is older than this is not called unchanged.
const LATE_LIMIT: Duration = Duration::from_secs(2);

/// The least change of load that is told.
const LOAD_STEP: u32 = 2;

#[derive(Clone, Debug)]
struct WatchedVm {
    /// The last good report, or `None` if the node has nothing good to say.
    report: Option<VmReport>,

    /// The load that peers were told.
    told_load: VmLoad,

    /// When the poll of `report` was sent.
    polled_at: Instant,

    /// The sequence number of the last change.
    changed: u64,
}

/// The reports of watched VMs, with a sequence number for each change.
#[derive(Clone, Debug, Default)]
pub(crate) struct WatchLog {
    /// VMs stay listed once watched, so that peers learn that they are watched no longer.
    vms: BTreeMap<VmId, WatchedVm>,
    sequence: u64,
}

impl WatchLog {
    /// A poll that was sent at `polled_at` gave this report.
    pub(crate) fn record(&mut self, polled_at: Instant, report: VmReport) {
        let changed = match self.vms.get(&report.vm) {
            Some(known) if known.polled_at > polled_at => return,
            Some(known) if !differs(known, &report) => known.changed,
            _ => self.next_sequence(),
        };
        let told_load = match self.vms.get(&report.vm) {
            Some(known) if known.changed == changed => known.told_load,
            _ => report.load,
        };
        let vm = report.vm.clone();
        let watched = WatchedVm { report: Some(report), told_load, polled_at, changed };
        self.vms.insert(vm, watched);
    }

    /// Polls of a VM failed; there is nothing good to say of it.
    pub(crate) fn record_failure(&mut self, vm: &VmId) {
        let sequence = self.sequence + 1;
        if let Some(watched) = self.vms.get_mut(vm)
            && watched.report.take().is_some()
        {
            watched.changed = sequence;
            self.sequence = sequence;
        }
    }

    /// Stops speaking of all VMs but these.
    pub(crate) fn retain(&mut self, watched: &BTreeSet<VmId>) {
        let dropped: Vec<VmId> =
            self.vms.keys().filter(|vm| !watched.contains(*vm)).cloned().collect();
        for vm in dropped {
            self.record_failure(&vm);
        }
    }

    /// What is new to a peer that stands at `cursor`.
    pub(crate) fn update(&self, now: Instant, cursor: WatchCursor) -> WatchUpdate {
        let mut update = WatchUpdate {
            cursor: WatchCursor { sequence: self.sequence },
            ..WatchUpdate::default()
        };
        for (vm, watched) in &self.vms {
            let age = now.saturating_duration_since(watched.polled_at);
            if watched.changed > cursor.sequence {
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
    if age > LATE_LIMIT {
        unchanged.except.push(vm.clone());
    } else {
        unchanged.age = unchanged.age.max(age);
    }
}

/// Whether a report differs by more than a little load from what peers were told.
fn differs(known: &WatchedVm, report: &VmReport) -> bool {
    let Some(known_report) = &known.report else { return true };
    let same = VmReport { load: known_report.load, ..report.clone() } == *known_report;
    let told = known.told_load.running + known.told_load.queued;
    let load = report.load.running + report.load.queued;
    !same || load.abs_diff(told) >= LOAD_STEP.max(told / 4)
}

/// The reports that a node holds from one watcher.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayedReports {
    /// Where the node stands in the watcher's log.
    pub(crate) cursor: WatchCursor,

    /// Reports, with when their load was measured.
    held: BTreeMap<VmId, (VmReport, Instant)>,
}

/// A relayed report with when its poll was sent, at the earliest.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AgedReport {
    pub(crate) vm: VmId,
    pub(crate) asked_at: Instant,
    pub(crate) report: VmReport,
}

/// What an update says.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RelayedNews {
    /// Good reports.
    pub(crate) reports: Vec<AgedReport>,

    /// VMs that the watcher has lost sight of.
    pub(crate) unseen: Vec<VmId>,
}

impl RelayedReports {
    /// Takes in the answer to a question sent at `asked_at`.
    pub(crate) fn take_in(&mut self, asked_at: Instant, update: WatchUpdate) -> RelayedNews {
        let mut news = RelayedNews::default();
        let changed: BTreeSet<VmId> = update.changed.iter().map(|r| r.vm.clone()).collect();
        let unchanged = &update.unchanged;
        if let Some(at) = asked_at.checked_sub(unchanged.age) {
            let refreshed = self
                .held
                .iter()
                .filter(|(vm, _)| !changed.contains(*vm) && !unchanged.except.contains(*vm));
            news.reports.extend(refreshed.map(|(vm, (report, load_at))| {
                let mut report = report.clone();
                report.load.age = at.saturating_duration_since(*load_at);
                AgedReport { vm: vm.clone(), asked_at: at, report }
            }));
        }
        for relayed in update.changed {
            self.take_in_change(asked_at, relayed, &mut news);
        }
        self.cursor = update.cursor;
        news
    }

    fn take_in_change(
        &mut self,
        asked_at: Instant,
        relayed: RelayedReport,
        news: &mut RelayedNews,
    ) {
        let at = asked_at.checked_sub(relayed.age);
        let (Some(report), Some(at)) = (relayed.report, at) else {
            self.held.remove(&relayed.vm);
            news.unseen.push(relayed.vm);
            return;
        };
        let load_at = at.checked_sub(report.load.age).unwrap_or(at);
        self.held.insert(relayed.vm.clone(), (report.clone(), load_at));
        news.reports.push(AgedReport { vm: relayed.vm, asked_at: at, report });
    }
}
