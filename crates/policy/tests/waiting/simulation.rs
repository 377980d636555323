//! Servers with slots and queues, and callers with patience.

use std::time::{Duration, Instant};

use comfreyturn_policy::{FreePlaces, WaitingRequest};
use comfreyturn_types::{CustomerName, RouteName};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::schemes::Scheme;

const STEP: Duration = Duration::from_millis(5);

/// Pause between two releases into all free places.
const RELEASE_PERIOD: Duration = Duration::from_millis(100);

pub const SERVERS: usize = 4;
pub const SLOTS: usize = 20;

/// Requests that a server may have, and those up to which it takes late ones.
const PLACES: usize = 25;
const SPARE_PLACES: usize = 18;

/// Time in a slot of a request of usual size.
const RUN_TIME: f64 = 1.0;

/// Time until the first event in a slot, of the usual size.
const FIRST_TIME: f64 = 0.05;

/// Requests of usual size that all servers complete per second.
pub const CAPACITY: f64 = (SERVERS * SLOTS) as f64 / RUN_TIME;

#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub objective_ms: u64,
    pub priority: u8,
}

pub const KINDS: [Kind; 3] = [
    Kind { name: "urgent", objective_ms: 250, priority: 0 },
    Kind { name: "usual", objective_ms: 800, priority: 1 },
    Kind { name: "patient", objective_ms: 2000, priority: 2 },
];

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: f64,
    pub kind: usize,
    pub customer: usize,

    /// Relative to the usual size.
    pub size: f64,

    /// Time from arrival to the first event, if there was one before the caller gave up.
    pub first: Option<f64>,
}

impl Call {
    pub fn objective(&self) -> f64 {
        KINDS[self.kind].objective_ms as f64 / 1000.0
    }

    fn limit(&self) -> f64 {
        (4.0 * self.objective()).max(2.0)
    }

    pub fn is_in_time(&self) -> bool {
        self.first.is_some_and(|first| first <= self.objective())
    }

    fn waiting(&self, start: Instant) -> WaitingRequest {
        let received_at = start + Duration::from_secs_f64(self.at);
        let objective = Duration::from_secs_f64(self.objective());
        WaitingRequest {
            kind: RouteName::from(KINDS[self.kind].name),
            customer: Some(CustomerName::from(format!("c{}", self.customer))),
            priority: KINDS[self.kind].priority,
            objective,
            objective_at: received_at + objective,
            limit_at: received_at + Duration::from_secs_f64(self.limit()),
            needed: Duration::from_secs_f64(2.0 * FIRST_TIME),
            bytes: 1000,
        }
    }
}

/// Arrivals over a time in which `rate` gives the requests per second of each kind and customer.
pub fn arrivals(
    seconds: f64,
    customers: usize,
    size: impl Fn(&mut Xoshiro256PlusPlus) -> f64,
    rate: impl Fn(f64, usize, usize) -> f64,
) -> Vec<Call> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
    let mut calls = Vec::new();
    let step = STEP.as_secs_f64();
    let mut at = 0.0;
    while at < seconds {
        for kind in 0..KINDS.len() {
            for customer in 0..customers {
                if rng.random::<f64>() < rate(at, kind, customer) * step {
                    let size = size(&mut rng);
                    calls.push(Call { at, kind, customer, size, first: None });
                }
            }
        }
        at += step;
    }
    calls
}

#[derive(Default)]
struct Server {
    /// Until when each running request runs.
    running: Vec<f64>,

    /// Priority, order and call of the queued ones.
    queue: Vec<(u8, usize)>,
}

/// Plays the arrivals. `servers` gives the number of servers that take requests at a time.
pub fn play(mut calls: Vec<Call>, mut scheme: Scheme, servers: impl Fn(f64) -> usize) -> Vec<Call> {
    let start = Instant::now();
    let mut state: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let end = calls.last().unwrap().at + 10.0;
    let (mut next, mut at, mut period_at) = (0, 0.0, 0.0);
    while at < end {
        let now = start + Duration::from_secs_f64(at);
        let mut finished = 0;
        for server in &mut state {
            let before = server.running.len();
            server.running.retain(|until| *until > at);
            for _ in server.running.len()..before {
                finished += 1;
                scheme.finished(now);
            }
        }
        let up = servers(at);
        let is_period = at >= period_at;
        let mut free = free_places(&state[..up]);
        if is_period {
            period_at = at + RELEASE_PERIOD.as_secs_f64();
        } else {
            free = FreePlaces { all: free.all.min(finished), spare: free.spare.min(finished) };
        }
        for run in scheme.release(now, free) {
            send(&mut state[..up], &calls, run.index, run.is_late);
        }
        while next < calls.len() && calls[next].at <= at {
            let free = free_places(&state[..up]);
            if scheme.arrive(now, next, calls[next].waiting(start), free) {
                send(&mut state[..up], &calls, next, false);
            }
            next += 1;
        }
        for server in &mut state[..up] {
            start_queued(server, &mut calls, at);
        }
        at += STEP.as_secs_f64();
    }
    calls
}

fn free_places(servers: &[Server]) -> FreePlaces {
    let load = |server: &Server| server.running.len() + server.queue.len();
    let free = |most: usize| -> u32 {
        let free = servers.iter().map(|server| most.saturating_sub(load(server)));
        u32::try_from(free.sum::<usize>()).unwrap()
    };
    FreePlaces { all: free(PLACES), spare: free(SPARE_PLACES) }
}

fn send(servers: &mut [Server], calls: &[Call], index: usize, is_late: bool) {
    let least = servers.iter_mut().min_by_key(|server| server.running.len() + server.queue.len());
    let priority = if is_late { 9 } else { KINDS[calls[index].kind].priority };
    least.unwrap().queue.push((priority, index));
}

fn start_queued(server: &mut Server, calls: &mut [Call], at: f64) {
    server.queue.sort();
    while server.running.len() < SLOTS && !server.queue.is_empty() {
        let (_, index) = server.queue.remove(0);
        let call = &mut calls[index];
        let first = at - call.at + FIRST_TIME * call.size;
        if first < call.limit() {
            call.first = Some(first);
            server.running.push(at + RUN_TIME * call.size);
        }
    }
}

/// Share of the calls that were served in time, of those that `is_counted`.
pub fn in_time(calls: &[Call], is_counted: impl Fn(&Call) -> bool) -> f64 {
    let counted: Vec<_> = calls.iter().filter(|call| is_counted(call)).collect();
    let served = counted.iter().filter(|call| call.is_in_time()).count();
    served as f64 / counted.len().max(1) as f64
}
