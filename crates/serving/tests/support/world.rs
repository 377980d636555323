//! The simulated cell in which tests run requests.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use comfreyturn_policy::{
    ConfigState, CrashLedger, FairQueue, FairQueueSettings, LoadRouter, LoadRouterSettings,
    RetryBudgetSettings, RosterState, ShareRetryBudget,
};
use comfreyturn_ports::{
    BackendTransport, Clock, PeerAnswer, PeerHandler, PeerIdentity, PeerNotice, PeerQuestion,
    Spawner,
};
use comfreyturn_serving::{RequestService, ServingPolicies, ServingPorts, ServingSettings};
use comfreyturn_standin::fakes::{
    Fault, FaultPlan, FaultSettings, LocalPool, LocalSpawner, ManualClock, MemoryBackendSettings,
    MemoryBackends, MemoryPeers, MemoryTable, run_until,
};
use comfreyturn_types::{
    CustomerIntent, CustomerName, FailureDomain, GroupAssignment, GroupGeneration, GroupId,
    Incarnation, ModelBackend, ModelName, ModelVersionName, NodeId, Roster, RosterMember,
    ServiceBackend, ServiceIntent, ServiceName, VmId,
};

use super::FakeView;

pub const MODEL_SERVICE: &str = "chat";
pub const PLAIN_SERVICE: &str = "certificates";
pub const CUSTOMER: &str = "camara";
pub const CRASH_MARKER: &str = "CRASH";

const NODES: u16 = 3;
const GROUPS: u16 = 3;
const PLAIN_VMS: [u16; 2] = [7, 8];
const RESTART_DELAY: Duration = Duration::from_secs(4);
const ROSTER_DELAY: Duration = Duration::from_secs(5);

/// A node of the simulated cell.
pub struct TestNode {
    pub identity: PeerIdentity,
    pub service: Rc<RequestService>,
    pub view: Rc<FakeView>,
}

/// The simulated cell.
pub struct World {
    pub clock: ManualClock,
    pub plan: FaultPlan,
    pub table: MemoryTable,
    pub backends: MemoryBackends,
    pub peers: MemoryPeers,
    pub config: Rc<ConfigState>,
    pub groups: RefCell<Vec<GroupAssignment>>,
    pub roster: RefCell<BTreeMap<NodeId, RosterMember>>,
    pub nodes: RefCell<Vec<Rc<TestNode>>>,
    /// Nodes that an operator removed from the roster.
    pub expelled: RefCell<BTreeSet<NodeId>>,
    /// Whether crashed backend servers are restarted.
    pub restart_crashed: Cell<bool>,
    /// VMs that answer no polls.
    pub silent_vms: RefCell<BTreeSet<VmId>>,
    /// Retries that nodes started from now on allow within the budget's window.
    pub retry_floor: Cell<u32>,
}

/// Starts the cell with all its nodes and backend servers.
pub fn start_world(settings: FaultSettings) -> (Rc<World>, LocalPool) {
    let pool = LocalPool::new();
    let clock = ManualClock::new();
    let plan = FaultPlan::new(&clock, &pool, settings);
    let world = Rc::new(World {
        table: MemoryTable::new(&plan),
        backends: MemoryBackends::new(&plan),
        peers: MemoryPeers::new(&plan),
        config: Rc::new(config()),
        groups: RefCell::new((1..=GROUPS).map(assignment).collect()),
        roster: RefCell::default(),
        nodes: RefCell::default(),
        expelled: RefCell::default(),
        restart_crashed: Cell::new(true),
        silent_vms: RefCell::default(),
        retry_floor: Cell::new(100),
        clock,
        plan,
    });
    for number in (1..=2 * GROUPS).chain(PLAIN_VMS) {
        world.start_vm(number);
    }
    for number in 0..NODES {
        world.start_node(number);
    }
    let spawner = LocalSpawner::new(&pool);
    spawner.spawn(Box::pin(supervise(world.clone())));
    let hook = world.clone();
    world.plan.set_race_hook(move || {
        let world = hook.clone();
        Box::pin(async move { world.change_group(0) })
    });
    (world, pool)
}

