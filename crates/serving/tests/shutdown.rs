//! What a node with a shutdown limit takes after its stop signal, and how it ends what it took.

mod support;

use std::{pin::pin, rc::Rc, time::Duration};

use comfreyturn_policy::{PriorityClass, ShutdownSettings, ShutdownTerm};
use comfreyturn_ports::{Clock, CompletionEvent};
use comfreyturn_serving::{CompletionCall, PlainCall, Refusal};
use comfreyturn_standin::{
    content_hash,
    fakes::{FaultSettings, LocalPool, MemoryBackendSettings},
};
use comfreyturn_types::RequestOutcome;
use futures_util::{
    StreamExt,
    future::{Either, join_all, select},
};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};
use support::{
    MAX_TOKENS, SubmissionEnd, TestJob, World, address_of, completion_call, plain_call,
    start_world, submit, vm_of,
};

/// Limits of the shutdown: below the slowest request, just above it, and far above it.
const LIMITS: [Duration; 3] =
    [Duration::from_secs(3), Duration::from_secs(8), Duration::from_secs(30)];

const SEEDS: u64 = 4;

/// How long callers may use an address, as in the default settings.
const ADDRESS_HOLD: Duration = Duration::from_secs(10);

/// Time in which a node serves before it is stopped.
const CALM: Duration = Duration::from_secs(40);

/// Pauses between two requests to the node, in milliseconds.
const PAUSE_MS: (u64, u64) = (10, 90);

/// Engines that take this long for a token make answers of 40 tokens slow ones.
const TOKEN_INTERVAL: Duration = Duration::from_millis(100);

/// Token limit of a quick completion.
const QUICK_TOKENS: u32 = 4;

/// How long callers wait for their answers, in milliseconds.
const DEADLINE_MS: (u64, u64) = (5_000, 60_000);

/// A request without an answer after this time was cut when its node ended.
const CALLER_TIMEOUT: Duration = Duration::from_secs(70);

/// How a request ended for its caller.
#[derive(Clone, Debug)]
enum CallerEnd {
    Whole,
    /// A final answer that states what became of the request.
    Refused(Refusal),
    /// No final answer, or only a part of one.
    Cut,
}

impl CallerEnd {
    fn outcome(&self) -> Option<RequestOutcome> {
        match self {
            Self::Refused(refusal) => Some(refusal.outcome),
            Self::Whole | Self::Cut => None,
        }
    }

    fn is_not_run(&self) -> bool {
        self.outcome() == Some(RequestOutcome::NotRun)
    }
}

/// A request that was sent to the node.
#[derive(Debug)]
struct SentRequest {
    body: String,
    is_plain: bool,
    /// Times since the start of the test.
    sent_at: Duration,
    ended_at: Duration,
    end: CallerEnd,
}

/// Sends a completion to the first node. An answer counts only if the node writes it.
async fn send_completion(world: &Rc<World>, call: CompletionCall) -> CallerEnd {
    let node = world.node(0);
    let answer = pin!(async {
        let name = &node.identity.node;
        let mut stream = match world.plan.on_node(name, node.service.complete(call)).await {
            Ok(stream) => stream,
            Err(refusal) => return CallerEnd::Refused(refusal),
        };
        while let Some(part) = world.plan.on_node(name, stream.next()).await {
            match part {
                Ok(CompletionEvent::Token(_)) => {}
                Ok(CompletionEvent::Finished { .. }) => return CallerEnd::Whole,
                Err(refusal) => return CallerEnd::Refused(refusal),
            }
        }
        CallerEnd::Cut
    });
    match select(answer, world.clock.sleep(CALLER_TIMEOUT)).await {
        Either::Left((end, _)) => end,
        Either::Right(_) => CallerEnd::Cut,
    }
}

async fn send_plain(world: &Rc<World>, call: PlainCall) -> CallerEnd {
    let node = world.node(0);
    let name = &node.identity.node;
    let answer = pin!(world.plan.on_node(name, node.service.call_plain(call)));
    match select(answer, world.clock.sleep(CALLER_TIMEOUT)).await {
        Either::Left((Ok(_), _)) => CallerEnd::Whole,
        Either::Left((Err(refusal), _)) => CallerEnd::Refused(refusal),
        Either::Right(_) => CallerEnd::Cut,
    }
}

