//! Requests to scripted servers: the answers to callers and the calls to servers.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyturn_gateway::{
    DeniedReason, ForwardAnswer, ForwardRequest, Gateway, GatewayIdentity, GatewayPorts,
    GatewaySettings, NotRunReason, UnknownReason,
};
use comfreyturn_policy::ShutdownSettings;
use comfreyturn_ports::{Clock, LinkError, ServerChange, ServerReading, Spawner as _};
use comfreyturn_standin::fakes::{
    FaultPlan, FaultSettings, FixedFeeds, LocalPool, LocalSpawner, ManualClock, MemoryTable,
    ScriptEnd, ScriptedServers, ServerScript, run_for, run_until,
};
use comfreyturn_types::{
    CallerLimits, CellName, CustomerName, EngineSpec, EngineTimes, FabricDomain, FailureDomain,
    FleetServer, GatewayConfig, GroupId, GroupMembership, HostName, Incarnation, KeyedCustomer,
    MemberPhase, ModelName, NodeId, PooledModel, RequestId, RequestKind, RouteName, RouteSpec,
    RouteTarget, ServerLife, ServiceName, ServiceSpec, StoreVersion, UsualTokens, VmId,
};
use http::{HeaderMap, Method};

/// A gateway with scripted servers: three plain ones and two groups of one model server each.
struct TestSite {
    clock: ManualClock,
    pool: LocalPool,
    feeds: FixedFeeds,
    servers: ScriptedServers,
    gateway: Rc<Gateway>,
}

fn route(prefix: &str, kind: RequestKind, service: &str) -> RouteSpec {
    RouteSpec {
        name: RouteName::from(prefix),
        host: HostName::from("h"),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(300),
        longest_pause: Some(Duration::from_millis(200)),
        priority: Some(0),
        max_attempts: if kind == RequestKind::NonIdempotent { 1 } else { 2 },
        public: prefix == "/public/",
        targets: vec![RouteTarget { service: ServiceName::from(service), weight: 1 }],
    }
}

