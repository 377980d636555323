//! What nodes know of each other, in fleets of different sizes.

use std::{net::SocketAddr, time::Duration};

use crate::test_nodes::{LARGE_NODES, TestNodes, Traffic, address, name};
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{
    FailureDomain, FleetServer, GatewayConfig, ServerLife, ServiceName, StoreVersion, VmId,
};

const SIZES: [u16; 5] = [7, 9, 22, 89, 295];

/// Time after which the nodes of a first start know each other, in milliseconds.
const JOIN_MS: u64 = 6000;

/// A dead node must not be announced to callers after this time, in milliseconds.
const DEAD_NODE_MS: u64 = 1200;

/// A change of the list must reach 95 in 100 nodes within the first and all within the second of
/// these times, in milliseconds.
const CHANGE_MS: (u64, u64) = (250, 600);

/// Datagrams and bytes a second in each direction of a node that is no relay.
const MEMBER_DATAGRAMS: u64 = 30;
const MEMBER_BYTES: u64 = 10_000;

/// A relay may have this many times as many.
const RELAY_FACTOR: u64 = 10;

/// Time within which the smallest nodes register, in milliseconds.
const REGISTRATION_MS: u64 = 2500;

/// Transactions a second that one part of the store takes.
const REGISTRATIONS_PER_S: f64 = 150.0;

fn ready_fleet(count: u16) -> TestNodes {
    let mut nodes = TestNodes::first_start(count);
    let config = GatewayConfig { version: 1, ..GatewayConfig::default() };
    nodes.feeds.values().for_each(|feeds| feeds.put_config(config.clone()));
    nodes.run(JOIN_MS);
    nodes
}

fn announced(nodes: &TestNodes, number: u16) -> Vec<SocketAddr> {
    nodes.gateways[&number].caller_addresses(None, usize::from(u16::MAX))
}

#[test]
fn every_node_knows_all_others_after_the_first_start() {
    for size in SIZES {
        let nodes = ready_fleet(size);
        for number in 1..=size {
            let known = announced(&nodes, number);
            let is_known = |other: &u16| known.iter().any(|a| a.port() == 1000 + other);
            let missing: Vec<u16> = (1..=size).filter(|other| !is_known(other)).collect();
            assert!(missing.is_empty(), "node {number} of {size} misses {missing:?}");
        }
    }
}

#[test]
fn one_node_holds_the_lease_after_the_first_start() {
    for size in SIZES {
        let nodes = ready_fleet(size);
        let holders: Vec<u16> =
            (1..=size).filter(|number| nodes.gateways[number].forms_groups()).collect();
        assert_eq!(holders.len(), 1, "{holders:?} of {size}");
    }
}

#[test]
fn first_start_spreads_registrations() {
    for size in [295, 400] {
        let mut nodes = TestNodes::first_start(size);
        nodes.run(REGISTRATION_MS);
        let registrations = nodes.net.registrations.borrow();
        assert_eq!(registrations.len(), usize::from(size));
        // The part works at its rate and refuses what would wait for more than a second.
        let mut waiting = 0.0_f64;
        let mut last = Duration::ZERO;
        for at in registrations.iter() {
            waiting = (waiting - (*at - last).as_secs_f64() * REGISTRATIONS_PER_S).max(0.0) + 1.0;
            last = *at;
            assert!(waiting <= REGISTRATIONS_PER_S, "{waiting} wait at {at:?} of {size} nodes");
        }
    }
}

#[test]
fn crashed_node_is_not_announced_within_the_bound() {
    for size in SIZES {
        let mut nodes = ready_fleet(size);
        for crashed in [size, 1] {
            let port = 1000 + crashed;
            nodes.plan.kill(&name(crashed));
            nodes.run(DEAD_NODE_MS);
            for number in (2..size).filter(|number| *number != crashed) {
                let addresses = announced(&nodes, number);
                let is_announced = addresses.iter().any(|address| address.port() == port);
                assert!(!is_announced, "node {crashed} at node {number} of {size}");
            }
        }
    }
}

#[test]
fn fleet_outlives_all_relays_of_a_failure_domain() {
    let mut nodes = ready_fleet(89);
    let lost: Vec<u16> = (1..=LARGE_NODES).filter(|number| number % 5 == 1).collect();
    for number in &lost {
        nodes.plan.kill(&name(*number));
    }
    nodes.run(2 * DEAD_NODE_MS);
    for number in (1..=89).filter(|number| !lost.contains(number)) {
        let known = announced(&nodes, number).len();
        assert_eq!(known, 89 - lost.len(), "node {number}");
    }
}

