//! Scenarios with customers above their limits and with load surges.

use std::time::Duration;

use crate::{
    cluster::{CAPACITY, cluster, customer},
    model::model_settings::{ModelCustomer, ModelSettings},
};

/// Nine customers that together use half of the capacity, and a tenth one that sends `factor` times
/// its limit from the start.
pub fn noisy_neighbour(seed: u64, factor: f64) -> ModelSettings {
    let quiet_rate = 0.5 * CAPACITY / 9.0;
    let noisy_limit = 0.2 * CAPACITY;
    let mut customers: Vec<_> =
        (0..9).map(|i| customer(&format!("quiet-{i}"), 2.0 * quiet_rate, quiet_rate)).collect();
    customers.push(customer("noisy", noisy_limit, factor * noisy_limit));
    cluster(seed, customers)
}

/// A nearly idle cluster whose load rises to ten times the capacity within a minute and stays there
/// for a minute.
pub fn load_surge(seed: u64) -> ModelSettings {
    let steps = (0..=12_u32).map(|step| {
        let share = f64::from(step) / 12.0;
        (Duration::from_secs(60 + 5 * u64::from(step)), CAPACITY * (0.05 + share * 9.95) / 10.0)
    });
    let mut rates = vec![(Duration::ZERO, 0.005 * CAPACITY)];
    rates.extend(steps);
    rates.push((Duration::from_secs(180), 0.005 * CAPACITY));
    let customers = (0..10)
        .map(|i| ModelCustomer { rates: rates.clone(), ..customer(&format!("c{i}"), 300.0, 0.0) })
        .collect();
    ModelSettings { warmup: Duration::ZERO, ..cluster(seed, customers) }
}
