//! Control state of a node in tests.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use comfreyturn_policy::{ConfigState, CustomerShare, WholeGroup};
use comfreyturn_ports::{BackendError, PeerIdentity, PeerNotice, Step};
use comfreyturn_serving::{ServingView, VmRun};
use comfreyturn_types::{
    CustomerIntent, CustomerName, GroupAssignment, GroupGeneration, GroupId, Incarnation,
    ServiceName, StreamId, VmId, VmLoad, VmRecord, VmRole,
};

use super::{PLAIN_SERVICE, World, plain_vms, vm_address};

const EVIDENCE_AGE: Duration = Duration::from_secs(3);
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Result of a poll.
#[derive(Clone, Copy)]
struct VmEvidence {
    run: Option<VmRun>,
    polled_at: Instant,
}

/// Control state of a node in tests: evidence from the node's own polls.
pub struct FakeView {
    world: Rc<World>,
    identity: PeerIdentity,
    evidence: RefCell<BTreeMap<VmId, VmEvidence>>,
    /// The last observed run of each VM.
    runs: RefCell<BTreeMap<VmId, VmRun>>,
    pub fresh: Cell<bool>,
    pub leaving: Cell<bool>,
}

impl FakeView {
    pub fn new(world: Rc<World>, identity: PeerIdentity) -> Rc<Self> {
        Rc::new(Self {
            world,
            identity,
            evidence: RefCell::default(),
            runs: RefCell::default(),
            fresh: Cell::new(true),
            leaving: Cell::new(false),
        })
    }

    /// Polls all backend servers periodically, without end.
    pub async fn poll(self: Rc<Self>) {
        let clock = self.world.plan.clock(&self.identity.node);
        loop {
            let members = self.world.groups.borrow().clone();
            let members = members.into_iter().flat_map(|group| group.members);
            let probes = members.chain(plain_vms()).map(|vm| {
                let view = self.clone();
                async move { view.probe(&vm).await }
            });
            futures_util::future::join_all(probes).await;
            clock.sleep(POLL_PERIOD).await;
        }
    }

    fn is_responsive(&self, now: Instant, vm: &VmId) -> bool {
        self.evidence.borrow().get(vm).is_some_and(|evidence| {
            let age = now.saturating_duration_since(evidence.polled_at);
            evidence.run.is_some_and(|run| !run.leaving) && age <= EVIDENCE_AGE
        })
    }

    fn is_whole(&self, now: Instant, group: &GroupAssignment) -> bool {
        group.members.iter().all(|vm| self.is_responsive(now, vm))
    }

    fn whole_group(&self, now: Instant, assignment: GroupAssignment) -> WholeGroup {
        let head = record(&assignment.members[0], VmRole::Engine { accelerators: 8 });
        WholeGroup {
            assignment,
            head,
            load: VmLoad { capacity: 64, ..VmLoad::default() },
            load_at: now,
        }
    }
}

#[async_trait(?Send)]
impl ServingView for FakeView {
    fn config(&self) -> Rc<ConfigState> {
        self.world.config.clone()
    }

    fn may_admit(&self, _: Instant) -> bool {
        self.fresh.get()
    }

    fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    fn customer_share(&self, _: Instant, customer: &CustomerIntent) -> CustomerShare {
        CustomerShare {
            requests_per_second: f64::from(customer.requests_per_second),
            tokens_per_second: f64::from(customer.tokens_per_second),
        }
    }

    fn whole_groups(&self, now: Instant, service: &ServiceName) -> Vec<WholeGroup> {
        let groups = self.world.groups.borrow();
        let whole = groups.iter().filter(|group| group.service == *service);
        let whole = whole.filter(|group| self.is_whole(now, group)).cloned();
        whole.map(|group| self.whole_group(now, group)).collect()
    }

    fn plain_backends(&self, now: Instant, service: &ServiceName) -> Vec<VmRecord> {
        let vms = plain_vms().into_iter().filter(|vm| self.is_responsive(now, vm));
        let role = || VmRole::Plain { service: PLAIN_SERVICE.into() };
        let backends = vms.map(|vm| record(&vm, role()));
        backends.filter(|_| service.as_str() == PLAIN_SERVICE).collect()
    }

    fn is_group_whole(&self, now: Instant, group: &GroupId, generation: GroupGeneration) -> bool {
        let groups = self.world.groups.borrow();
        let group = groups.iter().find(|other| other.group == *group);
        group.is_some_and(|group| group.generation == generation && self.is_whole(now, group))
    }

    fn vm_run(&self, vm: &VmId) -> Option<VmRun> {
        self.runs.borrow().get(vm).copied()
    }

    async fn probe(&self, vm: &VmId) -> Option<VmRun> {
        let clock = self.world.plan.clock(&self.identity.node);
        let polled_at = clock.now();
        let address = vm_address(vm);
        let ping = StreamId::from("ping");
        let backends = self.world.backends.for_node(&self.identity.node);
        let answer = backends.cancel(Step::WatchPoll, address, &ping).await;
        let is_silent = self.world.silent_vms.borrow().contains(vm);
        let incarnation = match answer {
            _ if is_silent => None,
            Err(BackendError::UnknownStream) => self.world.backends.live_incarnation(address),
            _ => None,
        };
        let run = incarnation.map(|incarnation| VmRun { incarnation, leaving: false });
        if let Some(run) = run {
            self.runs.borrow_mut().insert(vm.clone(), run);
        }
        self.evidence.borrow_mut().insert(vm.clone(), VmEvidence { run, polled_at });
        run
    }

    fn seen_since(&self, vm: &VmId, since: Instant) -> Option<VmRun> {
        let nodes = self.world.nodes.borrow();
        let evidence = nodes.iter().filter_map(|node| {
            let evidence = node.view.evidence.borrow().get(vm).copied();
            evidence.filter(|evidence| evidence.run.is_some() && evidence.polled_at > since)
        });
        evidence.max_by_key(|evidence| evidence.polled_at).and_then(|evidence| evidence.run)
    }

    fn report_lost(&self, now: Instant, vm: &VmId) {
        let evidence = VmEvidence { run: None, polled_at: now };
        self.evidence.borrow_mut().insert(vm.clone(), evidence);
    }

    fn other_addresses(&self, _: Instant, _: &ServiceName, _: &CustomerName) -> Vec<SocketAddr> {
        let roster = self.world.roster.borrow();
        let others = roster.values().filter(|member| member.node != self.identity.node);
        others.map(|member| member.caller_address).collect()
    }

    fn incarnation_gone(&self, incarnation: &Incarnation) -> bool {
        let roster = self.world.roster.borrow();
        !roster.values().any(|member| member.incarnation == *incarnation)
    }

    async fn notify(&self, step: Step, notice: PeerNotice) {
        let link = self.world.peers.link(&self.identity);
        let peers: Vec<_> = self.world.roster.borrow().values().cloned().collect();
        let peers = peers.iter().filter(|peer| peer.node != self.identity.node);
        let notices = peers.map(|peer| link.notify(step, peer, notice.clone()));
        futures_util::future::join_all(notices).await;
    }
}

fn record(vm: &VmId, role: VmRole) -> VmRecord {
    VmRecord {
        vm: vm.clone(),
        role,
        address: vm_address(vm),
        failure_domain: "a".into(),
        fabric_domain: "f".into(),
        leaving: false,
    }
}
