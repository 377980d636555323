//! Tests of whole groups, watchers and the first-fit planner.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use comfreyturn_policy::*;
use comfreyturn_types::*;

const INCARNATION: Incarnation = Incarnation(1);

fn assignment(generation: u64, members: &[&str]) -> GroupAssignment {
    GroupAssignment {
        group: "g".into(),
        generation: GroupGeneration(generation),
        service: "assistant".into(),
        model: "drafts".into(),
        version: "v1".into(),
        adapters: Vec::new(),
        members: members.iter().map(|vm| VmId::from(*vm)).collect(),
    }
}

fn record(vm: &str) -> VmRecord {
    VmRecord {
        vm: vm.into(),
        role: VmRole::Engine { accelerators: 8 },
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "domain".into(),
        fabric_domain: "fabric".into(),
        leaving: false,
    }
}

fn report(vm: &str, assignment: Option<GroupAssignment>) -> VmReport {
    VmReport {
        vm: vm.into(),
        incarnation: INCARNATION,
        phase: if assignment.is_some() { VmPhase::Ready } else { VmPhase::Idle },
        leaving: false,
        assignment,
        fencing: None,
        load: VmLoad::default(),
    }
}

fn whole_table(now: Instant) -> GroupTable {
    let mut table = GroupTable::default();
    table.set_records([record("a"), record("b")]);
    for vm in ["a", "b"] {
        table.observe(now, now, &vm.into(), Some(report(vm, Some(assignment(1, &["a", "b"])))));
    }
    table
}

fn is_whole(table: &GroupTable, now: Instant) -> bool {
    table.whole_groups(now, &"assistant".into()).len() == 1
}

#[test]
fn group_is_whole_while_all_reports_are_fresh_and_agree() {
    let now = Instant::now();
    let table = whole_table(now);
    assert!(is_whole(&table, now + EVIDENCE_LIFETIME));
    assert!(!is_whole(&table, now + EVIDENCE_LIFETIME + Duration::from_millis(1)));

    let mut moved = table.clone();
    let place = Some(assignment(2, &["a", "b"]));
    moved.observe(now, now, &"b".into(), Some(report("b", place)));
    assert!(!is_whole(&moved, now));

    let mut unlisted = table.clone();
    unlisted.set_records([record("a")]);
    assert!(!is_whole(&unlisted, now));
}

#[test]
fn loss_holds_until_a_later_poll_and_leaving_for_good() {
    let now = Instant::now();
    let later = now + Duration::from_millis(100);
    let mut table = whole_table(now);
    let good = report("b", Some(assignment(1, &["a", "b"])));
    table.observe_lost(later, &"b".into());
    table.observe(later, now, &"b".into(), Some(good.clone()));
    assert!(!is_whole(&table, later), "a poll sent before the loss proves nothing");
    let again = later + Duration::from_millis(1);
    table.observe(again, again, &"b".into(), Some(good.clone()));
    assert!(is_whole(&table, again));

    table.observe_leaving(&"b".into(), INCARNATION);
    table.observe(again, again, &"b".into(), Some(good));
    assert!(!is_whole(&table, again), "an announcement of leaving is final for the incarnation");
}

#[test]
fn watchers_are_in_different_failure_domains() {
    let address = ([127, 0, 0, 1], 1).into();
    let members = (0..6).map(|number| RosterMember {
        node: NodeId::from(format!("n{number}")),
        incarnation: INCARNATION,
        vm: "vm".into(),
        failure_domain: FailureDomain::from(format!("d{}", number % 3)),
        peer_address: address,
        caller_address: address,
        operator_address: address,
    });
    let roster = Roster { members: members.map(|m| (m.node.clone(), m)).collect() };
    for number in 0..50 {
        let watchers = watchers_of(&VmId::from(format!("vm-{number}")), &roster);
        let domains: BTreeSet<_> =
            watchers.iter().map(|node| &roster.members[*node].failure_domain).collect();
        assert_eq!((watchers.len(), domains.len()), (2, 2));
    }
}

fn planner_input(vms: &[(&str, Duration)], groups: Vec<GroupRecord>) -> PlannerInput {
    let held = |vm: &VmId| groups.iter().any(|record| record.assignment.members.contains(vm));
    let vms = vms.iter().map(|(name, unresponsive_for)| {
        let record = record(name);
        let available = !held(&record.vm) && unresponsive_for.is_zero();
        let vm = PlannerVm {
            record,
            owner: VmOwner::default(),
            report: None,
            unresponsive_for: *unresponsive_for,
            leaving: false,
            drained: false,
            available,
        };
        (VmId::from(*name), vm)
    });
    let backend = ModelBackend {
        model: "drafts".into(),
        version: "v1".into(),
        adapters: Vec::new(),
        groups: 1,
        rank: 0,
    };
    let version = ModelVersion {
        model: "drafts".into(),
        version: "v1".into(),
        vms_per_group: 2,
        weight_bytes: 1,
    };
    PlannerInput {
        now: Instant::now(),
        services: vec![WantedService { service: "assistant".into(), backend, version }],
        vms: vms.collect(),
        groups: groups.into_iter().map(|r| (r.assignment.group.clone(), r)).collect(),
        whole: BTreeSet::new(),
        weights: PlannerWeights::default(),
        new_names: vec!["new".into()],
    }
}

fn group_record(members: &[&str]) -> GroupRecord {
    let phase = GroupPhase::Active;
    GroupRecord { assignment: assignment(1, members), fabric_domain: "fabric".into(), phase }
}

#[test]
fn first_fit_forms_replaces_and_retires() {
    let mut planner = FirstFitPlanner::default();
    let (here, lost) = (Duration::ZERO, Duration::from_secs(60));

    let formed = planner.plan(&planner_input(&[("a", here), ("b", here), ("c", here)], vec![]));
    let [PlannerAction::Form { assignment: new, .. }] = &formed[..] else { panic!("{formed:?}") };
    assert_eq!(new.members, [VmId::from("a"), VmId::from("b")]);

    let vms = [("a", here), ("b", lost), ("c", here)];
    let replaced = planner.plan(&planner_input(&vms, vec![group_record(&["a", "b"])]));
    let expected = PlannerAction::Reassign { assignment: assignment(2, &["a", "c"]) };
    assert_eq!(replaced, [expected]);

    let vms = [("a", here), ("b", lost)];
    let retired = planner.plan(&planner_input(&vms, vec![group_record(&["a", "b"])]));
    assert_eq!(retired, [PlannerAction::Retire { group: "g".into() }]);

    let mut unwanted = planner_input(&[("a", here), ("b", here)], vec![group_record(&["a", "b"])]);
    unwanted.services.clear();
    assert_eq!(planner.plan(&unwanted), [PlannerAction::Retire { group: "g".into() }]);
}
