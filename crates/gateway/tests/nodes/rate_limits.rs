//! Servers that state a rate limit for all nodes together.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use comfreyturn_ports::ServerReading;
use comfreyturn_standin::fakes::FixedFeeds;
use comfreyturn_types::{RequestKind, RequestRate, StoreVersion, VmId};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::{
    plain_service::{listed, plain_config, plain_request},
    test_nodes::{TestNodes, address, name},
};

const SIZES: [u16; 3] = [7, 9, 89];

/// Servers of the service, and how many of them state a limit.
const SERVERS: usize = 9;
const LIMITED_SERVERS: usize = 3;

/// Limits in thousandths of a request per second.
const LIMITS: [u32; LIMITED_SERVERS] = [1400, 2000, 10_000];

/// The limits' users: a server that states a limit may get this many times as many requests, and
/// some more, within a window, once the time to settle has passed.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(4);
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Part of a limit that is used at least, over a span of time.
const LEAST_USED: f64 = 0.5;
const USED_TIME: Duration = Duration::from_secs(10);

const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Requests per second from all callers, whatever the number of nodes.
const CALLER_RATE: u64 = 100;

/// Pause between two requests, in milliseconds.
const REQUEST_PAUSE_MS: u64 = 1000 / CALLER_RATE;

/// Time after which the nodes of a first start know each other and the servers, in milliseconds.
const JOIN_MS: u64 = 6000;

fn server_name(index: usize) -> String {
    format!("s{index}")
}

/// Makes the platform return the configuration and the servers.
fn fill(feeds: &FixedFeeds) {
    feeds.put_config(plain_config(RequestKind::Idempotent));
    let changes = (0..SERVERS).map(|index| listed(&server_name(index))).collect();
    let version = StoreVersion::first_era(1);
    feeds.add_reading(ServerReading { is_whole: true, version, changes });
}

/// Nodes that send callers' requests to servers.
struct LimitedSite {
    nodes: TestNodes,
    size: u16,
    rng: Xoshiro256PlusPlus,
}

impl LimitedSite {
    /// Nodes that know each other and the servers, none of which has a limit yet.
    fn started(size: u16) -> Self {
        let mut nodes = TestNodes::first_start(size);
        nodes.feeds.values().for_each(fill);
        nodes.run(JOIN_MS);
        let rng = Xoshiro256PlusPlus::seed_from_u64(u64::from(size));
        Self { nodes, size, rng }
    }

    /// Replaces a node by one that knows nothing.
    fn restart(&mut self, number: u16) {
        self.nodes.plan.kill(&name(number));
        self.nodes.start(number);
        fill(&self.nodes.feeds[&number]);
    }

    fn state_limits(&self) -> Instant {
        self.set_limits(|index| Some(LIMITS[index]));
        self.now()
    }

    fn set_limits(&self, limits: impl Fn(usize) -> Option<u32>) {
        for index in 0..LIMITED_SERVERS {
            let rate = limits(index).map(|milli| RequestRate { milli });
            self.nodes.servers.set_rate_limit(&server_name(index), rate);
        }
    }

    fn now(&self) -> Instant {
        self.nodes.now(1)
    }

    /// Sends requests to random nodes among some.
    fn send_for(&mut self, milliseconds: u64, to: impl Fn(u16) -> bool) {
        self.send_batches(milliseconds, 1, to);
    }

    /// Sends several requests at a time to random nodes among some.
    fn send_batches(&mut self, milliseconds: u64, batch: usize, to: impl Fn(u16) -> bool) {
        let receivers: Vec<u16> = (1..=self.size).filter(|node| to(*node)).collect();
        for _ in 0..milliseconds / REQUEST_PAUSE_MS {
            for _ in 0..batch {
                let number = receivers[self.rng.random_range(0..receivers.len())];
                self.nodes.send(number, plain_request(self.now()));
            }
            self.nodes.run(REQUEST_PAUSE_MS);
        }
    }

    /// Times of the arrivals at a server since some time.
    fn arrivals(&self, index: usize, since: Instant) -> Vec<Instant> {
        let vm = VmId::from(server_name(index));
        let arrivals = self.nodes.servers.arrivals();
        let own = arrivals.iter().filter(|arrival| arrival.life.vm == vm && arrival.at >= since);
        own.map(|arrival| arrival.at).collect()
    }

