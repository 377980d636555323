//! Nodes that are stopped while callers still use their addresses.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_gateway::{ForwardAnswer, ForwardRequest};
use comfreyturn_policy::ShutdownSettings;
use comfreyturn_ports::ServerReading;
use comfreyturn_standin::fakes::{EVENT_PAUSE, EVENTS_HEADER, FixedFeeds};
use comfreyturn_types::{GatewayConfig, RequestKind, RouteName, StoreVersion};
use http::HeaderValue;
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus, seq::IndexedRandom as _};

use crate::{
    plain_service::{listed, plain_config, plain_request},
    test_nodes::{TestNodes, name},
};

/// Servers, whose slots take all requests at once.
const SERVERS: usize = 60;

/// Callers, each with an answer to the question for addresses.
const CALLERS: usize = 40;

/// How long callers keep such an answer. One in so many keeps it longer.
const HOLD: Duration = Duration::from_secs(2);
const LONG_HOLD: Duration = Duration::from_secs(6);
const LONG_HOLD_DIVISOR: usize = 5;

/// Requests per second: from all callers, and at least for each node.
const CALLER_RATE: u64 = 100;
const NODE_RATE: u64 = 4;

/// One of so many requests is slow.
const SLOW_DIVISOR: u32 = 10;

/// Time that requests run, in milliseconds.
const QUICK_MS: (u64, u64) = (100, 1000);
const SLOW_MS: (u64, u64) = (500, 7000);

/// The prefixes of both kinds of requests, and how long callers wait.
const QUICK_PREFIX: &str = "/quick/";
const SLOW_PREFIX: &str = "/slow/";
const QUICK_DEADLINE: Duration = Duration::from_secs(3);
const SLOW_DEADLINE: Duration = Duration::from_secs(8);

/// Time after which the nodes of a first start know each other and the servers, in milliseconds.
const JOIN_MS: u64 = 6000;

/// Time in which requests are counted before nodes are stopped.
const CALM_MS: u64 = 10_000;

/// Time after which the last answer is there, in milliseconds.
const ANSWER_MS: u64 = 9000;

/// Pause between two stops, in milliseconds.
const STOP_PAUSE_MS: u64 = 1600;

/// Share of first tries that are served while nodes stop, against that before.
const LEAST_SHARE: f64 = 0.95;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    Refused,
    Broken,
}

/// A request that a node took.
struct Try {
    node: u16,
    sent_at: Instant,
    outcome: Rc<Cell<Option<Outcome>>>,
}

/// A caller with the addresses that it was told.
struct Caller {
    addresses: Vec<SocketAddr>,
    hold: Duration,
    asked_at: Option<Instant>,

    /// Addresses that refused a request since.
    failed: Rc<RefCell<HashSet<SocketAddr>>>,
}

impl Caller {
    /// The addresses that have not failed.
    fn usable(&self) -> Vec<SocketAddr> {
        let failed = self.failed.borrow();
        self.addresses.iter().filter(|address| !failed.contains(address)).copied().collect()
    }
}

/// Nodes that are stopped, and callers.
struct StoppingSite {
    nodes: TestNodes,
    size: u16,
    rng: Xoshiro256PlusPlus,
    callers: Vec<Caller>,
    tries: Vec<Try>,

    /// When nodes got the stop signal.
    stopped: HashMap<u16, Instant>,

    /// Nodes whose process has ended.
    ended: Rc<RefCell<HashSet<u16>>>,
}

fn two_routes() -> GatewayConfig {
    let mut config = plain_config(RequestKind::OneTimeStream);
    let route = config.routes.remove(0);
    let kinds = [(QUICK_PREFIX, QUICK_DEADLINE), (SLOW_PREFIX, SLOW_DEADLINE)];
    config.routes.extend(kinds.map(|(prefix, timeout)| {
        let name = RouteName::from(prefix);
        comfreyturn_types::RouteSpec {
            name,
            prefix: prefix.to_owned(),
            timeout,
            max_attempts: 1,
            ..route.clone()
        }
    }));
    config
}

fn fill(feeds: &FixedFeeds) {
    feeds.put_config(two_routes());
    let changes = (0..SERVERS).map(|index| listed(&format!("s{index}"))).collect();
    let version = StoreVersion::first_era(1);
    feeds.add_reading(ServerReading { is_whole: true, version, changes });
}

