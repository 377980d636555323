//! Customer limits, fair shares, refusals and the retry times of refused requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    AdmissionDecision, AdmissionQuery, AdmissionQueue, AdmissionTicket, CustomerShare, FairQueue,
    FairQueueSettings, PriorityClass, RetryBudget, RetryBudgetSettings, ShareRetryBudget,
};
use comfreyturn_types::{CustomerName, RefusalReason, ServiceName};

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);
const UNLIMITED: CustomerShare = CustomerShare { requests_per_second: 1e6, tokens_per_second: 1e9 };

fn admission(customer: &str, deadline: Instant) -> AdmissionQuery {
    AdmissionQuery {
        customer: customer.into(),
        weight: 1,
        class: PriorityClass::Standard,
        service: "assistant".into(),
        tokens: 100,
        deadline,
    }
}

fn service() -> ServiceName {
    "assistant".into()
}

fn queue(now: Instant, capacity: u32, customers: &[(&str, CustomerShare)]) -> FairQueue {
    let settings = FairQueueSettings { burst: 2 * SECOND, ..FairQueueSettings::default() };
    queue_with(settings, now, capacity, customers)
}

fn queue_with(
    settings: FairQueueSettings,
    now: Instant,
    capacity: u32,
    customers: &[(&str, CustomerShare)],
) -> FairQueue {
    let mut queue = FairQueue::new(settings, 1);
    queue.set_capacity(now, &service(), capacity);
    for (customer, share) in customers {
        queue.set_share(now, &CustomerName::from(*customer), *share);
    }
    queue
}

/// Settings that let requests wait almost without limit.
fn long_waits() -> FairQueueSettings {
    FairQueueSettings {
        max_standard_wait: 10_000 * SECOND,
        max_interactive_wait: 10_000 * SECOND,
        max_batch_wait: 10_000 * SECOND,
        ..Default::default()
    }
}

fn refusal(decision: AdmissionDecision) -> (RefusalReason, Duration) {
    match decision {
        AdmissionDecision::Refuse { reason, retry_after } => (reason, retry_after),
        other => panic!("not refused: {other:?}"),
    }
}

fn running(decision: AdmissionDecision) -> AdmissionTicket {
    match decision {
        AdmissionDecision::Run(ticket) => ticket,
        other => panic!("not run: {other:?}"),
    }
}

#[test]
fn customer_is_limited_to_its_rate() {
    let start = Instant::now();
    let share = CustomerShare { requests_per_second: 10.0, tokens_per_second: 1e9 };
    let mut queue = queue(start, 1_000, &[("acme", share)]);
    let mut admitted = 0;
    for i in 0..2_000_u32 {
        let now = start + i * 10 * MILLI;
        if let AdmissionDecision::Run(ticket) =
            queue.submit(now, &admission("acme", now + 60 * SECOND))
        {
            admitted += 1;
            queue.finish(now, ticket, 100);
        }
    }
    // 20 s at 10 requests a second, and the burst of 2 s.
    assert!((215..=220).contains(&admitted), "{admitted}");
}

#[test]
fn token_charge_is_corrected_when_request_ends() {
    let start = Instant::now();
    let share = CustomerShare { requests_per_second: 1e6, tokens_per_second: 100.0 };
    let mut queue = queue(start, 1_000, &[("acme", share)]);
    let query = admission("acme", start + 60 * SECOND);
    let first = running(queue.submit(start, &query));
    let second = running(queue.submit(start, &query));
    assert_eq!(refusal(queue.submit(start, &query)).0, RefusalReason::LimitReached);
    // The first request cost no tokens, so one more request is within the limit.
    queue.finish(start, first, 0);
    let third = running(queue.submit(start, &query));
    // The second cost five times its estimate: nothing is admitted until the bucket is refilled.
    queue.finish(start, second, 500);
    queue.finish(start, third, 100);
    let (reason, retry_after) = refusal(queue.submit(start + 4 * SECOND, &query));
    assert_eq!(reason, RefusalReason::LimitReached);
    assert!(retry_after >= SECOND, "{retry_after:?}");
    running(queue.submit(start + 5 * SECOND, &query));
}

#[test]
fn missing_share_and_missing_capacity_are_refused() {
    let now = Instant::now();
    let mut queue = queue(now, 1, &[("acme", UNLIMITED)]);
    let unknown = queue.submit(now, &admission("nobody", now + SECOND));
    assert_eq!(refusal(unknown).0, RefusalReason::LimitReached);
    queue.set_capacity(now, &service(), 0);
    let (reason, retry_after) = refusal(queue.submit(now, &admission("acme", now + SECOND)));
    assert_eq!(reason, RefusalReason::NoCapacity);
    assert!(retry_after >= SECOND);
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let start = Instant::now();
    let mut queue = queue_with(long_waits(), start, 1, &[("acme", UNLIMITED)]);
    // Each request takes two seconds.
    let mut now = start;
    for _ in 0..300 {
        let ticket = running(queue.submit(now, &admission("acme", now + 60 * SECOND)));
        now += 2 * SECOND;
        queue.finish(now, ticket, 100);
    }
    running(queue.submit(now, &admission("acme", now + 60 * SECOND)));
    for _ in 0..3 {
        let decision = queue.submit(now, &admission("acme", now + 60 * SECOND));
        assert!(matches!(decision, AdmissionDecision::Wait(_)), "{decision:?}");
    }
    // With four requests before it, it would start after eight seconds and end after ten.
    let (reason, retry_after) = refusal(queue.submit(now, &admission("acme", now + 9 * SECOND)));
    assert_eq!(reason, RefusalReason::Overloaded);
    assert!(retry_after > Duration::ZERO);
    let decision = queue.submit(now, &admission("acme", now + 11 * SECOND));
    assert!(matches!(decision, AdmissionDecision::Wait(_)), "{decision:?}");
}