impl World {
    /// Runs a future to completion in virtual time.
    pub fn run<T>(&self, pool: &mut LocalPool, future: impl Future<Output = T>) -> T {
        run_until(&self.clock, pool, future).expect("the test ends in virtual time")
    }

    pub fn node(&self, index: usize) -> Rc<TestNode> {
        let nodes = self.nodes.borrow();
        nodes[index % nodes.len()].clone()
    }

    pub async fn sleep(&self, duration: Duration) {
        self.clock.sleep(duration).await;
    }

    /// Gives a group a new generation, as an operator's change does; its running requests break.
    pub fn change_group(&self, index: usize) {
        let mut groups = self.groups.borrow_mut();
        let group = &mut groups[index];
        group.generation = group.generation.next();
        let address = vm_address(&group.members[0]);
        self.backends.set_place(address, Some((group.group.clone(), group.generation)));
        self.backends.break_runs(address);
    }

    pub fn kill_vm(&self, number: u16) {
        self.backends.kill(address_of(number));
    }

    pub fn start_vm(&self, number: u16) {
        let groups = self.groups.borrow();
        let vm = vm_of(number);
        let headed = groups.iter().find(|group| group.members[0] == vm);
        let settings = MemoryBackendSettings {
            place: headed.map(|group| (group.group.clone(), group.generation)),
            crash_marker: Some(CRASH_MARKER.to_owned()),
            vm,
            ..MemoryBackendSettings::default()
        };
        self.backends.start(address_of(number), settings);
    }

    fn start_node(self: &Rc<Self>, number: u16) {
        let backends = self.backends.for_node(&identity(number).node);
        self.start_node_with(number, backends);
    }

    /// Starts a node with its own transport to backend servers.
    pub fn start_node_with(self: &Rc<Self>, number: u16, backends: Rc<dyn BackendTransport>) {
        let identity = identity(number);
        let node = identity.node.clone();
        self.roster.borrow_mut().insert(node.clone(), member(&identity, number));
        let view = FakeView::new(self.clone(), identity.clone());
        let ports = ServingPorts {
            clock: self.plan.clock(&node),
            spawner: self.plan.spawner(&node),
            table: self.table.for_node(&node),
            backends,
        };
        let spawner = ports.spawner.clone();
        let settings = ServingSettings::default();
        let policies = policies(number, self.retry_floor.get());
        let service =
            RequestService::new(identity.clone(), view.clone(), ports, policies, settings);
        let handler = NoticeHandler { service: service.clone() };
        self.peers.register(identity.clone(), Rc::new(handler));
        spawner.spawn(Box::pin(view.clone().poll()));
        self.nodes.borrow_mut().push(Rc::new(TestNode { identity, service, view }));
    }

    /// Removes nodes from the roster that were killed, expelled or lost their lease; the last are
    /// added again later.
    fn update_roster(&self) {
        let now = self.clock.elapsed();
        let lapse = self.plan.settings().lease_lapse;
        for node in self.nodes.borrow().iter() {
            let name = &node.identity.node;
            let lapsed = self.plan.fired().iter().any(|fired| {
                let (from, until) = (fired.at + ROSTER_DELAY, fired.at + lapse + ROSTER_DELAY);
                fired.fault == Fault::LeaseLapse
                    && fired.node == *name
                    && (from..until).contains(&now)
            });
            let mut roster = self.roster.borrow_mut();
            let expelled = self.expelled.borrow().contains(name);
            if lapsed || expelled || !self.plan.is_alive(name) {
                roster.remove(name);
            } else if !roster.contains_key(name) {
                roster.insert(name.clone(), member(&node.identity, 0));
            }
        }
    }
}

