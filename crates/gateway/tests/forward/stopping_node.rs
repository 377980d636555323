//! Requests to a node that stops.

use std::{rc::Rc, time::Duration};

use comfreyturn_gateway::{ForwardAnswer, ForwardRequest, NotRunReason, UnknownReason};
use comfreyturn_policy::ShutdownSettings;
use comfreyturn_ports::{Clock, Spawner as _};
use comfreyturn_standin::fakes::{LocalSpawner, ServerScript, run_until};
use comfreyturn_types::{RouteSpec, ServiceName};

use crate::test_site::{TestSite, config, not_run, whole};

/// Time until a node that stops is killed.
const GRACE: Duration = Duration::from_secs(4);

/// When a request comes after the stop signal, in milliseconds. The node has less time left than its
/// caller.
const SINCE_STOP_MS: u64 = 1400;

/// Requests by which a node knows how long others of their route take.
const KNOWN_REQUESTS: u32 = 20;

/// A request that no server answers unless a script says so.
const WRITE: &str = "/write/x";

impl TestSite {
    /// A site whose node saw many requests, each of which got this answer.
    fn with_answers(status: u16) -> Self {
        let mut site = Self::started();
        for _ in 0..KNOWN_REQUESTS {
            site.servers.script_next(ServerScript::whole(status, "x"));
            assert_eq!(whole(site.send_to(WRITE)).0, status);
        }
        site
    }

    /// Sends the node the stop signal and, after a while, a request.
    fn stop_and_send(&mut self, received_before: Duration) -> ForwardAnswer {
        let (gateway, stopped_at) = (self.gateway.clone(), self.now());
        let settings = ShutdownSettings { grace: GRACE, ..ShutdownSettings::default() };
        LocalSpawner::new(&self.pool).spawn(Box::pin(async move {
            gateway.shut_down(stopped_at, &settings, || {}).await;
        }));
        self.run(SINCE_STOP_MS);
        let received_at = self.now() - received_before;
        let request = ForwardRequest { received_at, ..self.request(WRITE) };
        self.send(request)
    }
}

#[test]
fn stopping_node_takes_what_it_knows_to_be_quick() {
    let mut site = TestSite::with_answers(200);
    site.servers.script_next(ServerScript::whole(200, "x"));
    assert_eq!(whole(site.stop_and_send(Duration::ZERO)).0, 200);
}

/// Guards against failures of servers, which are quick, that make a stopping node take a request
/// that it cannot finish (LOST).
#[test]
fn quick_failures_do_not_tell_how_long_requests_run() {
    let mut site = TestSite::with_answers(500);
    let answer = site.stop_and_send(Duration::ZERO);
    assert_eq!(not_run(&answer), Some(NotRunReason::EndsTooSoon));
}

/// Guards against requests that were too slow to be answered, and are the only slow ones: a stopping
/// node that forgets them takes another one and cannot finish it (LOST).
#[test]
fn request_that_ran_out_of_time_tells_how_long_others_may_run() {
    let mut site = TestSite::with_answers(200);
    let answer = site.send_to(WRITE);
    assert!(matches!(answer, ForwardAnswer::Unknown(UnknownReason::Timeout)));
    let answer = site.stop_and_send(Duration::ZERO);
    assert_eq!(not_run(&answer), Some(NotRunReason::EndsTooSoon));
}

/// Guards against slow requests whose callers gave up: a stopping node that forgets them takes
/// another one and cannot finish it (LOST).
#[test]
fn request_whose_caller_left_tells_how_long_others_may_run() {
    let mut site = TestSite::with_answers(200);
    let request = site.request(WRITE);
    let gateway = site.gateway.clone();
    let left = Rc::new(std::cell::Cell::new(false));
    let (clock, has_left) = (site.clock.clone(), left.clone());
    LocalSpawner::new(&site.pool).spawn(Box::pin(async move {
        let leaves = clock.sleep(Duration::from_millis(2500));
        futures_util::future::select(Box::pin(gateway.forward(request)), leaves).await;
        has_left.set(true);
    }));
    site.run(2600);
    assert!(left.get());
    let answer = site.stop_and_send(Duration::ZERO);
    assert_eq!(not_run(&answer), Some(NotRunReason::EndsTooSoon));
}

/// Guards against a stopping node that goes by requests of long ago (LOST).
#[test]
fn requests_of_long_ago_do_not_tell_how_long_others_run() {
    let mut site = TestSite::with_answers(200);
    site.run(120_000);
    let answer = site.stop_and_send(Duration::ZERO);
    assert_eq!(not_run(&answer), Some(NotRunReason::EndsTooSoon));
}

/// Guards against a stopping node that refuses a request for time that has passed already, while its
/// body came.
#[test]
fn request_whose_body_came_slowly_needs_no_more_than_the_rest_of_its_time() {
    let mut site = TestSite::started();
    site.servers.script_next(ServerScript::whole(200, "x"));
    assert_eq!(whole(site.stop_and_send(Duration::from_secs(2))).0, 200);
}

/// Guards against a node that was frozen, learns late of a stop signal, and ends before it answers
/// the requests that ran meanwhile (LOST).
#[test]
fn node_that_learns_late_of_its_stop_answers_before_it_ends() {
    let mut site = TestSite::started();
    let answered = Rc::new(std::cell::Cell::new(false));
    let (gateway, request, has_answer) =
        (site.gateway.clone(), site.request(WRITE), answered.clone());
    LocalSpawner::new(&site.pool).spawn(Box::pin(async move {
        gateway.forward(request).await;
        has_answer.set(true);
    }));
    site.run(10);
    let gateway = site.gateway.clone();
    let settings = ShutdownSettings { grace: GRACE, ..ShutdownSettings::default() };
    let shutdown = gateway.shut_down(site.now() - GRACE * 2, &settings, || {});
    run_until(&site.clock, &mut site.pool, shutdown).unwrap();
    assert!(answered.get());
}

/// Guards against a stopping node that goes by how long requests took before their route got a longer
/// timeout or another service, takes one that takes longer, and cannot finish it (LOST).
#[test]
fn changed_route_tells_nothing_about_how_long_its_requests_run() {
    let stopped = |change: fn(&mut RouteSpec)| {
        let mut site = TestSite::with_answers(200);
        let mut config = config(2, &["k"]);
        config.routes.iter_mut().for_each(change);
        site.feeds.put_config(config);
        site.run(1000);
        assert_eq!(site.gateway.config_version(), Some(2));
        site.servers.script_next(ServerScript::whole(200, "x"));
        not_run(&site.stop_and_send(Duration::ZERO))
    };
    assert_eq!(stopped(|_| {}), None);
    assert_eq!(stopped(|route| route.timeout -= Duration::from_millis(1)), None);
    let ends_too_soon = Some(NotRunReason::EndsTooSoon);
    assert_eq!(stopped(|route| route.timeout *= 2), ends_too_soon);
    let other = |route: &mut RouteSpec| route.targets[0].service = ServiceName::from("models");
    assert_eq!(stopped(other), ends_too_soon);
}
