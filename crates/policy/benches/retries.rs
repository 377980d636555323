//! Measures attempts in an outage with and without a retry budget, and what hedging would give, on
//! the queueing model.
//!
//! `cargo bench -p comfreyturn_policy --bench retries -- --seed 1 --seeds 3`

use std::time::{Duration, Instant};

use comfreyturn_policy::{RandomRouter, RetryBudget};

use crate::{
    model::{model_settings::ModelSettings, run_model},
    retry_scenes::{outage, straggler},
};

#[path = "scenes/cluster.rs"]
mod cluster;
mod flags;
mod model;
#[path = "scenes/retry_scenes.rs"]
mod retry_scenes;

/// Repeats without limit.
struct EndlessBudget;

impl RetryBudget for EndlessBudget {
    fn record_request(&mut self, _: Instant) {}

    fn try_retry(&mut self, _: Instant) -> bool {
        true
    }
}

fn endless(settings: ModelSettings) -> ModelSettings {
    ModelSettings { budget: || Box::new(EndlessBudget), ..settings }
}

/// Waits for the budget in place of giving up.
fn waiting(settings: ModelSettings) -> ModelSettings {
    ModelSettings { retry_wait: Some(Duration::from_millis(500)), ..settings }
}

fn random(settings: ModelSettings) -> ModelSettings {
    ModelSettings { router: |seed| Box::new(RandomRouter::new(seed)), ..settings }
}

fn main() {
    for seed in flags::seeds() {
        println!("half of the groups out for 10 s, seed {seed}");
        println!("  no budget, random    {}", run_model(&endless(random(outage(seed)))));
        println!("  no budget            {}", run_model(&endless(outage(seed))));
        println!("  budget, random       {}", run_model(&random(outage(seed))));
        println!("  budget               {}", run_model(&outage(seed)));
        println!("  budget, waiting      {}", run_model(&waiting(outage(seed))));
        for load in [0.4, 0.7, 0.85] {
            println!("hedging, one slow group, {load} of the capacity, seed {seed}");
            for hedge_after in [None, Some(400), Some(700), Some(1_500)] {
                let hedge_after = hedge_after.map(Duration::from_millis);
                let settings = ModelSettings { hedge_after, ..straggler(seed, load) };
                println!("  after {hedge_after:<14?} {}", run_model(&settings));
            }
        }
    }
}
