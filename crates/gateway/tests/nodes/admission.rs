//! Requests that wait at several nodes for places at the same servers.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyturn_gateway::{ForwardAnswer, GatewaySettings, NotRunReason};
use comfreyturn_policy::{ShutdownSettings, WaitingRoomSettings};
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{
    EngineSpec, FabricDomain, GatewayConfig, GroupId, GroupMembership, MemberPhase, ModelName,
    PooledModel, RequestKind, StoreVersion,
};

use crate::{
    plain_service::{listed, plain_config, plain_request},
    test_nodes::{TestNodes, name},
};

const SERVERS: u16 = 4;
const SLOTS: u32 = 8;

/// Requests that a server may have.
const PLACES: usize = 10;

/// Events of an answer, and how long one occupies a place.
const EVENTS: u32 = 20;
const RUN_TIME: Duration = Duration::from_millis(850);

const NODES: u16 = 3;

/// Objective of the requests, and one that leaves time for some heartbeats.
const OBJECTIVE: Duration = Duration::from_millis(300);
const LONG_OBJECTIVE: Duration = Duration::from_millis(1000);
const MODEL: &str = "m";

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    NotRun(NotRunReason),
    Other,
}

/// A request that ended.
#[derive(Clone, Copy, Debug)]
struct EndedRequest {
    node: u16,
    sent_at: Instant,
    ended_at: Instant,
    end: End,
}

type Ends = Rc<RefCell<Vec<EndedRequest>>>;

/// Nodes before servers with few slots, which serve a model or a plain service.
struct AdmissionSite {
    nodes: TestNodes,
    has_model: bool,
    sent: usize,
    ends: Ends,
}

fn model_config() -> GatewayConfig {
    let mut config = plain_config(RequestKind::ResumableStream);
    let engine = EngineSpec {
        slots: SLOTS,
        models: vec![PooledModel {
            name: ModelName::from(MODEL),
            group_size: 1,
            share: 1.0,
            pace: 1.0,
            load_time: Duration::from_secs(1),
            warm_time: Duration::from_secs(1),
        }],
        loads_per_second: 5.0,
        loads_at_once: 7,
        kept_models: 1,
        open_time: Duration::ZERO,
        times: None,
    };
    config.services.values_mut().for_each(|service| service.engine = Some(engine.clone()));
    config
}

fn server(index: u16, has_model: bool) -> ServerChange {
    let ServerChange::Listed(mut server) = listed(&format!("s{index}")) else {
        unreachable!("a listed server");
    };
    server.slots = SLOTS;
    server.address.set_port(index);
    if has_model {
        server.fabric_domain = Some(FabricDomain::from("d"));
        server.model = Some(ModelName::from(MODEL));
        server.membership = Some(GroupMembership {
            group: GroupId::from(format!("m.{index}")),
            epoch: u64::from(index),
            rank: 0,
            phase: MemberPhase::Open,
        });
    }
    ServerChange::Listed(server)
}

impl AdmissionSite {
    fn started(has_model: bool, waiting: WaitingRoomSettings) -> Self {
        Self::started_with(has_model, waiting, OBJECTIVE)
    }

    fn started_with(has_model: bool, waiting: WaitingRoomSettings, objective: Duration) -> Self {
        let settings =
            GatewaySettings { fencing_checked: true, waiting, ..GatewaySettings::default() };
        let mut nodes = TestNodes::started_with(settings);
        nodes.servers.set_events(EVENTS);
        for feeds in nodes.feeds.values() {
            let plain = || plain_config(RequestKind::ResumableStream);
            let mut config = if has_model { model_config() } else { plain() };
            config.routes.iter_mut().for_each(|route| route.objective = objective);
            feeds.put_config(config);
            let changes = (1..=SERVERS).map(|index| server(index, has_model)).collect();
            let version = StoreVersion::first_era(1);
            feeds.add_reading(ServerReading { is_whole: true, version, changes });
        }
        nodes.run(1500);
        Self { nodes, has_model, sent: 0, ends: Ends::default() }
    }

    fn now(&self) -> Instant {
        self.nodes.now(1)
    }

