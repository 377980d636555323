//! Runs the model: nodes that admit, route and retry independently of each other.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    AdmissionDecision, AdmissionQuery, AdmissionQueue, AdmissionTicket, CapacityShare,
    CustomerShare, GroupRouter, RetryBudget, RouteEnd, RouteQuery, WholeGroup, customer_homes,
};
use comfreyturn_types::{CustomerName, GroupId, NodeId, VmLoad};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use super::{
    engine_model::{EngineModel, EngineWork, StartedWork},
    event_queue::{EventQueue, ModelEvent},
    group_view::{group_id, group_index, new_group, service},
    model_settings::{ModelCustomer, ModelSettings},
    model_summary::{CustomerSummary, ModelSummary},
    request_source::draw_requests,
};

const RELEASE_PERIOD: Duration = Duration::from_millis(100);

/// Time until a group that is down refuses an attempt.
const REFUSAL_TIME: Duration = Duration::from_millis(20);

const DEADLINE: Duration = Duration::from_secs(60);

/// Callers give up after this many retries of a refused request.
const MAX_CLIENT_RETRIES: usize = 20;

/// The policies and state of one node.
struct NodeModel {
    router: Box<dyn GroupRouter>,
    queue: Option<Box<dyn AdmissionQueue>>,
    budget: Box<dyn RetryBudget>,
    capacity: Option<CapacityShare>,

    /// Number of requests that run from this node.
    running: u32,

    waiting: HashMap<AdmissionTicket, usize>,
}

/// A request in progress.
struct ModelRequest {
    customer: usize,
    work: EngineWork,

    /// Times of the first and the latest arrival.
    first_at: Duration,
    arrived_at: Duration,

    node: usize,
    ticket: Option<AdmissionTicket>,
    attempts: usize,
    client_retries: usize,
    avoid: Vec<GroupId>,

    /// The attempt that got the first token.
    winner: Option<usize>,

    /// Attempts in progress.
    open: Vec<usize>,
}

/// An attempt at a group.
struct ModelAttempt {
    request: usize,
    group: usize,
    sent_at: Duration,
}

/// A run in progress.
struct ModelRun<'a> {
    settings: &'a ModelSettings,
    start: Instant,
    rng: Xoshiro256PlusPlus,
    events: EventQueue,
    engines: Vec<EngineModel>,
    nodes: Vec<NodeModel>,
    requests: Vec<ModelRequest>,
    attempts: Vec<ModelAttempt>,

    /// Reports that have not reached the nodes yet, oldest first.
    reports: VecDeque<(Duration, Vec<VmLoad>)>,

    /// The nodes' view of the groups.
    view: Vec<WholeGroup>,

    /// The nodes that each customer's requests go to.
    homes: Vec<Vec<usize>>,

    reports_seen: usize,
    summary: ModelSummary,
}

/// Runs the model.
pub fn run_model(settings: &ModelSettings) -> ModelSummary {
    let mut run = ModelRun::new(settings);
    while let Some((now, event)) = run.events.pop() {
        run.handle(now, event);
    }
    let reports = run.reports_seen.max(1) as f64;
    run.summary.group_loads.iter_mut().for_each(|load| *load /= reports);
    run.summary.sort();
    run.summary
}

