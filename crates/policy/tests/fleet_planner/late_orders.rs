//! Orders whose answer was lost, and that servers carry out late.

use comfreyturn_policy::{EarlierOrders, FleetOrder, FleetPlanner, FleetPlannerSettings};
use comfreyturn_types::{GroupMembership, MemberPhase, ServerLife};

use crate::test_fleet::{TestFleet, is_close, is_leave, joins, server, staged_fleet};

/// Two groups without a spare, of which the first one lost a member and was dissolved.
struct DissolvedGroup {
    fleet: TestFleet,
    head: ServerLife,

    /// The place that the head had.
    place: GroupMembership,
}

impl DissolvedGroup {
    /// The group was formed while answers were lost, or not.
    fn new(answers: bool) -> Self {
        let mut fleet = staged_fleet(8, 8);
        fleet.answers = answers;
        fleet.settle();
        fleet.answers = true;
        Self::dissolve(fleet)
    }

    fn dissolve(mut fleet: TestFleet) -> Self {
        let head = fleet.in_phase(MemberPhase::Open)[0].clone();
        let place = fleet.server(&head).membership.clone().unwrap();
        let member = fleet.member(&head, 2);
        fleet.servers.retain(|server| server.life != member);
        for _ in 0..3 {
            let orders = fleet.orders();
            assert!(joins(&orders).is_empty());
            fleet.carry_out(&orders);
        }
        assert_eq!(fleet.server(&head).membership, None, "the head has left");
        Self { fleet, head, place }
    }

    fn joined(&self, orders: &[FleetOrder]) -> bool {
        joins(orders).iter().any(|order| order.life == self.head)
    }
}

/// Guards against a server in two groups: late orders put a head back into the group that it had left,
/// and opened it, and it was ordered into another one (TWO).
#[test]
fn head_that_is_back_in_the_group_that_it_left_is_ordered_to_leave_it_again() {
    let mut group = DissolvedGroup::new(true);
    let (head, place) = (group.head.clone(), group.place.clone());
    group.fleet.orders();
    group.fleet.server(&head).membership = Some(place);
    group.fleet.servers.push(server(9, &["big"]));
    let orders = group.fleet.orders();
    assert!(!group.joined(&orders), "{orders:?}");
    assert!(orders.iter().any(|order| order.life == head && (is_close(order) || is_leave(order))));
    group.fleet.settle();
    assert_eq!(group.fleet.in_phase(MemberPhase::Open).len(), 2, "it serves in a new group");
}

/// Guards against the same where the list never showed the head out of the group.
#[test]
fn entry_that_shows_the_group_long_after_the_head_left_is_believed() {
    let mut group = DissolvedGroup::new(true);
    let (head, place) = (group.head.clone(), group.place.clone());
    group.fleet.server(&head).membership = Some(place);
    let orders: Vec<FleetOrder> = (0..4).flat_map(|_| group.fleet.orders()).collect();
    let ended = |order: &FleetOrder| order.life == head && (is_close(order) || is_leave(order));
    assert!(orders.iter().any(ended), "{orders:?}");
}

/// Guards against a head that is ordered to join a group while late orders may open its old one (TWO).
#[test]
fn head_joins_no_group_while_late_orders_may_open_its_old_one() {
    let mut group = DissolvedGroup::new(false);
    group.fleet.servers.push(server(9, &["big"]));
    for _ in 0..4 {
        let orders = group.fleet.orders();
        assert!(!group.joined(&orders), "{orders:?}");
        group.fleet.carry_out(&orders);
    }
    for _ in 0..12 {
        group.fleet.settle();
    }
    assert_eq!(group.fleet.in_phase(MemberPhase::Open).len(), 2, "later it does");
}

/// Guards against a slower repair where all orders were answered.
#[test]
fn head_whose_orders_were_answered_joins_another_group_at_once() {
    let mut group = DissolvedGroup::new(true);
    group.fleet.servers.push(server(9, &["big"]));
    let orders = group.fleet.orders();
    assert!(group.joined(&orders), "{orders:?}");
}

/// Whether the head of a group that an earlier planner formed joins another one at once: so many
/// seconds after it was seen there another planner took over, which knows of an unanswered order or
/// not.
fn joins_at_once(seconds: u32, is_unanswered: bool) -> bool {
    let mut fleet = staged_fleet(8, 8);
    fleet.settle();
    let formed_at = fleet.now;
    (0..seconds).for_each(|_| assert_eq!(fleet.orders(), Vec::new()));
    let records = fleet.records();
    let unanswered_join = is_unanswered.then_some(formed_at);
    let earlier = EarlierOrders { until: fleet.now, unanswered_join };
    let planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner = planner.after(earlier);
    fleet.planner.restore(fleet.now, records);
    let mut group = DissolvedGroup::dissolve(fleet);
    group.fleet.servers.push(server(9, &["big"]));
    let orders = group.fleet.orders();
    group.joined(&orders)
}

/// Guards against a planner that doesn't know which orders of an earlier one were not answered (TWO),
/// and against repairs that wait though there are none.
#[test]
fn new_planner_waits_for_the_late_orders_of_an_earlier_one() {
    assert!(!joins_at_once(3, true), "an order may be on its way");
    assert!(joins_at_once(3, false), "all orders were answered");
    assert!(joins_at_once(12, true), "no order can be on its way any more");
}

/// Guards against a planner that trusts what an earlier one told before its last orders (TWO).
#[test]
fn new_planner_waits_for_late_orders_that_an_earlier_one_can_not_have_told() {
    let mut fleet = staged_fleet(8, 8);
    for _ in 0..3 {
        let orders = fleet.orders();
        fleet.carry_out(&orders);
    }
    let records = fleet.records();
    let earlier = EarlierOrders { until: fleet.now, unanswered_join: None };
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default()).after(earlier);
    fleet.planner.restore(fleet.now, records);
    let mut group = DissolvedGroup::dissolve(fleet);
    group.fleet.servers.push(server(9, &["big"]));
    let orders = group.fleet.orders();
    assert!(!group.joined(&orders), "{orders:?}");
}
