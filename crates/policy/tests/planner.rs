//! Tests of single decisions of the weighted planner.

use std::time::Duration;

use comfreyturn_policy::{
    FirstFitPlanner, GroupPlanner, PlannerAction, WeightedPlanner, WeightedPlannerSettings,
};
use comfreyturn_types::{AdapterName, ModelVersionName, PlannerWeights, VmId};

use crate::planner_scene::{PlannerScene, formed_in, reassigned, retired};

#[path = "planner_common/planner_scene.rs"]
mod planner_scene;

const SECOND: Duration = Duration::from_secs(1);

/// Plans once per second for `secs` seconds, checks that every plan before the last is empty, and
/// returns the last plan.
fn plan_after(
    scene: &mut PlannerScene,
    planner: &mut dyn GroupPlanner,
    secs: u64,
) -> Vec<PlannerAction> {
    let mut actions = planner.plan(&scene.input);
    for _ in 0..secs {
        assert!(actions.is_empty(), "{actions:?}");
        scene.pass(SECOND);
        actions = planner.plan(&scene.input);
    }
    actions
}

#[test]
fn lost_member_is_replaced_within_its_fabric_domain() {
    let mut scene = PlannerScene::new(&[("fabric-1", 5), ("fabric-2", 4)], 4);
    scene.declare("a", 0, 1);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fabric-1-2");
    let actions = plan_after(&mut scene, &mut planner, 9);
    let members = ["fabric-1-0", "fabric-1-1", "fabric-1-4", "fabric-1-3"];
    assert_eq!(
        reassigned(&actions),
        vec![("g1".to_owned(), 2, members.map(str::to_owned).to_vec())]
    );
    assert_eq!(actions.len(), 1);
}

#[test]
fn short_pause_is_waited_out_where_first_fit_replaces() {
    let mut scene = PlannerScene::new(&[("fabric-1", 5)], 4);
    scene.declare("a", 0, 1);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fabric-1-2");
    assert!(plan_after(&mut scene, &mut planner, 7).is_empty());
    assert_eq!(reassigned(&FirstFitPlanner::default().plan(&scene.input)).len(), 1);
    scene.resume("fabric-1-2");
    assert!(planner.plan(&scene.input).is_empty());
}

#[test]
fn group_without_spare_is_rebuilt_elsewhere() {
    let mut scene = PlannerScene::new(&[("fabric-1", 4), ("fabric-2", 4)], 4);
    scene.declare("a", 0, 1);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fabric-1-2");
    let actions = plan_after(&mut scene, &mut planner, 9);
    assert_eq!(formed_in(&actions), ["fabric-2"]);
    assert_eq!(retired(&actions), ["g1"]);
}

#[test]
fn group_waits_for_a_spare_that_is_about_to_become_available() {
    let mut scene = PlannerScene::new(&[("fabric-1", 5), ("fabric-2", 4)], 4);
    scene.declare("a", 0, 1);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fabric-1-2");
    let spare = VmId::from("fabric-1-4");
    scene.input.vms.get_mut(&spare).unwrap().available = false;
    assert!(plan_after(&mut scene, &mut planner, 29).is_empty());
    let late = |mut scene: PlannerScene, mut planner: WeightedPlanner| {
        scene.pass(SECOND * 2);
        planner.plan(&scene.input)
    };
    assert_eq!(formed_in(&late(scene.clone(), planner.clone())), ["fabric-2"]);
    scene.input.vms.get_mut(&spare).unwrap().available = true;
    assert_eq!(reassigned(&late(scene, planner)).len(), 1);
}

#[test]
fn unrepairable_group_is_held_where_downtime_weighs_more() {
    let held = |stranded_accelerator| {
        let mut scene = PlannerScene::new(&[("fabric-1", 4)], 4);
        scene.input.weights = PlannerWeights { group_downtime: 1.0, stranded_accelerator };
        scene.declare("a", 0, 1);
        scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
        let mut planner = WeightedPlanner::default();
        planner.plan(&scene.input);
        scene.lose("fabric-1-2");
        let mut held = 0;
        while planner.plan(&scene.input).is_empty() && held < 10_000 {
            scene.pass(SECOND);
            held += 1;
        }
        held
    };
    assert!(held(0.0) > 3_600);
    assert!(held(1.0) < 15);
}

