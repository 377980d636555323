//! What large faults make of plans, and that plans are valid whatever happens.

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

/// Two fabric domains with two groups each, and a third one that is free.
fn scene() -> PlannerScene {
    let mut scene = PlannerScene::new(&[("fa", 8), ("fb", 8), ("fc", 8)], 4);
    scene.declare("a", 0, 4);
    scene.add_group("g1", "a", &["fa-0", "fa-1", "fa-2", "fa-3"]);
    scene.add_group("g2", "a", &["fa-4", "fa-5", "fa-6", "fa-7"]);
    scene.add_group("g3", "a", &["fb-0", "fb-1", "fb-2", "fb-3"]);
    scene.add_group("g4", "a", &["fb-4", "fb-5", "fb-6", "fb-7"]);
    scene
}

/// A silent VM is heard again, and forgot everything.
fn restart(scene: &mut PlannerScene, vm: &str) {
    let state = scene.input.vms.get_mut(&VmId::from(vm)).unwrap();
    if let Some(report) = state.report.as_mut() {
        report.phase = VmPhase::Idle;
        report.assignment = None;
    }
    scene.resume(vm);
}

/// Plans each second; gives all actions, after they were carried out.
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
fn dark_fabric_domain_is_built_anew_once() {
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
fn dark_fabric_domain_that_nothing_replaces_is_kept_for_its_return() {
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

#[test]
fn silence_of_most_vms_is_taken_for_being_cut_off() {
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
fn silence_of_half_the_vms_is_believed() {
    let mut scene = scene();
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    (0..8).for_each(|n| scene.lose(&format!("fa-{n}")));
    (0..4).for_each(|n| scene.lose(&format!("fb-{n}")));
    assert_eq!(formed_in(&run(&mut scene, &mut planner, 30)).len(), 2);
}

#[test]
fn mass_restart_moves_nothing_once_all_are_back() {
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

#[test]
fn table_outage_longer_than_the_lease_is_not_taken_for_silence() {
    let mut scene = scene();
    let mut planner = WeightedPlanner::default();
    planner.plan(&scene.input);
    scene.lose("fa-0");
    scene.pass(Duration::from_secs(120));
    scene.lose("fb-0");
    assert!(run(&mut scene, &mut planner, 5).is_empty(), "silences count from the first plan on");
    scene.resume("fa-0");
    scene.resume("fb-0");
    assert!(run(&mut scene, &mut planner, 60).is_empty());
    assert_eq!(scene.input.whole.len(), 4);
}

/// A fleet in which anything happens at any moment.
fn chaos(seed: u64) {
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
fn plans_are_valid_whatever_happens() {
    (0..64).for_each(chaos);
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
