//! Attestation of the configuration between nodes.

use crate::test_nodes::{TestNodes, address, name};
use comfreyturn_gateway::GatewaySettings;
use comfreyturn_types::GatewayConfig;

/// Time within which a node that can't confirm its configuration must stop serving, in
/// milliseconds.
const STOP_MS: u64 = 5000;

fn config(version: u64) -> GatewayConfig {
    GatewayConfig { version, ..GatewayConfig::default() }
}

fn nodes_with_config() -> TestNodes {
    with_config(TestNodes::started())
}

/// Only the first node polls the configuration all the time.
fn nodes_with_one_watcher() -> TestNodes {
    let settings = GatewaySettings { config_watchers: 1, ..GatewaySettings::default() };
    with_config(TestNodes::started_with(settings))
}

fn with_config(mut nodes: TestNodes) -> TestNodes {
    nodes.feeds.values().for_each(|feeds| feeds.put_config(config(1)));
    nodes.run(2000);
    for number in 1..=3 {
        assert!(nodes.gateways[&number].is_ready(), "node {number}");
    }
    nodes
}

#[test]
fn attestations_keep_a_node_ready_while_it_cannot_reach_the_store() {
    let mut nodes = nodes_with_config();
    nodes.feeds[&3].set_unreachable(true);
    for _ in 0..20 {
        nodes.run(1000);
        assert!(nodes.gateways[&3].is_ready());
    }
}

#[test]
fn nodes_stop_when_none_of_them_reaches_the_store() {
    let mut nodes = nodes_with_config();
    nodes.feeds.values().for_each(|feeds| feeds.set_unreachable(true));
    nodes.run(STOP_MS);
    for number in 1..=3 {
        assert!(!nodes.gateways[&number].is_ready(), "node {number}");
    }
}

#[test]
fn newer_version_does_not_attest_an_older_one() {
    let mut nodes = nodes_with_config();
    nodes.feeds[&3].set_unreachable(true);
    nodes.run(300);
    nodes.feeds[&1].put_config(config(2));
    nodes.feeds[&2].put_config(config(2));
    nodes.run(STOP_MS + 1000);
    assert!(nodes.gateways[&1].is_ready());
    assert!(!nodes.gateways[&3].is_ready(), "a key may be revoked in version 2");
}

/// Guards against a key that was taken away and is accepted again: a process that starts after the
/// store was restored reads an older configuration, which other nodes know not to be the newest
/// (CONFIG).
#[test]
fn node_that_starts_does_not_serve_by_an_older_configuration_than_its_peers() {
    let mut nodes = nodes_with_config();
    (1..=3).for_each(|number| nodes.feeds[&number].put_config(config(2)));
    nodes.run(1500);
    nodes.restart(3);
    nodes.feeds[&3].put_config(config(1));
    for _ in 0..100 {
        nodes.run(50);
        assert!(!nodes.gateways[&3].is_ready(), "a key may be revoked in version 2");
    }
    nodes.feeds[&3].put_config(config(2));
    nodes.run(1500);
    assert!(nodes.gateways[&3].is_ready());
}

/// Guards against a node that waits for others that do not run.
#[test]
fn node_that_starts_alone_serves_within_two_seconds() {
    let mut nodes = nodes_with_config();
    (1..=3).for_each(|number| nodes.plan.kill(&name(number)));
    nodes.start(3);
    nodes.feeds[&3].put_config(config(1));
    nodes.run(2000);
    assert!(nodes.gateways[&3].is_ready());
}

#[test]
fn attestation_delayed_in_a_socket_is_ignored() {
    let mut nodes = nodes_with_config();
    nodes.net.held.borrow_mut().insert(address(3));
    nodes.run(1000);
    nodes.feeds.values().for_each(|feeds| feeds.set_unreachable(true));
    nodes.run(STOP_MS);
    nodes.net.held.borrow_mut().clear();
    for _ in 0..20 {
        nodes.run(50);
        assert!(!nodes.gateways[&3].is_ready());
    }
}

#[test]
fn node_without_store_and_peers_stops() {
    let mut nodes = nodes_with_config();
    nodes.feeds[&3].set_unreachable(true);
    nodes.net.held.borrow_mut().insert(address(3));
    nodes.run(STOP_MS);
    assert!(!nodes.gateways[&3].is_ready());
}

#[test]
fn config_change_reaches_all_nodes_within_a_second() {
    let mut nodes = nodes_with_one_watcher();
    nodes.run(10_000);
    nodes.feeds.values().for_each(|feeds| feeds.put_config(config(2)));
    nodes.run(1000);
    for number in 1..=3 {
        assert_eq!(nodes.gateways[&number].config_version(), Some(2), "node {number}");
    }
}

#[test]
fn nodes_stay_ready_when_the_config_watcher_is_cut_off_or_crashes() {
    let mut nodes = nodes_with_one_watcher();
    nodes.feeds[&1].set_unreachable(true);
    for _ in 0..20 {
        nodes.run(500);
        assert!((1..=3).all(|number| nodes.gateways[&number].is_ready()));
    }
    nodes.plan.kill(&name(1));
    for _ in 0..20 {
        nodes.run(500);
        assert!((2..=3).all(|number| nodes.gateways[&number].is_ready()));
    }
}

#[test]
fn nodes_with_one_watcher_stop_when_none_of_them_reaches_the_store() {
    let mut nodes = nodes_with_one_watcher();
    nodes.feeds.values().for_each(|feeds| feeds.set_unreachable(true));
    nodes.run(STOP_MS);
    assert!((1..=3).all(|number| !nodes.gateways[&number].is_ready()));
}
