//! Forming and opening groups.

use comfreyturn_policy::{FleetPlanner, FleetPlannerSettings, is_standby_group};
use comfreyturn_ports::FleetAction;
use comfreyturn_types::{GroupId, GroupMembership, MemberPhase};

use crate::test_fleet::{TestFleet, joins, server, set_phase, staged_fleet};

#[test]
fn groups_stay_within_a_fabric_domain() {
    let mut fleet = staged_fleet(20, 16);
    fleet.settle();
    assert_eq!(fleet.in_phase(MemberPhase::Open).len(), 4);
    for server in &fleet.servers {
        let Some(own) = &server.membership else { continue };
        let mates = fleet.servers.iter().filter(|other| {
            other.membership.as_ref().is_some_and(|membership| membership.group == own.group)
        });
        assert!(mates.into_iter().all(|other| other.fabric_domain == server.fabric_domain));
    }
}

#[test]
fn no_server_is_ordered_to_join_before_the_row_is_written() {
    let mut fleet = staged_fleet(10, 8);
    let first = fleet.plan_once();
    assert!(joins(&first).is_empty());
    let (written, removed) = fleet.planner.row_changes();
    assert_eq!((written.len(), removed.len()), (2, 0), "two groups of ten servers");
    assert!(joins(&fleet.plan_once()).is_empty());
    fleet.planner.record_rows(&written, &removed);
    assert_eq!(joins(&fleet.plan_once()).len(), 8);
}

#[test]
fn head_opens_once_every_member_is_ready() {
    let mut fleet = staged_fleet(10, 8);
    let orders = fleet.orders();
    fleet.carry_out(&orders);
    for server in &mut fleet.servers[..] {
        if server.life.vm.as_str() == "vm-01" {
            set_phase(server, MemberPhase::Joining);
        }
    }
    let opened: Vec<_> = fleet.orders().into_iter().map(|order| order.action).collect();
    let open = |action: &&FleetAction| matches!(action, FleetAction::Open { .. });
    assert_eq!(opened.iter().filter(open).count(), 1, "only the group without vm-01 opens");
}

#[test]
fn new_planner_keeps_groups_that_serve() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let records = fleet.records();
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    assert!(fleet.orders().is_empty());
}

#[test]
fn restarted_server_belongs_to_no_group() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    let server = fleet.servers.iter_mut().find(|server| server.life == head).unwrap();
    server.life.born = 2;
    server.membership = None;
    for _ in 0..3 {
        let orders = fleet.orders();
        fleet.carry_out(&orders);
    }
    assert_eq!(fleet.in_phase(MemberPhase::Open).len(), 2);
}

#[test]
fn epochs_rise_from_planner_to_planner() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let epoch = |fleet: &TestFleet| {
        let memberships = fleet.servers.iter().filter_map(|server| server.membership.as_ref());
        memberships.map(|membership| membership.epoch).max().unwrap()
    };
    let before = epoch(&fleet);
    for server in &mut fleet.servers {
        server.membership = None;
    }
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.settle();
    assert!(epoch(&fleet) > before);
}

/// Guards against an entry of another writer whose epoch ends the process of each planner, or keeps
/// epochs from rising; and one whose rank or group does not exist.
#[test]
fn membership_with_odd_numbers_does_not_disturb_other_groups() {
    let epochs = [u64::MAX, u64::MAX - 1, u64::MAX - 5, u64::MAX / 2, 1 << 53, 0];
    let ranks = [0, 3, 4, u32::MAX];
    let groups = ["big.7", "big.18446744073709551615", "other", ""];
    for (epoch, rank, group) in
        epochs.iter().flat_map(|epoch| ranks.iter().map(move |rank| (epoch, rank))).flat_map(
            |(epoch, rank)| groups.iter().map(move |group| (*epoch, *rank, GroupId::from(*group))),
        )
    {
        let odd = GroupMembership { group, epoch, rank, phase: MemberPhase::Open };
        let mut fleet = staged_fleet(9, 8);
        fleet.servers.push(server(95, &["big"]));
        let mut newest = 0;
        for fencing in [1, 2, 3] {
            fleet.planner = FleetPlanner::new(fencing, FleetPlannerSettings::default());
            for server in &mut fleet.servers {
                server.membership = None;
            }
            for _ in 0..6 {
                fleet.servers[9].membership = Some(odd.clone());
                let orders = fleet.orders();
                fleet.carry_out(&orders);
            }
            let members = fleet.servers[..9].iter().filter_map(|server| server.membership.as_ref());
            let members: Vec<_> = members.filter(|place| !is_standby_group(&place.group)).collect();
            assert_eq!(members.len(), 8, "{odd:?}");
            let oldest = members.iter().map(|place| place.epoch).min().unwrap();
            assert!(oldest > newest, "epochs rise from planner to planner: {odd:?}");
            newest = members.iter().map(|place| place.epoch).max().unwrap();
            assert!(newest < 1 << 53, "{odd:?}");
        }
    }
}
