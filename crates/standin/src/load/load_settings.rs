//! Settings of a load.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_types::{CustomerName, ServiceName};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Fraction of the time of a steady load in which all callers of [`LoadShape::Doors`] arrive.
const DOORS_SHARE: f64 = 0.1;

/// How the arrivals of callers are distributed over time.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadShape {
    /// Random arrivals at a constant rate.
    #[default]
    Steady,
    /// A burst, as when doors open: no arrivals at first, then all of them within the last tenth of
    /// the time, most of them at its start.
    Doors,
}

/// Settings of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// The node that the first request for addresses goes to.
    pub to: SocketAddr,

    /// The service.
    pub service: ServiceName,

    /// The customer to name in requests for addresses.
    pub customer: Option<CustomerName>,

    /// The customer's secret.
    pub key: String,

    /// Total number of requests.
    pub requests: u32,

    /// Maximum number of requests in progress at once. Further callers wait, and their wait counts
    /// towards the latency of the first token. Invariant: above zero.
    pub concurrency: u32,

    /// Mean requests per second of a steady load. Invariant: above zero.
    pub requests_per_second: f64,

    /// Number of words in a prompt.
    pub prompt_tokens: u32,

    /// Maximum number of tokens in an answer.
    pub output_tokens: u32,

    /// How the arrivals of callers are distributed over time.
    pub shape: LoadShape,

    /// Seed of the arrival times and the prompts.
    pub seed: u64,

    /// A request that takes longer than this counts as unknown.
    pub timeout: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            to: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: ServiceName::from("model"),
            customer: None,
            key: String::new(),
            requests: 100,
            concurrency: 64,
            requests_per_second: 50.0,
            prompt_tokens: 64,
            output_tokens: 32,
            shape: LoadShape::default(),
            seed: 1,
            timeout: Duration::from_secs(60),
        }
    }
}

impl LoadSettings {
    /// Arrival times of the callers, measured from the start of the load, in ascending order.
    pub fn arrivals(&self) -> Vec<Duration> {
        let span = f64::from(self.requests) / self.requests_per_second;
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut arrivals: Vec<_> = (0..self.requests)
            .map(|_| Duration::from_secs_f64(span * self.arrival(random.random())))
            .collect();
        arrivals.sort_unstable();
        arrivals
    }

    /// The prompt of a request. Invariant: all prompts of a load differ.
    pub fn prompt(&self, request: u32) -> String {
        let mut words = vec![format!("load-{}-{request}", self.seed)];
        let filler = (1..self.prompt_tokens).map(|word| format!("word{}", word % 97));
        words.extend(filler);
        words.reverse();
        words.join(" ")
    }

    /// Maps a uniform draw from 0 to 1 to a fraction of the load's time.
    fn arrival(&self, draw: f64) -> f64 {
        match self.shape {
            LoadShape::Steady => draw,
            LoadShape::Doors => (1.0 - DOORS_SHARE) + DOORS_SHARE * draw * draw,
        }
    }
}