fn config(version: u64, keys: &[&str]) -> GatewayConfig {
    let engine = EngineSpec {
        slots: 2,
        models: vec![PooledModel {
            name: ModelName::from("m"),
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
    let service = |name: &str, engine| ServiceSpec {
        name: ServiceName::from(name),
        max_connections: 100,
        engine,
        cold: None,
    };
    let services = [service("plain", None), service("models", Some(engine))];
    GatewayConfig {
        version,
        routes: vec![
            route("/read/", RequestKind::Idempotent, "plain"),
            route("/write/", RequestKind::NonIdempotent, "plain"),
            route("/public/", RequestKind::Idempotent, "plain"),
            route("/stream/", RequestKind::ResumableStream, "models"),
            route("/once/", RequestKind::OneTimeStream, "models"),
        ],
        services: services.into_iter().map(|s| (s.name.clone(), s)).collect::<BTreeMap<_, _>>(),
        customers: Some(vec![KeyedCustomer {
            name: CustomerName::from("c"),
            keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            priority: None,
        }]),
        limits: CallerLimits::default(),
    }
}

fn listed(vm: &str, service: &str, leaving: bool) -> ServerChange {
    let is_model = service == "models";
    ServerChange::Listed(Box::new(FleetServer {
        life: ServerLife { vm: VmId::from(vm), born: 1 },
        service: ServiceName::from(service),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: FailureDomain::from("z"),
        slots: 6,
        leaving,
        fabric_domain: is_model.then(|| FabricDomain::from("d")),
        model: is_model.then(|| ModelName::from("m")),
        staged: Vec::new(),
        membership: is_model.then(|| GroupMembership {
            group: GroupId::from(format!("m.{}", &vm[1..])),
            epoch: vm[1..].parse().unwrap(),
            rank: 0,
            phase: MemberPhase::Open,
        }),
        cold_left: Duration::ZERO,
    }))
}

impl TestSite {
    fn new() -> Self {
        let clock = ManualClock::new();
        let pool = LocalPool::new();
        let shared: Rc<dyn Clock> = Rc::new(clock.clone());
        let plan = FaultPlan::new(&clock, &pool, FaultSettings::default());
        let feeds = FixedFeeds::new(shared.clone());
        let servers = ScriptedServers::new(shared.clone());
        let node = NodeId::from("n");
        let identity = GatewayIdentity {
            cell: CellName::from("cell"),
            node: node.clone(),
            incarnation: Incarnation(1),
            peer_address: "127.0.0.1:2".parse().unwrap(),
            caller_address: "127.0.0.1:3".parse().unwrap(),
            failure_domain: FailureDomain::from("z"),
            capacity: 1000,
            first_start: false,
        };
        let ports = GatewayPorts {
            clock: shared,
            spawner: Rc::new(LocalSpawner::new(&pool)),
            table: MemoryTable::new(&plan).for_node(&node),
            servers: Rc::new(servers.clone()),
            fleet: Rc::new(feeds.clone()),
            config_feed: Rc::new(feeds.clone()),
            server_feed: Rc::new(feeds.clone()),
            nodes: Rc::new(feeds.clone()),
            datagrams: Rc::new(feeds.clone()),
        };
        let gateway = Gateway::new(identity, ports, GatewaySettings::default());
        Self { clock, pool, feeds, servers, gateway }
    }

    /// A site whose gateway has its configuration and its list of servers.
    fn started() -> Self {
        let mut site = Self::new();
        site.feeds.put_config(config(1, &["k"]));
        let plain = ["p1", "p2", "p3"].map(|vm| listed(vm, "plain", false));
        let models = ["m1", "m2"].map(|vm| listed(vm, "models", false));
        let changes = plain.into_iter().chain(models).collect();
        site.feeds.add_reading(ServerReading {
            is_whole: true,
            version: StoreVersion::first_era(1),
            changes,
        });
        site.gateway.start();
        site.run(10);
        site
    }

    fn run(&mut self, milliseconds: u64) {
        run_for(&self.clock, &mut self.pool, Duration::from_millis(milliseconds));
    }

    /// Sets the same script for all servers whose name starts with `letter`.
    fn script_all(&self, letter: &str, script: &ServerScript) {
        for index in 1..=3 {
            self.servers.script(&format!("{letter}{index}"), script.clone());
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn request(&self, target: &str) -> ForwardRequest {
        ForwardRequest {
            id: RequestId::from("r"),
            host: "h".to_owned(),
            method: Method::POST,
            target: target.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"body"),
            key: Some("k".to_owned()),
            model: None,
            token_counts: None,
            shared_parts: Vec::new(),
            deadline: Some(Duration::from_secs(3)),
            resume_after: None,
            received_at: self.now(),
        }
    }

    fn send(&mut self, request: ForwardRequest) -> ForwardAnswer {
        let forward = self.gateway.forward(request);
        run_until(&self.clock, &mut self.pool, forward).unwrap()
    }

    fn send_to(&mut self, target: &str) -> ForwardAnswer {
        let request = self.request(target);
        self.send(request)
    }

    /// Reads a stream to its end, or until it breaks.
    fn read(&mut self, answer: ForwardAnswer) -> (String, bool) {
        let ForwardAnswer::Stream { mut body, .. } = answer else { panic!("no stream") };
        let reading = async {
            let mut text = String::new();
            loop {
                match body.next_events().await {
                    Ok(Some(events)) => text.push_str(std::str::from_utf8(&events).unwrap()),
                    Ok(None) => return (text, true),
                    Err(_) => return (text, false),
                }
            }
        };
        run_until(&self.clock, &mut self.pool, reading).unwrap()
    }
}

fn not_run(answer: &ForwardAnswer) -> Option<NotRunReason> {
    match answer {
        ForwardAnswer::NotRun { reason, .. } => Some(*reason),
        _ => None,
    }
}

fn whole(answer: ForwardAnswer) -> (u16, String) {
    let ForwardAnswer::Whole { status, body, .. } = answer else { panic!("no whole answer") };
    (status.as_u16(), String::from_utf8(body.to_vec()).unwrap())
}

fn events(pieces: &[&'static str], end: ScriptEnd) -> ServerScript {
    let pause = Duration::from_millis(50);
    let pieces = pieces.iter().map(|piece| (pause, *piece)).collect();
    ServerScript::Answer { status: 200, pieces, end }
}

// -------------------------------------------------------------------------------------------
// Routes and keys

#[test]
fn nothing_is_denied_before_a_configuration_is_known() {
    let mut site = TestSite::new();
    let answer = site.send_to("/read/x");
    assert_eq!(not_run(&answer), Some(NotRunReason::NoConfig));
}

#[test]
fn unknown_route_and_unknown_key_are_denied_and_reach_no_server() {
    let mut site = TestSite::started();
    let answer = site.send_to("/nowhere/x");
    assert!(matches!(answer, ForwardAnswer::Denied(DeniedReason::NoRoute)));
    let request = ForwardRequest { key: Some("other".to_owned()), ..site.request("/read/x") };
    let answer = site.send(request);
    assert!(matches!(answer, ForwardAnswer::Denied(DeniedReason::UnknownKey)));
    let request = ForwardRequest { key: None, ..site.request("/read/x") };
    let answer = site.send(request);
    assert!(matches!(answer, ForwardAnswer::Denied(DeniedReason::UnknownKey)));
    assert!(site.servers.calls().is_empty());
}

#[test]
fn public_route_needs_no_key_and_names_no_customer() {
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::whole(200, "ok"));
    let request = ForwardRequest { key: None, ..site.request("/public/x") };
    assert_eq!(whole(site.send(request)), (200, "ok".to_owned()));
    assert_eq!(site.servers.calls()[0].customer, None);
}

#[test]
fn revoked_key_is_denied_at_once() {
    let mut site = TestSite::started();
    site.feeds.put_config(config(2, &[]));
    site.run(600);
    let answer = site.send_to("/read/x");
    assert!(matches!(answer, ForwardAnswer::Denied(DeniedReason::UnknownKey)));
}

#[test]
fn keyed_requests_stop_while_the_configuration_cannot_be_confirmed() {
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::whole(200, "ok"));
    site.script_all("p", &ServerScript::whole(200, "ok"));
    site.feeds.set_unreachable(true);
    site.run(4000);
    assert_eq!(whole(site.send_to("/read/x")).0, 200);
    site.run(1000);
    assert_eq!(not_run(&site.send_to("/read/x")), Some(NotRunReason::StaleConfig));
    let request = ForwardRequest { key: None, ..site.request("/public/x") };
    assert_eq!(whole(site.send(request)).0, 200, "a public route is not affected");
    assert!(!site.gateway.is_ready());
    site.feeds.set_unreachable(false);
    site.run(800);
    assert_eq!(whole(site.send_to("/read/x")).0, 200);
}

// -------------------------------------------------------------------------------------------
// Priorities

/// The priority with which servers receive a request, where the routes of the plain service have
/// these priorities: one for reads, one for the others.
fn sent_priority(read: Option<u8>, other: Option<u8>, customer: Option<u8>) -> Option<u8> {
    let mut site = TestSite::started();
    let mut config = config(2, &["k"]);
    for route in &mut config.routes {
        route.priority = if route.prefix == "/read/" { read } else { other };
    }
    config.customers.as_mut().unwrap()[0].priority = customer;
    site.feeds.put_config(config);
    site.run(1000);
    site.script_all("p", &ServerScript::whole(200, "ok"));
    assert_eq!(whole(site.send_to("/read/x")).0, 200);
    site.servers.calls()[0].priority
}

/// Guards against urgent kinds of request that wait at servers behind others, because servers are
/// not told of the priority of their route.
#[test]
fn request_has_the_priority_of_its_customer_else_of_its_route() {
    assert_eq!(sent_priority(Some(0), Some(2), None), Some(0));
    assert_eq!(sent_priority(Some(3), Some(2), Some(1)), Some(1));
    assert_eq!(sent_priority(Some(200), Some(2), None), Some(9));
    assert_eq!(sent_priority(Some(3), Some(2), Some(77)), Some(9));
}

/// Guards against messages that change in deployments that declare no priorities, or only one.
#[test]
fn priority_is_not_sent_where_it_distinguishes_nothing() {
    assert_eq!(sent_priority(None, None, None), None);
    assert_eq!(sent_priority(None, Some(1), None), None);
    assert_eq!(sent_priority(Some(1), Some(1), None), None);
    assert_eq!(sent_priority(Some(1), Some(1), Some(4)), Some(4));
}

// -------------------------------------------------------------------------------------------
// Plain services

#[test]
fn request_reaches_a_server_as_it_was_sent() {
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::whole(201, "made"));
    assert_eq!(whole(site.send_to("/write/a?b=c")), (201, "made".to_owned()));
    let calls = site.servers.calls();
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].target, "/write/a?b=c");
    assert_eq!(calls[0].body.as_ref(), b"body");
    assert_eq!(calls[0].customer.as_ref().unwrap().as_str(), "c");
    assert!(calls[0].time_left <= Duration::from_secs(3));
}

