//! Measures the effect of a customer far above its limit on other customers, and the latency in a
//! load surge, on the queueing model.
//!
//! `cargo bench -p comfreyturn_policy --bench limits -- --seed 1 --seeds 3`

use crate::{
    limit_scenes::{load_surge, noisy_neighbour},
    model::{model_settings::ModelSettings, run_model},
};

#[path = "scenes/cluster.rs"]
mod cluster;
mod flags;
#[path = "scenes/limit_scenes.rs"]
mod limit_scenes;
mod model;

fn without_queue(settings: ModelSettings) -> ModelSettings {
    ModelSettings { queue: None, ..settings }
}

fn main() {
    for seed in flags::seeds() {
        println!("noisy neighbour, seed {seed}");
        for (name, factor) in [("at its limit", 1.0), ("20 times its limit", 20.0)] {
            let summary = run_model(&noisy_neighbour(seed, factor));
            println!("  {name:<20} {summary}");
            summary.customers.iter().for_each(|customer| println!("    {customer}"));
        }
        let open = run_model(&without_queue(noisy_neighbour(seed, 20.0)));
        println!("  no queue, 20 times   {open}");
        println!("load surge, seed {seed}");
        let summary = run_model(&load_surge(seed));
        println!("  fair queue           {summary}");
        println!("    client retries in each second {:?}", summary.client_retries);
        println!("  no queue             {}", run_model(&without_queue(load_surge(seed))));
    }
}