#[test]
fn callers_stay_in_their_failure_domain_and_spread_over_it() {
    let nodes = ready_fleet(295);
    let domain = FailureDomain::from("domain-2");
    let addresses = nodes.gateways[&20].caller_addresses(Some(&domain), 64);
    assert_eq!(addresses.len(), 59, "all nodes of the domain");
    assert!(addresses.iter().all(|address| (address.port() - 1000) % 5 == 2));
    assert_eq!(nodes.gateways[&31].caller_addresses(Some(&domain), 64), addresses);
}

#[test]
fn messages_of_a_node_do_not_grow_with_the_fleet() {
    for size in [89, 295] {
        let mut nodes = ready_fleet(size);
        nodes.net.sent.borrow_mut().clear();
        nodes.net.received.borrow_mut().clear();
        let seconds = 5;
        nodes.run(seconds * 1000);
        let rate = |traffic: Option<&Traffic>| {
            let traffic = traffic.copied().unwrap_or_default();
            (traffic.datagrams / seconds, traffic.bytes / seconds)
        };
        for number in 1..=size {
            let factor = if number <= LARGE_NODES { RELAY_FACTOR } else { 1 };
            for counts in [&nodes.net.sent, &nodes.net.received] {
                let (datagrams, bytes) = rate(counts.borrow().get(&address(number)));
                assert!(datagrams <= MEMBER_DATAGRAMS * factor, "{datagrams}/s at {number}");
                assert!(bytes <= MEMBER_BYTES * factor, "{bytes} B/s at {number}");
            }
        }
    }
}

fn listed(vm: &str, leaving: bool) -> ServerChange {
    ServerChange::Listed(Box::new(FleetServer {
        life: ServerLife { vm: VmId::from(vm), born: 1 },
        service: ServiceName::from("plain"),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: FailureDomain::from("domain-1"),
        slots: 6,
        leaving,
        fabric_domain: None,
        model: None,
        staged: Vec::new(),
        membership: None,
        cold_left: Duration::ZERO,
    }))
}

#[test]
fn list_change_reaches_every_node_within_the_bounds() {
    for size in SIZES {
        let mut nodes = ready_fleet(size);
        let changes: Vec<_> = (0..700).map(|vm| listed(&format!("vm-{vm}"), false)).collect();
        let version = StoreVersion::first_era(5);
        let whole = ServerReading { is_whole: true, version, changes };
        nodes.feeds.values().for_each(|feeds| feeds.add_reading(whole.clone()));
        nodes.run(3000);
        let version = StoreVersion::first_era(9);
        let change =
            ServerReading { is_whole: false, version, changes: vec![listed("vm-3", true)] };
        let has_change =
            |nodes: &TestNodes, number: u16| nodes.gateways[&number].list_version() == version;
        // The time counts from the reading, which the platform's page of rates bounds.
        nodes.feeds.values().for_each(|feeds| feeds.add_reading(change.clone()));
        while !(1..=size).any(|number| has_change(&nodes, number)) {
            nodes.run(10);
        }
        nodes.run(CHANGE_MS.0);
        let count = (1..=size).filter(|number| has_change(&nodes, *number)).count();
        assert!(count * 100 >= usize::from(size) * 95, "{count} of {size} after {CHANGE_MS:?}");
        nodes.run(CHANGE_MS.1 - CHANGE_MS.0);
        for number in 1..=size {
            assert!(has_change(&nodes, number), "node {number} of {size}");
        }
    }
}

/// A change of the configuration must be in force everywhere within this time, in milliseconds: the
/// shortest bound of the deployments.
const CONFIG_MS: u64 = 2000;

#[test]
fn config_change_reaches_every_node_while_the_platform_turns_the_watchers_away() {
    for size in [9, 22, 89] {
        let mut nodes = ready_fleet(size);
        let refused: Vec<u16> =
            (1..=size).filter(|number| *number <= LARGE_NODES.min(size) - 2).collect();
        for number in &refused {
            nodes.feeds[number].set_unreachable(true);
        }
        let config = GatewayConfig { version: 2, ..GatewayConfig::default() };
        nodes.feeds.values().for_each(|feeds| feeds.put_config(config.clone()));
        nodes.run(CONFIG_MS);
        for number in (1..=size).filter(|number| !refused.contains(number)) {
            let version = nodes.gateways[&number].config_version();
            assert_eq!(version, Some(2), "node {number} of {size}");
        }
    }
}