#[test]
fn idempotent_request_is_retried_at_another_server_after_each_failure() {
    let failures = [
        ServerScript::Fail(LinkError::Broken),
        ServerScript::Fail(LinkError::Foreign),
        ServerScript::Fail(LinkError::NotRun),
        ServerScript::Hang,
        ServerScript::whole(500, "sorry"),
        ServerScript::Answer { status: 200, pieces: Vec::new(), end: ScriptEnd::Broken },
    ];
    for failure in failures {
        let mut site = TestSite::started();
        site.servers.script_next(failure.clone());
        site.servers.script_next(ServerScript::whole(200, "ok"));
        assert_eq!(whole(site.send_to("/read/x")), (200, "ok".to_owned()), "{failure:?}");
        let calls = site.servers.calls();
        assert_eq!(calls.len(), 2, "{failure:?}");
        assert_ne!(calls[0].life, calls[1].life, "{failure:?}");
    }
}

#[test]
fn non_idempotent_request_is_never_sent_twice() {
    for failure in [LinkError::Broken, LinkError::Foreign] {
        let mut site = TestSite::started();
        site.script_all("p", &ServerScript::Fail(failure));
        let answer = site.send_to("/write/x");
        assert!(matches!(answer, ForwardAnswer::Unknown(UnknownReason::AnswerLost)), "{failure:?}");
        assert_eq!(site.servers.calls().len(), 1);
    }
    let mut site = TestSite::started();
    let answer = site.send_to("/write/x");
    assert!(
        matches!(answer, ForwardAnswer::Unknown(UnknownReason::Timeout)),
        "a server that hangs"
    );
    assert_eq!(site.servers.calls().len(), 1);
}

