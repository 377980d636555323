//! The store comes back from an older copy while groups serve and others are formed.

use std::time::Duration;

use comfreyturn_gateway::GatewaySettings;
use comfreyturn_types::{
    EngineSpec, FabricDomain, FleetServer, GatewayConfig, ModelName, PooledModel, RequestKind,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{
    model_fleet::{ModelFleet, SpoiltEntry},
    plain_service::{listed, plain_config, plain_request},
    test_nodes::{TestNodes, name},
};

const NODES: u16 = 3;
const SERVERS: usize = 36;
const DOMAINS: usize = 3;

/// Servers of more groups than a transaction of the store can hold.
const LARGE_FLEET: usize = 480;

/// The longest time between two steps of the servers.
const STEP_MS: u64 = 20;

struct RestoredSite {
    nodes: TestNodes,
    fleet: ModelFleet,
}

fn pooled(name: &str, group_size: u32) -> PooledModel {
    PooledModel {
        name: ModelName::from(name),
        group_size,
        share: 0.5,
        pace: 1.0,
        load_time: Duration::from_secs(1),
        warm_time: Duration::from_millis(200),
    }
}

fn config() -> GatewayConfig {
    let mut config = plain_config(RequestKind::ResumableStream);
    let engine = EngineSpec {
        slots: 16,
        models: vec![pooled("large", 4), pooled("small", 2)],
        loads_per_second: 5.0,
        loads_at_once: 7,
        kept_models: 1,
        open_time: Duration::from_millis(300),
        times: None,
    };
    config.services.values_mut().for_each(|service| service.engine = Some(engine.clone()));
    config
}

fn server(number: usize) -> FleetServer {
    let comfreyturn_ports::ServerChange::Listed(server) = listed(&format!("s{number:03}")) else {
        unreachable!("a listed server")
    };
    let model = if number.is_multiple_of(2) { "large" } else { "small" };
    FleetServer {
        fabric_domain: Some(FabricDomain::from(format!("d{}", number % DOMAINS))),
        staged: vec![ModelName::from(model)],
        ..*server
    }
}

impl RestoredSite {
    /// Nodes and servers whose groups serve.
    fn started() -> Self {
        let site = Self::with_servers(SERVERS);
        assert!(site.fleet.open_groups() >= 8, "{} groups", site.fleet.open_groups());
        site
    }

    fn with_servers(count: usize) -> Self {
        let settings = GatewaySettings { fencing_checked: true, ..GatewaySettings::default() };
        let (mut nodes, fleet) =
            TestNodes::with_model_servers(settings, (0..count).map(server).collect());
        (1..=NODES).for_each(|number| Self::start_node(&mut nodes, number));
        let mut site = Self { nodes, fleet };
        site.run(6000);
        let now = site.nodes.now(1);
        let model = Some(ModelName::from("small"));
        site.nodes.send(1, comfreyturn_gateway::ForwardRequest { model, ..plain_request(now) });
        site.run(2000);
        site
    }

    fn start_node(nodes: &mut TestNodes, number: u16) {
        nodes.start(number);
        nodes.feeds[&number].put_config(config());
    }

    fn run(&mut self, milliseconds: u64) {
        let mut left = milliseconds;
        while left > 0 {
            let step = left.min(STEP_MS);
            self.nodes.run(step);
            self.fleet.advance();
            left -= step;
        }
    }

    /// Runs until that many joins were taken, for at most the time.
    fn run_until_joins(&mut self, joins: u32, milliseconds: u64) {
        let wanted = self.fleet.joins() + joins;
        for _ in 0..milliseconds / STEP_MS {
            if self.fleet.joins() >= wanted {
                return;
            }
            self.run(STEP_MS);
        }
    }

    /// Servers leave; new ones take their places.
    fn replace_servers(&mut self, count: usize) {
        let leaving = self.fleet.drain(count);
        for _ in 0..leaving {
            self.fleet.add(server(self.fleet.servers()));
        }
    }

    /// The store is away for the time, and then holds what it held `copy_age` before.
    fn restore(&mut self, away: Duration, copy_age: Duration) {
        self.nodes.plan.take_table_down(away);
        self.fleet.take_list_away(away);
        self.run(u64::try_from(away.as_millis()).unwrap());
        self.fleet.restore(copy_age);
    }

    fn group_rows(&self) -> usize {
        self.nodes.table.rows("").iter().filter(|(key, _)| key.contains("group/")).count()
    }

    fn holder(&self) -> Option<u16> {
        let alive = (1..=NODES).filter(|number| self.nodes.plan.is_alive(&name(*number)));
        alive.into_iter().find(|number| self.nodes.gateways[number].forms_groups())
    }

    fn restart(&mut self, number: u16) {
        self.nodes.plan.kill(&name(number));
        Self::start_node(&mut self.nodes, number);
    }

    /// Troubles of random kinds beside a return of the store.
    fn disturb(&mut self, random: &mut StdRng) {
        let holder = self.holder().unwrap_or(1);
        match random.random_range(0..10) {
            0 | 1 => self.restart(holder),
            2 => self.nodes.plan.pause(&name(holder), Duration::from_millis(1500)),
            3 => (1..=NODES).for_each(|number| self.restart(number)),
            _ => {}
        }
        for _ in 0..random.random_range(0..4) {
            let number = random.random_range(0..self.fleet.servers());
            let time = Duration::from_millis(random.random_range(500..6000));
            self.fleet.cut_from_store(number, time);
        }
        if random.random_bool(0.4) {
            self.fleet.crash(random.random_range(0..self.fleet.servers()));
        }
    }

    /// Servers are replaced, and the store comes back older, with other troubles beside it.
    fn random_round(&mut self, random: &mut StdRng) {
        self.replace_servers(random.random_range(1..6));
        self.run(random.random_range(0..2500));
        let is_before = random.random_bool(0.5);
        if is_before {
            self.disturb(random);
        }
        for _ in 0..random.random_range(1..3) {
            let away = Duration::from_millis(random.random_range(20..3000));
            let copy_age = away + Duration::from_millis(random.random_range(300..7000));
            self.restore(away, copy_age);
            self.run(random.random_range(0..2500));
        }
        if !is_before {
            self.disturb(random);
        }
        self.run(5000);
    }
}

/// Guards against a server in two groups: after the store came back older, the list shows servers
/// where they were before, and they were ordered from open groups into others (TWO).
#[test]
fn servers_of_open_groups_stay_there_when_the_store_comes_back_older() {
    let mut site = RestoredSite::started();
    for round in 0..3 {
        site.run(200);
        site.replace_servers(5);
        let before = site.nodes.now(1);
        site.run_until_joins(6, 3500);
        site.run(600);
        let age = site.nodes.now(1).saturating_duration_since(before);
        site.restore(Duration::from_secs(1), age + Duration::from_millis(1100));
        site.run(9000);
        assert_eq!(site.fleet.two(), Vec::<String>::new(), "round {round}");
    }
}

/// Guards against a server in two groups after any return of the store to any older copy, beside
/// other troubles (TWO).
#[test]
fn no_server_is_in_two_groups_after_random_returns_of_the_store() {
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut site = RestoredSite::started();
        (0..2).for_each(|_| site.random_round(&mut random));
        assert_eq!(site.fleet.two(), Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against groups that are ended because the list went back, though they serve.
#[test]
fn groups_go_on_serving_when_the_store_comes_back_older() {
    let mut site = RestoredSite::started();
    site.replace_servers(4);
    site.run(2600);
    let open = site.fleet.open_groups();
    site.fleet.take_ended_groups();
    site.restore(Duration::from_millis(500), Duration::from_secs(4));
    for _ in 0..50 {
        site.run(100);
        let now = site.fleet.open_groups();
        assert!(now >= open, "{now} of {open} groups are open");
    }
    assert_eq!(site.fleet.take_ended_groups(), Vec::<String>::new());
}

/// Guards against members that are freed by an entry of another writer, which lacks the group of an
/// open head (TWO).
#[test]
fn entry_without_the_group_of_an_open_head_frees_no_member() {
    let mut site = RestoredSite::started();
    for _ in 0..3 {
        assert!(site.fleet.spoil_entry_of_a_head(SpoiltEntry::WithoutGroup));
        site.run(3000);
        assert_eq!(site.fleet.two(), Vec::<String>::new());
        assert_eq!(site.fleet.take_ended_groups(), Vec::<String>::new());
    }
}

/// Guards against rows of groups that are never written because the store takes no transaction with
/// so many of them: after a restore to a copy that has none of the rows, no new group was formed.
#[test]
fn groups_of_a_large_fleet_are_formed_after_the_store_lost_all_their_rows() {
    let mut site = RestoredSite::with_servers(LARGE_FLEET);
    let open = site.fleet.open_groups();
    assert!(open > 100, "{open} groups are open");
    site.restore(Duration::from_millis(500), Duration::from_mins(1));
    site.run(3000);
    let joins = site.fleet.joins();
    site.replace_servers(6);
    site.run(6000);
    assert!(site.fleet.joins() > joins, "groups are formed with the new servers");
    assert!(site.group_rows() > 100, "{} rows of groups", site.group_rows());
    assert_eq!(site.fleet.two(), Vec::<String>::new());
}

/// Guards against groups that are ended, and members that are freed, by an entry of another writer
/// over that of an open head: one with the basic fields only, or one that can't be read.
#[test]
fn entry_of_another_writer_ends_no_group_that_serves() {
    for spoilt in [SpoiltEntry::Basic, SpoiltEntry::Unreadable] {
        let mut site = RestoredSite::started();
        for _ in 0..3 {
            assert!(site.fleet.spoil_entry_of_a_head(spoilt));
            site.run(3000);
            assert_eq!(site.fleet.two(), Vec::<String>::new(), "{spoilt:?}");
            assert_eq!(site.fleet.take_ended_groups(), Vec::<String>::new(), "{spoilt:?}");
        }
    }
}
