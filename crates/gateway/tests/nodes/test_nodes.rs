//! Nodes of one deployment that exchange datagrams.

use std::{
    any::Any,
    cell::RefCell,
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use comfreyturn_gateway::{
    ForwardAnswer, ForwardRequest, Gateway, GatewayIdentity, GatewayPorts, GatewaySettings,
};
use comfreyturn_ports::{
    Clock, DatagramLink, FleetControl, NodeEntry, NodeRegistry, ServerFeed, ServerNotice,
    TableResult,
};
use comfreyturn_standin::fakes::{
    AnsweringServers, FaultPlan, FaultSettings, FixedFeeds, LocalPool, ManualClock, MemoryTable,
    TunnelHelper, run_for,
};
use comfreyturn_types::{CellName, FailureDomain, FleetServer, Incarnation, NodeId};

use crate::model_fleet::ModelFleet;

/// Pause between two polls for queued datagrams; longer in a fleet, whose bounds are hundreds of
/// milliseconds.
const POLL_PERIOD: Duration = Duration::from_millis(1);
const FLEET_POLL_PERIOD: Duration = Duration::from_millis(5);

/// The largest datagram that UDP carries, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// What one node sent or received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub datagrams: u64,
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: &[u8]) {
        self.datagrams += 1;
        self.bytes += bytes.len() as u64;
    }
}

/// Queued datagrams of each address, and the registered nodes.
#[derive(Clone, Default)]
pub struct TestNet {
    pub sent: Rc<RefCell<HashMap<SocketAddr, Traffic>>>,
    pub received: Rc<RefCell<HashMap<SocketAddr, Traffic>>>,

    /// When nodes registered, as time since the start.
    pub registrations: Rc<RefCell<Vec<Duration>>>,
    clock: Option<ManualClock>,
    queues: Rc<RefCell<HashMap<SocketAddr, VecDeque<Vec<u8>>>>>,
    entries: Rc<RefCell<Vec<NodeEntry>>>,

    /// Addresses whose datagrams are held back.
    pub held: Rc<RefCell<HashSet<SocketAddr>>>,

    /// Addresses that are cut off: datagrams from and to them are lost.
    pub cut: Rc<RefCell<HashSet<SocketAddr>>>,
}

impl TestNet {
    /// Delivers a datagram that no node sent.
    pub fn deliver(&self, to: SocketAddr, bytes: Vec<u8>) {
        self.queues.borrow_mut().entry(to).or_default().push_back(bytes);
    }

    fn take(&self, address: SocketAddr) -> Option<Vec<u8>> {
        if self.held.borrow().contains(&address) {
            return None;
        }
        self.queues.borrow_mut().entry(address).or_default().pop_front()
    }
}

/// One node's endpoint of the network.
struct NetEndpoint {
    net: TestNet,
    address: SocketAddr,
    clock: Rc<dyn Clock>,
    poll_period: Duration,
}

#[async_trait(?Send)]
impl DatagramLink for NetEndpoint {
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        self.net.sent.borrow_mut().entry(self.address).or_default().add(&bytes);
        let is_cut = |address| self.net.cut.borrow().contains(address);
        if is_cut(&self.address) || is_cut(&to) || bytes.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        self.net.received.borrow_mut().entry(to).or_default().add(&bytes);
        self.net.queues.borrow_mut().entry(to).or_default().push_back(bytes);
    }

    async fn receive(&self) -> std::io::Result<Vec<u8>> {
        loop {
            match self.net.take(self.address) {
                Some(bytes) => return Ok(bytes),
                None => self.clock.sleep(self.poll_period).await,
            }
        }
    }
}

#[async_trait(?Send)]
impl NodeRegistry for TestNet {
    async fn announce(&self, entry: &NodeEntry) -> TableResult<()> {
        let now = self.clock.as_ref().map(ManualClock::elapsed).unwrap_or_default();
        self.registrations.borrow_mut().push(now);
        self.entries.borrow_mut().retain(|old| old.node != entry.node);
        self.entries.borrow_mut().push(entry.clone());
        Ok(())
    }

    async fn withdraw(&self, node: &NodeId) -> TableResult<()> {
        self.entries.borrow_mut().retain(|entry| entry.node != *node);
        Ok(())
    }

    async fn list(&self) -> TableResult<Vec<NodeEntry>> {
        Ok(self.entries.borrow().clone())
    }
}

/// The connections that a node opens for others.
struct GatewayTunnels(Weak<Gateway>);

impl TunnelHelper for GatewayTunnels {
    fn admit(&self, server: SocketAddr) -> Option<Box<dyn Any>> {
        let permit = self.0.upgrade()?.admit_tunnel(server)?;
        Some(Box::new(permit))
    }

    fn answered(&self, server: SocketAddr, notice: ServerNotice) {
        if let Some(gateway) = self.0.upgrade() {
            gateway.record_tunnel_answer(server, notice);
        }
    }
}

/// Nodes of one deployment, numbered from one.
pub struct TestNodes {
    clock: ManualClock,
    pool: LocalPool,
    pub plan: FaultPlan,
    pub table: MemoryTable,
    pub net: TestNet,

    /// The feeds of each node.
    pub feeds: HashMap<u16, FixedFeeds>,
    pub gateways: HashMap<u16, Rc<Gateway>>,
    pub servers: AnsweringServers,

    /// Servers that carry out orders, in place of the fixed feeds.
    fleet: Option<ModelFleet>,
    last_incarnation: u64,
    settings: GatewaySettings,

    /// Whether nodes start as at the first start of the deployment.
    is_first_start: bool,
}