/// Sends a random request to the first node.
async fn send_random(world: Rc<World>, seed: u64, number: u64) -> SentRequest {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed << 32 | number);
    let body = format!("request {seed} {number}");
    let is_plain = rng.random_ratio(1, 3);
    let deadline = Duration::from_millis(rng.random_range(DEADLINE_MS.0..DEADLINE_MS.1));
    let is_quick = rng.random_ratio(1, 2);
    let class = if rng.random_ratio(1, 3) { PriorityClass::Batch } else { PriorityClass::Standard };
    let (job, node) = (TestJob::completion(&body), world.node(0));
    let name = &node.identity.node;
    let deadline_at = world.plan.clock(name).now() + deadline;
    let sent_at = world.clock.elapsed();
    let end = if is_plain {
        let mut call = plain_call(&world, &job, name);
        call.scope.service = support::PLAIN_SERVICE.into();
        (call.scope.deadline, call.scope.class) = (deadline_at, class);
        send_plain(&world, call).await
    } else {
        let mut call = completion_call(&world, &job, name);
        call.max_tokens = if is_quick { QUICK_TOKENS } else { MAX_TOKENS };
        (call.scope.deadline, call.scope.class) = (deadline_at, class);
        send_completion(&world, call).await
    };
    SentRequest { body, is_plain, sent_at, ended_at: world.clock.elapsed(), end }
}

/// Stops the first node after `pause` as its process does: with a limit, after which it ends
/// whatever runs. Returns when it got the signal and when it ended.
async fn stop(world: &Rc<World>, pause: Duration, limit: Duration) -> (Duration, Duration) {
    world.sleep(pause).await;
    let stopped_at = world.clock.elapsed();
    let node = world.node(0);
    let settings = ShutdownSettings {
        grace: limit,
        address_hold: ADDRESS_HOLD,
        ..ShutdownSettings::default()
    };
    let now = world.plan.clock(&node.identity.node).now();
    node.view.leaving.set(true);
    node.service.end_by(ShutdownTerm::new(now, &settings));
    select(pin!(node.service.drain()), world.clock.sleep(limit)).await;
    world.plan.kill(&node.identity.node);
    (stopped_at, world.clock.elapsed())
}

/// A cell whose engines are slow, with this many groups.
fn slow_world(groups: usize) -> (Rc<World>, LocalPool) {
    let (world, mut pool) = start_world(FaultSettings::default());
    world.groups.borrow_mut().truncate(groups);
    for (number, group) in [1, 3, 5].into_iter().zip(world.groups.borrow().iter()) {
        let settings = MemoryBackendSettings {
            vm: vm_of(number),
            place: Some((group.group.clone(), group.generation)),
            token_interval: TOKEN_INTERVAL,
            capacity: 64,
            ..MemoryBackendSettings::default()
        };
        world.backends.start(address_of(number), settings);
    }
    world.run(&mut pool, world.sleep(Duration::from_secs(1)));
    (world, pool)
}

/// Requests to a node before and after its stop signal.
struct StoppedNode {
    world: Rc<World>,
    stopped_at: Duration,
    ended_at: Duration,
    requests: Vec<SentRequest>,
}

impl StoppedNode {
    /// The requests that came while the process ran.
    fn received(&self) -> impl Iterator<Item = &SentRequest> {
        self.requests.iter().filter(|request| request.sent_at < self.ended_at)
    }
}

fn send_around_stop(seed: u64, limit: Duration) -> StoppedNode {
    let (world, mut pool) = slow_world(2);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut pause = Duration::ZERO;
    let pauses = std::iter::from_fn(|| {
        pause += Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1));
        (pause < CALM + limit).then_some(pause)
    });
    let requests = (0..).zip(pauses).map(|(number, pause)| {
        let world = world.clone();
        async move {
            world.sleep(pause).await;
            send_random(world, seed, number).await
        }
    });
    let (requests, (stopped_at, ended_at)) = world.run(&mut pool, async {
        futures_util::join!(join_all(requests), stop(&world, CALM, limit))
    });
    StoppedNode { world, stopped_at, ended_at, requests }
}

