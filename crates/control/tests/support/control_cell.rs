//! A cell of nodes over fakes on virtual time.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_control::{
    ApplyCommand, ApplyError, ChangePrecondition, ControlPorts, ControlSettings, LimitController,
    NodeControl,
};
use comfreyturn_ports::{Clock, PeerIdentity, Spawner};
use comfreyturn_standin::fakes::{
    FaultPlan, FaultSettings, LocalPool, LocalSpawner, ManualClock, MemoryDirectory,
    MemoryEngineSettings, MemoryEngines, MemoryPeers, MemoryTable, run_for,
};
use comfreyturn_types::*;
use futures_util::future::{Either, LocalBoxFuture, select};

use super::{FencedTable, InvariantCheck, LEASE_KEY};

pub const NODES: u32 = 5;
pub const SERVICE: &str = "assistant";
pub const CUSTOMER: &str = "installers";
const ENGINES_PER_DOMAIN: u32 = 5;
const GROUP_SIZE: u32 = 2;

/// Nodes over which a customer's limit is split.
const HOME_NODES: usize = 3;

/// How long one node receives all requests before the next one does, in seconds.
const DEMAND_TURN_S: u64 = 4;

/// Requests that the node receives between two checks.
const DEMAND_REQUESTS: u32 = 10;

/// How often the invariants are checked.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The versions that were accepted, with the time of acceptance.
pub type AcceptedChanges = Rc<RefCell<Vec<(ConfigVersion, Duration)>>>;

/// Nodes, by name. A killed node stays in the map until it is restarted.
pub type CellNodes = Rc<RefCell<BTreeMap<NodeId, Rc<NodeControl>>>>;

/// The limit controllers of all nodes, by name.
pub type CellLimits = Rc<RefCell<BTreeMap<NodeId, Rc<LimitController>>>>;

/// A cell of nodes over fakes.
pub struct ControlCell {
    pub clock: ManualClock,
    pub pool: LocalPool,
    pub plan: FaultPlan,
    pub table: MemoryTable,
    pub directory: MemoryDirectory,
    pub engines: MemoryEngines,
    pub peers: MemoryPeers,
    pub nodes: CellNodes,
    pub limits: CellLimits,
    pub accepted: AcceptedChanges,
    pub check: InvariantCheck,
    unfenced: Rc<RefCell<Vec<String>>>,
    pub settings: ControlSettings,
    pub operators: OperatorClient,
}

impl ControlCell {
    /// Starts all nodes of a new cell.
    fn start_with(settings: FaultSettings, control_settings: ControlSettings) -> Self {
        let clock = ManualClock::new();
        let pool = LocalPool::new();
        let plan = FaultPlan::new(&clock, &pool, settings);
        let engines = MemoryEngines::new(&plan);
        let mut records: Vec<VmRecord> = (1..=NODES).map(entry_record).collect();
        for index in 0..2 * ENGINES_PER_DOMAIN {
            let record = engine_record(index);
            let checks_fencing = index % 2 == 0;
            let loading = Duration::from_millis(100);
            engines.start(&record.vm, MemoryEngineSettings { checks_fencing, loading });
            records.push(record);
        }
        let nodes = CellNodes::default();
        let accepted = AcceptedChanges::default();
        let operators = OperatorClient {
            plan: plan.clone(),
            clock: clock.clone(),
            nodes: nodes.clone(),
            accepted: accepted.clone(),
            operations: Rc::default(),
            running: Rc::default(),
        };
        let cell = Self {
            table: MemoryTable::new(&plan),
            directory: MemoryDirectory::new(&plan, records),
            peers: MemoryPeers::new(&plan),
            clock,
            pool,
            plan,
            engines,
            nodes,
            limits: CellLimits::default(),
            accepted,
            operators,
            check: InvariantCheck::default(),
            unfenced: Rc::default(),
            settings: control_settings,
        };
        for number in 1..=NODES {
            cell.start_node(&node_name(number));
        }
        cell
    }

    /// A cell whose roster is complete and which serves two whole groups.
    pub fn started(settings: FaultSettings) -> Self {
        Self::started_with(settings, ControlSettings::default())
    }

    /// As [`Self::started`], with other control settings.
    pub fn started_with(settings: FaultSettings, control_settings: ControlSettings) -> Self {
        let mut cell = Self::start_with(settings, control_settings);
        cell.run_until(60, "the roster is complete", |cell| {
            let nodes = cell.nodes.borrow();
            nodes.values().all(|n| n.config().roster.current.members.len() == NODES as usize)
        });
        cell.apply(vec![ConfigChange::PutModelVersion(model_version("v1")), declared_groups(2)]);
        cell.await_groups(2);
        cell
    }

