//! Nodes that tell each other how new the configuration is that they hold.

mod support;

use comfreyturn_gateway::GatewaySettings;
use comfreyturn_types::GatewayConfig;
use support::{TestNodes, address, name};

/// Within this a node that cannot confirm its configuration must have stopped, in milliseconds.
const STOP_MS: u64 = 5000;

fn config(version: u64) -> GatewayConfig {
    GatewayConfig { version, ..GatewayConfig::default() }
}

fn nodes_with_config() -> TestNodes {
    with_config(TestNodes::started())
}

/// Only the first node always asks for the configuration.
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
fn node_that_is_cut_off_from_the_store_serves_on_while_others_vouch() {
    let mut nodes = nodes_with_config();
    nodes.feeds[&3].cut_off(true);
    for _ in 0..20 {
        nodes.run(1000);
        assert!(nodes.gateways[&3].is_ready());
    }
}

#[test]
fn nodes_that_are_all_cut_off_do_not_keep_each_other_going() {
    let mut nodes = nodes_with_config();
    nodes.feeds.values().for_each(|feeds| feeds.cut_off(true));
    nodes.run(STOP_MS);
    for number in 1..=3 {
        assert!(!nodes.gateways[&number].is_ready(), "node {number}");
    }
}

#[test]
fn nobody_vouches_for_an_older_configuration() {
    let mut nodes = nodes_with_config();
    nodes.feeds[&3].cut_off(true);
    nodes.run(300);
    nodes.feeds[&1].put_config(config(2));
    nodes.feeds[&2].put_config(config(2));
    nodes.run(STOP_MS + 1000);
    assert!(nodes.gateways[&1].is_ready());
    assert!(!nodes.gateways[&3].is_ready(), "a key may be gone in version 2");
}

#[test]
fn word_that_waited_in_a_socket_vouches_for_nothing() {
    let mut nodes = nodes_with_config();
    nodes.net.held.borrow_mut().insert(address(3));
    nodes.run(1000);
    nodes.feeds.values().for_each(|feeds| feeds.cut_off(true));
    nodes.run(STOP_MS);
    nodes.net.held.borrow_mut().clear();
    for _ in 0..20 {
        nodes.run(50);
        assert!(!nodes.gateways[&3].is_ready());
    }
}

#[test]
fn node_that_is_cut_off_from_store_and_nodes_stops() {
    let mut nodes = nodes_with_config();
    nodes.feeds[&3].cut_off(true);
    nodes.net.held.borrow_mut().insert(address(3));
    nodes.run(STOP_MS);
    assert!(!nodes.gateways[&3].is_ready());
}

#[test]
fn nodes_that_do_not_watch_learn_of_a_change_within_a_second() {
    let mut nodes = nodes_with_one_watcher();
    nodes.run(10_000);
    nodes.feeds.values().for_each(|feeds| feeds.put_config(config(2)));
    nodes.run(1000);
    for number in 1..=3 {
        assert_eq!(nodes.gateways[&number].config_version(), Some(2), "node {number}");
    }
}

#[test]
fn nodes_serve_on_when_the_one_that_watches_dies_or_is_cut_off() {
    let mut nodes = nodes_with_one_watcher();
    nodes.feeds[&1].cut_off(true);
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
fn nodes_that_rely_on_a_watcher_stop_when_all_are_cut_off() {
    let mut nodes = nodes_with_one_watcher();
    nodes.feeds.values().for_each(|feeds| feeds.cut_off(true));
    nodes.run(STOP_MS);
    assert!((1..=3).all(|number| !nodes.gateways[&number].is_ready()));
}