impl StoppingSite {
    fn started(size: u16) -> Self {
        let mut nodes = TestNodes::first_start(size);
        nodes.feeds.values().for_each(fill);
        nodes.run(JOIN_MS);
        let caller = |index: usize| Caller {
            addresses: Vec::new(),
            hold: if index.is_multiple_of(LONG_HOLD_DIVISOR) { LONG_HOLD } else { HOLD },
            asked_at: None,
            failed: Rc::default(),
        };
        Self {
            nodes,
            size,
            rng: Xoshiro256PlusPlus::seed_from_u64(u64::from(size)),
            callers: (0..CALLERS).map(caller).collect(),
            tries: Vec::new(),
            stopped: HashMap::new(),
            ended: Rc::default(),
        }
    }

    fn now(&self) -> Instant {
        self.nodes.now(self.size)
    }

    /// Sends the stop signal to a node. Its process ends when the shutdown is over, and at the
    /// latest when the grace is.
    fn stop(&mut self, number: u16, grace: Duration) {
        let now = self.now();
        self.stopped.insert(number, now);
        let gateway = self.nodes.gateways[&number].clone();
        let (ended, plan) = (self.ended.clone(), self.nodes.plan.clone());
        let clock = plan.clock(&name(number));
        let node = name(number);
        let settings = ShutdownSettings { grace, ..ShutdownSettings::default() };
        // On another node's spawner, so that the end of the process does not end this task.
        self.nodes.plan.spawner(&name(self.size)).spawn(Box::pin(async move {
            let shutdown = gateway.shut_down(now, &settings, || {});
            let killed = clock.sleep(grace);
            futures_util::future::select(std::pin::pin!(shutdown), killed).await;
            plan.kill(&node);
            ended.borrow_mut().insert(number);
        }));
    }

    /// An address that a caller would use now.
    fn address(&mut self, caller: usize) -> SocketAddr {
        let now = self.now();
        let asked_at = self.callers[caller].asked_at;
        let hold = self.callers[caller].hold;
        let is_old = asked_at.is_none_or(|at| now.saturating_duration_since(at) >= hold);
        let usable = self.callers[caller].usable();
        if let Some(address) = usable.choose(&mut self.rng).filter(|_| !is_old) {
            return *address;
        }
        self.ask(caller, now);
        *self.callers[caller].addresses.choose(&mut self.rng).expect("a node is alive")
    }

    /// Asks a random node that runs for addresses.
    fn ask(&mut self, caller: usize, now: Instant) {
        let ended = self.ended.borrow();
        let running: Vec<u16> = (1..=self.size).filter(|node| !ended.contains(node)).collect();
        let number = running.choose(&mut self.rng).expect("a node is alive");
        let caller = &mut self.callers[caller];
        caller.addresses = self.nodes.gateways[number].caller_addresses(None, 64);
        caller.asked_at = Some(now);
        caller.failed.borrow_mut().clear();
    }

    /// Sends one request of a random caller.
    fn send(&mut self) {
        let caller = self.rng.random_range(0..CALLERS);
        let address = self.address(caller);
        let number = address.port() - 1000;
        let failed = self.callers[caller].failed.clone();
        if self.ended.borrow().contains(&number) {
            failed.borrow_mut().insert(address);
            return;
        }
        let request = self.request();
        let outcome = Rc::new(Cell::new(None));
        self.tries.push(Try { node: number, sent_at: self.now(), outcome: outcome.clone() });
        let gateway = self.nodes.gateways[&number].clone();
        self.nodes.plan.spawner(&name(number)).spawn(Box::pin(async move {
            let answer = match gateway.forward(request).await {
                ForwardAnswer::Stream { mut body, .. } => loop {
                    match body.next_events().await {
                        Ok(Some(_)) => {}
                        Ok(None) => break Outcome::Served,
                        Err(_) => break Outcome::Broken,
                    }
                },
                ForwardAnswer::NotRun { .. } => {
                    failed.borrow_mut().insert(address);
                    Outcome::Refused
                }
                _ => Outcome::Broken,
            };
            outcome.set(Some(answer));
        }));
    }

