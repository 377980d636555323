//! Servers that tolerate few requests for some time after they started or turned cold.

use std::time::{Duration, Instant};

use comfreyturn_gateway::GatewaySettings;
use comfreyturn_policy::{SecondBound, SendQuotaSettings};
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{
    ColdSpec, GatewayConfig, RequestKind, RequestRate, ServerLife, StoreVersion, VmId,
};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::{
    plain_service::{listed, plain_config, plain_request},
    rate_limits::most_within,
    test_nodes::{TestNodes, address, name},
};

const SERVERS: usize = 4;

/// The server that turns cold, and how long it is.
const COLD: &str = "s0";
const COLD_TIME: Duration = Duration::from_secs(8);

/// What a cold server tolerates, and the bound of its users in any second.
const RATE: RequestRate = RequestRate { milli: 14_000 };
const BOUND: SecondBound = SecondBound { over: 1.5, slack: 5.0, spare_senders: 2 };
const SECOND: Duration = Duration::from_secs(1);

/// Requests per second from all callers; an even part of them is far above the bound.
const CALLER_RATE: u64 = 250;

/// Pause between two requests, in milliseconds.
const REQUEST_PAUSE_MS: u64 = 1000 / CALLER_RATE;

/// Time after which nodes know what the list, or an answer, says.
const NEWS_TIME: Duration = Duration::from_millis(600);

/// Lives of the server that begin cold while some nodes send through others. In each, about four of
/// their requests reach it, at random.
const TUNNEL_ROUNDS: u64 = 4;

/// Part of what a cold server tolerates that is used at least. Senders don't prefer it, and only some
/// of the nodes send to it.
const LEAST_USED: f64 = 0.3;

fn life(vm: &str, born: u64) -> ServerLife {
    ServerLife { vm: VmId::from(vm), born }
}

fn cold_config() -> GatewayConfig {
    let mut config = plain_config(RequestKind::Idempotent);
    for service in config.services.values_mut() {
        service.cold = Some(ColdSpec { start_time: COLD_TIME, rate: RATE });
    }
    config
}

/// An entry of a server.
fn entry(vm: &str, born: u64, cold_left: Duration) -> ServerChange {
    let ServerChange::Listed(mut server) = listed(vm) else { panic!("an entry") };
    server.life.born = born;
    server.cold_left = cold_left;
    server.slots = 100;
    server.address.set_port(2000 + vm[1..].parse::<u16>().unwrap());
    ServerChange::Listed(server)
}

fn whole_list() -> ServerReading {
    let servers = (0..SERVERS).map(|index| entry(&format!("s{index}"), 1, Duration::ZERO));
    let version = StoreVersion::first_era(1);
    ServerReading { is_whole: true, version, changes: servers.collect() }
}

/// Nodes that send callers' requests to servers.
struct ColdSite {
    nodes: TestNodes,
    size: u16,
    rng: Xoshiro256PlusPlus,
    version: u64,
}

impl ColdSite {
    /// Nodes that know each other and the servers, all of which are warm and get requests.
    fn started(size: u16) -> Self {
        let settings = GatewaySettings {
            cold_quotas: SendQuotaSettings::within_second(BOUND),
            ..GatewaySettings::default()
        };
        let mut nodes = TestNodes::first_start_with(size, settings);
        for feeds in nodes.feeds.values() {
            feeds.put_config(cold_config());
            feeds.add_reading(whole_list());
        }
        nodes.run(6000);
        let rng = Xoshiro256PlusPlus::seed_from_u64(u64::from(size));
        let mut site = Self { nodes, size, rng, version: 1 };
        site.send_for(1500, |_| true);
        site
    }

    fn now(&self) -> Instant {
        self.nodes.now(1)
    }

    /// Changes an entry in the list; returns when.
    fn change(&mut self, change: ServerChange, to: impl Fn(u16) -> bool) -> Instant {
        self.version += 1;
        let version = StoreVersion::first_era(self.version);
        for (number, feeds) in &self.nodes.feeds {
            if to(*number) {
                let changes = vec![change.clone()];
                feeds.add_reading(ServerReading { is_whole: false, version, changes });
            }
        }
        self.now()
    }