impl<'a> ModelRun<'a> {
    fn new(settings: &'a ModelSettings) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        let start = Instant::now();
        let mut events = EventQueue::default();
        let requests: Vec<_> = draw_requests(settings, &mut rng)
            .into_iter()
            .map(|source| ModelRequest {
                customer: source.customer,
                work: source.work,
                first_at: source.at,
                arrived_at: source.at,
                node: 0,
                ticket: None,
                attempts: 0,
                client_retries: 0,
                avoid: Vec::new(),
                winner: None,
                open: Vec::new(),
            })
            .collect();
        for (request, found) in requests.iter().enumerate() {
            events.push(found.arrived_at, ModelEvent::Arrival { request });
        }
        events.push(Duration::ZERO, ModelEvent::Report);
        events.push(Duration::ZERO, ModelEvent::Release);
        if let Some(outage) = settings.outage {
            events.push(outage.from, ModelEvent::OutageStart);
            events.push(outage.to, ModelEvent::OutageEnd);
        }
        let slow_from = settings.groups - settings.slow_groups;
        let slowness = |group: usize| if group < slow_from { 1.0 } else { settings.slowness };
        let engine = |group| EngineModel::new(settings.engine.clone(), slowness(group));
        let customer = |customer: &ModelCustomer| CustomerSummary {
            name: customer.name.clone(),
            ..Default::default()
        };
        Self {
            settings,
            start,
            events,
            engines: (0..settings.groups).map(engine).collect(),
            nodes: (0..settings.nodes).map(|_| new_node(settings, start, &mut rng)).collect(),
            rng,
            requests,
            attempts: Vec::new(),
            reports: VecDeque::new(),
            view: (0..settings.groups).map(|group| new_group(group, settings, start)).collect(),
            homes: settings.customers.iter().map(|found| home_nodes(settings, found)).collect(),
            reports_seen: 0,
            summary: ModelSummary {
                customers: settings.customers.iter().map(customer).collect(),
                group_loads: vec![0.0; settings.groups],
                ..Default::default()
            },
        }
    }

    fn handle(&mut self, now: Duration, event: ModelEvent) {
        match event {
            ModelEvent::Arrival { request } => self.arrive(now, request),
            ModelEvent::FirstToken { attempt } => self.first_token(now, attempt),
            ModelEvent::End { attempt } => self.end(now, attempt),
            ModelEvent::Refused { attempt } => self.fail(now, attempt),
            ModelEvent::Retry { request } => self.retry(now, request),
            ModelEvent::Hedge { request } => self.hedge(now, request),
            ModelEvent::Report => self.report(now),
            ModelEvent::Release => self.release_all(now),
            ModelEvent::OutageStart => self.start_outage(now),
            ModelEvent::OutageEnd => self.end_outage(),
        }
    }

    fn is_counted(&self, request: usize) -> bool {
        self.requests[request].first_at >= self.settings.warmup
    }

    fn in_outage(&self, now: Duration) -> bool {
        self.settings.outage.is_some_and(|outage| (outage.from..outage.to).contains(&now))
    }

    fn arrive(&mut self, now: Duration, request: usize) {
        let found = &mut self.requests[request];
        let homes = &self.homes[found.customer];
        let node = homes[self.rng.random_range(0..homes.len())];
        found.arrived_at = now;
        found.node = node;
        let (customer, first) = (found.customer, found.client_retries == 0);
        if first && self.is_counted(request) {
            self.summary.customers[customer].requests += 1;
        }
        let query = self.admission_query(now, request);
        let at = self.start + now;
        let Some(queue) = &mut self.nodes[node].queue else {
            return self.run_admitted(now, request);
        };
        match queue.submit(at, &query) {
            AdmissionDecision::Run(ticket) => {
                self.requests[request].ticket = Some(ticket);
                self.run_admitted(now, request);
            }
            AdmissionDecision::Wait(ticket) => {
                self.requests[request].ticket = Some(ticket);
                self.nodes[node].waiting.insert(ticket, request);
            }
            AdmissionDecision::Refuse { retry_after, .. } => {
                self.refuse(now, request, retry_after);
            }
        }
    }

    fn admission_query(&self, now: Duration, request: usize) -> AdmissionQuery {
        let found = &self.requests[request];
        let customer = &self.settings.customers[found.customer];
        AdmissionQuery {
            customer: CustomerName::from(customer.name.as_str()),
            weight: 1,
            class: customer.class,
            service: service(),
            tokens: tokens_of(&found.work),
            deadline: self.start + now + DEADLINE,
        }
    }

