//! Plans under large faults, and validity of plans under random faults.

use std::time::Duration;

use comfreyturn_policy::{
    FirstFitPlanner, GroupPlanner, PlannerAction, WeightedPlanner, WeightedPlannerSettings,
};
use comfreyturn_types::{PlannerWeights, VmId, VmPhase};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::planner_scene::{PlannerScene, formed_in, reassigned, retired};

#[path = "planner_common/planner_scene.rs"]
mod planner_scene;

const SECOND: Duration = Duration::from_secs(1);

/// Two fabric domains with two groups each, and a third one without groups.
fn scene() -> PlannerScene {
    let mut scene = PlannerScene::new(&[("fa", 8), ("fb", 8), ("fc", 8)], 4);
    scene.declare("a", 0, 4);
    scene.add_group("g1", "a", &["fa-0", "fa-1", "fa-2", "fa-3"]);
    scene.add_group("g2", "a", &["fa-4", "fa-5", "fa-6", "fa-7"]);
    scene.add_group("g3", "a", &["fb-0", "fb-1", "fb-2", "fb-3"]);
    scene.add_group("g4", "a", &["fb-4", "fb-5", "fb-6", "fb-7"]);
    scene
}

/// Makes an unresponsive VM respond again with its state lost.
fn restart(scene: &mut PlannerScene, vm: &str) {
    let state = scene.input.vms.get_mut(&VmId::from(vm)).unwrap();
    if let Some(report) = state.report.as_mut() {
        report.phase = VmPhase::Idle;
        report.assignment = None;
    }
    scene.resume(vm);
}

/// Plans and applies the actions once per second. Returns all actions.
fn run(scene: &mut PlannerScene, planner: &mut dyn GroupPlanner, secs: u64) -> Vec<PlannerAction> {
    let mut all = Vec::new();
    for second in 0..secs {
        scene.pass(SECOND);
        let actions = planner.plan(&scene.input);
        scene.carry_out(&actions);
        all.extend(actions);
        if second % 6 == 5 {
            scene.free_released();
        }
    }
    all
}

#[test]
fn lost_fabric_domain_is_rebuilt_once() {
    let mut scene = scene();
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    (0..8).for_each(|n| scene.lose(&format!("fa-{n}")));
    let actions = run(&mut scene, &mut planner, 30);
    assert_eq!(formed_in(&actions), ["fc", "fc"]);
    assert_eq!(retired(&actions), ["g1", "g2"]);
    scene.settle();
    assert_eq!(scene.input.whole.len(), 4);
    (0..8).for_each(|n| restart(&mut scene, &format!("fa-{n}")));
    assert!(run(&mut scene, &mut planner, 60).is_empty());
}

#[test]
fn groups_of_lost_fabric_domain_are_held_without_replacement() {
    let mut scene = PlannerScene::new(&[("fa", 4), ("fb", 8)], 4);
    scene.declare("a", 0, 3);
    scene.add_group("g1", "a", &["fa-0", "fa-1", "fa-2", "fa-3"]);
    scene.add_group("g2", "a", &["fb-0", "fb-1", "fb-2", "fb-3"]);
    scene.add_group("g3", "a", &["fb-4", "fb-5", "fb-6", "fb-7"]);
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    (0..4).for_each(|n| scene.lose(&format!("fa-{n}")));
    assert!(run(&mut scene, &mut planner, 120).is_empty());
    (0..4).for_each(|n| scene.resume(&format!("fa-{n}")));
    assert!(run(&mut scene, &mut planner, 30).is_empty());
    assert_eq!(scene.input.whole.len(), 3);
}

/// If most VMs become unresponsive at once, the planner's node is likelier isolated than the VMs
/// lost.
#[test]
fn loss_of_most_vms_at_once_delays_plans_for_a_bounded_time() {
    let mut scene = scene();
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    let lost: Vec<String> = ["fa", "fb"]
        .iter()
        .flat_map(|domain| (0..8).map(move |n| format!("{domain}-{n}")))
        .collect();
    lost.iter().for_each(|vm| scene.lose(vm));
    assert!(run(&mut scene, &mut planner, 200).is_empty());
    assert_eq!(retired(&FirstFitPlanner::default().plan(&scene.input)).len(), 4);
    let late = run(&mut scene, &mut planner, 200);
    assert_eq!(formed_in(&late).len(), 2, "the wait is bounded");
}

