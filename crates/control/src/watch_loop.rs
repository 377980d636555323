//! Watches backend servers: reads the platform's list, polls servers, and reports lost ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::watchers_of;
use comfreyturn_ports::{PeerNotice, Step};
use comfreyturn_types::{VmId, VmRecord, VmReport, VmRole};
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, join_all},
};

use crate::{NodeControl, watch_set::WatchSet};

/// How often the watcher checks which polls are due.
const POLL_SCAN_PERIOD: Duration = Duration::from_millis(100);

/// How often the watcher checks whether the process was paused.
const PAUSE_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Polls that must fail in a row before a VM counts as lost.
const POLL_ATTEMPTS: u32 = 2;

impl NodeControl {
    /// Reads the platform's list each period.
    pub(crate) async fn run_directory(self: Rc<Self>) {
        loop {
            let call = self.ports.ports.directory.list(Step::WatchDirectory);
            match self.ports.within(self.settings.table_timeout, call).await {
                Some(Ok(records)) => self.apply_list(records),
                Some(Err(error)) => {
                    log::debug!("watcher: reading the platform's list failed: {error}.")
                }
                None => log::debug!("watcher: reading the platform's list timed out."),
            }
            self.ports.sleep(self.settings.directory_period).await;
        }
    }

    /// Polls the backend servers that this node watches, and those whose evidence is about to
    /// expire.
    pub(crate) async fn run_polls(self: Rc<Self>) {
        let mut polled: BTreeMap<VmId, Instant> = BTreeMap::new();
        let mut watch_set = WatchSet::default();
        loop {
            let now = self.now();
            let backends = self.backend_vms();
            let state = self.log.state();
            let watched = watch_set.update(&self.member.node, &state.roster.current, &backends);
            self.watch.borrow_mut().retain(&watched);
            for vm in backends {
                let last = polled.get(&vm).copied();
                if self.is_poll_due(now, &vm, watched.contains(&vm), last) {
                    polled.insert(vm.clone(), now);
                    self.spawn_probe(vm);
                }
            }
            self.ports.sleep(POLL_SCAN_PERIOD).await;
        }
    }

    /// Drops all evidence when a sleep took much longer than its duration, as this means that the
    /// process was paused.
    pub(crate) async fn run_pause_detector(self: Rc<Self>) {
        loop {
            let before = self.now();
            self.ports.sleep(PAUSE_CHECK_PERIOD).await;
            let slept = self.now().saturating_duration_since(before);
            if slept > PAUSE_CHECK_PERIOD + self.settings.pause_tolerance {
                log::warn!("watcher: this process was paused for {slept:?}; all evidence dropped.");
                self.drop_evidence();
            }
        }
    }

    /// Polls a backend server immediately and waits for the outcome. Concurrent calls share one
    /// poll.
    pub async fn probe(&self, vm: &VmId) {
        let Some(control) = self.weak_self.upgrade() else { return };
        let running = self.running_probes.borrow().get(vm).cloned();
        let probe = running.unwrap_or_else(|| {
            let task: LocalBoxFuture<'static, ()> = Box::pin(control.poll(vm.clone()));
            let probe = task.shared();
            self.running_probes.borrow_mut().insert(vm.clone(), probe.clone());
            probe
        });
        probe.await;
    }

    /// Polls several backend servers concurrently.
    pub(crate) async fn probe_all(&self, vms: &[VmId]) {
        join_all(vms.iter().map(|vm| self.probe(vm))).await;
    }

    /// Polls a backend server in the background.
    pub(crate) fn spawn_probe(&self, vm: VmId) {
        let Some(control) = self.weak_self.upgrade() else { return };
        self.spawn(async move { control.probe(&vm).await });
    }

    /// Records a notice that a backend server was lost, and polls it to verify.
    pub(crate) fn record_loss(&self, vm: VmId) {
        let now = self.now();
        self.table.borrow_mut().observe_lost(now, &vm);
        self.spawn_probe(vm);
    }

