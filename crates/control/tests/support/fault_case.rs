//! One case of the fault matrix.

use std::time::Duration;

use comfreyturn_ports::{Clock, Protocol, Spawner, Step};
use comfreyturn_standin::fakes::{
    Fault, FaultEndpoint, FaultRule, FaultSettings, FiredFault, LocalSpawner,
};
use comfreyturn_types::{ConfigChange, NodeId, VmId};

use crate::support::{ControlCell, NODES, SERVICE, customer_change, declared_groups, node_name};

/// How long after all faults are healed an accepted change may be unknown to a node.
const RECOVERY_LIMIT: Duration = Duration::from_secs(7);

/// How long a call is delayed so that a concurrent operator's change can overtake it.
const RACE_HEAD_START: Duration = Duration::from_millis(100);

/// The result of a case.
pub struct CaseReport {
    pub fired: Vec<FiredFault>,
    pub violations: Vec<String>,
    pub accepted: usize,
}

/// Whether a step belongs to one of the protocols in this crate.
pub fn is_control(step: Step) -> bool {
    matches!(
        step.protocol(),
        Protocol::Config
            | Protocol::Roster
            | Protocol::Lease
            | Protocol::Group
            | Protocol::Watch
            | Protocol::Limit
    )
}

/// Injects faults while a cell runs through all of its protocols, then heals the cell and checks
/// that it recovers.
pub fn run_case(rules: Vec<FaultRule>) -> CaseReport {
    let settings = FaultSettings {
        pause: Duration::from_secs(20),
        lease_lapse: Duration::from_secs(30),
        pauses_clock: rules.iter().all(|rule| rule.fault != Fault::LeaseLapse),
        ..FaultSettings::default()
    };
    let mut cell = ControlCell::started(settings);
    let operators = cell.operators.clone();
    let (spawner, clock) = (LocalSpawner::new(&cell.pool), cell.clock.clone());
    cell.plan.set_race_hook(move || {
        spawner.spawn(operators.apply(vec![customer_change(77), declared_groups(3)]));
        clock.sleep(RACE_HEAD_START)
    });
    rules.into_iter().for_each(|rule| cell.plan.inject(rule));
    exercise(&mut cell);
    recover(&mut cell);
    let accepted = cell.accepted.borrow().len();
    let violations = cell.check.violations.iter().cloned().collect();
    CaseReport { fired: cell.plan.fired(), violations, accepted }
}

/// Exercises all protocols of a cell.
fn exercise(cell: &mut ControlCell) {
    cell.submit(vec![customer_change(1)]);
    cell.submit(vec![customer_change(2)]);
    cell.run(Duration::from_secs(3));
    cell.submit(vec![declared_groups(3)]);
    cell.run(Duration::from_secs(12));
    lose_and_revive_member(cell);
    drain_member(cell);
    restart_node(cell, &node_name(2));
    cell.submit(vec![customer_change(3)]);
    cell.run(Duration::from_secs(2));
    hand_over_lease(cell);
    miss_pushes(cell);
    cell.submit(vec![declared_groups(2)]);
    cell.run(Duration::from_secs(12));
    if let Some(vm) = some_member(cell) {
        cell.engines.set_leaving(&vm);
    }
    cell.run(Duration::from_secs(3));
    if let Some(planner) = cell.planner() {
        cell.plan.kill(&planner);
    }
    cell.run(Duration::from_secs(20));
}

/// Ends all faults and checks that the cell recovers.
fn recover(cell: &mut ControlCell) {
    cell.run(Duration::from_secs(30));
    cell.plan.heal();
    for node in (1..=NODES).map(node_name) {
        if !cell.plan.is_alive(&node) {
            cell.start_node(&node);
        }
    }
    cell.run(RECOVERY_LIMIT);
    let newest = cell.accepted.borrow().iter().map(|(version, _)| *version).max();
    for (node, control) in cell.nodes.borrow().iter() {
        let version = control.config().version;
        if Some(version) < newest {
            let violation = format!("{node} knows only {version} after the recovery limit");
            cell.check.violations.insert(violation);
        }
    }
    cell.await_operators();
    end_drains(cell);
    cell.apply(vec![declared_groups(4)]);
    cell.await_groups(4);
}

/// Puts all drained VMs back into use. With two concurrent operators a drain may be applied after
/// the change that ends it.
fn end_drains(cell: &mut ControlCell) {
    let drained = cell.nodes.borrow()[&node_name(1)].config().drained_vms.clone();
    let undrain = |vm| ConfigChange::SetVmDrained { vm, drained: false };
    cell.apply(drained.into_iter().map(undrain).collect());
}

fn lose_and_revive_member(cell: &mut ControlCell) {
    let Some(vm) = some_member(cell) else { return };
    cell.engines.set_alive(&vm, false);
    cell.run(Duration::from_secs(12));
    cell.engines.set_alive(&vm, true);
    cell.run(Duration::from_secs(8));
}

/// Drains a member that still serves, so that its group continues with another one.
fn drain_member(cell: &mut ControlCell) {
    let Some(vm) = some_member(cell) else { return };
    cell.submit(vec![ConfigChange::SetVmDrained { vm: vm.clone(), drained: true }]);
    cell.run(Duration::from_secs(8));
    cell.submit(vec![ConfigChange::SetVmDrained { vm, drained: false }]);
}

fn restart_node(cell: &mut ControlCell, node: &NodeId) {
    cell.plan.kill(node);
    cell.run(Duration::from_secs(1));
    cell.start_node(node);
    cell.run(Duration::from_secs(3));
}

/// Applies changes while a node is cut off from the table and from all peers but one, so that it
/// has to fetch the entries from that peer.
fn miss_pushes(cell: &mut ControlCell) {
    let node = FaultEndpoint::Node(node_name(4));
    let span = Duration::from_secs(4);
    cell.plan.cut(node.clone(), FaultEndpoint::Table, true, span);
    for other in 1..=3 {
        cell.plan.cut(node.clone(), FaultEndpoint::Node(node_name(other)), true, span);
    }
    for number in 4..=7 {
        cell.submit(vec![customer_change(number)]);
        cell.run(Duration::from_secs(1));
    }
}

/// Shuts the planner's node down gracefully.
fn hand_over_lease(cell: &mut ControlCell) {
    let Some(planner) = cell.planner().filter(|node| cell.plan.is_alive(node)) else { return };
    let control = cell.nodes.borrow()[&planner].clone();
    let task = Box::pin(async move { drop(control.leave_roster().await) });
    cell.plan.spawner(&planner).spawn(task);
    cell.run(Duration::from_secs(5));
    restart_node(cell, &planner);
}

/// The head's VM of any whole group.
fn some_member(cell: &ControlCell) -> Option<VmId> {
    (1..=NODES).map(node_name).filter(|node| cell.plan.is_alive(node)).find_map(|node| {
        let control = cell.nodes.borrow()[&node].clone();
        let groups = control.whole_groups(cell.node_now(&node), &SERVICE.into());
        groups.first().map(|group| group.head.vm.clone())
    })
}
