//! The admission queue with customer limits and weighted fair queueing.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use comfreyturn_types::{CustomerName, RefusalReason, ServiceName};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::{
    AdmissionDecision, AdmissionQuery, AdmissionQueue, AdmissionTicket, CustomerShare,
    PriorityClass,
    customer_limits::CustomerLimits,
    service_queue::{AdmittedRequest, ServiceQueue},
};

/// Settings of a [`FairQueue`].
#[derive(Clone, Debug)]
pub struct FairQueueSettings {
    /// Burst that an idle customer may use at once, as time at the rates of its share.
    pub burst: Duration,

    /// Longest predicted or actual wait of an interactive request.
    pub max_interactive_wait: Duration,

    /// Longest predicted or actual wait of a standard request.
    pub max_standard_wait: Duration,

    /// Longest predicted or actual wait of a batch request.
    pub max_batch_wait: Duration,

    /// Maximum number of waiting requests of a service.
    pub max_waiting: usize,

    /// Estimated tokens per second of one running request, until requests have been measured.
    pub initial_tokens_per_second: f64,

    /// Shortest time until the retry of a request that is refused because its service has no
    /// capacity or its customer has no share at this node. Jitter of up to the same time is added.
    /// Also the longest time until the retry of a request that expired in the queue.
    pub capacity_retry_after: Duration,

    /// Longest time, without jitter, until the retry of a request that is refused because of its
    /// customer's limits or its predicted wait.
    pub max_retry_after: Duration,
}

impl Default for FairQueueSettings {
    fn default() -> Self {
        Self {
            burst: Duration::from_secs(5),
            max_interactive_wait: Duration::from_millis(250),
            max_standard_wait: Duration::from_millis(250),
            max_batch_wait: Duration::from_secs(30),
            max_waiting: 10_000,
            initial_tokens_per_second: 50.0,
            capacity_retry_after: Duration::from_secs(2),
            max_retry_after: Duration::from_secs(30),
        }
    }
}

impl FairQueueSettings {
    fn max_wait(&self, class: PriorityClass) -> Duration {
        match class {
            PriorityClass::Interactive => self.max_interactive_wait,
            PriorityClass::Standard => self.max_standard_wait,
            PriorityClass::Batch => self.max_batch_wait,
        }
    }
}

/// Admits requests within their customers' limits, in weighted fair order of the customers and, for
/// each customer, of the classes. Requests that would wait for too long are refused at once.
///
/// The owner of the queue calls [`AdmissionQueue::release`] after each [`AdmissionQueue::finish`]
/// and [`AdmissionQueue::set_capacity`], and at least every few hundred milliseconds while requests
/// wait. Requests of a customer without a share are refused with [`RefusalReason::LimitReached`].
#[derive(Debug)]
pub struct FairQueue {
    settings: FairQueueSettings,
    queues: BTreeMap<ServiceName, ServiceQueue>,
    limits: HashMap<CustomerName, CustomerLimits>,

    /// The service of each waiting or running request.
    tickets: HashMap<AdmissionTicket, ServiceName>,

    next_ticket: u64,
    rng: Xoshiro256PlusPlus,
}

impl FairQueue {
    /// Creates an empty queue. Each node uses a different seed, so that their retry times differ.
    pub fn new(settings: FairQueueSettings, seed: u64) -> Self {
        Self {
            settings,
            queues: BTreeMap::new(),
            limits: HashMap::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Number of requests of a service that run from this node.
    pub fn running(&self, service: &ServiceName) -> usize {
        self.queues.get(service).map_or(0, ServiceQueue::running)
    }

    /// Number of requests of a service that wait at this node.
    pub fn waiting(&self, service: &ServiceName) -> usize {
        self.queues.get(service).map_or(0, ServiceQueue::waiting)
    }

    fn issue_ticket(&mut self, service: &ServiceName) -> AdmissionTicket {
        self.next_ticket += 1;
        let ticket = AdmissionTicket(self.next_ticket);
        self.tickets.insert(ticket, service.clone());
        ticket
    }

    /// Refuses a request for which this node has no capacity or no share.
    fn refuse_unavailable(&mut self, reason: RefusalReason) -> AdmissionDecision {
        let base = self.settings.capacity_retry_after;
        AdmissionDecision::Refuse { reason, retry_after: base + self.jitter(base) }
    }

    fn jitter(&mut self, spread: Duration) -> Duration {
        spread.mul_f64(self.rng.random::<f64>())
    }

    /// Refuses a request that exceeds its customer's limits.
    fn check_limits(&mut self, now: Instant, query: &AdmissionQuery) -> Option<AdmissionDecision> {
        let latest = self.settings.max_retry_after;
        let reason = RefusalReason::LimitReached;
        let cost = cost_of(query);
        let Some(limits) =
            self.limits.get_mut(&query.customer).filter(|limits| limits.allows_requests())
        else {
            return Some(self.refuse_unavailable(reason));
        };
        let wait = limits.wait_for(now, cost);
        if wait.is_zero() {
            return None;
        }
        let interval = limits.interval(cost);
        let retry_after = limits.retry_schedule.reserve(now, wait, interval, latest, &mut self.rng);
        Some(AdmissionDecision::Refuse { reason, retry_after })
    }

    /// Refuses a request that would wait for too long.
    fn check_wait(&mut self, now: Instant, query: &AdmissionQuery) -> Option<AdmissionDecision> {
        let queue = self.queues.get_mut(&query.service)?;
        let cost = cost_of(query);
        let wait = queue.predicted_wait(query, weight_of(query), cost);
        let left = query.deadline.saturating_duration_since(now).as_secs_f64();
        let max_wait = self.settings.max_wait(query.class).as_secs_f64();
        let allowed = max_wait.min(left - queue.meter.service_time(cost));
        if wait <= allowed && queue.waiting() < self.settings.max_waiting {
            return None;
        }
        let excess = Duration::try_from_secs_f64(wait - allowed).unwrap_or_default();
        let latest = self.settings.max_retry_after;
        let weight = weight_of(query);
        let retry_after =
            queue.reserve_retry_after(now, query, weight, excess, latest, &mut self.rng);
        Some(AdmissionDecision::Refuse { reason: RefusalReason::Overloaded, retry_after })
    }

    fn admitted_request(&self, now: Instant, query: &AdmissionQuery) -> AdmittedRequest {
        AdmittedRequest {
            customer: query.customer.clone(),
            class: query.class,
            weight: weight_of(query),
            cost: cost_of(query),
            expires_at: query.deadline.min(now + self.settings.max_wait(query.class)),
            deadline: query.deadline,
        }
    }

    /// Refuses a request that has waited for too long.
    fn refuse_expired(&mut self, now: Instant, request: &AdmittedRequest) -> AdmissionDecision {
        if let Some(limits) = self.limits.get_mut(&request.customer) {
            limits.refund(now, request.cost);
        }
        let reason = if request.deadline <= now {
            RefusalReason::DeadlineExceeded
        } else {
            RefusalReason::Overloaded
        };
        let spread = self.settings.capacity_retry_after;
        AdmissionDecision::Refuse { reason, retry_after: self.jitter(spread) }
    }

    fn expire(&mut self, now: Instant) -> Vec<(AdmissionTicket, AdmissionDecision)> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(found) = queue.expire_next(now) {
                expired.push(found);
            }
        }
        let refuse = |(ticket, request): (AdmissionTicket, AdmittedRequest)| {
            self.tickets.remove(&ticket);
            (ticket, self.refuse_expired(now, &request))
        };
        expired.into_iter().map(refuse).collect()
    }
}