    fn refuse(&mut self, now: Duration, request: usize, retry_after: Duration) {
        if self.is_counted(request) {
            self.summary.customers[self.requests[request].customer].refusals += 1;
        }
        let found = &mut self.requests[request];
        found.ticket = None;
        found.client_retries += 1;
        let retries_after_refusal = self.settings.customers[found.customer].retries_after_refusal;
        if retries_after_refusal && found.client_retries <= MAX_CLIENT_RETRIES {
            self.summary.record_client_retry(now + retry_after);
            self.events.push(now + retry_after, ModelEvent::Arrival { request });
        }
    }

    /// Makes the first attempt of an admitted request.
    fn run_admitted(&mut self, now: Duration, request: usize) {
        let node = self.requests[request].node;
        self.nodes[node].budget.record_request(self.start + now);
        self.nodes[node].running += 1;
        if self.in_outage(now) {
            self.summary.outage_requests += 1;
        }
        if !self.dispatch(now, request) {
            self.give_up(now, request);
        }
        if let Some(after) = self.settings.hedge_after {
            self.events.push(now + after, ModelEvent::Hedge { request });
        }
    }

    /// Sends an attempt if the router chooses a group; returns whether it did.
    fn dispatch(&mut self, now: Duration, request: usize) -> bool {
        let found = &self.requests[request];
        let query = RouteQuery {
            customer: CustomerName::from(self.settings.customers[found.customer].name.as_str()),
            prefix: found.work.prefix,
            prompt_tokens: tokens_of(&found.work),
            avoid: found.avoid.clone(),
        };
        let at = self.start + now;
        let router = &mut self.nodes[found.node].router;
        let Some(id) = router.choose(at, &query, &self.view) else { return false };
        router.started(at, &id, &query);
        let group = group_index(&id);
        let attempt = self.attempts.len();
        self.attempts.push(ModelAttempt { request, group, sent_at: now });
        let found = &mut self.requests[request];
        found.attempts += 1;
        found.open.push(attempt);
        let work = found.work;
        if self.in_outage(now) {
            self.summary.outage_attempts += 1;
        }
        if self.engines[group].down {
            self.events.push(now + REFUSAL_TIME, ModelEvent::Refused { attempt });
        } else {
            self.engines[group].offer(attempt, work);
            self.start_queued(now, group);
        }
        true
    }

    fn start_queued(&mut self, now: Duration, group: usize) {
        while let Some(started) = self.engines[group].start_next(now) {
            let StartedWork { attempt, first_token_at, end_at, cached } = started;
            if self.is_counted(self.attempts[attempt].request) {
                self.summary.started += 1;
                self.summary.cached += usize::from(cached);
            }
            self.events.push(first_token_at, ModelEvent::FirstToken { attempt });
            self.events.push(end_at, ModelEvent::End { attempt });
        }
    }

    fn is_open(&self, attempt: usize) -> bool {
        self.requests[self.attempts[attempt].request].open.contains(&attempt)
    }

    fn first_token(&mut self, now: Duration, attempt: usize) {
        if !self.is_open(attempt) {
            return;
        }
        let ModelAttempt { request, group, sent_at } = self.attempts[attempt];
        let node = self.requests[request].node;
        let at = self.start + now;
        self.nodes[node].router.first_token(at, &group_id(group), now - sent_at);
        let found = &mut self.requests[request];
        if found.winner.is_some() {
            return;
        }
        found.winner = Some(attempt);
        let latency = (now - found.arrived_at).as_secs_f64();
        let losers: Vec<usize> =
            found.open.iter().copied().filter(|open| *open != attempt).collect();
        if self.is_counted(request) {
            self.summary.first_tokens.push(latency);
            let customer = self.requests[request].customer;
            self.summary.customers[customer].first_tokens.push(latency);
        }
        for loser in losers {
            self.summary.cancelled += 1;
            self.close(now, loser, RouteEnd::Abandoned);
        }
    }