#[test]
fn expired_waiting_request_is_refused_and_refunded() {
    let start = Instant::now();
    let share = CustomerShare { requests_per_second: 0.001, tokens_per_second: 1e9 };
    let mut queue = queue_with(long_waits(), start, 1, &[("acme", UNLIMITED), ("beta", share)]);
    running(queue.submit(start, &admission("acme", start + 60 * SECOND)));
    let query = admission("beta", start + 20 * SECOND);
    let AdmissionDecision::Wait(waiting) = queue.submit(start, &query) else { panic!() };
    assert!(queue.release(start + 19 * SECOND).is_empty());
    let now = start + 20 * SECOND;
    let released = queue.release(now);
    assert_eq!(released.len(), 1);
    assert_eq!(released[0].0, waiting);
    assert_eq!(refusal(released[0].1).0, RefusalReason::DeadlineExceeded);
    assert_eq!(queue.waiting(&service()), 0);
    let again = queue.submit(now, &admission("beta", now + 20 * SECOND));
    assert!(matches!(again, AdmissionDecision::Wait(_)), "{again:?}");
}

#[test]
fn withdrawn_request_is_never_released() {
    let now = Instant::now();
    let mut queue = queue_with(long_waits(), now, 1, &[("acme", UNLIMITED)]);
    let first = running(queue.submit(now, &admission("acme", now + 60 * SECOND)));
    let query = admission("acme", now + 60 * SECOND);
    let AdmissionDecision::Wait(second) = queue.submit(now, &query) else { panic!() };
    let AdmissionDecision::Wait(third) = queue.submit(now, &query) else { panic!() };
    queue.withdraw(now, second);
    queue.finish(now, first, 100);
    assert_eq!(queue.release(now), [(third, AdmissionDecision::Run(third))]);
}

/// Serves `count` requests one at a time and counts them by owner.
fn served_by(
    queue: &mut FairQueue,
    now: Instant,
    owners: &HashMap<AdmissionTicket, usize>,
    first: AdmissionTicket,
    count: usize,
) -> HashMap<usize, u32> {
    let mut counts = HashMap::new();
    let mut current = first;
    for _ in 0..count {
        queue.finish(now, current, 100);
        let released = queue.release(now);
        assert_eq!(released.len(), 1);
        current = running(released[0].1);
        *counts.entry(owners[&current]).or_default() += 1;
    }
    counts
}

fn enqueue(
    queue: &mut FairQueue,
    now: Instant,
    query: &AdmissionQuery,
    owner: usize,
    count: usize,
    owners: &mut HashMap<AdmissionTicket, usize>,
) {
    for _ in 0..count {
        let AdmissionDecision::Wait(ticket) = queue.submit(now, query) else { panic!() };
        owners.insert(ticket, owner);
    }
}

#[test]
fn customers_share_by_weight_regardless_of_queue_length() {
    let now = Instant::now();
    let far = now + 100_000 * SECOND;
    let mut queue = queue_with(
        long_waits(),
        now,
        1,
        &[("acme", UNLIMITED), ("beta", UNLIMITED), ("busy", UNLIMITED)],
    );
    let first = running(queue.submit(now, &admission("busy", far)));
    let mut owners = HashMap::new();
    enqueue(&mut queue, now, &admission("busy", far), 0, 2_000, &mut owners);
    enqueue(&mut queue, now, &admission("acme", far), 1, 100, &mut owners);
    let heavy = AdmissionQuery { weight: 3, ..admission("beta", far) };
    enqueue(&mut queue, now, &heavy, 2, 300, &mut owners);
    let counts = served_by(&mut queue, now, &owners, first, 250);
    assert!((48..=52).contains(&counts[&0]), "{counts:?}");
    assert!((48..=52).contains(&counts[&1]), "{counts:?}");
    assert!((148..=152).contains(&counts[&2]), "{counts:?}");
}

