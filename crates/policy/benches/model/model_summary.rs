//! The results of a model run.

use std::{fmt, time::Duration};

/// Counts and latencies of one customer.
#[derive(Clone, Debug, Default)]
pub struct CustomerSummary {
    pub name: String,
    pub requests: usize,

    /// Refusals. A request that is retried may be refused several times.
    pub refusals: usize,

    /// Requests that failed permanently.
    pub failed: usize,

    /// Seconds from the arrival that was admitted to the first token, sorted at the end of the run.
    pub first_tokens: Vec<f64>,
}

impl CustomerSummary {
    /// A percentile of the first-token latency, in seconds.
    pub fn percentile(&self, percent: usize) -> f64 {
        percentile(&self.first_tokens, percent)
    }
}

impl fmt::Display for CustomerSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p95] = [50, 95].map(|percent| self.percentile(percent));
        write!(f, "{}: p50 {p50:.3} s, p95 {p95:.3} s, ", self.name)?;
        write!(f, "requests {}, served {}, ", self.requests, self.first_tokens.len())?;
        write!(f, "refusals {}, failed {}", self.refusals, self.failed)
    }
}

/// The results of a model run.
#[derive(Clone, Debug, Default)]
pub struct ModelSummary {
    pub customers: Vec<CustomerSummary>,

    /// First tokens of all customers, as in [`CustomerSummary::first_tokens`].
    pub first_tokens: Vec<f64>,

    /// Attempts that started at an engine, and those of them whose prefix was cached.
    pub started: usize,
    pub cached: usize,

    /// Attempts and requests that started during the outage.
    pub outage_attempts: usize,
    pub outage_requests: usize,

    /// Attempts that were cancelled because another one of the same request got its first token.
    pub cancelled: usize,

    /// Mean load of each group as a share of its slots.
    pub group_loads: Vec<f64>,

    /// Largest number of client retries within one second.
    pub peak_client_retries: usize,

    /// Client retries in each second.
    pub client_retries: Vec<usize>,
}

impl ModelSummary {
    pub fn record_client_retry(&mut self, at: Duration) {
        let second = usize::try_from(at.as_secs()).unwrap_or(usize::MAX);
        if self.client_retries.len() <= second {
            self.client_retries.resize(second + 1, 0);
        }
        self.client_retries[second] += 1;
        self.peak_client_retries = self.peak_client_retries.max(self.client_retries[second]);
    }

    pub fn sort(&mut self) {
        self.first_tokens.sort_unstable_by(f64::total_cmp);
        for customer in &mut self.customers {
            customer.first_tokens.sort_unstable_by(f64::total_cmp);
        }
    }

    /// A percentile of the first-token latency, in seconds.
    pub fn percentile(&self, percent: usize) -> f64 {
        percentile(&self.first_tokens, percent)
    }

    /// Mean number of attempts per request during the outage.
    pub fn outage_ratio(&self) -> f64 {
        self.outage_attempts as f64 / self.outage_requests.max(1) as f64
    }
}

impl fmt::Display for ModelSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p95, p99] = [50, 95, 99].map(|percent| self.percentile(percent));
        let hits = self.cached as f64 / self.started.max(1) as f64;
        let mean = self.group_loads.iter().sum::<f64>() / self.group_loads.len().max(1) as f64;
        let worst = self.group_loads.iter().copied().fold(0.0, f64::max);
        let failed: usize = self.customers.iter().map(|customer| customer.failed).sum();
        let refusals: usize = self.customers.iter().map(|customer| customer.refusals).sum();
        write!(f, "p50 {p50:.3} s, p95 {p95:.3} s, p99 {p99:.3} s, hits {hits:.2}, ")?;
        write!(f, "load mean {mean:.2} worst {worst:.2}, ")?;
        write!(f, "served {}", self.first_tokens.len())?;
        write_count(f, "refusals", refusals)?;
        write_count(f, "failed", failed)?;
        write_count(f, "cancelled", self.cancelled)?;
        write_count(f, "peak client retries/s", self.peak_client_retries)?;
        if self.outage_requests > 0 {
            write!(f, ", attempts per request in the outage {:.3}", self.outage_ratio())?;
        }
        Ok(())
    }
}

fn write_count(f: &mut fmt::Formatter<'_>, name: &str, count: usize) -> fmt::Result {
    if count == 0 { Ok(()) } else { write!(f, ", {name} {count}") }
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else { return 0.0 };
    sorted[last * percent / 100]
}