    /// Sends requests to random nodes among some.
    fn send_for(&mut self, milliseconds: u64, to: impl Fn(u16) -> bool) {
        let receivers: Vec<u16> = (1..=self.size).filter(|node| to(*node)).collect();
        for _ in 0..milliseconds / REQUEST_PAUSE_MS {
            let number = receivers[self.rng.random_range(0..receivers.len())];
            self.nodes.send(number, plain_request(self.now()));
            self.nodes.run(REQUEST_PAUSE_MS);
        }
    }

    /// Times of the arrivals at the cold server within a time.
    fn arrivals(&self, since: Instant, until: Instant) -> Vec<Instant> {
        let arrivals = self.nodes.servers.arrivals();
        let own = arrivals.iter().filter(|arrival| arrival.life.vm.as_str() == COLD);
        own.map(|arrival| arrival.at).filter(|at| (since..until).contains(at)).collect()
    }

    /// Fails if the cold server got too many requests in a second that began after `since`.
    fn check(&self, since: Instant, until: Instant, why: &str) {
        let most = most_within(&self.arrivals(since, until), SECOND) as f64;
        let allowed = BOUND.most(RATE);
        assert!(
            most <= allowed,
            "{why}, {} nodes: {most} in a second, {allowed} allowed",
            self.size
        );
    }

    /// Fails if the cold server was left almost without work.
    fn check_used(&self, since: Instant, until: Instant) {
        let used = self.arrivals(since, until).len() as f64;
        let tolerated = RATE.within(until - since);
        assert!(used >= LEAST_USED * tolerated, "{} nodes: {used} of {tolerated}", self.size);
    }
}

/// Guards against all nodes together overrunning a server that starts anew, whose first entry does
/// not say yet that it is cold; and against servers that stay cold.
#[test]
fn new_server_is_warmed_up_by_all_nodes_together() {
    for size in [7, 71] {
        let mut site = ColdSite::started(size);
        let warm_since = site.now() - SECOND;
        assert!(
            site.arrivals(warm_since, site.now()).len() as f64 > BOUND.most(RATE),
            "a warm server gets more than a cold one may"
        );
        let listed_at = site.change(entry(COLD, 2, Duration::ZERO), |_| true);
        site.send_for(7500, |_| true);
        site.check(listed_at + NEWS_TIME, site.now(), "new life");
        site.check_used(listed_at + Duration::from_secs(3), site.now());
        site.send_for(3000, |_| true);
        let got = site.arrivals(site.now() - SECOND, site.now()).len() as f64;
        assert!(got > BOUND.most(RATE), "{size} nodes: {got} when it is warm");
    }
}

/// Guards against a server that turns cold while it runs, and says so in its answers only: nodes
/// that got none must learn of it from others.
#[test]
fn server_that_turns_cold_again_says_so_in_answers() {
    for size in [7, 71] {
        let mut site = ColdSite::started(size);
        for _ in 0..2 {
            let until = site.now() + COLD_TIME;
            site.nodes.servers.set_cold(&life(COLD, 1), until);
            let since = site.now() + NEWS_TIME;
            site.send_for(7500, |_| true);
            site.check(since, site.now(), "cold again");
            site.check_used(since + Duration::from_secs(2), site.now());
            site.send_for(3000, |_| true);
        }
    }
}

/// Guards against nodes that are cut off from all others: each would use the whole rate.
#[test]
fn bound_holds_while_nodes_are_cut_off_from_each_other() {
    for size in [7, 71] {
        let mut site = ColdSite::started(size);
        site.nodes.net.cut.borrow_mut().extend((1..=size / 2).map(address));
        site.send_for(2000, |_| true);
        let listed_at = site.change(entry(COLD, 1, COLD_TIME), |_| true);
        site.send_for(7000, |_| true);
        // Nodes that hear nobody read the list themselves, about once a second.
        site.check(listed_at + Duration::from_secs(2), site.now(), "cut off");
    }
}

