//! The platform's list of VMs, shown with a lag.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use comfreyturn_types::{VmId, VmRecord};

/// The platform's list of VMs, shown with a lag.
#[derive(Debug)]
pub(crate) struct VmList {
    lag: Duration,

    /// The list after each change, oldest first. Invariant: never empty.
    history: VecDeque<(Instant, BTreeMap<VmId, VmRecord>)>,
}

impl VmList {
    /// Creates a list whose first records are visible at once.
    pub(crate) fn new(now: Instant, lag: Duration, records: &[VmRecord]) -> Self {
        let list = records.iter().map(|record| (record.vm.clone(), record.clone())).collect();
        Self { lag, history: VecDeque::from([(now, list)]) }
    }

    /// Sets the lag.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds or replaces a VM.
    pub(crate) fn put(&mut self, now: Instant, record: VmRecord) {
        self.change(now, |list| {
            list.insert(record.vm.clone(), record);
        });
    }

    /// Removes a VM.
    pub(crate) fn remove(&mut self, now: Instant, vm: &VmId) {
        self.change(now, |list| {
            list.remove(vm);
        });
    }

    /// The list as it was one lag ago.
    pub(crate) fn visible(&self, now: Instant) -> Vec<VmRecord> {
        let visible = self.history.iter().rev().find(|(at, _)| *at + self.lag <= now);
        let Some((_, list)) = visible.or_else(|| self.history.front()) else {
            return Vec::new();
        };
        list.values().cloned().collect()
    }

    fn change(&mut self, now: Instant, change: impl FnOnce(&mut BTreeMap<VmId, VmRecord>)) {
        while self.history.len() > 1 && self.history[1].0 + self.lag <= now {
            self.history.pop_front();
        }
        let mut list = self.history.back().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        self.history.push_back((now, list));
    }
}