    /// Starts or restarts a node.
    pub fn start_node(&self, node: &NodeId) {
        self.plan.restart(node);
        let incarnation = Incarnation::random();
        let name = CellName::from("cell-1");
        let identity = PeerIdentity { cell: name.clone(), node: node.clone(), incarnation };
        let ports = ControlPorts {
            clock: self.plan.clock(node),
            spawner: self.plan.spawner(node),
            table: Rc::new(FencedTable {
                inner: self.table.for_node(node),
                rows: self.table.clone(),
                run: (node.clone(), incarnation),
                violations: self.unfenced.clone(),
            }),
            directory: self.directory.for_node(node),
            engines: self.engines.for_node(node),
            peers: self.peers.link(&identity),
        };
        let member = roster_member(node, incarnation);
        let peers = ports.peers.clone();
        let control = NodeControl::new(name, member, ports, self.settings.clone());
        let (clock, spawner) = (self.plan.clock(node), self.plan.spawner(node));
        let limits =
            LimitController::new(control.clone(), peers, clock, spawner.clone(), HOME_NODES);
        self.peers.register(identity, limits.clone());
        control.start();
        spawner.spawn(Box::pin(limits.clone().run()));
        self.limits.borrow_mut().insert(node.clone(), limits);
        self.nodes.borrow_mut().insert(node.clone(), control);
    }

    /// Runs for a span of virtual time and checks the invariants periodically.
    pub fn run(&mut self, span: Duration) {
        let end = self.clock.elapsed() + span;
        while self.clock.elapsed() < end {
            run_for(&self.clock, &mut self.pool, CHECK_PERIOD);
            let now = self.clock.elapsed();
            self.check.violations.extend(self.unfenced.borrow_mut().drain(..));
            self.demand_limits();
            self.check.sample_limits(now, &self.plan, &self.limits.borrow(), &self.nodes.borrow());
            self.check.sample(now, &self.plan, &self.nodes.borrow(), &self.accepted.borrow());
        }
    }

    /// Sends the customer's requests to one node after the other, so that each node in turn has to
    /// borrow from the others.
    fn demand_limits(&self) {
        let turn = u32::try_from(self.clock.elapsed().as_secs() / DEMAND_TURN_S).unwrap_or(0);
        let node = node_name(turn % NODES + 1);
        let limits = self.limits.borrow();
        let Some(limit) = limits.get(&node).filter(|_| self.plan.is_alive(&node)) else { return };
        for _ in 0..DEMAND_REQUESTS {
            limit.record_demand(self.node_now(&node), &CUSTOMER.into(), 1);
        }
    }

    /// Runs until a condition is true, and records a violation if that takes longer than `seconds`.
    pub fn run_until(&mut self, seconds: u64, what: &str, is_true: impl Fn(&Self) -> bool) {
        let end = self.clock.elapsed() + Duration::from_secs(seconds);
        while !is_true(self) {
            if self.clock.elapsed() >= end {
                self.check.violations.insert(format!("not within {seconds} s: {what}"));
                return;
            }
            self.run(CHECK_PERIOD);
        }
    }

    /// Applies changes in the background as an operator would: the same operation is retried at the
    /// next node until there is a final answer.
    pub fn submit(&self, changes: Vec<ConfigChange>) {
        LocalSpawner::new(&self.pool).spawn(self.operators.apply(changes));
    }

    /// Applies changes and waits for the final answer.
    pub fn apply(&mut self, changes: Vec<ConfigChange>) {
        self.submit(changes);
        self.await_operators();
    }

    /// Waits until all operators have received a final answer.
    pub fn await_operators(&mut self) {
        self.run_until(120, "operators have final answers", |cell| {
            cell.operators.running.get() == 0
        });
    }

    /// Waits until all nodes report this many whole groups.
    pub fn await_groups(&mut self, groups: usize) {
        self.run_until(150, &format!("{groups} whole groups at all nodes"), |cell| {
            let nodes = cell.nodes.borrow();
            nodes.keys().all(|node| cell.whole_at(node) == groups)
        });
    }

    /// The number of whole groups at a node.
    pub fn whole_at(&self, node: &NodeId) -> usize {
        let now = self.node_now(node);
        let control = self.nodes.borrow()[node].clone();
        if !self.plan.is_alive(node) { 0 } else { control.whole_groups(now, &SERVICE.into()).len() }
    }

    /// The current time of a node's clock.
    pub fn node_now(&self, node: &NodeId) -> Instant {
        self.plan.clock(node).now()
    }

    /// The holder of the planner's lease, by its row in the table.
    pub fn planner(&self) -> Option<NodeId> {
        let row = self.table.row(LEASE_KEY)?;
        let lease: serde_json::Value = serde_json::from_str(&row.value).ok()?;
        lease["holder"][0].as_str().map(NodeId::from)
    }
}