#[test]
fn not_run_is_answered_only_if_no_server_can_have_run_it() {
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::Fail(LinkError::NotRun));
    assert_eq!(not_run(&site.send_to("/write/x")), Some(NotRunReason::Declined));
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::Fail(LinkError::NotRun));
    assert_eq!(not_run(&site.send_to("/read/x")), Some(NotRunReason::Declined), "twice declined");
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::Fail(LinkError::NotSent));
    assert_eq!(not_run(&site.send_to("/write/x")), Some(NotRunReason::NoServer));
}

#[test]
fn request_that_may_have_run_is_not_answered_as_not_run() {
    let mut site = TestSite::started();
    site.servers.script_next(ServerScript::Fail(LinkError::Broken));
    site.servers.script_next(ServerScript::Fail(LinkError::NotRun));
    let answer = site.send_to("/read/x");
    assert!(matches!(answer, ForwardAnswer::Unknown(_)));
}

#[test]
fn connection_closed_at_the_deadline_is_not_counted_as_a_crash() {
    let mut site = TestSite::started();
    let late = ServerScript::Answer {
        status: 200,
        pieces: vec![(Duration::from_millis(391), "half")],
        end: ScriptEnd::Broken,
    };
    for _ in 0..3 {
        site.servers.script_next(late.clone());
        let deadline = Some(Duration::from_millis(400));
        let request = ForwardRequest { deadline, ..site.request("/write/x") };
        let answer = site.send(request);
        assert!(matches!(answer, ForwardAnswer::Unknown(UnknownReason::Timeout)));
    }
    site.servers.script_next(ServerScript::whole(200, "ok"));
    assert_eq!(whole(site.send_to("/write/x")).0, 200, "the request is no suspect");
}

