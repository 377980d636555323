//! Outages that are longer than one protocol step.

use std::time::Duration;

use crate::support::{
    ControlCell, SERVICE, customer_change, declared_groups, model_version, node_name,
    service_of_version,
};
use comfreyturn_standin::fakes::{FaultEndpoint, FaultSettings};
use comfreyturn_types::*;

fn assert_no_violations(cell: &ControlCell) {
    assert!(cell.check.violations.is_empty(), "{:#?}", cell.check.violations);
}

fn all_fresh(cell: &ControlCell) -> bool {
    let nodes = cell.nodes.borrow();
    nodes.iter().all(|(node, control)| control.is_fresh(cell.node_now(node)))
}

/// Cuts a node off from all backend servers and peers, so that it relies on its existing evidence.
fn cut_off(cell: &ControlCell, node: &NodeId, span: Duration) {
    let own = FaultEndpoint::Node(node.clone());
    let vms = (0..10).map(|index| VmId::from(format!("vm-{}-{}", index / 5, index % 5)));
    let peers = (1..=5).map(node_name).filter(|peer| peer != node);
    let others = vms.map(FaultEndpoint::Vm).chain(peers.map(FaultEndpoint::Node));
    for other in others {
        cell.plan.cut(own.clone(), other, true, span);
    }
}

/// Cuts off all nodes but the planner's in turn, so that some nodes always rely on old evidence.
fn run_with_cuts(cell: &mut ControlCell, span: Duration) {
    let end = cell.clock.elapsed() + span;
    for number in (1..=5).cycle() {
        if cell.clock.elapsed() >= end {
            return;
        }
        let node = node_name(number);
        if cell.planner() != Some(node.clone()) {
            cut_off(cell, &node, Duration::from_millis(2300));
        }
        cell.run(Duration::from_millis(700));
    }
}

#[test]
fn table_outage_does_not_interrupt_serving() {
    let mut cell = ControlCell::started(FaultSettings::default());
    cell.plan.take_table_down(Duration::from_secs(60));
    for _ in 0..55 {
        cell.run(Duration::from_secs(1));
        assert!(all_fresh(&cell));
        assert!((1..=5).all(|number| cell.whole_at(&node_name(number)) == 2));
    }
    cell.run(Duration::from_secs(10));
    cell.apply(vec![declared_groups(3)]);
    cell.await_groups(3);
    assert_no_violations(&cell);
}

#[test]
fn node_without_table_and_majority_goes_stale() {
    let mut cell = ControlCell::started(FaultSettings::default());
    let own = FaultEndpoint::Node(node_name(4));
    let span = Duration::from_secs(20);
    cell.plan.cut(own.clone(), FaultEndpoint::Table, true, span);
    for number in 1..=3 {
        cell.plan.cut(own.clone(), FaultEndpoint::Node(node_name(number)), true, span);
    }
    cell.run(Duration::from_secs(7));
    let now = cell.node_now(&node_name(4));
    assert!(!cell.nodes.borrow()[&node_name(4)].is_fresh(now));
    cell.apply(vec![customer_change(1)]);
    cell.run(Duration::from_secs(25));
    assert!(all_fresh(&cell));
    assert_no_violations(&cell);
}

#[test]
fn all_nodes_restart_at_once() {
    let mut cell = ControlCell::started(FaultSettings::default());
    for number in 1..=5 {
        cell.plan.kill(&node_name(number));
    }
    for number in 1..=5 {
        cell.start_node(&node_name(number));
    }
    cell.apply(vec![declared_groups(3)]);
    cell.await_groups(3);
    assert_no_violations(&cell);
}

#[test]
fn nodes_whose_vms_are_gone_leave_the_roster() {
    let mut cell = ControlCell::started(FaultSettings::default());
    for number in 3..=5 {
        cell.plan.kill(&node_name(number));
        cell.directory.remove(&VmId::from(format!("entry-{number}")));
    }
    cell.run_until(60, "lost nodes are removed from the roster", |cell| {
        let control = cell.nodes.borrow()[&node_name(1)].clone();
        control.config().roster.current.members.len() == 2
    });
    cell.apply(vec![customer_change(1)]);
    assert_no_violations(&cell);
}

#[test]
fn groups_of_a_lost_fabric_domain_form_elsewhere() {
    let mut cell = ControlCell::started(FaultSettings::default());
    for index in 0..5 {
        cell.engines.set_alive(&VmId::from(format!("vm-0-{index}")), false);
    }
    cell.run(Duration::from_secs(5));
    cell.await_groups(2);
    for index in 0..5 {
        cell.engines.set_alive(&VmId::from(format!("vm-0-{index}")), true);
    }
    cell.apply(vec![declared_groups(4)]);
    cell.await_groups(4);
    assert_no_violations(&cell);
}