#[test]
fn holding_ends_once_it_cost_as_much_as_loading_the_group() {
    let mut scene = PlannerScene::new(&[("fabric-1", 4)], 4);
    scene.input.weights = PlannerWeights { group_downtime: 1.0, stranded_accelerator: 0.1 };
    scene.declare("a", 0, 1);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    // The whole group loads in 400 s, one VM in 100 s. Holding 12 accelerators costs as much as
    // loading the group after 400 * (1 + 16 * 0.1) / (12 * 0.1) = 867 s, which is less than the
    // 1200 s after which a lost member no longer counts as restarting.
    let mut planner = WeightedPlanner::new(WeightedPlannerSettings {
        store_bytes_per_second: 1_000_000_000,
        max_hold: Duration::from_secs(20_000),
        expected_restart: Duration::from_secs(600),
        ..Default::default()
    });
    planner.plan(&scene.input);
    scene.lose("fabric-1-2");
    let mut actions = planner.plan(&scene.input);
    let mut held = 0;
    while actions.is_empty() && held < 10_000 {
        scene.pass(SECOND);
        actions = planner.plan(&scene.input);
        held += 1;
    }
    assert_eq!(retired(&actions), ["g1"]);
    assert!((866..=880).contains(&held), "{held}");
}

#[test]
fn two_broken_groups_are_merged() {
    let mut scene = PlannerScene::new(&[("fabric-1", 8)], 4);
    scene.input.weights = PlannerWeights { group_downtime: 1.0, stranded_accelerator: 0.0 };
    scene.declare("a", 0, 2);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    scene.add_group("g2", "a", &["fabric-1-4", "fabric-1-5", "fabric-1-6", "fabric-1-7"]);
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fabric-1-0");
    scene.lose("fabric-1-7");
    let actions = plan_after(&mut scene, &mut planner, 9);
    assert_eq!(retired(&actions), ["g2"]);
    scene.carry_out(&actions);
    assert!(planner.plan(&scene.input).is_empty(), "waits for the released VMs");
    scene.free_released();
    let actions = planner.plan(&scene.input);
    assert_eq!(reassigned(&actions)[0].2[0], "fabric-1-4");
}

#[test]
fn lower_ranked_group_is_preempted_after_a_loss_longer_than_a_restart() {
    let mut scene = PlannerScene::new(&[("fabric-1", 8)], 4);
    scene.input.weights = PlannerWeights { group_downtime: 1.0, stranded_accelerator: 0.0 };
    scene.declare("a", 0, 1);
    scene.declare("b", 1, 1);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    scene.add_group("g2", "b", &["fabric-1-4", "fabric-1-5", "fabric-1-6", "fabric-1-7"]);
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fabric-1-0");
    assert!(
        plan_after(&mut scene, &mut planner, 599).is_empty(),
        "the member may still be restarting"
    );
    scene.pass(SECOND);
    let actions = planner.plan(&scene.input);
    assert_eq!(retired(&actions), ["g2"]);
    scene.carry_out(&actions);
    assert!(planner.plan(&scene.input).is_empty(), "waits for the released VMs");
    scene.free_released();
    assert_eq!(reassigned(&planner.plan(&scene.input))[0].0, "g1");
}

#[test]
fn higher_ranked_group_is_never_broken() {
    let mut scene = PlannerScene::new(&[("fabric-1", 8)], 4);
    scene.input.weights = PlannerWeights { group_downtime: 1.0, stranded_accelerator: 0.0 };
    scene.declare("a", 0, 1);
    scene.declare("b", 1, 1);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    scene.add_group("g2", "b", &["fabric-1-4", "fabric-1-5", "fabric-1-6", "fabric-1-7"]);
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fabric-1-7");
    assert!(plan_after(&mut scene, &mut planner, 1_800).is_empty());
}

