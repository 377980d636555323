//! Compares routers on the queueing model.
//!
//! `cargo bench -p comfreyturn_policy --bench routing -- --seed 1 --seeds 3`

use std::time::Duration;

use comfreyturn_policy::{
    GroupRouter, LoadRouter, LoadRouterSettings, RandomRouter, ReportedLoadRouter, RoundRobinRouter,
};

use crate::{
    cluster::{CAPACITY, cluster, customer},
    model::{model_settings::ModelSettings, run_model},
};

#[path = "scenes/cluster.rs"]
mod cluster;
mod flags;
mod model;

/// Makes a router from a seed.
type MakeRouter = fn(u64) -> Box<dyn GroupRouter>;

const ROUTERS: [(&str, MakeRouter); 8] = [
    ("random", |seed| Box::new(RandomRouter::new(seed))),
    ("round robin", |seed| {
        Box::new(RoundRobinRouter::new(usize::try_from(seed % 997).unwrap_or(0)))
    }),
    ("least reported", |_| Box::new(ReportedLoadRouter)),
    ("load", |seed| Box::new(LoadRouter::new(LoadRouterSettings::default(), seed))),
    ("load, no affinity", |seed| {
        let settings = LoadRouterSettings { affinity_groups: 0, ..Default::default() };
        Box::new(LoadRouter::new(settings, seed))
    }),
    ("load, 1 choice", |seed| {
        let settings = LoadRouterSettings { choices: 1, ..Default::default() };
        Box::new(LoadRouter::new(settings, seed))
    }),
    ("load, 2 choices", |seed| {
        let settings = LoadRouterSettings { choices: 2, ..Default::default() };
        Box::new(LoadRouter::new(settings, seed))
    }),
    ("load, decay 4 s", |seed| {
        let report_decay = Duration::from_secs(4);
        let settings = LoadRouterSettings { report_decay, ..Default::default() };
        Box::new(LoadRouter::new(settings, seed))
    }),
];

/// Name, load as a share of the capacity, number of slow groups and their slowdown.
const SCENES: [(&str, f64, usize, f64); 4] = [
    ("medium load", 0.65, 0, 1.0),
    ("high load", 0.9, 0, 1.0),
    ("medium load, one group 4 times slower", 0.65, 1, 4.0),
    ("high load, one group 4 times slower", 0.85, 1, 4.0),
];

fn settings(seed: u64, load: f64, router: MakeRouter) -> ModelSettings {
    let all = customer("all", 1e6, load * CAPACITY);
    ModelSettings { home_nodes: 8, router, queue: None, ..cluster(seed, vec![all]) }
}

fn main() {
    let seeds = flags::seeds();
    for (scene, load, slow_groups, slowness) in SCENES {
        println!("{scene}: {:.1} requests/s, 8 nodes, 12 groups", load * CAPACITY);
        for seed in seeds.clone() {
            for (name, router) in ROUTERS {
                let settings =
                    ModelSettings { slow_groups, slowness, ..settings(seed, load, router) };
                println!("  seed {seed}  {name:<18} {}", run_model(&settings));
            }
        }
    }
}