/// Guards against nodes that don't learn from the list that a server is cold.
#[test]
fn bound_holds_while_the_store_is_not_reached() {
    let mut site = ColdSite::started(7);
    site.nodes.feeds.values().for_each(|feeds| feeds.set_unreachable(true));
    site.send_for(1000, |_| true);
    let until = site.now() + COLD_TIME;
    site.nodes.servers.set_cold(&life(COLD, 1), until);
    let since = site.now() + NEWS_TIME;
    site.send_for(7000, |_| true);
    site.check(since, site.now(), "store not reached");
    site.check_used(since + Duration::from_secs(2), site.now());
}

/// Guards against nodes that wake up, and nodes that start, and send to a cold server what they
/// take for their part without knowing the other nodes.
#[test]
fn bound_holds_while_nodes_are_frozen_and_restarted() {
    for size in [7, 71] {
        let mut site = ColdSite::started(size);
        for number in [3, 4] {
            site.nodes.plan.pause(&name(number), Duration::from_secs(3));
        }
        let listed_at = site.change(entry(COLD, 1, COLD_TIME), |_| true);
        site.send_for(3000, |node| !(3..=4).contains(&node));
        site.send_for(1500, |_| true);
        for number in [1, 5] {
            site.nodes.plan.kill(&name(number));
            site.nodes.start(number);
            let feeds = &site.nodes.feeds[&number];
            feeds.put_config(cold_config());
            feeds.add_reading(whole_list());
        }
        site.send_for(1000, |node| node != 1 && node != 5);
        site.send_for(2000, |_| true);
        site.check(listed_at + NEWS_TIME, site.now(), "frozen and restarted");
    }
}

/// Guards against a herd: a server that froze looks empty to all nodes when they use it again, and may
/// have turned cold, which none of them knows before its first answer.
#[test]
fn server_that_returns_gets_no_herd() {
    for size in [7, 71] {
        let mut site = ColdSite::started(size);
        // Longer answers, so that the other servers are loaded.
        site.nodes.servers.set_events(12);
        site.send_for(1500, |_| true);
        let thaws_at = site.now() + Duration::from_millis(2500);
        site.nodes.servers.freeze(&life(COLD, 1), thaws_at);
        site.nodes.servers.set_cold(&life(COLD, 1), thaws_at + COLD_TIME);
        let frozen_at = site.now();
        site.send_for(9000, |_| true);
        let stalled_at = frozen_at + Duration::from_millis(1500);
        site.check(stalled_at, site.now(), "returns");
        assert!(!site.arrivals(thaws_at, site.now()).is_empty(), "{size} nodes: never used again");
    }
}

/// Guards against nodes that open connections to a cold server for others beyond their own part:
/// the server sees them as the senders.
#[test]
fn connections_for_other_nodes_count_against_the_part() {
    let mut site = ColdSite::started(7);
    for number in 1..=3 {
        site.nodes.servers.set_cut(&name(number), address(number), true);
    }
    let mut tunnelled = 0;
    for born in 1..=TUNNEL_ROUNDS {
        site.send_for(3000, |_| true);
        let listed_at = site.change(entry(COLD, born, COLD_TIME), |_| true);
        site.send_for(7000, |_| true);
        let since = listed_at + NEWS_TIME;
        site.check(since, site.now(), "tunnels");
        let arrivals = site.nodes.servers.arrivals();
        let own = arrivals.iter().filter(|arrival| arrival.life.vm.as_str() == COLD);
        let recent: Vec<_> = own.filter(|arrival| arrival.at >= since).collect();
        tunnelled += recent.iter().filter(|arrival| arrival.seen != arrival.node).count();
        for number in 4..=7 {
            let seen = recent.iter().filter(|arrival| arrival.seen == name(number)).count();
            let part = BOUND.most(RATE) / 9.0 - 1.0;
            let allowed = part * (site.now() - since).as_secs_f64() + 1.0;
            assert!(
                seen as f64 <= allowed,
                "node {number} was seen {seen} times, allowed {allowed}"
            );
        }
    }
    assert!(tunnelled > 0, "no request went through another node");
}
