//! Draws the requests of a run before it starts.

use std::time::Duration;

use rand::{RngExt, rngs::Xoshiro256PlusPlus};

use super::{
    engine_model::EngineWork,
    model_settings::{ModelCustomer, ModelSettings},
};

const PREFIX_TOKENS: f64 = 2_000.0;
const OWN_TOKENS: f64 = 300.0;
const MIN_OUTPUT_TOKENS: f64 = 20.0;
const MEAN_OUTPUT_TOKENS: f64 = 180.0;

/// The first arrival of a request.
#[derive(Clone, Copy, Debug)]
pub struct SourceRequest {
    pub at: Duration,
    pub customer: usize,
    pub work: EngineWork,
}

/// Draws all requests of a run, sorted by arrival time.
pub fn draw_requests(settings: &ModelSettings, rng: &mut Xoshiro256PlusPlus) -> Vec<SourceRequest> {
    let weights = prefix_weights(settings.prefixes);
    let mut requests = Vec::new();
    for (index, customer) in settings.customers.iter().enumerate() {
        for at in draw_times(customer, settings.duration, rng) {
            let work = draw_work(&weights, rng);
            requests.push(SourceRequest { at, customer: index, work });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn draw_times(
    customer: &ModelCustomer,
    end: Duration,
    rng: &mut Xoshiro256PlusPlus,
) -> Vec<Duration> {
    let mut times = Vec::new();
    for (index, (from, rate)) in customer.rates.iter().enumerate() {
        let until = customer.rates.get(index + 1).map_or(end, |(at, _)| *at);
        let mut at = *from + draw_gap(*rate, rng);
        while at < until {
            times.push(at);
            at += draw_gap(*rate, rng);
        }
    }
    times
}

fn draw_gap(rate: f64, rng: &mut Xoshiro256PlusPlus) -> Duration {
    let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
    Duration::try_from_secs_f64(gap).unwrap_or(Duration::from_secs(1_000_000))
}

fn draw_work(weights: &[f64], rng: &mut Xoshiro256PlusPlus) -> EngineWork {
    let total = weights.last().copied().unwrap_or(0.0);
    let draw = rng.random::<f64>() * total;
    let prefix = weights.partition_point(|sum| *sum < draw) as u64;
    let more = -(1.0 - rng.random::<f64>()).ln() * MEAN_OUTPUT_TOKENS;
    EngineWork {
        prefix,
        prefix_tokens: PREFIX_TOKENS,
        own_tokens: OWN_TOKENS,
        output_tokens: MIN_OUTPUT_TOKENS + more,
    }
}

/// Cumulative weights of the prefixes.
fn prefix_weights(prefixes: usize) -> Vec<f64> {
    let sum = |total: &mut f64, rank: usize| {
        *total += 1.0 / rank as f64;
        Some(*total)
    };
    (1..=prefixes).scan(0.0, sum).collect()
}
