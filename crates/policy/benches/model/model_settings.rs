//! Settings of a model run.

use std::time::Duration;

use comfreyturn_policy::{
    AdmissionQueue, CapacityShareSettings, CustomerShare, GroupRouter, PriorityClass, RetryBudget,
};

use super::engine_model::EngineSettings;

/// A customer and its load.
#[derive(Clone, Debug)]
pub struct ModelCustomer {
    pub name: String,
    pub class: PriorityClass,

    /// Limits over all nodes.
    pub limit: CustomerShare,

    /// Requests per second, each starting at the given time.
    pub rates: Vec<(Duration, f64)>,

    /// Whether refused requests are retried after the time given in the refusal.
    pub retries_after_refusal: bool,
}

/// An outage of some groups.
#[derive(Clone, Copy, Debug)]
pub struct ModelOutage {
    pub from: Duration,
    pub to: Duration,

    /// Number of groups that are down, counted from the first one.
    pub groups: usize,

    /// How long after the start the groups are removed from the nodes' view.
    pub seen_after: Duration,
}

/// Settings of a run.
#[derive(Clone)]
pub struct ModelSettings {
    pub seed: u64,
    pub nodes: usize,
    pub groups: usize,

    /// Nodes that each customer's requests go to, and that its limit is split over.
    pub home_nodes: usize,

    /// Requests arrive until this time; the run ends once all have ended.
    pub duration: Duration,

    /// Requests that arrive before this time are not counted.
    pub warmup: Duration,

    pub engine: EngineSettings,

    /// Number of slow groups, counted from the last one, and the factor on their processing time.
    pub slow_groups: usize,
    pub slowness: f64,

    pub customers: Vec<ModelCustomer>,

    /// Number of prefixes over all customers. Their frequencies are proportional to 1/rank.
    pub prefixes: usize,

    /// Interval between load reports, and their delay to the nodes.
    pub report_period: Duration,
    pub report_lag: Duration,

    /// Creates the router of each node from a seed.
    pub router: fn(u64) -> Box<dyn GroupRouter>,

    /// Creates the admission queue of each node from a seed. Without one, all requests run at once.
    pub queue: Option<fn(u64) -> Box<dyn AdmissionQueue>>,

    /// How the groups' slots are split over the nodes. Without settings they are split evenly.
    pub capacity: Option<CapacityShareSettings>,

    /// Creates the retry budget of each node.
    pub budget: fn() -> Box<dyn RetryBudget>,

    /// Maximum number of attempts of a request.
    pub max_attempts: usize,

    /// Mean time until a request checks the retry budget again while that is used up, until its
    /// deadline. Without it, the request fails at once.
    pub retry_wait: Option<Duration>,

    /// Time without a first token after which a second attempt starts if the budget allows it.
    pub hedge_after: Option<Duration>,

    pub outage: Option<ModelOutage>,
}
