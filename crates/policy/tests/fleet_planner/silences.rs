//! Members that don't answer, for a while or for good.

use comfreyturn_policy::FleetOrder;
use comfreyturn_types::{MemberPhase, ModelName};

use crate::test_fleet::{TestFleet, is_close, is_leave, joins, model, server, staged_fleet};

/// Guards against requests that are cut off at a sound head because another member of its group is
/// silent for a second or two (LOST).
#[test]
fn silent_member_cuts_off_no_requests_of_its_group() {
    for silent in [&[1][..], &[3], &[1, 2], &[1, 2, 3]] {
        let mut fleet = staged_fleet(10, 8);
        fleet.settle();
        let open = fleet.in_phase(MemberPhase::Open);
        fleet.busy.insert(open[0].clone());
        fleet
            .lost
            .extend(silent.iter().map(|rank| fleet.member(&open[0], *rank)).collect::<Vec<_>>());
        for _ in 0..4 {
            let orders = fleet.orders();
            assert!(!orders.iter().any(is_leave), "{silent:?}: {orders:?}");
            fleet.carry_out(&orders);
        }
        assert_eq!(fleet.in_phase(MemberPhase::Open), open[1..], "it takes no new requests");
        fleet.lost.clear();
        fleet.settle();
        assert_eq!(fleet.in_phase(MemberPhase::Open), open, "{silent:?}: it serves again");
    }
}

/// Guards against the same after one silence after another.
#[test]
fn silences_in_series_cut_off_no_requests() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let open = fleet.in_phase(MemberPhase::Open);
    fleet.busy.insert(open[0].clone());
    for round in 0..12 {
        fleet.lost = [fleet.member(&open[0], round % 4)].into();
        let mut orders = fleet.orders();
        orders.extend(fleet.orders());
        assert!(!orders.iter().any(is_leave), "round {round}: {orders:?}");
        fleet.carry_out(&orders);
        fleet.lost.clear();
        let orders = fleet.orders();
        assert!(!orders.iter().any(is_leave), "round {round}: {orders:?}");
        fleet.carry_out(&orders);
    }
    fleet.settle();
    assert_eq!(fleet.in_phase(MemberPhase::Open), open);
}

/// Guards against a group that holds its members for ever, since one of them never answers and
/// requests hang at its head.
#[test]
fn head_of_a_member_that_stays_silent_is_ordered_to_leave() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.busy.insert(head.clone());
    fleet.lost.insert(fleet.member(&head, 1));
    let mut orders = Vec::new();
    for _ in 0..8 {
        let new = fleet.orders();
        fleet.carry_out(&new);
        orders.extend(new);
    }
    assert!(orders.iter().any(|order| order.life == head && is_leave(order)), "{orders:?}");
    assert_eq!(fleet.in_phase(MemberPhase::Open).len(), 2, "a spare took the place");
}

/// Guards against a slower repair where nothing can be cut off.
#[test]
fn head_without_requests_leaves_as_soon_as_a_member_is_lost() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.lost.insert(fleet.member(&head, 1));
    fleet.busy.insert(head.clone());
    let orders = fleet.orders();
    assert!(orders.iter().any(|order| order.life == head && is_close(order)), "{orders:?}");
    fleet.busy.clear();
    let orders = fleet.orders();
    assert!(orders.iter().any(|order| order.life == head && is_leave(order)), "{orders:?}");
}

/// Guards against a planner that ends the streams of a sound head which is silent for a second or two:
/// it was ordered to leave its group, and carried that out when it went on.
#[test]
fn head_that_is_silent_for_a_while_keeps_its_group() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let open = fleet.in_phase(MemberPhase::Open);
    fleet.lost.insert(open[0].clone());
    for _ in 0..3 {
        let orders = fleet.orders();
        assert!(!orders.iter().any(is_leave), "{orders:?}");
    }
    fleet.lost.clear();
    fleet.settle();
    assert_eq!(fleet.in_phase(MemberPhase::Open), open);
}

/// Guards against a head that never answers, though it is listed, and holds its members for ever.
#[test]
fn listed_head_that_stays_silent_is_ordered_to_leave() {
    let mut fleet = staged_fleet(8, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.lost.insert(head.clone());
    let orders: Vec<FleetOrder> = (0..8).flat_map(|_| fleet.orders()).collect();
    assert!(orders.iter().any(|order| order.life == head && is_leave(order)));
}

/// Guards against a slower repair: spares take the place of a silent head's group at once.
#[test]
fn spares_replace_the_group_of_a_silent_head_at_once() {
    let servers = (0..10).map(|index| server(index, &["big"])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("big", 2)]);
    fleet.work.insert(ModelName::from("big"), 30.0);
    fleet.settle();
    let open = fleet.in_phase(MemberPhase::Open);
    assert_eq!(open.len(), 4);
    fleet.lost.insert(open[0].clone());
    let orders = fleet.orders();
    assert_eq!(joins(&orders).len(), 2, "{orders:?}");
}

/// Guards against a silent head that carries an order out when it goes on, while another member of its
/// group is silent too.
#[test]
fn group_of_a_silent_head_and_a_silent_member_gets_no_orders() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let open = fleet.in_phase(MemberPhase::Open);
    fleet.lost = [open[0].clone(), fleet.member(&open[0], 2)].into();
    for _ in 0..4 {
        let orders = fleet.orders();
        assert!(orders.iter().all(|order| order.life != open[0]), "{orders:?}");
    }
    fleet.lost.clear();
    fleet.settle();
    assert_eq!(fleet.in_phase(MemberPhase::Open), open);
}
