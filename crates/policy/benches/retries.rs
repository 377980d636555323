//! Measures attempts in an outage with and without a retry budget, and the effect of hedging, on
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

/// Allows retries without limit.
struct UnlimitedBudget;

impl RetryBudget for UnlimitedBudget {
    fn record_request(&mut self, _: Instant) {}

    fn try_retry(&mut self, _: Instant) -> bool {
        true
    }
}

fn unlimited(settings: ModelSettings) -> ModelSettings {
    ModelSettings { budget: || Box::new(UnlimitedBudget), ..settings }
}

/// Waits for the retry budget instead of failing the request.
fn waiting(settings: ModelSettings) -> ModelSettings {
    ModelSettings { retry_wait: Some(Duration::from_millis(500)), ..settings }
}

fn random(settings: ModelSettings) -> ModelSettings {
    ModelSettings { router: |seed| Box::new(RandomRouter::new(seed)), ..settings }
}

fn main() {
    for seed in flags::seeds() {
        println!("half of the groups out for 10 s, seed {seed}");
        println!("  no budget, random    {}", run_model(&unlimited(random(outage(seed)))));
        println!("  no budget            {}", run_model(&unlimited(outage(seed))));
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
