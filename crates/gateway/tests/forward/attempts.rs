//! Attempts of one request that run at the same time: how many there are, and how they end.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration,
};

use comfreyturn_gateway::{ForwardAnswer, GatewaySettings, NotRunReason, UnknownReason};
use comfreyturn_policy::ShutdownSettings;
use comfreyturn_ports::{Clock as _, LinkError, ServerReading, Spawner as _};
use comfreyturn_standin::fakes::{LocalSpawner, ScriptEnd, ServerScript};
use comfreyturn_types::{GatewayConfig, StoreVersion};
use futures_util::future::select;

use crate::test_site::{TestSite, config, events, listed, not_run, whole};

/// A stream's first events.
const BEFORE: &str = "id: 1\n\nid: 2\n\n";

/// The events after them.
const AFTER: &str = "id: 3\n\nid: 4\n\n";

/// After this time without an answer or a first event another attempt is made.
const SILENCE_MS: u64 = 900;

/// The caller's deadline, in milliseconds.
const DEADLINE_MS: u64 = 3000;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn late(pause_ms: u64, answer: ServerScript) -> ServerScript {
    ServerScript::Late { pause: ms(pause_ms), answer: Box::new(answer) }
}

fn streamed(pieces: &[(u64, &'static str)], end: ScriptEnd) -> ServerScript {
    let pieces = pieces.iter().map(|(pause, piece)| (ms(*pause), *piece)).collect();
    ServerScript::Answer { status: 200, pieces, end }
}

/// A site whose configuration was changed, with `extra` plain servers besides the three.
fn site_with(
    settings: GatewaySettings,
    models: &[&str],
    extra: &[&str],
    change: impl Fn(&mut GatewayConfig),
) -> TestSite {
    let mut site = TestSite::started_with(settings, models);
    let mut config = config(2, &["k"]);
    change(&mut config);
    site.feeds.put_config(config);
    if !extra.is_empty() {
        site.feeds.add_reading(ServerReading {
            is_whole: false,
            version: StoreVersion::first_era(2),
            changes: extra.iter().map(|vm| listed(vm, "plain", false)).collect(),
        });
    }
    site.run(1000);
    site
}

fn with_max_attempts(settings: GatewaySettings, count: u32, models: &[&str]) -> TestSite {
    site_with(settings, models, &[], |config| {
        for route in &mut config.routes {
            route.max_attempts = route.max_attempts.max(count);
        }
    })
}

/// A budget that allows every retry.
fn ample() -> GatewaySettings {
    GatewaySettings { retry_slack: 1000.0, ..GatewaySettings::default() }
}

impl TestSite {
    /// Sends a request whose answer is read in the background; its outcome and how long it took, in
    /// milliseconds, are put into the cell.
    fn spawn_read(&self, target: &str) -> Rc<RefCell<Option<(String, u64)>>> {
        let (gateway, request) = (self.gateway.clone(), self.request(target));
        let (clock, outcome) = (self.clock.clone(), Rc::new(RefCell::new(None)));
        let (result, started_at) = (outcome.clone(), self.clock.elapsed_ms());
        LocalSpawner::new(&self.pool).spawn(Box::pin(async move {
            let text = match gateway.forward(request).await {
                ForwardAnswer::Whole { status, .. } => status.to_string(),
                ForwardAnswer::NotRun { reason, .. } => format!("{reason:?}"),
                ForwardAnswer::Unknown(reason) => format!("{reason:?}"),
                ForwardAnswer::Denied(reason) => format!("{reason:?}"),
                ForwardAnswer::Stream { mut body, .. } => loop {
                    match body.next_events().await {
                        Ok(Some(_)) => {}
                        Ok(None) => break "whole".to_owned(),
                        Err(_) => break "broken".to_owned(),
                    }
                },
            };
            *result.borrow_mut() = Some((text, clock.elapsed_ms() - started_at));
        }));
        outcome
    }

    /// Sends a request, and returns the answer and the time until it, in milliseconds.
    fn timed(&mut self, target: &str) -> (ForwardAnswer, u64) {
        let started_at = self.clock.elapsed_ms();
        let answer = self.send_to(target);
        (answer, self.clock.elapsed_ms() - started_at)
    }
}

// -------------------------------------------------------------------------------------------
// How many attempts

/// Guards against a request that must not run twice and is sent again because its server is silent
/// (TWICE).
#[test]
fn silent_request_that_must_not_run_twice_is_sent_once() {
    for target in ["/write/x", "/once/x"] {
        let mut site = with_max_attempts(ample(), 3, &["m1", "m2", "m3"]);
        let (answer, time) = site.timed(target);
        assert!(matches!(answer, ForwardAnswer::Unknown(UnknownReason::Timeout)), "{target}");
        assert_eq!((site.servers.calls().len(), time), (1, DEADLINE_MS), "{target}");
    }
    let mut site = with_max_attempts(ample(), 3, &["m1", "m2", "m3"]);
    site.servers.script_next(streamed(&[(0, BEFORE), (1500, AFTER)], ScriptEnd::Whole));
    let answer = site.send_to("/once/x");
    assert_eq!(site.read(answer), (format!("{BEFORE}{AFTER}"), true));
    assert_eq!(site.servers.calls().len(), 1);
}

/// Guards against a one-time stream that is sent again after it broke (TWICE).
#[test]
fn broken_stream_that_must_not_run_twice_is_sent_once() {
    let mut site = with_max_attempts(ample(), 3, &["m1", "m2", "m3"]);
    site.servers.script_next(events(&[BEFORE], ScriptEnd::Broken));
    site.servers.script_next(events(&[AFTER], ScriptEnd::Whole));
    let answer = site.send_to("/once/x");
    assert_eq!(site.read(answer), (BEFORE.to_owned(), false));
    assert_eq!(site.servers.calls().len(), 1);
}

/// Guards against more attempts than the route allows, when all servers are silent (BUDGET).
#[test]
fn silent_servers_get_as_many_attempts_as_the_route_allows() {
    for count in [2, 3] {
        for target in ["/read/x", "/stream/x"] {
            let mut site = with_max_attempts(ample(), count, &["m1", "m2", "m3"]);
            let (answer, time) = site.timed(target);
            assert!(matches!(answer, ForwardAnswer::Unknown(UnknownReason::Timeout)), "{target}");
            let calls = site.servers.calls();
            assert_eq!((calls.len(), time), (count as usize, DEADLINE_MS), "{target}");
            let mut lives: Vec<_> = calls.iter().map(|call| call.life.clone()).collect();
            lives.sort();
            lives.dedup();
            assert_eq!(lives.len(), count as usize, "{target}");
            assert_eq!(site.gateway.in_flight(), 0);
        }
    }
}

/// Guards against servers that are not reached and count as attempts, beside a silent one.
#[test]
fn servers_that_are_not_reached_do_not_use_up_the_attempts_beside_a_silent_one() {
    let mut site = TestSite::started();
    site.servers.script_next(ServerScript::Hang);
    site.servers.script_next(ServerScript::Fail(LinkError::NotSent));
    site.servers.script_next(ServerScript::whole(200, "third"));
    assert_eq!(whole(site.send_to("/read/x")), (200, "third".to_owned()));
}

/// Guards against a retry that is not asked for in the budget (BUDGET): of three silent requests, one
/// may be sent again.
#[test]
fn each_attempt_beside_a_silent_one_is_taken_from_the_budget() {
    let settings =
        GatewaySettings { retry_share: 0.0, retry_slack: 1.0, ..GatewaySettings::default() };
    let mut site = with_max_attempts(settings, 3, &["m1", "m2", "m3"]);
    let outcomes = [(); 3].map(|()| site.spawn_read("/read/x"));
    site.run(DEADLINE_MS + 100);
    assert!(outcomes.iter().all(|outcome| outcome.borrow().is_some()));
    assert_eq!(site.servers.calls().len(), 4);
}

/// Guards against a further attempt for a stream whose server is silent only because the caller reads
/// slowly.
#[test]
fn caller_that_reads_slowly_does_not_make_its_server_silent() {
    let mut site = with_max_attempts(ample(), 3, &["m1", "m2", "m3"]);
    let pieces = [(0, BEFORE), (100, "id: 3\n\n"), (100, "id: 4\n\n")];
    site.servers.script_next(streamed(&pieces, ScriptEnd::Whole));
    let ForwardAnswer::Stream { mut body, .. } = site.send_to("/stream/x") else { panic!() };
    let done = Rc::new(Cell::new(false));
    let (clock, is_done) = (site.clock.clone(), done.clone());
    LocalSpawner::new(&site.pool).spawn(Box::pin(async move {
        while let Ok(Some(_)) = body.next_events().await {
            clock.sleep(ms(700)).await;
        }
        is_done.set(true);
    }));
    site.run(2900);
    assert!(done.get());
    assert_eq!(site.servers.calls().len(), 1);
}

/// Guards against more attempts than the route allows (BUDGET): an older attempt, whose server was not
/// reached, waits for a place while a newer one runs, so it doesn't count, and a further one is made.
#[test]
fn attempt_that_waits_for_a_place_again_does_not_exceed_the_attempts() {
    let mut site = site_with(ample(), &["m1"], &["p4"], |config| {
        for route in &mut config.routes {
            if route.prefix == "/write/" {
                // Has no objective, so it does not wait for a place.
                route.objective = route.timeout;
            }
        }
    });
    site.servers.script_next(late(1000, ServerScript::Fail(LinkError::NotSent)));
    site.servers.script_next(ServerScript::Hang);
    let outcome = site.spawn_read("/read/x");
    site.run(950);
    let before = site.servers.calls().len();
    assert_eq!(before, 2);
    // Requests that finish promise a place to those that wait.
    for _ in 0..100 {
        site.servers.script_next(ServerScript::whole(200, "x"));
        site.send_to("/write/y");
    }
    // All places are taken until both attempts wait for one.
    for _ in 0..40 {
        site.servers.script_next(late(1000, ServerScript::whole(200, "x")));
        site.spawn_read("/write/x");
    }
    site.run(900);
    let others = site.servers.calls().len();
    let is_own = |target: &str| target == "/read/x";
    let own = |site: &TestSite| site.servers.calls().iter().filter(|c| is_own(&c.target)).count();
    assert_eq!(own(&site), 2, "all places are taken, {others} calls");
    site.run(2000);
    assert!(outcome.borrow().is_some());
    // The first one was not reached.
    assert!(own(&site) <= 3, "{} attempts, of which one was not reached", own(&site));
}

/// Guards against a further attempt (BUDGET) for an answer that is being received: the budget had none
/// while its server was silent, and has one when it goes on.
#[test]
fn answer_that_goes_on_gets_no_further_attempt() {
    let settings =
        GatewaySettings { retry_share: 0.5, retry_slack: 0.0, ..GatewaySettings::default() };
    let mut site = TestSite::started_with(settings, &["m1", "m2"]);
    let pieces = [(1000, "a"), (300, "b"), (300, "c"), (300, "d"), (300, "e"), (300, "f")];
    site.servers.script_next(streamed(&pieces, ScriptEnd::Whole));
    let outcome = site.spawn_read("/read/x");
    site.run(SILENCE_MS + 300);
    for _ in 0..2 {
        site.servers.script_next(ServerScript::whole(200, "other"));
        assert_eq!(whole(site.send_to("/read/y")).0, 200);
    }
    site.run(1700);
    assert_eq!(outcome.borrow().as_ref().map(|(text, _)| text.as_str()), Some("200 OK"));
    assert_eq!(site.servers.calls().len(), 3, "one attempt for each request");
}

// -------------------------------------------------------------------------------------------
// How attempts end

/// Guards against "not run" though an attempt that is still silent may have run (REFUSED).
#[test]
fn not_run_is_said_only_if_no_attempt_may_have_run() {
    for target in ["/read/x", "/stream/x"] {
        let mut site = TestSite::started();
        site.servers.script_next(ServerScript::Hang);
        site.servers.script_next(ServerScript::Fail(LinkError::NotRun));
        let answer = site.send_to(target);
        assert!(matches!(answer, ForwardAnswer::Unknown(_)), "{target}");

        // The older attempt is declined last.
        let mut site = TestSite::started();
        site.servers.script_next(late(1500, ServerScript::Fail(LinkError::NotRun)));
        site.servers.script_next(ServerScript::Fail(LinkError::NotRun));
        let (answer, time) = site.timed(target);
        assert_eq!(not_run(&answer), Some(NotRunReason::Declined), "{target}");
        assert_eq!(time, 1500);

        // The older one is declined, the newer one is silent.
        let mut site = TestSite::started();
        site.servers.script_next(late(1500, ServerScript::Fail(LinkError::NotRun)));
        let answer = site.send_to(target);
        assert!(matches!(answer, ForwardAnswer::Unknown(_)), "{target}");
    }
}

/// Guards against a failure of one attempt that ends the other, whichever is the older.
#[test]
fn failure_of_one_attempt_leaves_the_other_running() {
    for (first, second) in [
        (
            late(1200, ServerScript::Fail(LinkError::Broken)),
            late(800, ServerScript::whole(200, "a")),
        ),
        (
            late(2000, ServerScript::whole(200, "a")),
            late(100, ServerScript::Fail(LinkError::Broken)),
        ),
        (late(2000, ServerScript::whole(200, "a")), late(100, ServerScript::whole(500, "b"))),
        (late(1000, ServerScript::whole(500, "b")), late(800, ServerScript::whole(200, "a"))),
    ] {
        let mut site = TestSite::started();
        site.servers.script_next(first.clone());
        site.servers.script_next(second.clone());
        let answer = whole(site.send_to("/read/x"));
        assert_eq!(answer, (200, "a".to_owned()), "{first:?}, {second:?}");
        assert_eq!(site.servers.calls().len(), 2);
    }
}

/// Guards against work that goes on, and counts, after its caller has left.
#[test]
fn attempts_end_when_the_caller_leaves() {
    for target in ["/read/x", "/stream/x"] {
        let mut site = TestSite::started();
        let (gateway, request) = (site.gateway.clone(), site.request(target));
        let clock = site.clock.clone();
        LocalSpawner::new(&site.pool).spawn(Box::pin(async move {
            let leaves = clock.sleep(ms(1500));
            select(Box::pin(gateway.forward(request)), leaves).await;
        }));
        site.run(1400);
        assert_eq!((site.servers.calls().len(), site.gateway.in_flight()), (2, 1), "{target}");
        site.run(200);
        assert_eq!(site.gateway.in_flight(), 0, "{target}");
    }
}

/// Guards against a node that ends before the requests whose servers are silent get their answers
/// (LOST).
#[test]
fn request_with_two_attempts_is_answered_before_a_stopping_node_ends() {
    for (target, models) in [("/read/x", 2), ("/stream/x", 2), ("/stream/x", 1)] {
        let mut site = TestSite::started_with(ample(), &["m1", "m2"][..models]);
        let outcome = site.spawn_read(target);
        site.run(1000);
        let ended = Rc::new(Cell::new(false));
        let (gateway, stopped_at, is_ended) =
            (site.gateway.clone(), site.clock.now(), ended.clone());
        let answered = outcome.clone();
        LocalSpawner::new(&site.pool).spawn(Box::pin(async move {
            let settings = ShutdownSettings { grace: ms(1500), ..ShutdownSettings::default() };
            gateway.shut_down(stopped_at, &settings, || {}).await;
            is_ended.set(answered.borrow().is_some());
        }));
        site.run(3000);
        assert!(ended.get(), "{target}, {models} servers");
    }
}

/// Guards against an outcome that comes later than the deadline, and is not called a timeout, because
/// another server is looked for when the time is over.
#[test]
fn silent_request_without_another_server_times_out_at_its_deadline() {
    let mut site = TestSite::started_with(ample(), &["m1"]);
    let (answer, time) = site.timed("/stream/x");
    let ForwardAnswer::Unknown(reason) = answer else { panic!("an outcome that is known") };
    assert_eq!((reason, time), (UnknownReason::Timeout, DEADLINE_MS));
}

/// Guards against a server's failed answer that comes too late for its caller, because another server is
/// silent.
#[test]
fn failed_answer_is_delivered_before_the_deadline() {
    let mut site = TestSite::started();
    site.servers.script_next(ServerScript::Hang);
    site.servers.script_next(ServerScript::whole(500, "sorry"));
    let (answer, time) = site.timed("/read/x");
    assert_eq!(whole(answer), (500, "sorry".to_owned()));
    assert!(
        time < DEADLINE_MS,
        "it was there after {SILENCE_MS} ms, and delivered after {time} ms"
    );
}

/// Guards against a node that stands still for good: a route states an objective of zero, and the
/// budget has no retry.
#[test]
fn objective_of_zero_does_not_stop_the_node() {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let settings =
            GatewaySettings { retry_share: 0.0, retry_slack: 0.0, ..GatewaySettings::default() };
        let mut site = site_with(settings, &["m1"], &[], |config| {
            for route in &mut config.routes {
                route.objective = Duration::ZERO;
            }
        });
        site.servers.script_next(late(500, ServerScript::whole(200, "a")));
        let _ = sender.send(whole(site.send_to("/read/x")));
    });
    let answer = receiver.recv_timeout(Duration::from_secs(20));
    assert_eq!(answer, Ok((200, "a".to_owned())));
}

