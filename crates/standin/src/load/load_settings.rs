//! What a load is.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_types::{CustomerName, ServiceName};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Share of the time of a steady load in which the callers of [`LoadShape::Doors`] come.
const DOORS_SHARE: f64 = 0.1;

/// When callers come.
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
    /// At random, at an even rate.
    #[default]
    Steady,
    /// Nobody for a while, then all within a tenth of the time, most of them at its start.
    Doors,
}

/// What a load is.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// The node that is asked for addresses first.
    pub to: SocketAddr,

    /// The service.
    pub service: ServiceName,

    /// The customer, if it is to be named in the address question.
    pub customer: Option<CustomerName>,

    /// The customer's secret.
    pub key: String,

    /// Requests in all.
    pub requests: u32,

    /// Requests that are open at once at most. Callers beyond that wait, and their wait counts.
    /// Invariant: above zero.
    pub concurrency: u32,

    /// Requests a second, over the whole of a steady load. Invariant: above zero.
    pub requests_per_second: f64,

    /// Words of a prompt.
    pub prompt_tokens: u32,

    /// Tokens of an answer at most.
    pub output_tokens: u32,

    /// When callers come.
    pub shape: LoadShape,

    /// Draws arrival times and prompts.
    pub seed: u64,

    /// A request that takes longer counts as unknown.
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
    /// When each caller comes, from the start of the load, in order.
    pub fn arrivals(&self) -> Vec<Duration> {
        let span = f64::from(self.requests) / self.requests_per_second;
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut arrivals: Vec<_> = (0..self.requests)
            .map(|_| Duration::from_secs_f64(span * self.arrival(random.random())))
            .collect();
        arrivals.sort_unstable();
        arrivals
    }

    /// The prompt of a request. Invariant: no two requests of a load share one.
    pub fn prompt(&self, request: u32) -> String {
        let mut words = vec![format!("load-{}-{request}", self.seed)];
        let filler = (1..self.prompt_tokens).map(|word| format!("word{}", word % 97));
        words.extend(filler);
        words.reverse();
        words.join(" ")
    }

    /// Maps an even draw to a share of the load's time.
    fn arrival(&self, draw: f64) -> f64 {
        match self.shape {
            LoadShape::Steady => draw,
            LoadShape::Doors => (1.0 - DOORS_SHARE) + DOORS_SHARE * draw * draw,
        }
    }
}
