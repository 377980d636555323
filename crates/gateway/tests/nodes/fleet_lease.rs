//! The node that forms groups while nodes crash, restart and leave.

use crate::test_nodes::{TestNodes, name};

/// The live nodes that form groups.
fn holders(nodes: &TestNodes) -> Vec<u16> {
    let alive = (1..=3).filter(|number| nodes.plan.is_alive(&name(*number)));
    alive.filter(|number| nodes.gateways[number].forms_groups()).collect()
}

/// The only node that forms groups.
fn holder_of(nodes: &TestNodes) -> u16 {
    let holders = holders(nodes);
    assert_eq!(holders.len(), 1, "one node forms groups: {holders:?}");
    holders[0]
}

#[test]
fn one_node_forms_groups() {
    let mut nodes = TestNodes::started();
    let holder = holder_of(&nodes);
    for _ in 0..50 {
        nodes.run(200);
        assert_eq!(holders(&nodes), [holder]);
    }
}

#[test]
fn crashed_holder_is_replaced_within_two_seconds() {
    let mut nodes = TestNodes::started();
    let holder = holder_of(&nodes);
    nodes.plan.kill(&name(holder));
    nodes.run(2000);
    assert_ne!(holder_of(&nodes), holder);
}

#[test]
fn restarted_holder_loses_the_lease_of_its_earlier_incarnation() {
    let mut nodes = TestNodes::started();
    let holder = holder_of(&nodes);
    nodes.plan.kill(&name(holder));
    nodes.run(300);
    nodes.start(holder);
    nodes.run(2000);
    let next = holder_of(&nodes);
    for _ in 0..20 {
        nodes.run(200);
        assert_eq!(holders(&nodes), [next], "the lease does not move again");
    }
}

#[test]
fn leaving_holder_hands_the_lease_over_within_two_seconds() {
    let mut nodes = TestNodes::started();
    let holder = holder_of(&nodes);
    nodes.gateways[&holder].announce_leaving();
    nodes.run(2000);
    assert_ne!(holder_of(&nodes), holder);
}