    /// Sends a request to a node, which its caller abandons after `patience`.
    fn send(&mut self, number: u16, patience: Duration) {
        let now = self.nodes.now(number);
        let mut request = plain_request(now);
        request.model = self.has_model.then(|| ModelName::from(MODEL));
        request.body = Bytes::from(self.sent.to_string());
        self.sent += 1;
        let clock = self.nodes.plan.clock(&name(number));
        let (gateway, ends) = (self.nodes.gateways[&number].clone(), self.ends.clone());
        let forward = async move {
            let end = match gateway.forward(request).await {
                ForwardAnswer::Stream { mut body, .. } => loop {
                    match body.next_events().await {
                        Ok(Some(_)) => {}
                        Ok(None) => break End::Served,
                        Err(_) => break End::Other,
                    }
                },
                ForwardAnswer::NotRun { reason, .. } => End::NotRun(reason),
                _ => End::Other,
            };
            let ended_at = clock.now();
            ends.borrow_mut().push(EndedRequest { node: number, sent_at: now, ended_at, end });
        };
        let pause = self.nodes.plan.clock(&name(number));
        self.nodes.plan.spawner(&name(number)).spawn(Box::pin(async move {
            let leaving = pause.sleep(patience);
            futures_util::future::select(Box::pin(forward), leaving).await;
        }));
    }

    /// Sends requests evenly to some nodes.
    fn send_for(&mut self, time: Duration, rate: f64, receivers: &[u16]) {
        let step = Duration::from_millis(10);
        let mut due = 0.0;
        for _ in 0..time.as_millis() / step.as_millis() {
            due += rate * step.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let receiver = receivers[self.sent % receivers.len()];
                self.send(receiver, Duration::from_secs(60));
            }
            self.nodes.run(10);
        }
    }

    /// Ends of the requests sent within a span of time.
    fn ends(&self, from: Instant, to: Instant) -> Vec<End> {
        let ends = self.ends.borrow();
        let within = ends.iter().filter(|ended| ended.sent_at >= from && ended.sent_at < to);
        within.map(|ended| ended.end).collect()
    }

    /// The most requests that one server had at a time.
    fn most_at_a_server(&self) -> usize {
        let mut times: HashMap<_, Vec<Instant>> = HashMap::new();
        for arrival in self.nodes.servers.arrivals() {
            times.entry(arrival.life).or_default().push(arrival.at);
        }
        let overlap = |times: &[Instant], at: Instant| {
            times.iter().filter(|time| **time <= at && at < **time + RUN_TIME).count()
        };
        let most = times.values().flat_map(|own| own.iter().map(|at| overlap(own, *at)));
        most.max().unwrap_or_default()
    }
}

/// Requests that all servers complete per second if they have as many as they may.
fn capacity() -> f64 {
    f64::from(SERVERS) * PLACES as f64 / RUN_TIME.as_secs_f64()
}

fn served(ends: &[End]) -> f64 {
    let served = ends.iter().filter(|end| **end == End::Served).count();
    served as f64 / ends.len() as f64
}

/// Plays a burst at three nodes; returns the shares served during it and from 2 s after it.
fn play_burst(has_model: bool, waiting: WaitingRoomSettings) -> (f64, f64, usize) {
    let mut site = AdmissionSite::started(has_model, waiting);
    let nodes: Vec<u16> = (1..=NODES).collect();
    site.send_for(Duration::from_secs(2), 0.6 * capacity(), &nodes);
    let from = site.now();
    site.send_for(Duration::from_secs(4), 1.6 * capacity(), &nodes);
    let to = site.now();
    site.send_for(Duration::from_secs(5), 0.6 * capacity(), &nodes);
    let end = site.now();
    site.nodes.run(6000);
    let (burst, after) = (site.ends(from, to), site.ends(to + Duration::from_secs(2), end));
    assert_eq!(site.ends.borrow().len(), site.sent, "each request has an end");
    (served(&burst), served(&after), site.most_at_a_server())
}

