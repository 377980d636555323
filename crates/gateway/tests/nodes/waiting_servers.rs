//! Servers that turn requests away and ask the node to send nothing for some time.

use std::{ops::Range, thread, time::Duration};

use comfreyturn_standin::fakes::{EVENT_PAUSE, ServerPlaces};

use crate::{
    wait_check::WaitCheck,
    waiting_site::{SERVERS, WaitingSite},
};

/// Slots of a server by the list, and events of each answer, where places are not what matters.
const SLOTS: u32 = 16;
const EVENTS: u32 = 5;

/// Requests per second: from all callers, and at least for each node.
const CALLER_RATE: f64 = 100.0;
const NODE_RATE: f64 = 4.0;

/// Servers that ask nodes to wait.
const ALL: Range<usize> = 0..SERVERS;
const THIRD: Range<usize> = 0..SERVERS / 3;
const NEXT_THIRD: Range<usize> = THIRD.end..2 * THIRD.end;

/// The server that crashes, which is in neither third.
const CRASHING: usize = SERVERS - 1;

/// How long servers ask nodes to wait.
const SHORT_WAIT: Duration = Duration::from_millis(500);
const MIDDLE_WAIT: Duration = Duration::from_secs(3);
const LONG_WAIT: Duration = Duration::from_secs(10);

/// Span of time in which servers turn requests away, and in which all is well after the last wait.
const SPAN: Duration = Duration::from_secs(1);
const CALM: Duration = Duration::from_millis(500);

/// Time from the beginning of that span until a server crashes, while its streams still run.
const CRASH_TIME: Duration = Duration::from_millis(100);

/// Time after the end of a wait in which requests come again.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Requests per second to a service with one server that asked for nothing.
const SINGLE_RATE: f64 = 200.0;

/// Time after the list has a new life of a server until it gets the first request, and in which all
/// nodes send to it.
const FIRST_TIME: Duration = Duration::from_secs(1);
const REPLACED_TIME: Duration = Duration::from_secs(3);

fn rate(size: u16) -> f64 {
    CALLER_RATE.max(NODE_RATE * f64::from(size))
}

fn all(size: u16) -> Vec<u16> {
    (1..=size).collect()
}

/// Runs each case on a thread of its own, and returns the results in order.
fn run_all<C: Copy + Send + 'static, R: Send + 'static, const N: usize>(
    cases: [C; N],
    run: fn(C) -> R,
) -> [R; N] {
    cases.map(|case| thread::spawn(move || run(case))).map(|thread| thread.join().unwrap())
}

fn assert_kept<const N: usize>(checks: [(String, WaitCheck); N]) {
    checks.iter().for_each(|(case, check)| println!("{case}: {check}"));
    let bad = checks.iter().find(|(_, check)| !check.is_good());
    assert!(bad.is_none(), "{}: {}", bad.unwrap().0, bad.unwrap().1);
}

// ------------------------------------------------------------------------------------------
// What servers get from nodes that they asked to wait

/// Guards against nodes that go on sending to a server that turned a request away and asked them to
/// wait (BUDGET). Streams of a server that crashes are resumed at others meanwhile.
#[test]
fn server_that_asked_a_node_to_wait_gets_at_most_two_requests_from_it() {
    let cases = [(7, false), (7, true), (89, false), (89, true)];
    assert_kept(run_all(cases, |(size, is_one)| {
        let mut site = WaitingSite::started(size, SLOTS, EVENTS);
        let receivers = if is_one { vec![1] } else { all(size) };
        let rate = if is_one { CALLER_RATE } else { rate(size) };
        let send_for = |site: &mut WaitingSite, time| site.send_for(time, rate, &receivers);
        site.turn_away(THIRD, LONG_WAIT, SPAN);
        site.turn_away(NEXT_THIRD, MIDDLE_WAIT, SPAN);
        send_for(&mut site, CRASH_TIME);
        site.crash(CRASHING);
        send_for(&mut site, SPAN + MIDDLE_WAIT);
        site.turn_away(NEXT_THIRD, SHORT_WAIT, SPAN);
        send_for(&mut site, LONG_WAIT - MIDDLE_WAIT);
        for wait in [SHORT_WAIT, MIDDLE_WAIT, LONG_WAIT] {
            site.replace(CRASHING);
            send_for(&mut site, CALM);
            site.turn_away(ALL, wait, SPAN);
            send_for(&mut site, CRASH_TIME);
            site.crash(CRASHING);
            send_for(&mut site, SPAN + wait);
        }
        let callers = if is_one { "one node" } else { "all nodes" };
        (format!("{size} nodes, callers at {callers}"), site.check())
    }));
}