fn stopped_nodes(limit: Duration) -> impl Iterator<Item = StoppedNode> {
    (0..SEEDS).map(move |seed| send_around_stop(seed, limit))
}

/// Whether a backend server began a request.
fn was_started(world: &World, request: &SentRequest) -> bool {
    let hash = content_hash(request.body.as_bytes());
    if request.is_plain {
        return world.backends.plain_executions().iter().any(|run| run.body_hash == hash);
    }
    world.backends.executions().iter().any(|run| run.prompt_hash == hash)
}

/// Guards against requests that a node takes after its stop signal and gives up at its shutdown
/// limit (LOST).
#[test]
fn request_taken_before_a_shutdown_limit_is_answered_before_the_node_ends() {
    let mut results = Vec::new();
    for limit in LIMITS {
        let (mut taken, mut lost) = (0, 0);
        for node in stopped_nodes(limit) {
            let late = node.received().filter(|request| request.sent_at >= node.stopped_at);
            for request in late.filter(|request| !request.end.is_not_run()) {
                taken += 1;
                lost += u32::from(!matches!(request.end, CallerEnd::Whole));
            }
        }
        println!("limit {limit:?}: {lost} of {taken} requests that were taken are lost");
        results.push((limit, lost, taken));
    }
    assert!(results.iter().all(|(_, lost, _)| *lost == 0), "{results:?}");
    assert!(results.iter().all(|(_, _, taken)| *taken > 0), "{results:?}");
}

/// Guards against callers that learn nothing about a request that the end of a node interrupts, and
/// against the statement "not run" about one that ran (LOST).
#[test]
fn every_request_has_a_final_answer_before_a_shutdown_limit() {
    let mut results = Vec::new();
    for limit in LIMITS {
        let (mut cut, mut received) = (0, 0);
        for node in stopped_nodes(limit) {
            for request in node.received() {
                received += 1;
                cut += u32::from(matches!(request.end, CallerEnd::Cut));
                if let CallerEnd::Refused(refusal) = &request.end
                    && refusal.outcome == RequestOutcome::NotRun
                {
                    assert!(!was_started(&node.world, request), "{request:?}");
                    let is_told_others = !refusal.other_addresses.is_empty();
                    assert!(is_told_others || request.ended_at < node.stopped_at, "{request:?}");
                }
            }
        }
        println!("limit {limit:?}: {cut} of {received} requests have no final answer");
        results.push((limit, cut, received));
    }
    assert!(results.iter().all(|(_, cut, _)| *cut == 0), "{results:?}");
}

/// Guards against a node that refuses its callers although it has the time to serve them.
#[test]
fn quick_plain_requests_are_served_while_callers_hold_the_address() {
    for limit in LIMITS {
        let window = ADDRESS_HOLD.min(limit / 3);
        for node in stopped_nodes(limit) {
            let in_window = |request: &&SentRequest| {
                request.is_plain
                    && request.sent_at >= node.stopped_at
                    && request.sent_at < node.stopped_at + window
            };
            let refused =
                node.received().filter(in_window).find(|r| !matches!(r.end, CallerEnd::Whole));
            assert!(refused.is_none(), "limit {limit:?}: {refused:?}");
        }
    }
}

/// How long a completion of [`MAX_TOKENS`] takes at least.
const SLOW_RUN: Duration = Duration::from_secs(4);