fn assert_burst(has_model: bool) {
    let (burst, after, most) = play_burst(has_model, WaitingRoomSettings::default());
    let off = WaitingRoomSettings { max_requests: 0, ..WaitingRoomSettings::default() };
    let (refused_burst, refused_after, refused_most) = play_burst(has_model, off);
    println!("model {has_model}: waiting: served {burst:.3}, after {after:.3}, most {most}");
    println!("refusing: served {refused_burst:.3}, after {refused_after:.3}, most {refused_most}");
    assert!(burst >= refused_burst - 0.05, "{burst:.3} and {refused_burst:.3} in the burst");
    assert!(after >= 0.99, "{after:.3} from 2 s after the burst");
    assert!(most <= refused_most.max(PLACES) + 3, "{most} at a server");
}

/// Guards against waiting requests of several nodes that are all sent into the same free places,
/// and against queues that outlast a burst.
#[test]
fn nodes_share_the_places_of_a_model_in_a_burst() {
    assert_burst(true);
}

/// The same without counts of waiting requests in heartbeats.
#[test]
fn nodes_share_the_places_of_a_plain_service_in_a_burst() {
    assert_burst(false);
}

/// Guards against a node with few requests of a model that takes itself to have no prospects, because
/// none of its own finished lately.
#[test]
fn node_with_few_requests_gets_places_that_others_free() {
    let mut site =
        AdmissionSite::started_with(true, WaitingRoomSettings::default(), LONG_OBJECTIVE);
    site.send_for(Duration::from_secs(3), 1.3 * capacity(), &[1]);
    for _ in 0..20 {
        site.send(2, Duration::from_secs(60));
        site.send_for(Duration::from_millis(50), 1.3 * capacity(), &[1]);
    }
    site.nodes.run(6000);
    let ends = site.ends.borrow();
    let own = ends.iter().filter(|ended| ended.node == 2);
    let waited = own.clone().filter(|ended| {
        let time = ended.ended_at.duration_since(ended.sent_at);
        ended.end == End::Served && time > RUN_TIME + Duration::from_millis(20)
    });
    let (waited, count) = (waited.count(), own.clone().count());
    let served = own.clone().filter(|ended| ended.end == End::Served).count();
    println!("{waited} of {count} waited and were served, {served} were served");
    assert!(waited >= count / 4, "{waited} of {count} waited and were served");
}

/// Guards against requests that are sent to a server after their caller left.
#[test]
fn request_whose_caller_leaves_while_it_waits_is_not_sent() {
    let mut site = AdmissionSite::started(true, WaitingRoomSettings::default());
    site.send_for(Duration::from_secs(3), 1.1 * capacity(), &[1]);
    let before = site.nodes.servers.arrivals().len();
    // All places are taken, and none becomes free within the patience of these callers.
    for _ in 0..10 {
        site.send(1, Duration::from_millis(1));
    }
    site.nodes.run(2);
    let running = site.nodes.servers.arrivals().len();
    site.nodes.run(5000);
    let sent = site.nodes.servers.arrivals().len();
    println!("{before} before, {running} at the departure, {sent} in the end, of {}", site.sent);
    let ends = site.ends.borrow();
    let served = ends.iter().filter(|ended| ended.end == End::Served).count();
    let at_once = running - before;
    assert!(sent <= served + at_once, "{sent} were sent, {served} served, {at_once} at once");
    assert!(ends.len() < site.sent, "some callers left");
}

/// Guards against a node that stops and leaves waiting requests without an answer.
#[test]
fn stopping_node_refuses_its_waiting_requests() {
    let mut site = AdmissionSite::started(true, WaitingRoomSettings::default());
    site.send_for(Duration::from_secs(3), 1.5 * capacity(), &[1]);
    let gateway = site.nodes.gateways[&1].clone();
    let stopped_at = site.now();
    site.nodes.plan.spawner(&name(1)).spawn(Box::pin(async move {
        gateway.refuse_new();
    }));
    site.nodes.run(50);
    let settings = ShutdownSettings::default();
    let ends = site.ends.borrow();
    let is_refused = |ended: &&EndedRequest| ended.end == End::NotRun(NotRunReason::Leaving);
    let refused = ends.iter().filter(is_refused);
    let (count, last) = (refused.clone().count(), refused.map(|ended| ended.ended_at).max());
    println!("{count} refused");
    assert!(count > 0, "requests were waiting");
    assert!(last.unwrap() < stopped_at + settings.grace);
}
