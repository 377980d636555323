//! A cell without faults.

use crate::support::{ControlCell, customer_change, declared_groups, node_name};
use comfreyturn_standin::fakes::FaultSettings;

#[test]
fn nodes_join_and_groups_form() {
    let mut cell = ControlCell::started(FaultSettings::default());
    cell.apply(vec![customer_change(1)]);
    cell.apply(vec![declared_groups(3)]);
    cell.await_groups(3);
    cell.apply(vec![declared_groups(1)]);
    cell.await_groups(1);
    cell.plan.kill(&node_name(2));
    cell.start_node(&node_name(2));
    cell.apply(vec![customer_change(2)]);
    cell.await_groups(1);
    assert!(cell.check.violations.is_empty(), "{:#?}", cell.check.violations);
}