#[test]
fn server_error_is_forwarded_unchanged() {
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::whole(500, "sorry"));
    assert_eq!(whole(site.send_to("/write/x")), (500, "sorry".to_owned()));
}

#[test]
fn leaving_server_gets_no_new_request() {
    let mut site = TestSite::started();
    let changes = ["p1", "p2"].map(|vm| listed(vm, "plain", true)).to_vec();
    site.feeds.add_reading(ServerReading {
        is_whole: false,
        version: StoreVersion::first_era(2),
        changes,
    });
    site.run(1100);
    for _ in 0..4 {
        site.servers.script("p3", ServerScript::whole(200, "ok"));
        assert_eq!(whole(site.send_to("/write/x")).0, 200);
    }
    assert!(site.servers.calls().iter().all(|call| call.life.vm.as_str() == "p3"));
}

// -------------------------------------------------------------------------------------------
// Streams

#[test]
fn stream_passes_unchanged() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\nda", "ta: a\n\n", "id: 2\n\n"], ScriptEnd::Whole));
    let answer = site.send_to("/stream/x");
    assert_eq!(site.read(answer), ("id: 1\ndata: a\n\nid: 2\n\n".to_owned(), true));
}

#[test]
fn broken_stream_resumes_after_its_last_complete_event() {
    let mut site = TestSite::started();
    site.servers.script_next(events(&["id: 1\n\n", "id: 2\n\n", "id: 3\nda"], ScriptEnd::Broken));
    site.servers.script_next(events(&["id: 3\n\n", "id: 4\n\n"], ScriptEnd::Whole));
    let answer = site.send_to("/stream/x");
    let whole = "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n";
    assert_eq!(site.read(answer), (whole.to_owned(), true));
    let calls = site.servers.calls();
    assert_eq!(calls.len(), 2);
    assert_ne!(calls[0].life, calls[1].life);
    assert_eq!(calls[1].resume_after.as_deref(), Some("2"));
}

/// Two servers look alike by count; the one whose events come later than stated is avoided, until its
/// measurement is too old.
#[test]
fn server_that_is_slower_than_stated_is_avoided_for_some_seconds() {
    let mut site = TestSite::started();
    let mut config = config(2, &["k"]);
    let services = config.services.values_mut();
    for engine in services.filter_map(|service| service.engine.as_mut()) {
        engine.times = Some(EngineTimes {
            step: Duration::from_millis(10),
            step_per_request: Duration::ZERO,
            step_per_kilotoken: Duration::ZERO,
            read_rate: 10_000.0,
            read_per_megapair: Duration::ZERO,
            chunk: 512,
            stride: 1,
            usual: UsualTokens { prompt: 100.0, answer: 20.0 },
            delays: Vec::new(),
        });
    }
    site.feeds.put_config(config);
    site.run(1000);
    for (vm, pause) in [("m1", 50), ("m2", 10)] {
        for _ in 0..150 {
            let pieces = vec![(Duration::from_millis(pause), "id: 1\n\n"); 20];
            let end = ScriptEnd::Whole;
            site.servers.script(vm, ServerScript::Answer { status: 200, pieces, end });
        }
    }
    let serve = |site: &mut TestSite| {
        let answer = site.send_to("/stream/x");
        assert!(site.read(answer).1);
        site.servers.calls().last().unwrap().life.vm.to_string()
    };
    assert!((0..60).any(|_| serve(&mut site) == "m1"), "both are tried");
    for _ in 0..5 {
        assert_eq!(serve(&mut site), "m2");
    }
    site.run(20_000);
    assert!((0..60).any(|_| serve(&mut site) == "m1"), "it is tried again");
}