#[test]
fn loss_of_half_the_vms_is_acted_on() {
    let mut scene = scene();
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    (0..8).for_each(|n| scene.lose(&format!("fa-{n}")));
    (0..4).for_each(|n| scene.lose(&format!("fb-{n}")));
    assert_eq!(formed_in(&run(&mut scene, &mut planner, 30)).len(), 2);
}

#[test]
fn mass_restart_changes_no_group() {
    let mut scene = scene();
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    let names: Vec<String> = scene.input.vms.keys().map(ToString::to_string).collect();
    names.iter().for_each(|vm| scene.lose(vm));
    assert!(run(&mut scene, &mut planner, 120).is_empty());
    names.iter().for_each(|vm| restart(&mut scene, vm));
    assert!(run(&mut scene, &mut planner, 30).is_empty());
    scene.settle();
    assert_eq!(scene.input.whole.len(), 4);
}

/// A table outage that outlasts the lease leaves a gap between two plans. VMs that became
/// unresponsive during the gap must not count as lost at once.
#[test]
fn gap_between_plans_is_not_counted_as_unresponsiveness() {
    let mut scene = scene();
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fa-0");
    scene.pass(Duration::from_secs(120));
    scene.lose("fb-0");
    assert!(
        run(&mut scene, &mut planner, 5).is_empty(),
        "unresponsive time counts from the first plan after the gap"
    );
    scene.resume("fa-0");
    scene.resume("fb-0");
    assert!(run(&mut scene, &mut planner, 60).is_empty());
    assert_eq!(scene.input.whole.len(), 4);
}

/// Applies random faults and changes to a fleet, and checks every plan.
fn run_random_faults(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut scene = PlannerScene::new(&[("fa", 13), ("fb", 9), ("fc", 8), ("fd", 4)], 4);
    scene.input.weights.stranded_accelerator = [0.0, 0.01, 1.0][rng.random_range(0..3)];
    scene.declare("a", 0, 3);
    scene.declare("b", 1, 3);
    scene.declare("c", 2, 2);
    let mut planner = WeightedPlanner::new(WeightedPlannerSettings {
        store_bytes_per_second: [1, 8, 64][rng.random_range(0..3)] * 1_000_000_000,
        ..Default::default()
    });
    let names: Vec<String> = scene.input.vms.keys().map(ToString::to_string).collect();
    for _ in 0..400 {
        let vm = &names[rng.random_range(0..names.len())];
        match rng.random_range(0..20) {
            0 | 1 => scene.lose(vm),
            2 | 3 => scene.resume(vm),
            4 => restart(&mut scene, vm),
            5 => scene.drain(vm),
            6 => names.iter().filter(|vm| vm.starts_with("fa")).for_each(|vm| scene.lose(vm)),
            7 => names.iter().for_each(|vm| scene.resume(vm)),
            8 | 9 => scene.settle(),
            10 | 11 => scene.free_released(),
            12 => scene.input.services[0].backend.groups = rng.random_range(0..5),
            _ => {}
        }
        let actions = planner.plan(&scene.input);
        scene.carry_out(&actions);
        scene.pass(Duration::from_secs(rng.random_range(0..20)));
    }
}

#[test]
fn plans_stay_valid_under_random_faults() {
    (0..64).for_each(run_random_faults);
}

#[test]
fn plans_are_the_same_for_the_same_input() {
    let plans = || {
        let mut scene = scene();
        scene.input.weights = PlannerWeights::default();
        let mut planner = WeightedPlanner::default();
        planner.plan(&scene.input);
        ["fa-1", "fa-5", "fb-2"].iter().for_each(|vm| scene.lose(vm));
        let actions = run(&mut scene, &mut planner, 60);
        assert!(!reassigned(&actions).is_empty() || !retired(&actions).is_empty());
        actions
    };
    assert_eq!(plans(), plans());
}