    /// Drops all evidence that permits use: of configuration freshness, reports and the lease.
    /// Restrictions, such as a VM that is known to be leaving, stay in force.
    pub(crate) fn drop_evidence(&self) {
        self.freshness.borrow_mut().clear();
        self.table.borrow_mut().clear_evidence();
        self.watch.borrow_mut().retain(&BTreeSet::new());
        self.lease.forget();
    }

    /// Whether a VM that was on the platform's list is no longer there. A list that is empty, or
    /// that no longer contains this node's own VM, proves nothing.
    pub(crate) fn is_vm_gone(&self, vm: &VmId) -> bool {
        let table = self.table.borrow();
        let seen = self.seen_vms.borrow();
        let own = &self.member.vm;
        let trusted = !table.records().is_empty()
            && (table.records().contains_key(own) || !seen.contains(own));
        trusted && seen.contains(vm) && !table.records().contains_key(vm)
    }

    fn apply_list(&self, records: Vec<VmRecord>) {
        self.seen_vms.borrow_mut().extend(records.iter().map(|record| record.vm.clone()));
        self.table.borrow_mut().set_records(records);
        let gone = self.counted_members().into_iter().filter(|member| self.is_vm_gone(&member.vm));
        let gone: Vec<_> = gone.map(|member| (member.node, member.incarnation)).collect();
        self.tally.borrow_mut().dead.extend(gone);
    }

    fn is_poll_due(&self, now: Instant, vm: &VmId, watched: bool, last: Option<Instant>) -> bool {
        if self.running_probes.borrow().contains_key(vm) {
            return false;
        }
        let since = last.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < self.settings.poll_period) {
            return false;
        }
        let table = self.table.borrow();
        let evidence = table.evidence(vm);
        let age = evidence.map(|evidence| now.saturating_duration_since(evidence.polled_at));
        watched || age.is_none_or(|age| age >= self.settings.probe_age)
    }

    async fn poll(self: Rc<Self>, vm: VmId) {
        for attempt in 1..=POLL_ATTEMPTS {
            let record = self.table.borrow().records().get(&vm).cloned();
            let Some(record) = record else { break };
            let asked_at = self.now();
            match self.ports.report(Step::WatchPoll, &record).await {
                Ok(report) => {
                    self.record_report(asked_at, report);
                    break;
                }
                Err(error) if attempt == POLL_ATTEMPTS => {
                    log::debug!("watcher: poll of {vm} failed: {error}.");
                    self.record_poll_failure(asked_at, &vm);
                }
                Err(_) => {}
            }
        }
        self.running_probes.borrow_mut().remove(&vm);
    }

    fn record_report(&self, asked_at: Instant, report: VmReport) {
        let now = self.now();
        let vm = report.vm.clone();
        let was_leaving = self.table.borrow().is_leaving(&vm);
        if report.leaving && !was_leaving {
            log::info!("watcher: {vm} is leaving.");
            let incarnation = report.incarnation;
            self.notify_peers(
                Step::WatchNotify,
                PeerNotice::VmLeaving { vm: vm.clone(), incarnation },
            );
        }
        if self.is_watched(&vm) {
            self.watch.borrow_mut().record(asked_at, report.clone());
        }
        self.table.borrow_mut().observe(now, asked_at, &vm, Some(report));
    }

    /// Records a failed poll. Only a watcher of the VM notifies its peers: any other node may have
    /// lost its own connection.
    fn record_poll_failure(&self, asked_at: Instant, vm: &VmId) {
        let now = self.now();
        let was_fresh = self.table.borrow().fresh_report(now, vm).is_some();
        self.watch.borrow_mut().record_failure(vm);
        self.table.borrow_mut().observe(now, asked_at, vm, None);
        if was_fresh && self.is_watched(vm) {
            log::warn!("watcher: {vm} lost.");
            self.notify_peers(Step::WatchNotify, PeerNotice::VmLost { vm: vm.clone() });
        }
    }

    fn is_watched(&self, vm: &VmId) -> bool {
        watchers_of(vm, &self.log.state().roster.current).contains(&&self.member.node)
    }

    fn backend_vms(&self) -> Vec<VmId> {
        let table = self.table.borrow();
        let records = table.records().values();
        let backends = records.filter(|record| record.role != VmRole::Entry);
        backends.map(|record| record.vm.clone()).collect()
    }
}
