//! Runs all protocols that maintain shared state on one node.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    future::Future,
    rc::{Rc, Weak},
    time::Instant,
};

use async_trait::async_trait;
use comfreyturn_policy::{
    AckTally, ConfigState, FreshnessTracker, GroupPlanner, GroupTable, MemberRun, WholeGroup,
};
use comfreyturn_ports::{PeerAnswer, PeerHandler, PeerIdentity, PeerNotice, PeerQuestion, Step};
use comfreyturn_types::{CellName, LeaseScope, RosterMember, ServiceName, VmId, VmRecord};
use futures_util::future::{LocalBoxFuture, Shared};

use crate::{
    ControlPorts, ControlSettings, RowKeys, config_log::ConfigLog, config_store::ConfigStore,
    group_loop::PlannerState, group_store::GroupStore, lease_keeper::LeaseKeeper,
    peer_view::PeerView, timed_ports::TimedPorts, watch_log::WatchLog,
};

/// The lease whose holder plans groups.
const PLANNER_SCOPE: &str = "planner";

/// Called with each notice about suspect requests.
pub type NoticeHook = Rc<dyn Fn(&PeerIdentity, &PeerNotice)>;

/// Called with each version of the configuration.
pub type ConfigHook = Rc<dyn Fn(&ConfigState)>;

/// Runs all protocols that maintain shared state on one node.
pub struct NodeControl {
    pub(crate) weak_self: Weak<Self>,
    pub(crate) cell: CellName,
    pub(crate) member: RosterMember,
    pub(crate) settings: ControlSettings,
    pub(crate) ports: TimedPorts,
    pub(crate) log: ConfigLog,
    pub(crate) store: ConfigStore,
    pub(crate) freshness: RefCell<FreshnessTracker>,
    pub(crate) tally: RefCell<AckTally>,

    /// Invariant: one heartbeat task is active for each key.
    pub(crate) peers: RefCell<BTreeMap<MemberRun, PeerView>>,

    pub(crate) table: RefCell<GroupTable>,
    pub(crate) watch: RefCell<WatchLog>,

    /// Polls in progress.
    pub(crate) running_probes: RefCell<BTreeMap<VmId, Shared<LocalBoxFuture<'static, ()>>>>,

    /// VMs that were ever on the platform's list.
    pub(crate) seen_vms: RefCell<BTreeSet<VmId>>,

    pub(crate) lease: LeaseKeeper,
    pub(crate) groups: GroupStore,
    pub(crate) planner_state: PlannerState,
    pub(crate) leaving: Cell<bool>,

    /// Whether the roster has ever contained this run.
    pub(crate) was_in_roster: Cell<bool>,

    /// Whether the roster contains a later run of this node.
    pub(crate) superseded: Cell<bool>,

    in_flight: Cell<u32>,
    notice_hook: RefCell<Option<NoticeHook>>,
}