/// Restarts crashed backend servers after [`RESTART_DELAY`], and updates the roster.
async fn supervise(world: Rc<World>) {
    const PERIOD: Duration = Duration::from_secs(1);
    let mut down_since = BTreeMap::new();
    loop {
        world.sleep(PERIOD).await;
        world.update_roster();
        for number in (1..=2 * GROUPS).chain(PLAIN_VMS) {
            if world.backends.live_incarnation(address_of(number)).is_some() {
                down_since.remove(&number);
                continue;
            }
            let since = *down_since.entry(number).or_insert(world.clock.elapsed());
            if world.restart_crashed.get() && world.clock.elapsed() - since >= RESTART_DELAY {
                world.start_vm(number);
            }
        }
    }
}

/// Passes notices of peers to the request service.
struct NoticeHandler {
    service: Rc<RequestService>,
}

#[async_trait(?Send)]
impl PeerHandler for NoticeHandler {
    async fn answer(&self, _: &PeerIdentity, _: PeerQuestion) -> PeerAnswer {
        PeerAnswer::ConfigEntries { entries: Vec::new() }
    }

    fn notice(&self, _: &PeerIdentity, notice: PeerNotice) {
        self.service.apply_notice(&notice);
    }
}

fn policies(number: u16, retry_floor: u32) -> ServingPolicies {
    let seed = u64::from(number);
    let budget = RetryBudgetSettings { floor: retry_floor, ..Default::default() };
    ServingPolicies {
        router: Box::new(LoadRouter::new(LoadRouterSettings::default(), seed)),
        queue: Box::new(FairQueue::new(FairQueueSettings::default(), seed)),
        retries: Box::new(ShareRetryBudget::new(budget)),
        suspects: Box::new(CrashLedger::default()),
    }
}

fn config() -> ConfigState {
    let model = ModelBackend {
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        groups: u32::from(GROUPS),
        rank: 0,
    };
    let service = |name: &str, backend| (name.into(), ServiceIntent { name: name.into(), backend });
    let customer = CustomerIntent {
        name: CUSTOMER.into(),
        key: "key".to_owned(),
        weight: 1,
        requests_per_second: 10_000,
        tokens_per_second: 1_000_000,
        services: Vec::new(),
        deadline: Duration::from_secs(60),
    };
    let members = (0..NODES).map(|number| {
        let identity = identity(number);
        (identity.node.clone(), member(&identity, number))
    });
    let members = members.collect();
    ConfigState {
        services: BTreeMap::from([
            service(MODEL_SERVICE, ServiceBackend::Model(model)),
            service(PLAIN_SERVICE, ServiceBackend::Plain),
        ]),
        roster: RosterState { current: Roster { members }, ..RosterState::default() },
        customers: BTreeMap::from([(CustomerName::from(CUSTOMER), customer)]),
        ..ConfigState::default()
    }
}

fn assignment(number: u16) -> GroupAssignment {
    GroupAssignment {
        group: GroupId::from(format!("g{number}")),
        generation: GroupGeneration(1),
        service: ServiceName::from(MODEL_SERVICE),
        model: ModelName::from("m"),
        version: ModelVersionName::from("1"),
        adapters: Vec::new(),
        members: vec![vm_of(2 * number - 1), vm_of(2 * number)],
    }
}

pub fn identity(number: u16) -> PeerIdentity {
    PeerIdentity {
        cell: "cell".into(),
        node: NodeId::from(format!("node-{number}")),
        incarnation: Incarnation(1000 + u64::from(number)),
    }
}

fn member(identity: &PeerIdentity, number: u16) -> RosterMember {
    let address = SocketAddr::from(([10, 0, 1, 0], 8000 + number));
    RosterMember {
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        vm: VmId::from(format!("entry-{number}")),
        failure_domain: FailureDomain::from("a"),
        peer_address: address,
        caller_address: address,
        operator_address: address,
    }
}

pub fn plain_vms() -> Vec<VmId> {
    PLAIN_VMS.into_iter().map(vm_of).collect()
}

pub fn vm_of(number: u16) -> VmId {
    VmId::from(format!("vm-{number}"))
}

pub fn address_of(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9000 + number))
}

pub fn vm_address(vm: &VmId) -> SocketAddr {
    let number = vm.as_str().trim_start_matches("vm-").parse().expect("VMs are numbered");
    address_of(number)
}