/// Guards against a crash before the first event that is taken for an empty answer, since the answer
/// has no marked end.
#[test]
fn stream_without_events_and_without_a_marked_end_is_sent_to_another_server() {
    let mut site = TestSite::started();
    site.servers.script_next(events(&[], ScriptEnd::Unmarked));
    site.servers.script_next(events(&["id: 1\n\n", "id: 2\n\n"], ScriptEnd::Unmarked));
    let answer = site.send_to("/stream/x");
    let whole = "id: 1\n\nid: 2\n\n";
    assert_eq!(site.read(answer), (whole.to_owned(), true), "after events, the end is the end");
    assert_eq!(site.servers.calls().len(), 2);
}

/// Guards against a node that gathers bytes without end, which are no answer, until its memory is
/// used up.
#[test]
fn bytes_without_end_within_a_stream_are_given_up_for_another_server() {
    const JUNK: &str = match std::str::from_utf8(&[b'x'; 64 * 1024]) {
        Ok(junk) => junk,
        Err(_) => "",
    };
    let mut site = TestSite::started();
    let junk = vec![(Duration::from_millis(1), JUNK); 1000];
    let endless = ServerScript::Answer { status: 200, pieces: junk, end: ScriptEnd::Hang };
    site.servers.script_next(endless);
    site.servers.script_next(events(&["id: 1\ndata: a\n\n"], ScriptEnd::Whole));
    let started_at = site.now();
    let answer = site.send_to("/stream/x");
    let waited = site.now().saturating_duration_since(started_at);
    assert!(waited < Duration::from_millis(200), "another server is tried after {waited:?}");
    assert_eq!(site.read(answer), ("id: 1\ndata: a\n\n".to_owned(), true));
    assert_eq!(site.servers.calls().len(), 2);
}

#[test]
fn stalled_stream_resumes_at_another_server_within_half_a_second() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\n\n"], ScriptEnd::Hang));
    let answer = site.send_to("/stream/x");
    let started_at = site.now();
    let first = site.servers.calls()[0].life.vm.to_string();
    let ForwardAnswer::Stream { mut body, .. } = answer else { panic!("no stream") };
    let reading = async { while body.next_events().await.is_ok_and(|events| events.is_some()) {} };
    let servers = site.servers.clone();
    let clock = site.clock.clone();
    let second_call = async {
        while servers.calls().len() < 2 {
            clock.sleep(Duration::from_millis(5)).await;
        }
        clock.now()
    };
    let either = futures_util::future::select(Box::pin(reading), Box::pin(second_call));
    let ended = run_until(&site.clock, &mut site.pool, either).unwrap();
    let futures_util::future::Either::Right((called_at, _)) = ended else { panic!("no resume") };
    assert!(called_at.duration_since(started_at) < Duration::from_millis(500));
    let calls = site.servers.calls();
    assert_ne!(calls[1].life.vm.as_str(), first);
    assert_eq!(calls[1].resume_after.as_deref(), Some("1"));
}

#[test]
fn one_time_stream_is_never_sent_twice() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\n\n"], ScriptEnd::Broken));
    let answer = site.send_to("/once/x");
    let (text, is_whole) = site.read(answer);
    assert_eq!((text.as_str(), is_whole), ("id: 1\n\n", false));
    assert_eq!(site.servers.calls().len(), 1);
}

#[test]
fn stream_that_ends_within_an_event_is_not_whole() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\n\n", "id: 2\nda"], ScriptEnd::Whole));
    let answer = site.send_to("/once/x");
    assert_eq!(site.read(answer), ("id: 1\n\n".to_owned(), false));
}