impl NodeControl {
    /// Creates the control state of one node. `member.peer_address` must already be bound: peers
    /// take an answer by another run at that address as proof that this run is dead.
    pub fn new(
        cell: CellName,
        member: RosterMember,
        ports: ControlPorts,
        settings: ControlSettings,
    ) -> Rc<Self> {
        let ports = TimedPorts::new(ports, settings.clone());
        let keys = RowKeys::new(cell.clone());
        let run = (member.node.clone(), member.incarnation);
        let scope = LeaseScope::from(PLANNER_SCOPE);
        let kept = settings.kept_entries;
        Rc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            cell,
            member,
            log: ConfigLog::new(kept),
            store: ConfigStore::new(ports.clone(), keys.clone(), kept),
            lease: LeaseKeeper::new(ports.table.clone(), settings.lease_term, &keys, &scope, run),
            groups: GroupStore::new(ports.clone(), keys),
            settings,
            ports,
            freshness: RefCell::default(),
            tally: RefCell::default(),
            peers: RefCell::default(),
            table: RefCell::default(),
            watch: RefCell::default(),
            running_probes: RefCell::default(),
            seen_vms: RefCell::default(),
            planner_state: PlannerState::default(),
            leaving: Cell::new(false),
            was_in_roster: Cell::new(false),
            superseded: Cell::new(false),
            in_flight: Cell::new(0),
            notice_hook: RefCell::default(),
        })
    }

    /// Starts all tasks. Must be called once only.
    pub fn start(self: &Rc<Self>) {
        self.spawn(Rc::clone(self).run_config());
        self.spawn(Rc::clone(self).run_roster());
        self.spawn(Rc::clone(self).run_peers());
        self.spawn(Rc::clone(self).run_directory());
        self.spawn(Rc::clone(self).run_polls());
        self.spawn(Rc::clone(self).run_pause_detector());
        self.spawn(Rc::clone(self).run_lease());
        self.spawn(Rc::clone(self).run_planner());
    }

    /// Replaces the planner. Must be called before [`NodeControl::start`].
    pub fn set_planner(&self, planner: Box<dyn GroupPlanner>) {
        *self.planner_state.planner.borrow_mut() = planner;
    }

    /// The configuration that this node knows.
    pub fn config(&self) -> Rc<ConfigState> {
        self.log.state()
    }

    /// Whether the configuration may be used: no newer version was accepted more than a few seconds
    /// ago.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let state = self.log.state();
        let known = state.version > comfreyturn_types::ConfigVersion::default();
        let freshness = self.freshness.borrow();
        known && freshness.is_fresh(now, state.version, &state.roster.current, &self.run())
    }

    /// The groups of a service that may serve.
    pub fn whole_groups(&self, now: Instant, service: &ServiceName) -> Vec<WholeGroup> {
        self.table.borrow().whole_groups(now, service)
    }

    /// The plain backend servers of a service that accept work.
    pub fn plain_backends(&self, now: Instant, service: &ServiceName) -> Vec<VmRecord> {
        let state = self.log.state();
        let mut backends = self.table.borrow().plain_backends(now, service);
        backends.retain(|record| !state.drained_vms.contains(&record.vm));
        backends
    }

    /// The record of a VM on the platform's list.
    pub fn vm_record(&self, vm: &VmId) -> Option<VmRecord> {
        self.table.borrow().records().get(vm).cloned()
    }

    /// Announces that this node is leaving: in heartbeats, and by a notice to all peers.
    pub fn set_leaving(&self) {
        if !self.leaving.replace(true) {
            self.notify_peers(Step::ShutdownAnnounce, PeerNotice::NodeLeaving);
        }
    }

    /// Whether this node is leaving, or was replaced by a later run of itself.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Whether the roster contains a later run of this node, so that this run should exit.
    pub fn is_superseded(&self) -> bool {
        self.superseded.get()
    }

    /// Sets the number of requests in progress, which heartbeats report to peers.
    pub fn set_in_flight(&self, requests: u32) {
        self.in_flight.set(requests);
    }

    /// Sets the hook that is called with notices about suspect requests.
    pub fn on_notice(&self, hook: NoticeHook) {
        *self.notice_hook.borrow_mut() = Some(hook);
    }

    /// Sets the hook that is called with each version of the configuration, in order.
    pub fn on_config(&self, hook: ConfigHook) {
        self.log.set_hook(hook);
    }

    /// Sends a notice to all peers, in the background.
    pub fn notify_peers(&self, step: Step, notice: PeerNotice) {
        let Some(control) = self.weak_self.upgrade() else { return };
        for member in self.counted_members() {
            let control = Rc::clone(&control);
            let notice = notice.clone();
            self.spawn(async move { control.ports.notify(step, &member, notice).await });
        }
    }

    /// The current time of this node's clock.
    pub(crate) fn now(&self) -> Instant {
        self.ports.ports.clock.now()
    }

    /// This run of this node.
    pub(crate) fn run(&self) -> MemberRun {
        (self.member.node.clone(), self.member.incarnation)
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.ports.ports.spawner.spawn(Box::pin(task));
    }

    /// All other runs that count towards a majority: those of the current roster and, until the
    /// last roster change is confirmed, those of the previous one.
    pub(crate) fn counted_members(&self) -> Vec<RosterMember> {
        let state = self.log.state();
        let roster = &state.roster;
        let pending = roster.version > self.log.confirmed();
        let current = roster.current.members.values();
        let previous = roster.previous.members.values();
        let previous = previous
            .filter(|member| pending && !roster.current.contains(&member.node, member.incarnation));
        let members = current.chain(previous);
        let own = self.run();
        members.filter(|m| (&m.node, m.incarnation) != (&own.0, own.1)).cloned().collect()
    }

    /// Whether a run counts towards a majority.
    pub(crate) fn counts(&self, run: &MemberRun) -> bool {
        let members = self.counted_members();
        members.iter().any(|member| member.node == run.0 && member.incarnation == run.1)
    }

    /// Whether at least half of the living members, counting this node, answered recently.
    pub(crate) fn reaches_half(&self, now: Instant) -> bool {
        let dead = self.tally.borrow().dead.clone();
        let living: Vec<MemberRun> = self
            .counted_members()
            .into_iter()
            .map(|member| (member.node, member.incarnation))
            .filter(|run| !dead.contains(run))
            .collect();
        let peers = self.peers.borrow();
        let responsive =
            living.iter().filter(|run| peers.get(*run).is_some_and(|p| p.is_responsive(now)));
        (responsive.count() + 1) * 2 > living.len()
    }
}

#[async_trait(?Send)]
impl PeerHandler for NodeControl {
    async fn answer(&self, from: &PeerIdentity, question: PeerQuestion) -> PeerAnswer {
        match question {
            PeerQuestion::Heartbeat { config, cursor } => {
                if from.cell == self.cell {
                    self.record_known((from.node.clone(), from.incarnation), config);
                }
                PeerAnswer::Heartbeat {
                    config: self.log.version(),
                    leaving: self.leaving.get(),
                    in_flight: self.in_flight.get(),
                    watch: self.watch.borrow().update(self.now(), cursor),
                }
            }
            PeerQuestion::ConfigPush { entries } => {
                self.append_entries(&entries);
                PeerAnswer::ConfigKnown { config: self.log.version() }
            }
            PeerQuestion::ConfigFetch { after } => {
                PeerAnswer::ConfigEntries { entries: self.log.entries_after(after) }
            }
            // The `LimitController` answers loan requests. Nothing is lent without one.
            PeerQuestion::ShareLoan { customer, number, .. } => {
                PeerAnswer::ShareLoan { customer, number, lent: 0.0 }
            }
        }
    }

    fn notice(&self, from: &PeerIdentity, notice: PeerNotice) {
        if from.cell != self.cell {
            return;
        }
        match notice {
            PeerNotice::VmLeaving { vm, incarnation } => {
                self.table.borrow_mut().observe_leaving(&vm, incarnation);
            }
            PeerNotice::VmLost { vm } => self.record_loss(vm),
            PeerNotice::NodeLeaving => {
                let run = (from.node.clone(), from.incarnation);
                if let Some(peer) = self.peers.borrow_mut().get_mut(&run) {
                    peer.leaving = true;
                }
            }
            PeerNotice::Suspect { .. } | PeerNotice::SuspectCleared { .. } => {
                let hook = self.notice_hook.borrow().clone();
                if let Some(hook) = hook {
                    hook(from, &notice);
                }
            }
        }
    }
}