impl AdmissionQueue for FairQueue {
    fn set_capacity(&mut self, _now: Instant, service: &ServiceName, concurrent: u32) {
        let tokens_per_second = self.settings.initial_tokens_per_second;
        let queue = self
            .queues
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue::new(tokens_per_second));
        queue.capacity = concurrent;
        queue.remove_idle();
    }

    fn set_share(&mut self, now: Instant, customer: &CustomerName, share: CustomerShare) {
        let burst = self.settings.burst;
        match self.limits.get_mut(customer) {
            Some(limits) => limits.set_share(now, share, burst),
            None => {
                let limits = CustomerLimits::new(now, share, burst);
                self.limits.insert(customer.clone(), limits);
            }
        }
    }

    fn submit(&mut self, now: Instant, query: &AdmissionQuery) -> AdmissionDecision {
        if self.queues.get(&query.service).is_none_or(|queue| queue.capacity == 0) {
            return self.refuse_unavailable(RefusalReason::NoCapacity);
        }
        if let Some(refusal) = self.check_limits(now, query) {
            return refusal;
        }
        if let Some(refusal) = self.check_wait(now, query) {
            return refusal;
        }
        let ticket = self.issue_ticket(&query.service);
        let request = self.admitted_request(now, query);
        if let Some(limits) = self.limits.get_mut(&query.customer) {
            limits.charge(now, request.cost);
        }
        let queue = self.queues.get_mut(&query.service).expect("looked up above");
        if queue.has_free_slot() && queue.waiting() == 0 {
            queue.run(now, ticket, request);
            return AdmissionDecision::Run(ticket);
        }
        queue.enqueue(ticket, request);
        AdmissionDecision::Wait(ticket)
    }

    fn release(&mut self, now: Instant) -> Vec<(AdmissionTicket, AdmissionDecision)> {
        let mut released = self.expire(now);
        for queue in self.queues.values_mut() {
            while let Some(ticket) = queue.run_next(now) {
                released.push((ticket, AdmissionDecision::Run(ticket)));
            }
        }
        released
    }

    fn finish(&mut self, now: Instant, ticket: AdmissionTicket, tokens: u32) {
        let Some(service) = self.tickets.get(&ticket) else { return };
        let Some(queue) = self.queues.get_mut(service) else { return };
        let tokens = f64::from(tokens);
        let Some(request) = queue.finish(now, ticket, tokens) else { return };
        self.tickets.remove(&ticket);
        if let Some(limits) = self.limits.get_mut(&request.customer) {
            limits.correct(now, tokens - request.cost);
        }
    }

    fn withdraw(&mut self, now: Instant, ticket: AdmissionTicket) {
        let Some(service) = self.tickets.get(&ticket) else { return };
        let Some(queue) = self.queues.get_mut(service) else { return };
        let Some(request) = queue.remove_waiting(ticket) else { return };
        self.tickets.remove(&ticket);
        if let Some(limits) = self.limits.get_mut(&request.customer) {
            limits.refund(now, request.cost);
        }
    }
}

fn cost_of(query: &AdmissionQuery) -> f64 {
    f64::from(query.tokens.max(1))
}

fn weight_of(query: &AdmissionQuery) -> f64 {
    f64::from(query.weight.max(1))
}