    fn end(&mut self, now: Duration, attempt: usize) {
        if !self.is_open(attempt) {
            return;
        }
        self.close(now, attempt, RouteEnd::Finished);
        let request = self.attempts[attempt].request;
        let tokens = tokens_of(&self.requests[request].work);
        self.finish(now, request, tokens);
    }

    /// Ends an attempt, and starts the next queued one at its group.
    fn close(&mut self, now: Duration, attempt: usize, end: RouteEnd) {
        let ModelAttempt { request, group, .. } = self.attempts[attempt];
        let found = &mut self.requests[request];
        found.open.retain(|open| *open != attempt);
        self.nodes[found.node].router.ended(self.start + now, &group_id(group), end);
        self.engines[group].remove(attempt);
        self.start_queued(now, group);
    }

    fn fail(&mut self, now: Duration, attempt: usize) {
        if !self.is_open(attempt) {
            return;
        }
        self.close(now, attempt, RouteEnd::Failed);
        let ModelAttempt { request, group, .. } = self.attempts[attempt];
        let found = &mut self.requests[request];
        found.avoid.push(group_id(group));
        if !found.open.is_empty() {
            return;
        }
        self.retry(now, request);
    }

    /// Retries a request now or after a wait, within its attempts, deadline and retry budget.
    fn retry(&mut self, now: Duration, request: usize) {
        let found = &self.requests[request];
        let left = found.attempts < self.settings.max_attempts && now < found.arrived_at + DEADLINE;
        if !left {
            return self.give_up(now, request);
        }
        let allowed = self.nodes[found.node].budget.try_retry(self.start + now);
        if allowed && self.dispatch(now, request) {
            return;
        }
        let Some(wait) = self.settings.retry_wait else { return self.give_up(now, request) };
        let wait = wait.mul_f64(0.5 + self.rng.random::<f64>());
        self.events.push(now + wait, ModelEvent::Retry { request });
    }

    fn give_up(&mut self, now: Duration, request: usize) {
        if self.is_counted(request) {
            self.summary.customers[self.requests[request].customer].failed += 1;
        }
        self.finish(now, request, 0);
    }

    /// Ends a request and releases its place in the queue.
    fn finish(&mut self, now: Duration, request: usize, tokens: u32) {
        let found = &mut self.requests[request];
        let node = found.node;
        self.nodes[node].running -= 1;
        let Some(ticket) = found.ticket.take() else { return };
        if let Some(queue) = &mut self.nodes[node].queue {
            queue.finish(self.start + now, ticket, tokens);
        }
        self.release(now, node);
    }

    fn release(&mut self, now: Duration, node: usize) {
        let at = self.start + now;
        let Some(queue) = &mut self.nodes[node].queue else { return };
        for (ticket, decision) in queue.release(at) {
            let Some(request) = self.nodes[node].waiting.remove(&ticket) else { continue };
            match decision {
                AdmissionDecision::Refuse { retry_after, .. } => {
                    self.refuse(now, request, retry_after);
                }
                AdmissionDecision::Run(_) | AdmissionDecision::Wait(_) => {
                    self.run_admitted(now, request)
                }
            }
        }
    }

    fn release_all(&mut self, now: Duration) {
        (0..self.nodes.len()).for_each(|node| self.release(now, node));
        if now < self.settings.duration + DEADLINE {
            self.events.push(now + RELEASE_PERIOD, ModelEvent::Release);
        }
    }

    fn hedge(&mut self, now: Duration, request: usize) {
        let found = &self.requests[request];
        if found.winner.is_some() || found.open.len() != 1 {
            return;
        }
        let node = found.node;
        let first = group_id(self.attempts[found.open[0]].group);
        if self.nodes[node].budget.try_retry(self.start + now) {
            self.requests[request].avoid.push(first);
            self.dispatch(now, request);
        }
    }