/// Guards against nodes without a path to the servers that go on sending to a server through a node
/// that it asked to wait (BUDGET), while others are frozen and restarted.
#[test]
fn server_that_asked_a_helping_node_to_wait_gets_at_most_two_requests_through_it() {
    assert_kept(run_all([(7, 2), (89, 29)], |(size, cut)| {
        let mut site = WaitingSite::started(size, SLOTS, EVENTS);
        (1..=cut).for_each(|number| site.cut(number));
        site.send_for(MIDDLE_WAIT, rate(size), &all(size));
        for (servers, wait) in [(ALL, MIDDLE_WAIT), (THIRD, LONG_WAIT)] {
            site.turn_away(servers, wait, SPAN);
            site.send_for(SPAN, rate(size), &all(size));
            site.freeze(size - 2, MIDDLE_WAIT);
            site.restart(size - 1);
            site.send_for(wait, rate(size), &all(size));
        }
        (format!("{size} nodes, {cut} without a path"), site.check())
    }));
}

/// Guards against a server that is left alone for longer than it asked for.
#[test]
fn server_gets_requests_again_when_the_wait_that_it_asked_for_has_ended() {
    for servers in [THIRD, ALL] {
        let mut site = WaitingSite::started(7, SLOTS, EVENTS);
        site.turn_away(servers.clone(), MIDDLE_WAIT, SPAN);
        site.send_for(SPAN + MIDDLE_WAIT + RETURN_TIME + CALM, CALLER_RATE, &all(7));
        for index in servers.clone() {
            let end = site.last_wait_end(index);
            let senders = site.senders(index, end, end + RETURN_TIME);
            assert!(!senders.is_empty(), "no requests to server {index} of {servers:?}");
        }
        let check = site.check();
        assert!(check.is_good(), "servers {servers:?}: {check}");
    }
}

/// Guards against a wait that outlives the server that asked for it: a new life under the same id
/// asked for nothing.
#[test]
fn new_life_of_a_server_that_asked_nodes_to_wait_gets_requests_at_once() {
    let mut site = WaitingSite::started(7, SLOTS, EVENTS);
    site.turn_away(ALL, LONG_WAIT, LONG_WAIT);
    site.send_for(SPAN, SINGLE_RATE, &all(7));
    site.crash(0);
    site.send_for(SPAN, SINGLE_RATE, &all(7));
    site.replace(0);
    let replaced_at = site.now();
    site.send_for(LONG_WAIT, SINGLE_RATE, &all(7));
    let first = site.senders(0, replaced_at, replaced_at + FIRST_TIME);
    assert!(!first.is_empty(), "the new life gets no request");
    let senders = site.senders(0, replaced_at, replaced_at + REPLACED_TIME);
    assert_eq!(senders.len(), 7, "nodes that send to the new life: {senders:?}");
    let check = site.check();
    assert!(check.is_good(), "{check}");
}

// ------------------------------------------------------------------------------------------
// Servers that have no place for what callers want

/// Events of the answer to a request that keeps a place for two seconds.
const RUN_EVENTS: u32 = 49;
const START_TIME: Duration = Duration::from_millis(50);

/// What callers ask for, as a multiple of what the places hold.
const OVERLOAD: f64 = 2.0;

/// Time until the servers are full.
const FILL_TIME: Duration = Duration::from_secs(4);

/// Part of what the places hold that is served at least. Waits may cost the rest: a place that
/// becomes free stands empty until a node that need not wait sends a request.
const LEAST_USED: f64 = 0.9;

/// Requests to servers that have a place for half of them.
#[derive(Clone, Copy, Debug)]
struct OverloadCase {
    size: u16,

    /// Requests that a server runs at once.
    places: u32,

    /// Slots of a server by the list.
    slots: u32,

    /// How long a server without a free place asks a node to wait.
    wait: Duration,

    /// Time in which requests are counted.
    counted: Duration,
}

/// What came of it.
struct OverloadResult {
    case: OverloadCase,

    /// Share of the requests that was served, and that which the places allow.
    served: f64,
    allowed: f64,

    /// Share of the time of all places in which they ran requests that were served.
    used: f64,

    /// Requests that reached servers, for each request of a caller.
    attempts: f64,
    check: WaitCheck,
}