impl TestNodes {
    pub fn started() -> Self {
        Self::started_with(GatewaySettings { fencing_checked: true, ..GatewaySettings::default() })
    }

    pub fn started_with(settings: GatewaySettings) -> Self {
        let mut nodes = Self::new(settings, false);
        (1..=3).for_each(|number| nodes.start(number));
        nodes.run(3000);
        nodes
    }

    /// Nodes, none of them started, before servers that carry out orders.
    pub fn with_model_servers(
        settings: GatewaySettings,
        servers: Vec<FleetServer>,
    ) -> (Self, ModelFleet) {
        let mut nodes = Self::new(settings, false);
        let fleet = ModelFleet::new(&nodes.clock, &nodes.table, servers);
        nodes.fleet = Some(fleet.clone());
        (nodes, fleet)
    }

    /// A fleet that starts for the first time, all nodes at the same moment.
    pub fn first_start(count: u16) -> Self {
        Self::first_start_with(count, GatewaySettings::default())
    }

    /// The same with other settings.
    pub fn first_start_with(count: u16, settings: GatewaySettings) -> Self {
        let settings = GatewaySettings { fencing_checked: true, ..settings };
        let mut nodes = Self::new(settings, true);
        (1..=count).for_each(|number| nodes.start(number));
        nodes
    }

    fn new(settings: GatewaySettings, is_first_start: bool) -> Self {
        let clock = ManualClock::new();
        let pool = LocalPool::new();
        let plan = FaultPlan::new(&clock, &pool, FaultSettings::default());
        let table = MemoryTable::new(&plan);
        let net = TestNet { clock: Some(clock.clone()), ..TestNet::default() };
        Self {
            clock,
            pool,
            plan,
            table,
            net,
            feeds: HashMap::new(),
            gateways: HashMap::new(),
            servers: AnsweringServers::default(),
            fleet: None,
            last_incarnation: 0,
            settings,
            is_first_start,
        }
    }

    pub fn start(&mut self, number: u16) {
        self.start_process(number, self.is_first_start);
    }

    /// Replaces the process of a node by one that finds a running deployment.
    pub fn restart(&mut self, number: u16) {
        self.plan.kill(&name(number));
        self.start_process(number, false);
    }

    fn start_process(&mut self, number: u16, is_first_start: bool) {
        let node = name(number);
        self.plan.restart(&node);
        let feeds = FixedFeeds::new(Rc::new(self.clock.clone()));
        self.feeds.insert(number, feeds.clone());
        self.last_incarnation += 1;
        let peer_address = address(number);
        self.net.queues.borrow_mut().remove(&peer_address);
        let clock = self.plan.clock(&node);
        let endpoint = NetEndpoint {
            net: self.net.clone(),
            address: peer_address,
            clock: clock.clone(),
            poll_period: if self.is_first_start { FLEET_POLL_PERIOD } else { POLL_PERIOD },
        };
        let (fleet, server_feed) = self.fleet_ports(&feeds, &clock);
        let ports = GatewayPorts {
            spawner: self.plan.spawner(&node),
            table: self.table.for_node(&node),
            servers: self.servers.for_node(&node, clock.clone()),
            fleet,
            config_feed: Rc::new(feeds.clone()),
            server_feed,
            nodes: Rc::new(self.net.clone()),
            datagrams: Rc::new(endpoint),
            clock,
        };
        let identity = GatewayIdentity {
            cell: CellName::from("cell"),
            node,
            incarnation: Incarnation(self.last_incarnation),
            peer_address,
            caller_address: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
            failure_domain: failure_domain(number),
            capacity: capacity(number),
            first_start: is_first_start,
        };
        let gateway = Gateway::new(identity, ports, self.settings.clone());
        gateway.start();
        let tunnels = Rc::new(GatewayTunnels(Rc::downgrade(&gateway)));
        self.servers.add_helper(&name(number), peer_address, tunnels);
        self.gateways.insert(number, gateway);
    }

    fn fleet_ports(
        &self,
        feeds: &FixedFeeds,
        clock: &Rc<dyn Clock>,
    ) -> (Rc<dyn FleetControl>, Rc<dyn ServerFeed>) {
        let Some(fleet) = &self.fleet else {
            return (Rc::new(feeds.clone()), Rc::new(feeds.clone()));
        };
        let port = fleet.for_node(clock.clone());
        (port.clone(), port)
    }

    /// Sends a request to a node. Nobody looks at the answer.
    pub fn send(&self, number: u16, request: ForwardRequest) {
        let gateway = self.gateways[&number].clone();
        let spawner = self.plan.spawner(&name(number));
        spawner.spawn(Box::pin(async move {
            if let ForwardAnswer::Stream { mut body, .. } = gateway.forward(request).await {
                while let Ok(Some(_)) = body.next_events().await {}
            }
        }));
    }

    /// The time at a node.
    pub fn now(&self, number: u16) -> Instant {
        self.plan.clock(&name(number)).now()
    }

    pub fn run(&mut self, milliseconds: u64) {
        run_for(&self.clock, &mut self.pool, Duration::from_millis(milliseconds));
    }
}

pub fn name(number: u16) -> NodeId {
    NodeId::from(format!("node-{number}"))
}

/// Failure domains of the nodes.
const DOMAINS: u16 = 5;

/// Nodes with more processors than the others.
pub const LARGE_NODES: u16 = 15;

fn failure_domain(number: u16) -> FailureDomain {
    FailureDomain::from(format!("domain-{}", number % DOMAINS))
}

/// In thousandths of a core.
fn capacity(number: u16) -> u32 {
    if number <= LARGE_NODES { 500 } else { 120 }
}

/// The address at which a node receives datagrams.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}
