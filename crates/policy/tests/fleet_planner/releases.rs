//! Dissolving groups, and freeing their members.

use comfreyturn_policy::{
    FleetOrder, FleetPlanner, FleetPlannerSettings, StaleCause, newest_places,
};
use comfreyturn_ports::{FleetAction, OrderOutcome};
use comfreyturn_types::{
    FailureDomain, FleetGroupRecord, FleetServer, GroupId, GroupMembership, MemberPhase,
    MemberRecord, ModelName, ServiceName,
};

use crate::test_fleet::{is_leave, joins, server, set_phase, staged_fleet};

#[test]
fn lost_member_is_replaced_by_a_spare_after_the_head_left() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    let group = fleet.servers.iter().find(|server| server.life == head).unwrap();
    let group = group.membership.clone().unwrap().group;
    let member = fleet.servers.iter().find(|server| {
        let membership = server.membership.as_ref();
        membership.is_some_and(|own| own.group == group && own.rank == 2)
    });
    fleet.lost.insert(member.unwrap().life.clone());
    let orders = fleet.orders();
    assert!(orders.iter().any(|order| order.life == head && is_leave(order)));
    assert!(joins(&orders).is_empty(), "members wait until the head has left");
    fleet.carry_out(&orders);
    let orders = fleet.orders();
    assert_eq!(joins(&orders).len(), 4, "the remaining members and a spare form a new group");
    assert!(orders.iter().all(|order| !fleet.lost.contains(&order.life)));
}

#[test]
fn unreachable_head_that_is_listed_keeps_its_members() {
    let mut fleet = staged_fleet(8, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.lost.insert(head);
    for _ in 0..20 {
        assert!(
            joins(&fleet.orders()).is_empty(),
            "the head may still serve requests of other nodes"
        );
    }
}

/// Guards against a server in two groups: a head that nobody hears may still be open (TWO).
#[test]
fn head_that_is_neither_listed_nor_reachable_frees_its_members_once_they_have_left() {
    let mut fleet = staged_fleet(8, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.lost.insert(head.clone());
    fleet.unlisted.insert(head.clone());
    fleet.servers.extend((8..10).map(|index| server(index, &["big"])));
    let mut orders = fleet.orders();
    orders.extend(fleet.orders());
    assert!(joins(&orders).is_empty(), "the members have not left");
    let left: Vec<FleetOrder> =
        orders.into_iter().filter(|order| is_leave(order) && order.life != head).collect();
    assert_eq!(left.len(), 3);
    for order in &left {
        fleet.planner.record_outcome(fleet.now, order, OrderOutcome::Outdated);
    }
    assert!(joins(&fleet.orders()).is_empty(), "refused orders prove nothing");
    for order in &left {
        fleet.planner.record_outcome(fleet.now, order, OrderOutcome::Taken);
    }
    assert_eq!(joins(&fleet.orders()).len(), 4);
}

/// Guards against a server in two groups: a planner that does not know the group of a member, and
/// does not hear its head, must not take the member for free (TWO).
#[test]
fn member_of_an_unknown_group_without_a_listed_head_leaves_it_first() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.servers.retain(|server| server.life != head);
    // The row was lost, or removed while all members were unlisted.
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    let orders = fleet.orders();
    assert!(joins(&orders).is_empty(), "the members have not left");
    assert_eq!(orders.iter().filter(|order| is_leave(order)).count(), 3);
    assert!(joins(&fleet.orders()).is_empty(), "nor have they on the second look");
    fleet.carry_out(&orders);
    assert_eq!(joins(&fleet.orders()).len(), 4);
}

/// Guards against a server that is taken for a member of an older group whose row was left (TWO).
#[test]
fn server_that_only_rows_name_is_in_the_newest_of_its_groups() {
    let member = |index: usize| MemberRecord {
        life: server(index, &[]).life,
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: FailureDomain::from("z"),
    };
    let record = |name: &str, epoch: u64, members: &[usize]| FleetGroupRecord {
        group: GroupId::from(name),
        service: ServiceName::from("pool"),
        epoch,
        model: ModelName::from("big"),
        members: members.iter().copied().map(member).collect(),
    };
    // The older group's row comes first, as rows are sorted by name.
    let records =
        [record("big.1000007", 1_000_007, &[5, 6]), record("big.3000003", 3_000_003, &[7, 5])];
    let places = newest_places(&records);
    let place = |index: usize| {
        let (record, rank) = places[&server(index, &[]).life];
        (record.group.as_str().to_owned(), rank)
    };
    assert_eq!(place(5), ("big.3000003".to_owned(), 1));
    assert_eq!(place(6), ("big.1000007".to_owned(), 1));
    assert_eq!(place(7), ("big.3000003".to_owned(), 0));
}

/// Guards against members that are freed by a list that is older than an order to open (TWO).
#[test]
fn head_that_an_earlier_planner_may_have_opened_frees_no_member_by_the_list_alone() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let records = fleet.records();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    let group = fleet.servers.iter().find(|server| server.life == head).unwrap();
    let group = group.membership.clone().unwrap().group;
    let in_group = |server: &&mut FleetServer| {
        server.membership.as_ref().is_some_and(|own| own.group == group)
    };
    for server in fleet.servers.iter_mut().filter(in_group) {
        if server.life == head {
            set_phase(server, MemberPhase::Ready);
        } else if server.membership.as_ref().is_some_and(|own| own.rank == 3) {
            server.membership = None;
        }
    }
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    let orders = fleet.orders();
    assert!(joins(&orders).is_empty(), "the list may be older than an order to open");
    assert_eq!(orders.iter().filter(|order| is_leave(order)).count(), 3);
    fleet.carry_out(&orders);
    assert_eq!(joins(&fleet.orders()).len(), 4);
}