#[test]
fn using_several_classes_does_not_increase_share() {
    let now = Instant::now();
    let far = now + 100_000 * SECOND;
    let mut queue = queue_with(long_waits(), now, 1, &[("acme", UNLIMITED), ("beta", UNLIMITED)]);
    let first = running(queue.submit(now, &admission("acme", far)));
    let mut owners = HashMap::new();
    let classes = [PriorityClass::Interactive, PriorityClass::Standard, PriorityClass::Batch];
    for (owner, class) in (0..).zip(classes) {
        let query = AdmissionQuery { class, ..admission("acme", far) };
        enqueue(&mut queue, now, &query, owner, 200, &mut owners);
    }
    enqueue(&mut queue, now, &admission("beta", far), 9, 200, &mut owners);
    let counts = served_by(&mut queue, now, &owners, first, 260);
    assert!((127..=133).contains(&counts[&9]), "{counts:?}");
    assert!((77..=83).contains(&counts[&0]), "{counts:?}");
    assert!((38..=42).contains(&counts[&1]), "{counts:?}");
    assert!((8..=12).contains(&counts[&2]), "{counts:?}");
}

#[test]
fn understating_tokens_does_not_increase_share() {
    let now = Instant::now();
    let far = now + 100_000 * SECOND;
    let mut queue = queue_with(long_waits(), now, 1, &[("acme", UNLIMITED), ("beta", UNLIMITED)]);
    let mut current = running(queue.submit(now, &admission("acme", far)));
    let mut owners = HashMap::from([(current, 0)]);
    enqueue(&mut queue, now, &admission("acme", far), 0, 400, &mut owners);
    enqueue(&mut queue, now, &admission("beta", far), 1, 400, &mut owners);
    let mut counts = [0; 2];
    for _ in 0..400 {
        let tokens = if owners[&current] == 0 { 300 } else { 100 };
        queue.finish(now, current, tokens);
        current = running(queue.release(now)[0].1);
        counts[owners[&current]] += 1;
    }
    assert!((98..=102).contains(&counts[0]), "{counts:?}");
}

#[test]
fn idle_customer_gains_no_credit() {
    let now = Instant::now();
    let far = now + 100_000 * SECOND;
    let mut queue = queue_with(long_waits(), now, 1, &[("acme", UNLIMITED), ("beta", UNLIMITED)]);
    for _ in 0..500 {
        let ticket = running(queue.submit(now, &admission("acme", far)));
        queue.finish(now, ticket, 100);
    }
    let first = running(queue.submit(now, &admission("acme", far)));
    let mut owners = HashMap::new();
    enqueue(&mut queue, now, &admission("acme", far), 0, 100, &mut owners);
    enqueue(&mut queue, now, &admission("beta", far), 1, 100, &mut owners);
    let counts = served_by(&mut queue, now, &owners, first, 100);
    assert!((48..=52).contains(&counts[&0]), "{counts:?}");
}

#[test]
fn retry_times_are_spread_over_expected_service_time() {
    let now = Instant::now();
    let share = CustomerShare { requests_per_second: 50.0, tokens_per_second: 1e9 };
    let mut queue = queue(now, 10_000, &[("acme", share)]);
    let mut slots = [0_u32; 40];
    let mut refused = 0;
    while refused < 500 {
        let decision = queue.submit(now, &admission("acme", now + 60 * SECOND));
        let AdmissionDecision::Refuse { retry_after, .. } = decision else { continue };
        refused += 1;
        slots[usize::try_from(retry_after.as_secs()).unwrap()] += 1;
    }
    // 500 requests at 50 per second take ten seconds; no second gets many more than 50.
    assert!(slots.iter().all(|count| *count <= 55), "{slots:?}");
    assert_eq!(slots[12..].iter().sum::<u32>(), 0, "{slots:?}");
}

#[test]
fn excess_requests_delay_only_their_customers_retries() {
    let now = Instant::now();
    let mut queue = queue(now, 100, &[("acme", UNLIMITED), ("busy", UNLIMITED)]);
    for _ in 0..100 {
        running(queue.submit(now, &admission("busy", now + 60 * SECOND)));
    }
    let refused_after = |queue: &mut FairQueue, customer: &str| loop {
        let decision = queue.submit(now, &admission(customer, now + 60 * SECOND));
        if let AdmissionDecision::Refuse { reason, retry_after } = decision {
            assert_eq!(reason, RefusalReason::Overloaded);
            return retry_after;
        }
    };
    let busy = (0..1_000).map(|_| refused_after(&mut queue, "busy")).max().expect("some");
    assert!(busy > 15 * SECOND, "{busy:?}");
    let other = refused_after(&mut queue, "acme");
    assert!(other < 2 * SECOND, "{other:?}");
}

#[test]
fn retries_stay_within_share_of_requests_and_floor() {
    let start = Instant::now();
    let mut budget = ShareRetryBudget::new(RetryBudgetSettings::default());
    let floor = (0..100).filter(|_| budget.try_retry(start)).count();
    assert_eq!(floor, 2);
    let mut retries = 0;
    for i in 0..10_000_u32 {
        let now = start + 20 * SECOND + i * MILLI;
        budget.record_request(now);
        retries += usize::from(budget.try_retry(now));
    }
    assert!((950..=1_010).contains(&retries), "{retries}");
    // Requests before the window allow no retries.
    let later = start + 100 * SECOND;
    assert_eq!((0..100).filter(|_| budget.try_retry(later)).count(), 2);
}