// -------------------------------------------------------------------------------------------
// Where streams are resumed

/// Guards against a stream that can't be resumed any more because its server sends comments, which are
/// no events, to keep the connection open (LOST).
#[test]
fn comment_between_events_does_not_prevent_resuming() {
    for (before, after) in
        [("id: 1\n\nid: 2\n\n: ping\n\n", "id: 3\n\n"), (BEFORE, ": ping\n\nid: 3\n\n")]
    {
        let mut site = TestSite::started();
        site.servers.script_next(events(&[before], ScriptEnd::Broken));
        site.servers.script_next(events(&[after], ScriptEnd::Whole));
        let answer = site.send_to("/stream/x");
        assert_eq!(site.read(answer), (format!("{before}{after}"), true), "{before:?}, {after:?}");
    }
}

/// Guards against a missing event (ORDER): the second server of a stream breaks after its first event,
/// and what is known of the ids before is forgotten.
#[test]
fn stream_that_is_resumed_twice_has_no_gap() {
    let mut site = with_max_attempts(ample(), 3, &["m1", "m2", "m3"]);
    site.servers.script_next(events(&[BEFORE], ScriptEnd::Broken));
    site.servers.script_next(events(&["id: 3\n\n"], ScriptEnd::Broken));
    site.servers.script_next(events(&["id: 5\n\n"], ScriptEnd::Whole));
    let answer = site.send_to("/stream/x");
    assert_eq!(site.read(answer), (format!("{BEFORE}id: 3\n\n"), false));
}
