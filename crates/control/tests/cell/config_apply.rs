//! Results of configuration changes.

use std::collections::BTreeSet;

use crate::support::{ControlCell, customer_change, declared_groups, node_name};
use comfreyturn_control::{
    ApplyCommand, ApplyError, ApplyObstacle, ApplyResult, ChangePrecondition, ControlSettings,
};
use comfreyturn_policy::ConfigFault;
use comfreyturn_standin::fakes::{Fault, FaultRule, FaultSettings, run_until};
use comfreyturn_types::*;

fn command(operation: &str, change: ConfigChange) -> ApplyCommand {
    ApplyCommand {
        operation: operation.into(),
        expected: None,
        changes: vec![(ChangePrecondition::Any, change)],
        gone_nodes: BTreeSet::new(),
    }
}

fn apply(cell: &mut ControlCell, node: u32, command: ApplyCommand) -> ApplyResult<ConfigVersion> {
    let node = node_name(node);
    let control = cell.nodes.borrow()[&node].clone();
    let call = cell.plan.on_node(&node, async move { control.apply(command).await });
    run_until(&cell.clock, &mut cell.pool, call).unwrap()
}

#[test]
fn repeated_operation_returns_first_result() {
    let mut cell = ControlCell::started(FaultSettings::default());
    let first = apply(&mut cell, 1, command("once", customer_change(1))).unwrap();
    apply(&mut cell, 2, command("other", customer_change(2))).unwrap();
    let again = apply(&mut cell, 3, command("once", customer_change(1))).unwrap();
    assert_eq!(first, again);
    let state = cell.nodes.borrow()[&node_name(3)].config();
    assert_eq!(state.customers[&"installers".into()].requests_per_second, 2);
}

#[test]
fn node_catches_up_after_entries_are_deleted() {
    let kept = ControlSettings { kept_entries: 4, ..ControlSettings::default() };
    let mut cell = ControlCell::started_with(FaultSettings::default(), kept);
    let behind = node_name(5);
    cell.plan.pause(&behind, std::time::Duration::from_secs(30));
    for number in 1..=8 {
        let name = format!("change-{number}");
        apply(&mut cell, 1, command(&name, customer_change(number))).unwrap();
    }
    assert_eq!(cell.table.rows("cell-1/config/0").len(), 4);
    assert_eq!(cell.table.rows("cell-1/operation/").len(), 4);
    cell.run(std::time::Duration::from_secs(40));
    let (first, last) =
        (cell.nodes.borrow()[&node_name(1)].config(), cell.nodes.borrow()[&behind].config());
    assert_eq!(first, last);
    cell.start_node(&behind);
    cell.run(std::time::Duration::from_secs(5));
    let state = cell.nodes.borrow()[&behind].config();
    assert_eq!(state.customers, first.customers);
    assert_eq!(state.services, first.services);
}

#[test]
fn lost_answer_is_read_back() {
    let mut cell = ControlCell::started(FaultSettings::default());
    let before = cell.nodes.borrow()[&node_name(1)].config().version;
    let step = comfreyturn_ports::Step::ConfigCommit;
    cell.plan.inject(FaultRule { step, occurrence: 1, node: None, fault: Fault::LostAnswer });
    let version = apply(&mut cell, 1, command("lost", customer_change(1))).unwrap();
    assert_eq!(version, before.next());
    assert_eq!(cell.plan.fired().len(), 1);
}

#[test]
fn refusals_state_the_differing_subject() {
    let mut cell = ControlCell::started(FaultSettings::default());
    let current = cell.nodes.borrow()[&node_name(1)].config().version;
    let stale =
        ApplyCommand { expected: Some(ConfigVersion(1)), ..command("stale", customer_change(1)) };
    let conflict = ApplyError::Conflict { current, subject: "version".to_owned() };
    assert_eq!(apply(&mut cell, 1, stale), Err(conflict));

    let mut present = command("present", customer_change(1));
    present.changes[0].0 = ChangePrecondition::Present;
    let conflict = ApplyError::Conflict { current, subject: "customer installers".to_owned() };
    assert_eq!(apply(&mut cell, 1, present), Err(conflict));

    let change = ConfigChange::DeleteModelVersion { model: "drafts".into(), version: "v1".into() };
    let invalid = ApplyError::Invalid {
        subject: "model version drafts/v1".to_owned(),
        reason: ConfigFault::InUse,
    };
    assert_eq!(apply(&mut cell, 1, command("in-use", change)), Err(invalid));
}

#[test]
fn confirmed_gone_nodes_restore_a_majority() {
    let mut cell = ControlCell::started(FaultSettings::default());
    let lost: Vec<NodeId> = (3..=5).map(node_name).collect();
    for node in &lost {
        cell.plan.kill(node);
    }
    cell.run(std::time::Duration::from_secs(10));
    let refusal = apply(&mut cell, 1, command("refused", customer_change(1)));
    let reason = ApplyObstacle::NoMajority;
    assert!(matches!(refusal, Err(ApplyError::Unavailable { reason: r, .. }) if r == reason));
    let now = cell.node_now(&node_name(1));
    assert!(cell.nodes.borrow()[&node_name(1)].is_fresh(now), "the configuration stays fresh");

    let members = cell.nodes.borrow()[&node_name(1)].config().roster.current.members.clone();
    let changes = lost.iter().map(|node| {
        let incarnation = members[node].incarnation;
        let change = ConfigChange::LeaveRoster { node: node.clone(), incarnation };
        (ChangePrecondition::Any, change)
    });
    let confirmed = ApplyCommand {
        operation: "gone".into(),
        expected: None,
        changes: changes.collect(),
        gone_nodes: lost.iter().cloned().collect(),
    };
    apply(&mut cell, 1, confirmed).unwrap();
    apply(&mut cell, 2, command("after", declared_groups(3))).unwrap();
}