#[test]
fn groups_spread_over_failure_domains_and_keep_a_spare() {
    let mut scene = PlannerScene::new(
        &[("fabric-1", 4), ("fabric-2", 6), ("fabric-3", 6), ("fabric-4", 11)],
        4,
    );
    scene.declare("a", 0, 3);
    let forms = formed_in(&WeightedPlanner::default().plan(&scene.input));
    assert_eq!(forms, ["fabric-4", "fabric-2", "fabric-3"]);
    let first = formed_in(&FirstFitPlanner::default().plan(&scene.input));
    assert_eq!(first, ["fabric-1", "fabric-2", "fabric-3"]);
}

#[test]
fn keeping_a_spare_outweighs_the_spread_over_failure_domains() {
    let mut scene = PlannerScene::new(&[("fabric-1", 4), ("fabric-2", 9)], 4);
    scene.declare("a", 0, 2);
    let forms = formed_in(&WeightedPlanner::default().plan(&scene.input));
    assert_eq!(forms, ["fabric-2", "fabric-2"]);
}

#[test]
fn last_spares_are_kept_for_a_higher_rank_where_losses_are_frequent() {
    let forms = |losses_per_vm_day| {
        let mut scene = PlannerScene::new(&[("fabric-1", 8)], 4);
        scene.input.weights = PlannerWeights { group_downtime: 1.0, stranded_accelerator: 0.0 };
        scene.declare("a", 0, 1);
        scene.declare("b", 1, 1);
        scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
        let mut planner = WeightedPlanner::new(WeightedPlannerSettings {
            losses_per_vm_day,
            ..Default::default()
        });
        formed_in(&planner.plan(&scene.input)).len()
    };
    assert_eq!(forms(0.36), 1);
    assert_eq!(forms(100.0), 0);
}