impl OverloadResult {
    fn of(case: OverloadCase) -> Self {
        let OverloadCase { size, places, slots, wait, counted } = case;
        let mut site = WaitingSite::started(size, slots, RUN_EVENTS);
        let lives = site.lives.iter();
        lives.for_each(|life| {
            site.nodes.servers.set_places(life.vm.as_str(), ServerPlaces { places, wait })
        });
        let run_time = (START_TIME + EVENT_PAUSE * RUN_EVENTS).as_secs_f64();
        let capacity = SERVERS as f64 * f64::from(places) / run_time;
        let rate = OVERLOAD * capacity;
        site.send_for(FILL_TIME, rate, &all(size));
        let from = site.now();
        site.send_for(counted, rate, &all(size));
        let to = site.now();
        site.finish();
        let (sent, served) = site.served(from, to);
        let attempts = site.arrivals(from, to) as f64 / sent as f64;
        let served = served as f64 / sent as f64;
        let allowed = capacity * counted.as_secs_f64() / sent as f64;
        Self { case, served, allowed, used: served / allowed, attempts, check: site.check() }
    }

    fn is_good(&self) -> bool {
        self.served >= LEAST_USED * self.allowed && self.check.is_good()
    }
}

impl std::fmt::Display for OverloadResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { case, served, allowed, used, attempts, check } = self;
        let OverloadCase { size, places, slots, wait, .. } = case;
        write!(
            f,
            "{size} nodes, {places} places ({slots} by the list), wait {wait:?}: served {served:.3}, places allow {allowed:.3}, places used {used:.3}, \
             attempts per request {attempts:.2}; {check}"
        )
    }
}

/// Guards against too little being served when nodes leave full servers alone that asked them to
/// wait, or do not (BUDGET).
#[test]
fn full_servers_that_ask_nodes_to_wait_still_use_their_places() {
    let small = OverloadCase {
        size: 7,
        places: 4,
        slots: 4,
        wait: Duration::from_secs(1),
        counted: Duration::from_secs(60),
    };
    let unstated = OverloadCase { slots: SLOTS, ..small };
    let long = OverloadCase { wait: MIDDLE_WAIT, ..unstated };
    let large =
        OverloadCase { size: 89, places: 12, slots: 48, counted: Duration::from_secs(15), ..long };
    let cases = [small, unstated, long, large];
    let results = run_all(cases, OverloadResult::of);
    results.iter().for_each(|result| println!("{result}"));
    let bad = results.iter().find(|result| !result.is_good());
    assert!(bad.is_none(), "{}", bad.unwrap());
}

/// Guards against servers whose room is taken for what they ran in a passing trouble, long after it
/// has ended.
#[test]
fn servers_are_used_again_soon_after_a_passing_trouble() {
    let (mut lines, mut bad) = (Vec::new(), false);
    for (size, span, wait) in [(7, 1500, 500), (7, 1000, 1000), (7, 8000, 3000), (7, 0, 500)] {
        let mut site = WaitingSite::started(size, SLOTS, RUN_EVENTS);
        // Seven of ten of what the slots hold.
        let rate = 0.7 * SERVERS as f64 * f64::from(SLOTS) / 2.0;
        site.send_for(FILL_TIME, rate, &all(size));
        if span > 0 {
            site.turn_away(ALL, Duration::from_millis(wait), Duration::from_millis(span));
        }
        site.send_for(Duration::from_millis(span + wait) + RETURN_TIME, rate, &all(size));
        let mut shares = Vec::new();
        for _ in 0..6 {
            let from = site.now();
            site.send_for(Duration::from_secs(5), rate, &all(size));
            shares.push((from, site.now()));
        }
        site.finish();
        let shares: Vec<f64> = shares
            .iter()
            .map(|(from, to)| {
                let (sent, served) = site.served(*from, *to);
                served as f64 / sent as f64
            })
            .collect();
        lines.push(format!("{size} nodes, trouble {span} ms, wait {wait} ms: served per 5 s from 2 s after: {shares:.3?}"));
        println!("{}", lines.last().unwrap());
        bad |= span > 0 && shares[1] < 0.95;
    }
    assert!(!bad, "{}", lines.join("\n"));
}

/// Guards against servers that stand idle because they refused without a word when they were full.
#[test]
fn full_servers_that_ask_for_nothing_still_use_their_places() {
    let case = |size, places| OverloadCase {
        size,
        places,
        slots: SLOTS,
        wait: Duration::ZERO,
        counted: Duration::from_secs(30),
    };
    let results = run_all([case(1, 4), case(7, 4), case(7, 16)], OverloadResult::of);
    results.iter().for_each(|result| println!("{result}"));
    let bad = results.iter().find(|result| result.served < LEAST_USED * result.allowed);
    assert!(bad.is_none(), "{}", bad.unwrap());
}
