//! The running and waiting requests of one service at one node.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use comfreyturn_types::CustomerName;
use rand::RngExt;

use crate::{
    AdmissionQuery, AdmissionTicket, PriorityClass, fair_schedule::FairSchedule,
    retry_after_schedule::RetryAfterSchedule, service_meter::ServiceMeter,
};

/// A request that waits or runs.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedRequest {
    pub customer: CustomerName,
    pub class: PriorityClass,
    pub weight: f64,

    /// Estimated tokens. Invariant: at least one.
    pub cost: f64,

    /// When the request is removed from the queue if it has not started.
    pub expires_at: Instant,

    pub deadline: Instant,
}

/// The waiting requests of one customer.
#[derive(Debug)]
struct CustomerQueue {
    weight: f64,
    schedule: FairSchedule<PriorityClass>,

    /// Invariant: no queue is empty.
    classes: BTreeMap<PriorityClass, VecDeque<AdmissionTicket>>,

    /// Estimated tokens of the waiting requests of each class.
    costs: BTreeMap<PriorityClass, f64>,
}

impl CustomerQueue {
    fn new(weight: f64) -> Self {
        let schedule = FairSchedule::new();
        Self { weight, schedule, classes: BTreeMap::new(), costs: BTreeMap::new() }
    }

    fn total_cost(&self) -> f64 {
        self.costs.values().sum()
    }

    /// Estimated tokens that would be served before a new request of `class`.
    fn cost_ahead(&self, class: PriorityClass, cost: f64) -> f64 {
        let same = self.costs.get(&class).copied().unwrap_or(0.0);
        let share = (same + cost) / class.share();
        let other = |(found, queued): (&PriorityClass, &f64)| queued.min(share * found.share());
        same + self.costs.iter().filter(|(found, _)| **found != class).map(other).sum::<f64>()
    }

    fn push(&mut self, ticket: AdmissionTicket, class: PriorityClass, cost: f64) {
        if !self.classes.contains_key(&class) {
            self.schedule.activate(&class, class.share());
        }
        self.classes.entry(class).or_default().push_back(ticket);
        *self.costs.entry(class).or_default() += cost;
    }

    /// The first request of the class that is served next.
    fn head(&self) -> Option<AdmissionTicket> {
        let next = self
            .classes
            .iter()
            .min_by(|(a, _), (b, _)| self.schedule.start(a).total_cmp(&self.schedule.start(b)));
        next.and_then(|(_, queue)| queue.front().copied())
    }

    fn remove(&mut self, ticket: AdmissionTicket, class: PriorityClass, cost: f64) {
        let Some(queue) = self.classes.get_mut(&class) else { return };
        queue.retain(|found| *found != ticket);
        if queue.is_empty() {
            self.classes.remove(&class);
            self.costs.remove(&class);
        } else if let Some(queued) = self.costs.get_mut(&class) {
            *queued -= cost;
        }
    }
}

/// The requests of one service, in the order of weighted fair queueing.
#[derive(Debug)]
pub(crate) struct ServiceQueue {
    /// Maximum number of running requests.
    pub capacity: u32,

    pub meter: ServiceMeter,

    /// The weight and the retry times of each customer with refused requests. Customers without
    /// pending retry times are removed.
    retry_schedules: BTreeMap<CustomerName, (f64, RetryAfterSchedule)>,

    running: HashMap<AdmissionTicket, (AdmittedRequest, Instant)>,
    waiting: HashMap<AdmissionTicket, AdmittedRequest>,

    /// Invariant: holds exactly the tickets in `waiting`.
    queues: BTreeMap<CustomerName, CustomerQueue>,

    /// Invariant: holds exactly the tickets in `waiting`.
    expiries: BTreeSet<(Instant, AdmissionTicket)>,

    schedule: FairSchedule<CustomerName>,
}

impl ServiceQueue {
    pub(crate) fn new(tokens_per_second: f64) -> Self {
        Self {
            capacity: 0,
            meter: ServiceMeter::new(tokens_per_second),
            retry_schedules: BTreeMap::new(),
            running: HashMap::new(),
            waiting: HashMap::new(),
            queues: BTreeMap::new(),
            expiries: BTreeSet::new(),
            schedule: FairSchedule::new(),
        }
    }

    #[inline]
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    #[inline]
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    #[inline]
    pub(crate) fn has_free_slot(&self) -> bool {
        self.running.len() < self.capacity as usize
    }