    fn request(&mut self) -> ForwardRequest {
        let is_slow = self.rng.random_range(0..SLOW_DIVISOR) == 0;
        let (prefix, deadline, (least, most)) = if is_slow {
            (SLOW_PREFIX, SLOW_DEADLINE, SLOW_MS)
        } else {
            (QUICK_PREFIX, QUICK_DEADLINE, QUICK_MS)
        };
        let time = Duration::from_millis(self.rng.random_range(least..most));
        let events = time.as_millis() / EVENT_PAUSE.as_millis();
        let mut request = plain_request(self.now());
        request.target = prefix.to_owned();
        request.deadline = Some(deadline);
        let events = HeaderValue::from_str(&events.to_string()).unwrap();
        request.headers.insert(EVENTS_HEADER, events);
        request
    }

    fn send_for(&mut self, milliseconds: u64) {
        let rate = CALLER_RATE.max(NODE_RATE * u64::from(self.size));
        let pause_ms = 10;
        for _ in 0..milliseconds / pause_ms {
            let count =
                rate * pause_ms / 1000 + u64::from(self.rng.random_range(0..100) < rate % 100);
            (0..count).for_each(|_| self.send());
            self.nodes.run(pause_ms);
        }
    }

    /// Share of the first tries in a span of time that were served.
    fn served_share(&self, from: Instant, to: Instant) -> f64 {
        let tries = self.tries.iter().filter(|sent| sent.sent_at >= from && sent.sent_at < to);
        let (mut all, mut served) = (0_u32, 0_u32);
        for sent in tries {
            all += 1;
            served += u32::from(sent.outcome.get() == Some(Outcome::Served));
        }
        f64::from(served) / f64::from(all.max(1))
    }

    /// Requests that a node took after its stop signal and did not answer whole, with the time since
    /// the signal.
    fn lost(&self) -> Vec<Duration> {
        let late = self.tries.iter().filter_map(|sent| {
            let stopped_at = self.stopped.get(&sent.node)?;
            let since = sent.sent_at.checked_duration_since(*stopped_at)?;
            let is_lost = matches!(sent.outcome.get(), None | Some(Outcome::Broken));
            is_lost.then_some(since)
        });
        late.collect()
    }
}

/// What came of nodes being stopped while callers use them.
struct RollResult {
    size: u16,
    grace: Duration,
    lost: Vec<Duration>,
    tries: usize,

    /// Share of the first tries that were served before and during the stops.
    served_before: f64,
    served_during: f64,
}

impl RollResult {
    /// Stops some nodes one after the other, then several at once.
    fn of(size: u16, grace: Duration) -> Self {
        let mut site = StoppingSite::started(size);
        let calm_at = site.now();
        site.send_for(CALM_MS);
        let roll_at = site.now();
        let last = size.min(7) - 1;
        for number in 1..last - 1 {
            site.stop(number, grace);
            site.send_for(STOP_PAUSE_MS);
        }
        (last - 1..=last).for_each(|number| site.stop(number, grace));
        site.send_for(STOP_PAUSE_MS);
        let end_at = site.now();
        site.nodes.run(u64::try_from(grace.as_millis()).unwrap() + ANSWER_MS);
        Self {
            size,
            grace,
            lost: site.lost(),
            tries: site.tries.len(),
            served_before: site.served_share(calm_at, roll_at),
            served_during: site.served_share(roll_at, end_at),
        }
    }

    /// With a shorter grace, the slowest requests that were taken before the signal are cut whatever
    /// a node does, so the share says nothing about it.
    fn has_time_for_all(&self) -> bool {
        self.grace >= SLOW_DEADLINE
    }

    fn is_good(&self) -> bool {
        let serves = self.served_during >= LEAST_SHARE * self.served_before;
        self.lost.is_empty() && (serves || !self.has_time_for_all())
    }
}

impl std::fmt::Display for RollResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { size, grace, lost, tries, served_before, served_during } = self;
        write!(
            f,
            "{size} nodes, grace {grace:?}: {} of {tries} lost, first tries served \
             {served_before:.3} before and {served_during:.3} during the stops",
            lost.len()
        )
    }
}

/// Guards against a request that a node takes after its stop signal and gives up when it ends
/// (LOST).
#[test]
fn request_taken_after_a_stop_signal_is_answered_before_the_node_ends() {
    let rolls = [(7, 3), (7, 8), (7, 30), (89, 8)];
    let results = rolls.map(|(size, grace_s)| RollResult::of(size, Duration::from_secs(grace_s)));
    results.iter().for_each(|result| println!("{result}"));
    let bad = results.iter().find(|result| !result.is_good());
    assert!(bad.is_none(), "{}", bad.unwrap());
}