#[test]
fn full_groups_refuse_at_once() {
    let mut site = TestSite::started();
    let mut waiting = Vec::new();
    for _ in 0..6 {
        waiting.push(Box::pin(site.gateway.forward(site.request("/stream/x"))));
    }
    let all = futures_util::future::join_all(waiting);
    let started_at = site.now();
    let refused = site.gateway.clone();
    let request = site.request("/stream/x");
    let last = async move { (refused.forward(request).await, ()) };
    let ended = futures_util::future::select(Box::pin(all), Box::pin(last));
    let ended = run_until(&site.clock, &mut site.pool, ended).unwrap();
    let futures_util::future::Either::Right(((answer, ()), _)) = ended else { panic!("waited") };
    assert_eq!(not_run(&answer), Some(NotRunReason::NoRoom));
    assert_eq!(site.now(), started_at);
}

#[test]
fn dropping_the_answer_ends_the_request_in_flight() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\n\n"], ScriptEnd::Hang));
    let answer = site.send_to("/once/x");
    assert_eq!(site.gateway.in_flight(), 1);
    drop(answer);
    assert_eq!(site.gateway.in_flight(), 0);
}

/// Guards against a node that started a moment ago, invites callers, and refuses them because it knows
/// no servers yet.
#[test]
fn node_without_a_list_of_servers_invites_no_callers() {
    let mut site = TestSite::new();
    site.feeds.put_config(config(1, &["k"]));
    site.feeds.set_list_unreachable(true);
    site.gateway.start();
    site.run(500);
    assert!(!site.gateway.is_ready());
    assert!(site.gateway.caller_addresses(None, 64).is_empty());
    site.feeds.set_list_unreachable(false);
    site.feeds.add_reading(ServerReading {
        is_whole: true,
        version: StoreVersion::first_era(1),
        changes: vec![listed("p1", "plain", false)],
    });
    site.run(2000);
    assert!(site.gateway.is_ready());
    assert_eq!(site.gateway.caller_addresses(None, 64).len(), 1);
}

#[test]
fn leaving_node_answers_until_it_refuses() {
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::whole(200, "ok"));
    assert!(site.gateway.is_ready());
    assert_eq!(site.gateway.caller_addresses(None, 64).len(), 1);
    site.gateway.announce_leaving();
    assert!(!site.gateway.is_ready());
    assert!(site.gateway.caller_addresses(None, 64).is_empty());
    assert_eq!(whole(site.send_to("/read/x")).0, 200);
    site.gateway.refuse_new();
    assert_eq!(not_run(&site.send_to("/read/x")), Some(NotRunReason::Leaving));
}

// -------------------------------------------------------------------------------------------
// Requests to a node that stops

/// Time until a node that stops is killed.
const GRACE: Duration = Duration::from_secs(4);

/// When a request comes after the stop signal, in milliseconds. The node has less time left than its
/// caller.
const SINCE_STOP_MS: u64 = 1400;

/// Requests by which a node knows how long others of their route take.
const KNOWN_REQUESTS: u32 = 20;

/// A request that no server answers unless a script says so.
const WRITE: &str = "/write/x";

impl TestSite {
    /// A site whose node saw many requests, each of which got this answer.
    fn with_answers(status: u16) -> Self {
        let mut site = Self::started();
        for _ in 0..KNOWN_REQUESTS {
            site.servers.script_next(ServerScript::whole(status, "x"));
            assert_eq!(whole(site.send_to(WRITE)).0, status);
        }
        site
    }

    /// Sends the node the stop signal and, after a while, a request.
    fn stop_and_send(&mut self, received_before: Duration) -> ForwardAnswer {
        let (gateway, stopped_at) = (self.gateway.clone(), self.now());
        let settings = ShutdownSettings { grace: GRACE, ..ShutdownSettings::default() };
        LocalSpawner::new(&self.pool).spawn(Box::pin(async move {
            gateway.shut_down(stopped_at, &settings, || {}).await;
        }));
        self.run(SINCE_STOP_MS);
        let received_at = self.now() - received_before;
        let request = ForwardRequest { received_at, ..self.request(WRITE) };
        self.send(request)
    }
}