    /// Expected wait of a new request, in seconds.
    pub(crate) fn predicted_wait(&self, query: &AdmissionQuery, weight: f64, cost: f64) -> f64 {
        if self.has_free_slot() && self.waiting.is_empty() {
            return 0.0;
        }
        let own = self.queues.get(&query.customer);
        let own_ahead = own.map_or(0.0, |queue| queue.cost_ahead(query.class, cost));
        let start = self.schedule.start(&query.customer) + own_ahead / weight;
        let others_ahead: f64 = self
            .queues
            .iter()
            .filter(|(customer, _)| **customer != query.customer)
            .map(|(customer, queue)| {
                let lead = (start - self.schedule.start(customer)).max(0.0);
                queue.total_cost().min(lead * queue.weight)
            })
            .sum();
        let drain_time = self.meter.drain_time(own_ahead + others_ahead, self.capacity);
        drain_time + self.meter.completion_interval(self.capacity)
    }

    /// Assigns a retry time to a refused request, at least `earliest` from now. Each customer has a
    /// schedule of its own, at its share of the service rate.
    pub(crate) fn reserve_retry_after(
        &mut self,
        now: Instant,
        query: &AdmissionQuery,
        weight: f64,
        earliest: Duration,
        latest: Duration,
        rng: &mut impl RngExt,
    ) -> Duration {
        self.retry_schedules.retain(|_, (_, schedule)| schedule.is_pending(now));
        let others =
            self.retry_schedules.iter().filter(|(customer, _)| **customer != query.customer);
        let total = weight + others.map(|(_, (weight, _))| *weight).sum::<f64>();
        let interval = self.meter.completion_interval(self.capacity) * total / weight;
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(latest);
        let entry = self.retry_schedules.entry(query.customer.clone()).or_default();
        entry.0 = weight;
        entry.1.reserve(now, earliest, interval, latest, rng)
    }

    /// Runs a request without queueing it.
    pub(crate) fn run(&mut self, now: Instant, ticket: AdmissionTicket, request: AdmittedRequest) {
        self.schedule.serve(&request.customer, request.weight, request.cost);
        self.running.insert(ticket, (request, now));
    }

    pub(crate) fn enqueue(&mut self, ticket: AdmissionTicket, request: AdmittedRequest) {
        if !self.queues.contains_key(&request.customer) {
            self.schedule.activate(&request.customer, request.weight);
        }
        let queue = self
            .queues
            .entry(request.customer.clone())
            .or_insert_with(|| CustomerQueue::new(request.weight));
        queue.weight = request.weight;
        queue.push(ticket, request.class, request.cost);
        self.expiries.insert((request.expires_at, ticket));
        self.waiting.insert(ticket, request);
    }

    /// Runs the next waiting request if there is one and a slot is free.
    pub(crate) fn run_next(&mut self, now: Instant) -> Option<AdmissionTicket> {
        if !self.has_free_slot() {
            return None;
        }
        let (_, queue) = self
            .queues
            .iter_mut()
            .min_by(|(a, _), (b, _)| self.schedule.start(a).total_cmp(&self.schedule.start(b)))?;
        let ticket = queue.head()?;
        let class = self.waiting.get(&ticket)?.class;
        let cost = self.waiting.get(&ticket)?.cost;
        queue.schedule.serve(&class, class.share(), cost);
        let request = self.remove_waiting(ticket)?;
        self.run(now, ticket, request);
        Some(ticket)
    }

    /// Removes and returns one waiting request that has expired, if there is one.
    pub(crate) fn expire_next(
        &mut self,
        now: Instant,
    ) -> Option<(AdmissionTicket, AdmittedRequest)> {
        let (expires_at, ticket) = *self.expiries.first()?;
        if expires_at > now {
            return None;
        }
        let request = self.remove_waiting(ticket)?;
        Some((ticket, request))
    }

    pub(crate) fn remove_waiting(&mut self, ticket: AdmissionTicket) -> Option<AdmittedRequest> {
        let request = self.waiting.remove(&ticket)?;
        self.expiries.remove(&(request.expires_at, ticket));
        if let Some(queue) = self.queues.get_mut(&request.customer) {
            queue.remove(ticket, request.class, request.cost);
            if queue.classes.is_empty() {
                self.queues.remove(&request.customer);
            }
        }
        Some(request)
    }

    /// Ends a running request that cost `tokens`, and returns it.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        ticket: AdmissionTicket,
        tokens: f64,
    ) -> Option<AdmittedRequest> {
        let (request, started_at) = self.running.remove(&ticket)?;
        if tokens > 0.0 {
            self.meter.record(request.cost, now.saturating_duration_since(started_at));
        }
        self.schedule.correct(&request.customer, tokens - request.cost);
        Some(request)
    }

    /// Removes scheduling state of customers without waiting requests and without excess use.
    pub(crate) fn remove_idle(&mut self) {
        self.schedule.remove_idle(|customer| self.queues.contains_key(customer));
    }
}
