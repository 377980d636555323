//! Who forms groups while nodes die, come back and leave.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use comfreyturn_gateway::{Gateway, GatewayIdentity, GatewayPorts, GatewaySettings};
use comfreyturn_ports::{Clock, DatagramLink, NodeEntry, NodeRegistry, TableResult};
use comfreyturn_standin::fakes::{
    FaultPlan, FaultSettings, FixedFeeds, LocalPool, ManualClock, MemoryTable, ScriptedServers,
    run_for,
};
use comfreyturn_types::{CellName, Incarnation, NodeId};

/// Looks at the datagrams that wait.
const MAIL_PERIOD: Duration = Duration::from_millis(1);

/// Datagrams that wait at each address, and the nodes that were entered.
#[derive(Clone, Default)]
struct TestNet {
    mail: Rc<RefCell<HashMap<SocketAddr, VecDeque<Vec<u8>>>>>,
    entries: Rc<RefCell<Vec<NodeEntry>>>,
}

/// One node's end of the net.
struct NetEnd {
    net: TestNet,
    address: SocketAddr,
    clock: Rc<dyn Clock>,
}

#[async_trait(?Send)]
impl DatagramLink for NetEnd {
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        self.net.mail.borrow_mut().entry(to).or_default().push_back(bytes);
    }

    async fn receive(&self) -> std::io::Result<Vec<u8>> {
        loop {
            let next = self.net.mail.borrow_mut().entry(self.address).or_default().pop_front();
            match next {
                Some(bytes) => return Ok(bytes),
                None => self.clock.sleep(MAIL_PERIOD).await,
            }
        }
    }
}

#[async_trait(?Send)]
impl NodeRegistry for TestNet {
    async fn announce(&self, entry: &NodeEntry) -> TableResult<()> {
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

/// Three nodes of one deployment.
struct TestNodes {
    clock: ManualClock,
    pool: LocalPool,
    plan: FaultPlan,
    table: MemoryTable,
    net: TestNet,
    feeds: FixedFeeds,
    gateways: HashMap<u16, Rc<Gateway>>,
    runs: u64,
}

impl TestNodes {
    fn started() -> Self {
        let clock = ManualClock::new();
        let pool = LocalPool::new();
        let plan = FaultPlan::new(&clock, &pool, FaultSettings::default());
        let table = MemoryTable::new(&plan);
        let feeds = FixedFeeds::new(Rc::new(clock.clone()));
        let mut nodes = Self {
            clock,
            pool,
            plan,
            table,
            net: TestNet::default(),
            feeds,
            gateways: HashMap::new(),
            runs: 0,
        };
        for number in 1..=3 {
            nodes.start(number);
        }
        nodes.run(3000);
        nodes
    }

    fn start(&mut self, number: u16) {
        let node = name(number);
        self.plan.restart(&node);
        self.runs += 1;
        let peer_address = SocketAddr::from(([127, 0, 0, 1], number));
        self.net.mail.borrow_mut().remove(&peer_address);
        let clock = self.plan.clock(&node);
        let end = NetEnd { net: self.net.clone(), address: peer_address, clock: clock.clone() };
        let ports = GatewayPorts {
            spawner: self.plan.spawner(&node),
            table: self.table.for_node(&node),
            servers: Rc::new(ScriptedServers::new(clock.clone())),
            fleet: Rc::new(self.feeds.clone()),
            config_feed: Rc::new(self.feeds.clone()),
            server_feed: Rc::new(self.feeds.clone()),
            nodes: Rc::new(self.net.clone()),
            datagrams: Rc::new(end),
            clock,
        };
        let identity = GatewayIdentity {
            cell: CellName::from("cell"),
            node,
            incarnation: Incarnation(self.runs),
            peer_address,
            caller_address: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
        };
        let settings = GatewaySettings { fencing_checked: true, ..GatewaySettings::default() };
        let gateway = Gateway::new(identity, ports, settings);
        gateway.start();
        self.gateways.insert(number, gateway);
    }

    fn run(&mut self, milliseconds: u64) {
        run_for(&self.clock, &mut self.pool, Duration::from_millis(milliseconds));
    }

    /// The nodes that live and form groups.
    fn holders(&self) -> Vec<u16> {
        let mut holders: Vec<u16> = (1..=3)
            .filter(|number| self.plan.is_alive(&name(*number)))
            .filter(|number| self.gateways[number].forms_groups())
            .collect();
        holders.sort_unstable();
        holders
    }

    /// The only node that forms groups.
    fn holder(&self) -> u16 {
        let holders = self.holders();
        assert_eq!(holders.len(), 1, "one node forms groups: {holders:?}");
        holders[0]
    }
}

fn name(number: u16) -> NodeId {
    NodeId::from(format!("node-{number}"))
}

#[test]
fn one_node_forms_groups() {
    let mut nodes = TestNodes::started();
    let holder = nodes.holder();
    for _ in 0..50 {
        nodes.run(200);
        assert_eq!(nodes.holders(), [holder]);
    }
}

#[test]
fn dead_holder_is_replaced_within_two_seconds() {
    let mut nodes = TestNodes::started();
    let holder = nodes.holder();
    nodes.plan.kill(&name(holder));
    nodes.run(2000);
    assert_ne!(nodes.holder(), holder);
}

#[test]
fn dead_run_of_a_node_that_is_back_holds_nothing() {
    let mut nodes = TestNodes::started();
    let holder = nodes.holder();
    nodes.plan.kill(&name(holder));
    nodes.run(300);
    nodes.start(holder);
    nodes.run(2000);
    let next = nodes.holder();
    for _ in 0..20 {
        nodes.run(200);
        assert_eq!(nodes.holders(), [next], "the lease stays where it is");
    }
}

#[test]
fn leaving_holder_hands_the_lease_over_within_two_seconds() {
    let mut nodes = TestNodes::started();
    let holder = nodes.holder();
    nodes.gateways[&holder].announce_leaving();
    nodes.run(2000);
    assert_ne!(nodes.holder(), holder);
}