#[test]
fn stopping_node_takes_what_it_knows_to_be_quick() {
    let mut site = TestSite::with_answers(200);
    site.servers.script_next(ServerScript::whole(200, "x"));
    assert_eq!(whole(site.stop_and_send(Duration::ZERO)).0, 200);
}

/// Guards against failures of servers, which are quick, that make a stopping node take a request
/// that it cannot finish (LOST).
#[test]
fn quick_failures_do_not_tell_how_long_requests_run() {
    let mut site = TestSite::with_answers(500);
    let answer = site.stop_and_send(Duration::ZERO);
    assert_eq!(not_run(&answer), Some(NotRunReason::EndsTooSoon));
}

/// Guards against requests that were too slow to be answered, and are the only slow ones: a stopping
/// node that forgets them takes another one and cannot finish it (LOST).
#[test]
fn request_that_ran_out_of_time_tells_how_long_others_may_run() {
    let mut site = TestSite::with_answers(200);
    let answer = site.send_to(WRITE);
    assert!(matches!(answer, ForwardAnswer::Unknown(UnknownReason::Timeout)));
    let answer = site.stop_and_send(Duration::ZERO);
    assert_eq!(not_run(&answer), Some(NotRunReason::EndsTooSoon));
}

/// Guards against slow requests whose callers gave up: a stopping node that forgets them takes
/// another one and cannot finish it (LOST).
#[test]
fn request_whose_caller_left_tells_how_long_others_may_run() {
    let mut site = TestSite::with_answers(200);
    let request = site.request(WRITE);
    let gateway = site.gateway.clone();
    let left = Rc::new(std::cell::Cell::new(false));
    let (clock, has_left) = (site.clock.clone(), left.clone());
    LocalSpawner::new(&site.pool).spawn(Box::pin(async move {
        let leaves = clock.sleep(Duration::from_millis(2500));
        futures_util::future::select(Box::pin(gateway.forward(request)), leaves).await;
        has_left.set(true);
    }));
    site.run(2600);
    assert!(left.get());
    let answer = site.stop_and_send(Duration::ZERO);
    assert_eq!(not_run(&answer), Some(NotRunReason::EndsTooSoon));
}

/// Guards against a stopping node that goes by requests of long ago (LOST).
#[test]
fn requests_of_long_ago_do_not_tell_how_long_others_run() {
    let mut site = TestSite::with_answers(200);
    site.run(120_000);
    let answer = site.stop_and_send(Duration::ZERO);
    assert_eq!(not_run(&answer), Some(NotRunReason::EndsTooSoon));
}

/// Guards against a stopping node that refuses a request for time that has passed already, while its
/// body came.
#[test]
fn request_whose_body_came_slowly_needs_no_more_than_the_rest_of_its_time() {
    let mut site = TestSite::started();
    site.servers.script_next(ServerScript::whole(200, "x"));
    assert_eq!(whole(site.stop_and_send(Duration::from_secs(2))).0, 200);
}

/// Guards against a node that was frozen, learns late of a stop signal, and ends before it answers
/// the requests that ran meanwhile (LOST).
#[test]
fn node_that_learns_late_of_its_stop_answers_before_it_ends() {
    let mut site = TestSite::started();
    let answered = Rc::new(std::cell::Cell::new(false));
    let (gateway, request, has_answer) =
        (site.gateway.clone(), site.request(WRITE), answered.clone());
    LocalSpawner::new(&site.pool).spawn(Box::pin(async move {
        gateway.forward(request).await;
        has_answer.set(true);
    }));
    site.run(10);
    let gateway = site.gateway.clone();
    let settings = ShutdownSettings { grace: GRACE, ..ShutdownSettings::default() };
    let shutdown = gateway.shut_down(site.now() - GRACE * 2, &settings, || {});
    run_until(&site.clock, &mut site.pool, shutdown).unwrap();
    assert!(answered.get());
}