#[test]
fn loads_wait_for_the_weight_store_and_the_smallest_goes_first() {
    let mut scene = PlannerScene::new(&[("fabric-1", 5), ("fabric-2", 4), ("fabric-3", 4)], 4);
    scene.declare("a", 0, 2);
    scene.declare("b", 1, 1);
    scene.add_group("g1", "b", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    let settings =
        WeightedPlannerSettings { store_bytes_per_second: 5_000_000_000, ..Default::default() };
    let mut planner = WeightedPlanner::new(settings);
    let first = planner.plan(&scene.input);
    assert_eq!(formed_in(&first).len(), 1, "two groups exceed what the store serves at full speed");
    scene.carry_out(&first);
    scene.lose("fabric-1-0");
    let second = plan_after(&mut scene, &mut planner, 9);
    assert_eq!(reassigned(&second).len(), 1, "one more VM fits");
    assert_eq!(formed_in(&second).len(), 0);
    assert_eq!(formed_in(&FirstFitPlanner::default().plan(&scene.input)).len(), 1);
}

#[test]
fn adapters_change_one_group_at_a_time() {
    let mut scene = PlannerScene::new(&[("fabric-1", 8)], 4);
    scene.declare("a", 0, 2);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    scene.add_group("g2", "a", &["fabric-1-4", "fabric-1-5", "fabric-1-6", "fabric-1-7"]);
    scene.input.services[0].backend.adapters = vec![AdapterName::from("x")];
    let mut planner = WeightedPlanner::default();
    let actions = planner.plan(&scene.input);
    assert_eq!(reassigned(&actions).len(), 1);
    scene.carry_out(&actions);
    assert!(planner.plan(&scene.input).is_empty());
    scene.settle();
    assert_eq!(reassigned(&planner.plan(&scene.input)).len(), 1);
}

#[test]
fn versions_change_one_group_at_a_time_and_never_two_below_declared() {
    let mut scene = PlannerScene::new(&[("fabric-1", 8)], 4);
    scene.declare("a", 0, 2);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    scene.add_group("g2", "a", &["fabric-1-4", "fabric-1-5", "fabric-1-6", "fabric-1-7"]);
    let version = ModelVersionName::from("2");
    scene.input.services[0].backend.version = version.clone();
    scene.input.services[0].version.version = version.clone();
    let mut planner = WeightedPlanner::default();
    let mut rounds = 0;
    while scene.input.groups.values().any(|record| record.assignment.version != version)
        || scene.input.whole.len() < 2
    {
        let actions = planner.plan(&scene.input);
        scene.carry_out(&actions);
        assert!(!scene.input.whole.is_empty(), "round {rounds}");
        scene.pass(SECOND);
        if rounds % 4 == 3 {
            scene.free_released();
            scene.settle();
        }
        rounds += 1;
        assert!(rounds < 100);
    }
}

#[test]
fn drained_member_is_replaced_by_a_spare_or_by_a_group_formed_first() {
    let mut scene = PlannerScene::new(&[("fabric-1", 5), ("fabric-2", 4)], 4);
    scene.declare("a", 0, 1);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    scene.drain("fabric-1-0");
    assert_eq!(reassigned(&WeightedPlanner::default().plan(&scene.input)).len(), 1);

    scene.drain("fabric-1-4");
    let mut planner = WeightedPlanner::default();
    let actions = planner.plan(&scene.input);
    assert_eq!((formed_in(&actions).len(), retired(&actions).len()), (1, 0));
    scene.carry_out(&actions);
    assert!(planner.plan(&scene.input).is_empty());
    scene.settle();
    assert_eq!(retired(&planner.plan(&scene.input)), ["g1"]);
}

#[test]
fn surplus_and_undeclared_groups_are_retired() {
    let mut scene = PlannerScene::new(&[("fabric-1", 12)], 4);
    scene.declare("a", 0, 1);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    scene.add_group("g2", "a", &["fabric-1-4", "fabric-1-5", "fabric-1-6", "fabric-1-7"]);
    scene.add_group("g3", "gone", &["fabric-1-8", "fabric-1-9", "fabric-1-10", "fabric-1-11"]);
    assert_eq!(retired(&WeightedPlanner::default().plan(&scene.input)), ["g3", "g2"]);
}

/// Two groups of a service, one of them broken and held, and a change of adapters.
fn change_beside_broken_group() -> (PlannerScene, WeightedPlanner) {
    let mut scene = PlannerScene::new(&[("fabric-1", 8)], 4);
    scene.input.weights = PlannerWeights { group_downtime: 1.0, stranded_accelerator: 0.0 };
    scene.declare("a", 0, 2);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    scene.add_group("g2", "a", &["fabric-1-4", "fabric-1-5", "fabric-1-6", "fabric-1-7"]);
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fabric-1-0");
    scene.input.services[0].backend.adapters = vec![AdapterName::from("x")];
    (scene, planner)
}

#[test]
fn change_waits_while_another_group_is_broken() {
    let (mut scene, mut planner) = change_beside_broken_group();
    assert!(plan_after(&mut scene, &mut planner, 599).is_empty());
}

#[test]
fn change_resumes_once_a_service_has_been_short_for_long() {
    let (mut scene, mut planner) = change_beside_broken_group();
    assert!(plan_after(&mut scene, &mut planner, 599).is_empty());
    scene.pass(SECOND);
    let actions = planner.plan(&scene.input);
    assert_eq!(reassigned(&actions)[0].0, "g2");
}

#[test]
fn version_change_waits_for_released_vms() {
    let mut scene = PlannerScene::new(&[("fabric-1", 12)], 4);
    scene.declare("a", 0, 2);
    scene.add_group("g1", "a", &["fabric-1-0", "fabric-1-1", "fabric-1-2", "fabric-1-3"]);
    scene.add_group("g2", "a", &["fabric-1-4", "fabric-1-5", "fabric-1-6", "fabric-1-7"]);
    let version = ModelVersionName::from("2");
    scene.input.services[0].backend.version = version.clone();
    scene.input.services[0].version.version = version;
    let mut planner = WeightedPlanner::default();
    let actions = planner.plan(&scene.input);
    assert_eq!(formed_in(&actions).len(), 1);
    assert!(retired(&actions).is_empty(), "the new group is formed first");
    scene.carry_out(&actions);
    scene.settle();
    let actions = planner.plan(&scene.input);
    assert_eq!(retired(&actions).len(), 1);
    scene.carry_out(&actions);
    assert!(planner.plan(&scene.input).is_empty(), "the next group is formed of the released VMs");
}
