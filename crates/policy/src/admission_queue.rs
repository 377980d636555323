//! Decides which requests run now, which wait, and which are refused at once.

use std::time::{Duration, Instant};

use comfreyturn_types::{CustomerName, RefusalReason, ServiceName};

/// The priority of a request among those of its customer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum PriorityClass {
    /// A person waits for the response.
    Interactive,
    /// The default.
    #[default]
    Standard,
    /// No person waits for the response.
    Batch,
}

impl PriorityClass {
    /// The weight of the class relative to the customer's other classes.
    #[inline]
    pub fn share(self) -> f64 {
        match self {
            Self::Interactive => 8.0,
            Self::Standard => 4.0,
            Self::Batch => 1.0,
        }
    }
}

/// The properties of a request that its admission depends on.
#[derive(Clone, Debug)]
pub struct AdmissionQuery {
    /// The customer.
    pub customer: CustomerName,

    /// Weight of the customer relative to other customers of a contended service.
    pub weight: u32,

    /// The class.
    pub class: PriorityClass,

    /// The service.
    pub service: ServiceName,

    /// Upper estimate of its prompt and output tokens.
    pub tokens: u32,

    /// The time after which the response is of no use to the caller.
    pub deadline: Instant,
}

/// This node's share of a customer's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerShare {
    /// Requests per second.
    pub requests_per_second: f64,

    /// Tokens per second.
    pub tokens_per_second: f64,
}

/// Identifies an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(pub u64);

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run(AdmissionTicket),

    /// It waits until [`AdmissionQueue::release`] returns its ticket.
    Wait(AdmissionTicket),

    /// It does not run; the refusal is sent at once.
    Refuse {
        /// The reason of the refusal.
        reason: RefusalReason,
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// Admits requests of all services of a node.
pub trait AdmissionQueue {
    /// Sets how many requests of a service may run concurrently from this node.
    fn set_capacity(&mut self, now: Instant, service: &ServiceName, concurrent: u32);

    /// Sets this node's share of a customer's limits.
    fn set_share(&mut self, now: Instant, customer: &CustomerName, share: CustomerShare);

    /// Decides on a request.
    fn submit(&mut self, now: Instant, query: &AdmissionQuery) -> AdmissionDecision;

    /// Removes from the queue all requests that may run now, and all that have waited for too long.
    /// Returns the decision on each.
    fn release(&mut self, now: Instant) -> Vec<(AdmissionTicket, AdmissionDecision)>;

    /// Records the end of a running request and the number of tokens that it really cost.
    fn finish(&mut self, now: Instant, ticket: AdmissionTicket, tokens: u32);

    /// Removes a waiting request whose caller no longer needs it.
    fn withdraw(&mut self, now: Instant, ticket: AdmissionTicket);
}
