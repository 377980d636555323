//! Which requests may run now, which wait, and which are refused at once.

use std::time::{Duration, Instant};

use comfreyturn_types::{CustomerName, RefusalReason, ServiceName};

/// The class of a request within its customer.
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
    /// A person waits.
    Interactive,
    /// The default.
    #[default]
    Standard,
    /// Nobody waits.
    Batch,
}

impl PriorityClass {
    /// Share of what its customer gets, relative to the customer's other classes.
    #[inline]
    pub fn share(self) -> f64 {
        match self {
            Self::Interactive => 8.0,
            Self::Standard => 4.0,
            Self::Batch => 1.0,
        }
    }
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct AdmissionQuery {
    /// The customer.
    pub customer: CustomerName,

    /// Share of a contended service, relative to other customers.
    pub weight: u32,

    /// The class.
    pub class: PriorityClass,

    /// The service.
    pub service: ServiceName,

    /// Tokens that it will cost, prompt and output, estimated from above.
    pub tokens: u32,

    /// When the answer is of no more use.
    pub deadline: Instant,
}

/// The limits of a customer at this node: its share of the customer's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerShare {
    /// Requests a second.
    pub requests_per_second: f64,

    /// Tokens a second.
    pub tokens_per_second: f64,
}

/// Names a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(pub u64);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run(AdmissionTicket),

    /// It waits for [`AdmissionQueue::release`] to name its ticket.
    Wait(AdmissionTicket),

    /// It does not run; the answer goes out at once.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Admits requests of all services of a node.
pub trait AdmissionQueue {
    /// Sets how many requests of a service may run at once from this node.
    fn set_capacity(&mut self, now: Instant, service: &ServiceName, concurrent: u32);

    /// Sets a customer's share of its limits at this node.
    fn set_share(&mut self, now: Instant, customer: &CustomerName, share: CustomerShare);

    /// Decides on a request.
    fn submit(&mut self, now: Instant, query: &AdmissionQuery) -> AdmissionDecision;

    /// Takes from the queue all that may run now, and all whose deadline can no longer be met.
    fn release(&mut self, now: Instant) -> Vec<(AdmissionTicket, AdmissionDecision)>;

    /// A request that ran has ended, with the tokens that it cost in truth.
    fn finish(&mut self, now: Instant, ticket: AdmissionTicket, tokens: u32);

    /// A waiting request is no longer wanted.
    fn withdraw(&mut self, now: Instant, ticket: AdmissionTicket);
}