    fn report(&mut self, now: Duration) {
        let loads: Vec<VmLoad> = self.engines.iter().map(EngineModel::load).collect();
        if now >= self.settings.warmup && now < self.settings.duration {
            self.reports_seen += 1;
            for (sum, load) in self.summary.group_loads.iter_mut().zip(&loads) {
                *sum += f64::from(load.running + load.queued) / f64::from(load.capacity);
            }
        }
        self.reports.push_back((now, loads));
        while self.reports.front().is_some_and(|(at, _)| *at + self.settings.report_lag <= now) {
            if let Some((at, loads)) = self.reports.pop_front() {
                self.apply_report(now, at, &loads);
            }
        }
        self.share_capacity(now);
        if now < self.settings.duration + DEADLINE {
            self.events.push(now + self.settings.report_period, ModelEvent::Report);
        }
    }

    /// Splits the slots of the groups in the view over the nodes.
    fn share_capacity(&mut self, now: Duration) {
        let at = self.start + now;
        for node in &mut self.nodes {
            let (Some(queue), Some(share)) = (&mut node.queue, &mut node.capacity) else { return };
            let slots = share.capacity(at, &self.view, node.running, self.settings.nodes);
            queue.set_capacity(at, &service(), slots);
        }
    }

    /// Applies a report to the nodes' view.
    fn apply_report(&mut self, now: Duration, at: Duration, loads: &[VmLoad]) {
        let outage = self.settings.outage;
        let hidden = |group: usize| {
            outage.is_some_and(|outage| {
                group < outage.groups && (outage.from + outage.seen_after..outage.to).contains(&now)
            })
        };
        self.view = (0..self.settings.groups)
            .filter(|group| !hidden(*group))
            .map(|group| {
                let mut whole = new_group(group, self.settings, self.start + at);
                whole.load = loads[group];
                whole
            })
            .collect();
    }

    fn start_outage(&mut self, now: Duration) {
        let groups = self.settings.outage.map_or(0, |outage| outage.groups);
        let lost: Vec<usize> =
            self.engines[..groups].iter_mut().flat_map(EngineModel::take_down).collect();
        lost.into_iter().for_each(|attempt| self.fail(now, attempt));
    }

    fn end_outage(&mut self) {
        self.engines.iter_mut().for_each(|engine| engine.down = false);
    }
}

fn new_node(settings: &ModelSettings, start: Instant, rng: &mut Xoshiro256PlusPlus) -> NodeModel {
    let mut queue = settings.queue.map(|make| make(rng.random()));
    let homes = settings.home_nodes as f64;
    if let Some(queue) = &mut queue {
        let slots = settings.engine.slots as usize * settings.groups / settings.nodes;
        queue.set_capacity(start, &service(), u32::try_from(slots).unwrap_or(u32::MAX));
        for customer in &settings.customers {
            let share = CustomerShare {
                requests_per_second: customer.limit.requests_per_second / homes,
                tokens_per_second: customer.limit.tokens_per_second / homes,
            };
            queue.set_share(start, &CustomerName::from(customer.name.as_str()), share);
        }
    }
    NodeModel {
        router: (settings.router)(rng.random()),
        queue,
        budget: (settings.budget)(),
        capacity: settings.capacity.clone().map(CapacityShare::new),
        running: 0,
        waiting: HashMap::new(),
    }
}

fn home_nodes(settings: &ModelSettings, customer: &ModelCustomer) -> Vec<usize> {
    let ids: Vec<_> = (0..settings.nodes).map(|node| NodeId::from(format!("n{node}"))).collect();
    let name = CustomerName::from(customer.name.as_str());
    let homes = customer_homes(&name, &ids, settings.home_nodes);
    (0..settings.nodes).filter(|node| homes.contains(&&ids[*node])).collect()
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a few thousand")]
fn tokens_of(work: &EngineWork) -> u32 {
    (work.prefix_tokens + work.own_tokens + work.output_tokens) as u32
}
