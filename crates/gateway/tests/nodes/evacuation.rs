//! Evacuation of a failure domain: nothing new reaches its servers.

use std::{cell::Cell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use comfreyturn_gateway::{ForwardAnswer, NotRunReason};
use comfreyturn_ports::{EvacuationReading, ServerChange, ServerReading};
use comfreyturn_types::{FailureDomain, NodeId, RequestKind, ServerLife, StoreVersion, VmId};

use crate::{
    plain_service::{listed, plain_config, plain_request},
    test_nodes::{TestNodes, address, name},
};

const SIZES: [u16; 2] = [7, 89];

/// Time after which the nodes of a first start know each other and the servers, in milliseconds.
const JOIN_MS: u64 = 6000;

/// Time from the store's answer until nothing new may be sent, in milliseconds. Less than the 5 s of
/// the deployments.
const LIMIT_MS: u64 = 2000;

/// Time for which an evacuation that a restored store lacks is kept, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// Events of a stream that takes longer than that.
const EVENTS: u32 = 100;

/// Time for which callers wait, longer than such a stream.
const REQUEST_TIME: Duration = Duration::from_secs(12);

/// Two servers in each of the domains `a` and `b`.
const SERVERS: [&str; 4] = ["a1", "a2", "b1", "b2"];

struct EvacuationSite {
    nodes: TestNodes,
    size: u16,

    /// The store's version of the last reading.
    version: StoreVersion,
}

impl EvacuationSite {
    fn started(size: u16, kind: RequestKind) -> Self {
        let nodes = TestNodes::first_start(size);
        let mut site = Self { nodes, size, version: StoreVersion::first_era(1) };
        (1..=size).for_each(|number| site.fill(number, kind));
        site.nodes.run(JOIN_MS);
        site
    }

    /// Makes the platform return the configuration and the servers to a node.
    fn fill(&self, number: u16, kind: RequestKind) {
        let server = |(index, vm): (usize, &&str)| {
            let ServerChange::Listed(mut server) = listed(vm) else { unreachable!("listed") };
            server.failure_domain = FailureDomain::from(&vm[..1]);
            server.address.set_port(1 + u16::try_from(index).unwrap());
            ServerChange::Listed(server)
        };
        let changes = SERVERS.iter().enumerate().map(server).collect();
        let version = StoreVersion::first_era(1);
        let feeds = &self.nodes.feeds[&number];
        let mut config = plain_config(kind);
        config.routes[0].timeout = REQUEST_TIME;
        feeds.put_config(config);
        feeds.add_reading(ServerReading { is_whole: true, version, changes });
        let domains = BTreeSet::new();
        feeds.put_evacuation(EvacuationReading { version: self.version, domains });
    }

    /// Makes the store hold rows of these domains, at the next version.
    fn evacuate(&mut self, domains: &[&str]) {
        self.version.number += 1;
        let domains = domains.iter().map(|name| FailureDomain::from(*name)).collect();
        let reading = EvacuationReading { version: self.version, domains };
        self.nodes.feeds.values().for_each(|feeds| feeds.put_evacuation(reading.clone()));
    }

    /// Makes the store hold rows of these domains at a version of the next era.
    fn restore(&mut self, number: u64, domains: &[&str]) {
        self.version = StoreVersion { era: self.version.era + 1, number };
        self.evacuate(domains);
    }

    /// Sends requests to all nodes; returns the nodes that sent one to a server of domain `a`.
    fn senders(&mut self) -> BTreeSet<NodeId> {
        let before = self.nodes.servers.arrivals().len();
        for number in 1..=self.size {
            for _ in 0..4 {
                self.nodes.send(number, plain_request(self.nodes.now(number)));
            }
        }
        self.nodes.run(500);
        self.arrivals_in_a(before)
    }

    /// Whether a node connects to each of the servers for another node.
    fn tunnels(&self, number: u16) -> [bool; 4] {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        [1, 2, 3, 4].map(|port| self.nodes.gateways[&number].admit_tunnel(address(port)).is_some())
    }

    fn arrivals_in_a(&self, before: usize) -> BTreeSet<NodeId> {
        let arrivals = self.nodes.servers.arrivals().into_iter().skip(before);
        let there = arrivals.filter(|arrival| arrival.life.vm.as_str().starts_with('a'));
        there.map(|arrival| arrival.seen).collect()
    }

    /// Sends a stream to a node; the result is set once its last event is there.
    fn stream(&self, number: u16) -> Rc<Cell<bool>> {
        let is_whole = Rc::new(Cell::new(false));
        let (whole, gateway) = (is_whole.clone(), self.nodes.gateways[&number].clone());
        let mut request = plain_request(self.nodes.now(number));
        request.deadline = Some(REQUEST_TIME);
        self.nodes.plan.spawner(&name(number)).spawn(Box::pin(async move {
            let ForwardAnswer::Stream { mut body, .. } = gateway.forward(request).await else {
                return;
            };
            while let Ok(events) = body.next_events().await {
                if events.is_none() {
                    return whole.set(true);
                }
            }
        }));
        is_whole
    }
}

/// Guards against a node that sends new requests to an evacuated domain, or goes on avoiding one
/// whose evacuation ended: nodes that poll the store, others, one that lost the store, and one that
/// reaches the servers only through other nodes. Nor may a node connect there for one that knows of
/// no evacuation.
#[test]
fn evacuation_holds_at_every_node_until_it_ends() {
    for size in SIZES {
        let mut site = EvacuationSite::started(size, RequestKind::Idempotent);
        assert!(!site.senders().is_empty(), "the domain is used before");
        site.nodes.feeds[&size].set_unreachable(true);
        site.nodes.servers.set_cut(&name(3), address(3), true);
        site.evacuate(&["a"]);
        site.nodes.run(LIMIT_MS);
        for _ in 0..5 {
            assert_eq!(site.senders(), BTreeSet::new(), "{size} nodes");
        }
        assert_eq!(site.tunnels(1), [false, false, true, true]);
        site.evacuate(&[]);
        site.nodes.run(LIMIT_MS);
        let senders: BTreeSet<_> = (0..5).flat_map(|_| site.senders()).collect();
        // All but the node that reaches the servers only through others.
        assert_eq!(senders.len(), usize::from(size) - 1);
    }
}

/// Guards against a node that starts during an evacuation and doesn't know of it, and against nodes
/// that were frozen while it began or ended and go on by what they knew.
#[test]
fn started_and_frozen_nodes_learn_of_an_evacuation_and_its_end() {
    let mut site = EvacuationSite::started(SIZES[0], RequestKind::Idempotent);
    site.nodes.plan.pause(&name(2), Duration::from_millis(3 * LIMIT_MS));
    site.evacuate(&["a"]);
    site.nodes.run(LIMIT_MS);
    site.nodes.plan.kill(&name(4));
    site.nodes.start(4);
    site.fill(4, RequestKind::Idempotent);
    site.nodes.run(3 * LIMIT_MS);
    assert_eq!(site.senders(), BTreeSet::new());
    site.nodes.plan.pause(&name(5), Duration::from_millis(2 * LIMIT_MS));
    site.nodes.feeds[&5].set_unreachable(true);
    site.evacuate(&[]);
    site.nodes.run(3 * LIMIT_MS);
    let senders: BTreeSet<_> = (0..5).flat_map(|_| site.senders()).collect();
    assert_eq!(senders.len(), usize::from(SIZES[0]), "all nodes use the domain again");
}

/// Guards against an evacuation that nobody reads because the nodes that poll the store lost it, while
/// others still reach it.
#[test]
fn nodes_that_reach_the_store_read_an_evacuation_if_those_that_poll_it_cannot() {
    let mut site = EvacuationSite::started(SIZES[0], RequestKind::Idempotent);
    (1..SIZES[0]).for_each(|number| site.nodes.feeds[&number].set_unreachable(true));
    site.nodes.run(LIMIT_MS);
    site.evacuate(&["a"]);
    site.nodes.run(LIMIT_MS);
    assert_eq!(site.senders(), BTreeSet::new());
}

/// Guards against requests to a domain whose evacuation the restored store lacks: at nodes that poll
/// the store, others, one that starts afterwards, and one that was frozen over the restore (EVAC).
#[test]
fn evacuation_that_a_restored_store_lacks_holds_until_it_is_taken_back() {
    for size in SIZES {
        let mut site = EvacuationSite::started(size, RequestKind::Idempotent);
        site.version.number = 50;
        site.evacuate(&["a"]);
        site.nodes.run(LIMIT_MS);
        site.nodes.plan.pause(&name(2), Duration::from_millis(1000));
        site.restore(10, &[]);
        for _ in 0..2 * LIMIT_MS / 500 {
            assert_eq!(site.senders(), BTreeSet::new(), "{size} nodes, after the restore");
        }
        site.nodes.plan.kill(&name(4));
        site.nodes.start(4);
        site.fill(4, RequestKind::Idempotent);
        for _ in 0..2 * LIMIT_MS / 500 {
            assert_eq!(site.senders(), BTreeSet::new(), "{size} nodes, one has started");
        }
        site.evacuate(&["a"]);
        site.nodes.run(KEPT_MS);
        assert_eq!(site.senders(), BTreeSet::new(), "{size} nodes, written again");
        site.evacuate(&[]);
        site.nodes.run(LIMIT_MS);
        let senders: BTreeSet<_> = (0..5).flat_map(|_| site.senders()).collect();
        assert_eq!(senders.len(), usize::from(size), "all nodes use the domain again");
    }
}

/// Guards against a domain that is never used again because the operators took the evacuation back,
/// or gave it up, while the restored store lacked it.
#[test]
fn evacuation_that_is_not_written_again_ends() {
    let mut site = EvacuationSite::started(SIZES[0], RequestKind::Idempotent);
    site.version.number = 50;
    site.evacuate(&["a"]);
    site.nodes.run(LIMIT_MS);
    site.restore(10, &[]);
    site.nodes.run(KEPT_MS + LIMIT_MS);
    let senders: BTreeSet<_> = (0..5).flat_map(|_| site.senders()).collect();
    assert_eq!(senders.len(), usize::from(SIZES[0]), "all nodes use the domain again");
}

/// Guards against an evacuation that ended before the store was restored, and that nodes keep
/// because one of them was frozen and missed the end.
#[test]
fn evacuation_that_ended_before_the_restore_does_not_come_back() {
    let mut site = EvacuationSite::started(SIZES[0], RequestKind::Idempotent);
    site.version.number = 50;
    site.evacuate(&["a"]);
    site.nodes.run(LIMIT_MS);
    site.nodes.plan.pause(&name(2), Duration::from_millis(2 * LIMIT_MS));
    site.evacuate(&[]);
    site.nodes.run(LIMIT_MS);
    site.restore(10, &[]);
    site.nodes.run(2 * LIMIT_MS);
    let senders: BTreeSet<_> = (0..5).flat_map(|_| site.senders()).collect();
    let others = (1..=SIZES[0]).filter(|number| *number != 2).map(name);
    assert!(others.into_iter().all(|node| senders.contains(&node)), "{senders:?}");
}

/// Guards against streams that an evacuation cuts off, and against streams of a crashed server that
/// are resumed in the evacuated domain.
#[test]
fn streams_end_where_they_run_and_are_resumed_elsewhere() {
    let mut site = EvacuationSite::started(SIZES[0], RequestKind::ResumableStream);
    site.nodes.servers.set_events(EVENTS);
    let streams: Vec<_> = (0..28).map(|index| site.stream(1 + index % SIZES[0])).collect();
    site.nodes.run(500);
    assert!(!site.arrivals_in_a(0).is_empty());
    site.evacuate(&["a"]);
    site.nodes.run(LIMIT_MS);
    let before = site.nodes.servers.arrivals().len();
    let crashed = ServerLife { vm: VmId::from("a1"), born: 1 };
    site.nodes.servers.crash(site.nodes.now(1), &crashed);
    site.nodes.run(8000);
    let resumed = site.nodes.servers.arrivals().len() - before;
    assert!(resumed > 0, "streams of the crashed server were resumed");
    assert_eq!(site.arrivals_in_a(before), BTreeSet::new());
    let whole = streams.iter().filter(|stream| stream.get()).count();
    assert_eq!(whole, streams.len());
}

/// Guards against a request that waits, or is refused for another reason, when all servers that
/// could take it are evacuated.
#[test]
fn request_is_refused_at_once_if_all_its_servers_are_evacuated() {
    let mut site = EvacuationSite::started(SIZES[0], RequestKind::Idempotent);
    site.evacuate(&["a", "b", "unknown"]);
    site.nodes.run(LIMIT_MS);
    let gateway = site.nodes.gateways[&1].clone();
    let request = plain_request(site.nodes.now(1));
    let refused = Rc::new(Cell::new(None));
    let result = refused.clone();
    site.nodes.plan.spawner(&name(1)).spawn(Box::pin(async move {
        if let ForwardAnswer::NotRun { reason, retry_after } = gateway.forward(request).await {
            result.set(Some((reason, retry_after)));
        }
    }));
    site.nodes.run(1);
    let (reason, retry_after) = refused.get().expect("refused at once");
    assert_eq!(reason, NotRunReason::Evacuated);
    assert!(!retry_after.is_zero());
}