/// Applies changes as operators. Clones share the operation counter.
#[derive(Clone)]
pub struct OperatorClient {
    plan: FaultPlan,
    clock: ManualClock,
    nodes: CellNodes,
    accepted: AcceptedChanges,
    operations: Rc<Cell<u32>>,
    running: Rc<Cell<u32>>,
}

impl OperatorClient {
    /// Applies changes as one operator: retries the same operation at the next node until there is
    /// a final answer.
    pub fn apply(&self, changes: Vec<ConfigChange>) -> LocalBoxFuture<'static, ()> {
        let number = self.operations.get() + 1;
        self.operations.set(number);
        self.running.set(self.running.get() + 1);
        let command = ApplyCommand {
            operation: OperationId::from(format!("operation-{number}")),
            expected: None,
            changes: changes.into_iter().map(|c| (ChangePrecondition::Any, c)).collect(),
            gone_nodes: BTreeSet::new(),
        };
        let client = self.clone();
        Box::pin(async move {
            for turn in number.. {
                if client.try_at(&node_name(turn % NODES + 1), &command).await {
                    break;
                }
                client.clock.sleep(Duration::from_millis(500)).await;
            }
            client.running.set(client.running.get() - 1);
        })
    }

    /// Sends the command to one node. Returns whether there was a final answer.
    async fn try_at(&self, node: &NodeId, command: &ApplyCommand) -> bool {
        let control = self.nodes.borrow().get(node).cloned();
        let Some(control) = control.filter(|_| self.plan.is_alive(node)) else { return false };
        let call = self.plan.on_node(node, control.apply(command.clone()));
        match select(call, self.clock.sleep(Duration::from_secs(8))).await {
            Either::Left((Ok(version), _)) => {
                self.accepted.borrow_mut().push((version, self.clock.elapsed()));
                true
            }
            Either::Left((Err(error), _)) => is_final(&error),
            Either::Right(_) => false,
        }
    }
}

pub fn node_name(number: u32) -> NodeId {
    NodeId::from(format!("node-{number}"))
}

/// A version of the service's model.
pub fn model_version(version: &str) -> ModelVersion {
    ModelVersion {
        model: "drafts".into(),
        version: version.into(),
        vms_per_group: GROUP_SIZE,
        weight_bytes: 1,
    }
}

/// Sets how many groups the service should have.
pub fn declared_groups(groups: u32) -> ConfigChange {
    service_of_version("v1", groups)
}

/// Sets which version the service runs, and how many groups it should have.
pub fn service_of_version(version: &str, groups: u32) -> ConfigChange {
    ConfigChange::PutService(ServiceIntent {
        name: SERVICE.into(),
        backend: ServiceBackend::Model(ModelBackend {
            model: "drafts".into(),
            version: version.into(),
            adapters: Vec::new(),
            groups,
            rank: 0,
        }),
    })
}

/// A change that affects no group.
pub fn customer_change(requests_per_second: u32) -> ConfigChange {
    ConfigChange::PutCustomer(CustomerIntent {
        name: CUSTOMER.into(),
        key: "secret".to_owned(),
        weight: 1,
        requests_per_second,
        tokens_per_second: 1,
        services: Vec::new(),
        deadline: Duration::from_secs(60),
    })
}

fn is_final(error: &ApplyError) -> bool {
    matches!(error, ApplyError::Conflict { .. } | ApplyError::Invalid { .. })
}

fn roster_member(node: &NodeId, incarnation: Incarnation) -> RosterMember {
    let number: u16 = node.as_str()[5..].parse().expect("names end in a number");
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port + number));
    RosterMember {
        node: node.clone(),
        incarnation,
        vm: VmId::from(format!("entry-{number}")),
        failure_domain: FailureDomain::from(format!("domain-{}", number % 3)),
        peer_address: address(7000),
        caller_address: address(8000),
        operator_address: address(9000),
    }
}

fn entry_record(number: u32) -> VmRecord {
    let node = roster_member(&node_name(number), Incarnation(0));
    VmRecord {
        vm: node.vm,
        role: VmRole::Entry,
        address: node.peer_address,
        failure_domain: node.failure_domain,
        fabric_domain: "none".into(),
        leaving: false,
    }
}

fn engine_record(index: u32) -> VmRecord {
    let domain = index / ENGINES_PER_DOMAIN;
    VmRecord {
        vm: VmId::from(format!("vm-{domain}-{}", index % ENGINES_PER_DOMAIN)),
        role: VmRole::Engine { accelerators: 8 },
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + u16::try_from(index).unwrap())),
        failure_domain: FailureDomain::from(format!("domain-{domain}")),
        fabric_domain: FabricDomain::from(format!("fabric-{domain}")),
        leaving: false,
    }
}