#[test]
fn drained_vm_is_replaced() {
    let mut cell = ControlCell::started(FaultSettings::default());
    let vm = VmId::from("vm-0-0");
    cell.apply(vec![ConfigChange::SetVmDrained { vm: vm.clone(), drained: true }]);
    cell.run(Duration::from_secs(30));
    cell.await_groups(2);
    assert_eq!(cell.engines.report(&vm).unwrap().assignment, None);
    assert_no_violations(&cell);
}

#[test]
fn leaving_vm_takes_no_work_within_seconds() {
    let mut cell = ControlCell::started(FaultSettings::default());
    let node = node_name(1);
    let control = cell.nodes.borrow()[&node].clone();
    let groups = control.whole_groups(cell.node_now(&node), &SERVICE.into());
    let vm = groups[0].assignment.members[1].clone();
    cell.engines.set_leaving(&vm);
    cell.run(Duration::from_secs(3));
    for number in 1..=5 {
        let node = node_name(number);
        let control = cell.nodes.borrow()[&node].clone();
        let groups = control.whole_groups(cell.node_now(&node), &SERVICE.into());
        assert!(groups.iter().all(|group| !group.assignment.members.contains(&vm)));
    }
    cell.await_groups(2);
    assert_no_violations(&cell);
}

/// Guards against a VM serving in two groups during a rollout. All VMs are in use, so each group of
/// the new version is formed from VMs of groups of the old one.
#[test]
fn version_change_moves_vms_between_groups() {
    let mut cell = ControlCell::started(FaultSettings::default());
    cell.apply(vec![declared_groups(4)]);
    cell.await_groups(4);
    cell.apply(vec![
        ConfigChange::PutModelVersion(model_version("v2")),
        service_of_version("v2", 4),
    ]);
    run_with_cuts(&mut cell, Duration::from_secs(120));
    cell.await_groups(4);
    let node = node_name(1);
    let control = cell.nodes.borrow()[&node].clone();
    let groups = control.whole_groups(cell.node_now(&node), &SERVICE.into());
    assert!(groups.iter().all(|group| group.assignment.version == "v2".into()));
    assert_no_violations(&cell);
}

#[test]
fn drained_member_is_replaced_without_overlap() {
    let mut cell = ControlCell::started(FaultSettings::default());
    for index in [0, 2] {
        let vm = VmId::from(format!("vm-0-{index}"));
        cell.apply(vec![ConfigChange::SetVmDrained { vm, drained: true }]);
        run_with_cuts(&mut cell, Duration::from_secs(20));
    }
    cell.await_groups(2);
    assert_no_violations(&cell);
}

/// An engine that ignores fencing numbers executes an order of an earlier lease holder. The nodes
/// must detect the wrong assignment and stop using the group until it is repaired.
#[test]
fn stale_order_costs_downtime_only() {
    let mut cell = ControlCell::started(FaultSettings::default());
    let orders = cell.engines.orders();
    let ignores = |vm: &VmId| cell.engines.report(vm).is_some_and(|r| r.fencing.is_none());
    let (vm, order) = orders.iter().find(|(vm, _)| ignores(vm)).cloned().unwrap();
    let mut stale = order;
    let assignment = stale.assignment.as_mut().unwrap();
    assignment.group = "g-earlier".into();
    cell.engines.order(&vm, &stale).unwrap();
    for number in 1..=5 {
        cell.run_until(3, "the group with the wrong assignment is not whole", |cell| {
            cell.whole_at(&node_name(number)) < 2
        });
    }
    cell.await_groups(2);
    assert_no_violations(&cell);
}

/// Guards against peers accepting outdated reports from a watcher that was paused: the watcher
/// relays ages that are too low until it detects the pause.
#[test]
fn resumed_watcher_relays_no_stale_report() {
    for number in 1..=5 {
        let mut cell = ControlCell::started(FaultSettings::default());
        let watcher = node_name(number);
        cell.plan.pause(&watcher, Duration::from_millis(39_500 + 500 * u64::from(number)));
        cell.run(Duration::from_secs(1));
        cell.apply(vec![declared_groups(0)]);
        cell.run(Duration::from_secs(25));
        for _ in 0..200 {
            cell.run(Duration::from_millis(100));
            let others = (1..=5).map(node_name).filter(|node| *node != watcher);
            for node in others {
                let status = cell.nodes.borrow()[&node].vm_status(cell.node_now(&node));
                let assigned: Vec<_> = status.iter().filter(|vm| vm.group.is_some()).collect();
                assert!(assigned.is_empty(), "{node} after {watcher} resumed: {assigned:?}");
            }
        }
        assert_no_violations(&cell);
    }
}