/// Guards against a group that is ended because the entry of a member went back, though it serves.
#[test]
fn group_stays_as_it_is_until_its_members_have_told_their_places() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let (entries, records) = (fleet.servers.clone(), fleet.records());
    let is_second = |own: &GroupMembership| own.rank == 1;
    let member = fleet.servers.iter_mut().find(|s| s.membership.as_ref().is_some_and(is_second));
    let member = member.unwrap();
    member.membership = None;
    let life = member.life.clone();
    fleet.stale.mark(fleet.now, &life, StaleCause::Contradicted);
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    for _ in 0..4 {
        assert_eq!(fleet.orders(), Vec::new());
    }
    fleet.servers = entries;
    assert!(fleet.stale.record_report(&life, fleet.now));
    assert_eq!(fleet.orders(), Vec::new(), "the group serves");
    // A member that doesn't answer holds up nothing, and joins nothing.
    fleet.stale.mark(fleet.now, &life, StaleCause::Contradicted);
    fleet.lost.insert(life.clone());
    let orders: Vec<FleetOrder> = (0..4).flat_map(|_| fleet.orders()).collect();
    assert!(orders.iter().any(is_leave), "the group has lost a member");
    assert!(orders.iter().all(|order| order.life != life));
}

#[test]
fn unlisted_head_that_answers_keeps_its_members_until_it_has_left() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.unlisted.insert(head.clone());
    let orders = fleet.orders();
    let leave = orders.iter().find(|order| order.life == head).unwrap().clone();
    assert!(matches!(leave.action, FleetAction::Leave { .. }));
    assert!(joins(&fleet.orders()).is_empty());
    fleet.planner.record_outcome(fleet.now, &leave, OrderOutcome::Outdated);
    assert!(joins(&fleet.orders()).is_empty(), "a refused order does not prove that the head left");
    fleet.planner.record_outcome(fleet.now, &leave, OrderOutcome::Taken);
    assert_eq!(joins(&fleet.orders()).len(), 4);
}

/// Guards against requests that are cut off at a sound head whose entry lapsed, because it is cut off
/// from the store only (LOST).
#[test]
fn unlisted_head_that_answers_leaves_once_its_requests_have_ended() {
    for ends in [true, false] {
        let mut fleet = staged_fleet(10, 8);
        fleet.settle();
        let head = fleet.in_phase(MemberPhase::Open)[0].clone();
        fleet.unlisted.insert(head.clone());
        fleet.busy.insert(head.clone());
        for _ in 0..9 {
            let orders = fleet.orders();
            assert!(!orders.iter().any(is_leave), "{orders:?}");
            assert!(joins(&orders).is_empty());
        }
        if ends {
            fleet.busy.clear();
        } else {
            fleet.orders();
        }
        let orders = fleet.orders();
        assert!(orders.iter().any(|order| order.life == head && is_leave(order)), "{orders:?}");
    }
}

#[test]
fn unlisted_member_that_answers_leaves_its_group_alone() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let member = fleet
        .servers
        .iter()
        .find(|server| server.membership.as_ref().is_some_and(|membership| membership.rank == 1));
    let member = member.unwrap().life.clone();
    fleet.unlisted.insert(member);
    assert!(fleet.orders().is_empty());
}

#[test]
fn new_planner_holds_members_of_a_head_that_only_the_row_names() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let records = fleet.records();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    // The head lost its connection to the platform. The new planner never saw it listed and knows
    // it only from the row.
    fleet.unlisted.insert(head);
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    for _ in 0..5 {
        assert!(joins(&fleet.orders()).is_empty());
    }
}