/// Sends completions to the first node at the same time.
async fn send_burst(
    world: &Rc<World>,
    name: &str,
    count: u32,
    max_tokens: u32,
) -> Vec<SentRequest> {
    let requests = (0..count).map(|number| async move {
        let node = world.node(0).identity.node.clone();
        let body = format!("{name} {number}");
        let mut call = completion_call(world, &TestJob::completion(&body), &node);
        call.max_tokens = max_tokens;
        call.scope.class = PriorityClass::Batch;
        call.scope.deadline = world.plan.clock(&node).now() + Duration::from_secs(60);
        let sent_at = world.clock.elapsed();
        let end = send_completion(world, call).await;
        SentRequest { body, is_plain: false, sent_at, ended_at: world.clock.elapsed(), end }
    });
    join_all(requests).await
}

/// Sends enough quick and slow requests for the node to know how long they take.
async fn send_samples(world: &Rc<World>) {
    for number in 0..3 {
        send_burst(world, &format!("sample {number}"), 10, QUICK_TOKENS).await;
    }
    send_burst(world, "slow sample", 2, MAX_TOKENS).await;
}

/// Guards against requests that wait in the queue until too little time is left, run, and are
/// interrupted by the shutdown limit (LOST).
#[test]
fn queued_request_that_cannot_finish_before_a_shutdown_limit_is_not_run() {
    let limit = Duration::from_secs(6);
    let (world, mut pool) = slow_world(1);
    let (requests, (stopped_at, _)) = world.run(&mut pool, async {
        send_samples(&world).await;
        let stopping = stop(&world, Duration::from_secs(1), limit);
        futures_util::join!(send_burst(&world, "burst", 60, MAX_TOKENS), stopping)
    });
    let whole = requests.iter().filter(|request| matches!(request.end, CallerEnd::Whole)).count();
    let not_run = requests.iter().filter(|request| request.end.is_not_run()).count();
    println!("{whole} whole, {not_run} not run of {}", requests.len());
    assert!(whole > 0 && not_run > 0 && whole + not_run == requests.len());
    for request in requests.iter().filter(|request| request.end.is_not_run()) {
        assert!(!was_started(&world, request), "{request:?}");
        let latest = stopped_at + limit - SLOW_RUN;
        assert!(request.ended_at < latest, "refused too late to run elsewhere: {request:?}");
    }
}

/// Guards against attempts that begin anew so late that the shutdown limit interrupts them, and
/// whose callers then get no final answer (LOST).
#[test]
fn late_retry_has_a_final_answer_before_a_shutdown_limit() {
    let limit = Duration::from_secs(8);
    let (world, mut pool) = slow_world(2);
    let requests = world.run(&mut pool, async {
        send_samples(&world).await;
        let failing = async {
            world.sleep(Duration::from_millis(2_500)).await;
            world.restart_crashed.set(false);
            world.kill_vm(1);
            world.kill_vm(3);
            world.sleep(Duration::from_secs(4)).await;
            world.start_vm(3);
        };
        let burst = send_burst(&world, "burst", 10, MAX_TOKENS);
        futures_util::join!(burst, failing, stop(&world, Duration::ZERO, limit)).0
    });
    let cut = requests.iter().filter(|request| matches!(request.end, CallerEnd::Cut)).count();
    println!("{cut} cut of {}", requests.len());
    assert_eq!(cut, 0, "{requests:?}");
}

/// Guards against requests that must run at most once and that the end of their node makes
/// unanswerable (LOST): their streams go on at the engine, and a resend elsewhere joins them.
#[test]
fn keyed_request_that_a_shutdown_limit_interrupts_is_answered_elsewhere() {
    let (world, mut pool) = slow_world(1);
    let job = TestJob::completion("keyed").keyed();
    let (first, second) = world.run(&mut pool, async {
        let node = world.node(0).identity.node.clone();
        let call = completion_call(&world, &job, &node);
        let stopping = stop(&world, Duration::from_secs(1), Duration::from_secs(2));
        let (first, _) = futures_util::join!(send_completion(&world, call), stopping);
        (first, submit(&world, &job, 1).await)
    });
    assert_eq!(first.outcome(), Some(RequestOutcome::Unknown), "{first:?}");
    assert_eq!(second, SubmissionEnd::Whole);
    assert_eq!(world.backends.executions().len(), 1, "it ran once");
}
