//! Replays losses of VMs at the rates of the target fleet through planners, in virtual time, and
//! prints group downtime and stranded accelerators for each planner.
//!
//! `cargo bench -p comfreyturn_policy --bench planner_replay -- --seed 1 --seeds 1`
//!
//! With `--plots DIR` it also writes the plots of the first seed.

use std::time::Duration;

use comfreyturn_policy::{FirstFitPlanner, GroupPlanner, WeightedPlanner, WeightedPlannerSettings};
use comfreyturn_types::PlannerWeights;

use crate::replay::{
    FaultRates, FleetFault, FleetPlan, PlotPoint, PlotResult, ReplayFlags, ReplayFleet,
    ReplaySummary, VM_BYTES_PER_SECOND, draw_plot,
};

mod replay;

const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(86_400);

/// Cost of one stranded accelerator second, relative to one second of a missing group.
const RATIOS: [f64; 5] = [0.0, 0.003, 0.03, 0.1, 1.0];

/// Number of replays that run concurrently.
const THREADS: usize = 3;

fn fleet(name: &'static str, domain_loss_at: Option<Duration>, hours: u32) -> FleetPlan {
    FleetPlan {
        name,
        vms: 11_000,
        failure_domains: 23,
        fabric_size: 64,
        group_size: 8,
        declared: vec![400, 350, 250, 150, 100, 39],
        store_bytes_per_second: 24_000_000_000,
        tick: Duration::from_secs(10),
        domain_loss_at,
        length: HOUR * hours,
    }
}

fn site(name: &'static str, declared: Vec<u32>, days: u32) -> FleetPlan {
    FleetPlan {
        name,
        vms: 60,
        failure_domains: 3,
        fabric_size: 20,
        group_size: 4,
        declared,
        store_bytes_per_second: 2_000_000_000,
        tick: Duration::from_secs(5),
        domain_loss_at: None,
        length: DAY * days,
    }
}

fn main() -> PlotResult<()> {
    let flags = ReplayFlags::from_env_or_exit();
    let first = flags.seed.unwrap_or(1);
    let site_days = flags.site_days.unwrap_or(365);
    let plans = [
        site("site", vec![9, 5], site_days),
        site("full-site", vec![9, 6], site_days),
        fleet("dark-fleet", Some(HOUR), flags.dark_hours.unwrap_or(4)),
        fleet("fleet", None, flags.fleet_hours.unwrap_or(24)),
    ];
    for seed in first..first + flags.seeds.unwrap_or(1) {
        for plan in plans.iter().filter(|plan| !plan.length.is_zero()) {
            let points = sweep(plan, seed);
            if let Some(dir) = flags.plots.as_ref().filter(|_| seed == first) {
                let title = format!("{}, seed {seed}", plan.name);
                draw_plot(&dir.join(format!("planner-{}.svg", plan.name)), &title, &points)?;
            }
        }
    }
    Ok(())
}

/// Replays one fleet under all planners, and prints a line for each.
fn sweep(plan: &FleetPlan, seed: u64) -> Vec<PlotPoint> {
    let faults = FaultRates::default().draw(plan, seed, plan.length);
    println!("{}, seed {seed}, {} faults", plan.name, faults.len());
    let mut variants: Vec<Option<f64>> = vec![None];
    variants.extend(RATIOS.map(Some));
    let mut points = Vec::new();
    for chunk in variants.chunks(THREADS) {
        let summaries: Vec<ReplaySummary> = std::thread::scope(|scope| {
            let runs: Vec<_> =
                chunk.iter().map(|ratio| scope.spawn(|| replay(plan, &faults, *ratio))).collect();
            runs.into_iter().map(|run| run.join().expect("a replay")).collect()
        });
        for (ratio, summary) in chunk.iter().zip(summaries) {
            let label = ratio.map_or("first fit".into(), |ratio| format!("{ratio}"));
            println!("  {label:<10} {summary}");
            points.push(PlotPoint { label, summary, baseline: ratio.is_none() });
        }
    }
    points
}

fn replay(plan: &FleetPlan, faults: &[FleetFault], ratio: Option<f64>) -> ReplaySummary {
    let stranded_accelerator = ratio.unwrap_or_default();
    let weights = PlannerWeights { group_downtime: 1.0, stranded_accelerator };
    let mut fleet = ReplayFleet::new(plan, weights);
    fleet.warm_up(planner(plan, true).as_mut());
    let mut planner = planner(plan, ratio.is_some());
    fleet.replay(planner.as_mut(), faults, plan.length)
}

fn planner(plan: &FleetPlan, weighted: bool) -> Box<dyn GroupPlanner> {
    if !weighted {
        return Box::new(FirstFitPlanner::default());
    }
    Box::new(WeightedPlanner::new(WeightedPlannerSettings {
        store_bytes_per_second: plan.store_bytes_per_second,
        vm_bytes_per_second: VM_BYTES_PER_SECOND,
        max_plan_gap: Duration::MAX,
        ..WeightedPlannerSettings::default()
    }))
}