    /// Fails if a limited server got too many requests within a window that began after `since`.
    fn check_limits(&self, since: Instant, why: &str) {
        for (index, milli) in LIMITS.iter().enumerate() {
            let limit = RequestRate { milli: *milli };
            let allowed = LIMIT_FACTOR * limit.within(WINDOW) + LIMIT_SLACK;
            let most = most_within(&self.arrivals(index, since), WINDOW);
            let got = most as f64;
            assert!(
                got <= allowed,
                "{why}, {} nodes: a server with a limit of {limit} got {got}, allowed {allowed}",
                self.size
            );
        }
    }
}

/// The most arrivals within any span of this length.
pub fn most_within(arrivals: &[Instant], span: Duration) -> usize {
    let count = |(first, at): (usize, &Instant)| {
        arrivals[first..].iter().take_while(|other| **other - *at < span).count()
    };
    arrivals.iter().enumerate().map(count).max().unwrap_or_default()
}

/// Guards against all nodes together sending a server more than the rate that it states (LIMIT).
#[test]
fn server_with_a_rate_limit_is_not_overrun_by_all_nodes_together() {
    for size in SIZES {
        let mut site = LimitedSite::started(size);
        site.send_for(2000, |_| true);
        let stated_at = site.state_limits();
        site.send_for(16_000, |_| true);
        site.check_limits(stated_at + SETTLING_TIME, "calm");
        for (index, milli) in LIMITS.iter().enumerate() {
            let since = site.now() - USED_TIME;
            let taken = RequestRate { milli: *milli }.within(USED_TIME);
            let used = site.arrivals(index, since).len() as f64;
            assert!(used >= LEAST_USED * taken, "{size} nodes: {used} of {taken} were used");
        }
    }
}

/// Guards against a limit that is overrun when nodes do not know each other or what servers said.
#[test]
fn rate_limit_holds_while_nodes_are_cut_off_frozen_and_restarted() {
    for size in [7, 22] {
        let mut site = LimitedSite::started(size);
        site.send_for(2000, |_| true);
        let stated_at = site.state_limits();
        site.send_for(4000, |_| true);
        // Two nodes hear nobody and nobody hears them, but callers and servers reach them.
        site.nodes.net.cut.borrow_mut().extend([address(1), address(2)]);
        site.send_for(8000, |_| true);
        site.check_limits(stated_at + SETTLING_TIME, "cut off");
        site.nodes.net.cut.borrow_mut().clear();
        site.send_for(4000, |_| true);
        for number in [3, 4] {
            site.nodes.plan.pause(&name(number), FREEZE_TIME);
        }
        site.send_for(4000, |node| !(3..=4).contains(&node));
        site.send_for(6000, |_| true);
        site.check_limits(stated_at + SETTLING_TIME, "frozen");
        for number in [1, 5, 6] {
            site.restart(number);
            site.send_for(3000, |node| node != number);
            site.send_for(2000, |_| true);
        }
        site.check_limits(stated_at + SETTLING_TIME, "restarted");
    }
}

/// Guards against a server that stays limited at nodes which no longer send to it.
#[test]
fn all_nodes_use_a_server_again_that_has_no_rate_limit_any_more() {
    let mut site = LimitedSite::started(9);
    site.state_limits();
    site.send_for(6000, |_| true);
    site.set_limits(|_| None);
    site.send_for(3000, |_| true);
    let since = site.now();
    // 30 requests of each node to each server on average; one at a time these would be 7, and in one
    // run of 60 a node would send a server none by mere chance.
    site.send_batches(6000, 4, |_| true);
    let arrivals = site.nodes.servers.arrivals();
    for index in 0..LIMITED_SERVERS {
        let vm = VmId::from(server_name(index));
        let recent = arrivals.iter().filter(|arrival| arrival.at >= since);
        let senders: HashSet<_> =
            recent.filter(|arrival| arrival.life.vm == vm).map(|arrival| &arrival.node).collect();
        assert_eq!(senders.len(), 9, "nodes that send to server {index}");
    }
}

/// Guards against a server that takes nothing being left alone for good, and against all nodes
/// trying it at once.
#[test]
fn server_that_takes_nothing_is_tried_now_and_then() {
    let mut site = LimitedSite::started(9);
    site.set_limits(|_| Some(0));
    let stated_at = site.now();
    site.send_for(20_000, |_| true);
    for index in 0..LIMITED_SERVERS {
        let arrivals = site.arrivals(index, stated_at + SETTLING_TIME);
        assert!(!arrivals.is_empty(), "server {index} was never tried");
        assert!(most_within(&arrivals, WINDOW) as f64 <= LIMIT_SLACK, "server {index}");
    }
}
