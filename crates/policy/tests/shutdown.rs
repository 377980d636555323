//! Which requests a node takes after a stop signal.

use std::time::{Duration, Instant};

use comfreyturn_policy::{RunTimeSettings, RunTimes, ShutdownSettings, ShutdownTerm};
use comfreyturn_types::RouteName;
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

const GRACES_S: [u64; 4] = [1, 3, 8, 30];

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn term(stopped_at: Instant, grace_s: u64) -> ShutdownTerm {
    let grace = Duration::from_secs(grace_s);
    ShutdownTerm::new(stopped_at, &ShutdownSettings { grace, ..ShutdownSettings::default() })
}

/// Guards against a request that a node takes after its stop signal and gives up when it ends
/// (LOST).
#[test]
fn request_that_is_admitted_ends_before_the_node() {
    let stopped_at = Instant::now();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    for grace_s in GRACES_S {
        let term = term(stopped_at, grace_s);
        let killed_at = stopped_at + Duration::from_secs(grace_s);
        for _ in 0..10_000 {
            let now = stopped_at + seconds(rng.random_range(0.0..1.2) * grace_s as f64);
            let needed = seconds(rng.random_range(0.0..10.0));
            if term.admits(now, needed) {
                assert!(now + needed < killed_at, "grace {grace_s} s");
            }
        }
    }
}

/// Guards against a node that refuses its callers although it has the time to serve them.
#[test]
fn quick_request_is_admitted_while_callers_hold_the_address() {
    let stopped_at = Instant::now();
    for grace_s in GRACES_S {
        let third = Duration::from_secs(grace_s) / 3;
        let held = third.min(ShutdownSettings::default().address_hold);
        let term = term(stopped_at, grace_s);
        assert!(term.admits(stopped_at + held.mul_f64(0.99), Duration::from_millis(100)));
        let half = Duration::from_secs(grace_s) / 2;
        assert!(!term.admits(stopped_at + half, Duration::ZERO), "the rest is for what runs");
    }
}

#[test]
fn few_requests_say_nothing_about_others() {
    let settings = RunTimeSettings::default();
    let mut times = RunTimes::new(settings);
    let (now, route) = (Instant::now(), RouteName::from("r"));
    for number in 0..settings.least_requests {
        assert_eq!(times.bound(now, &route, Duration::ZERO), None, "{number} requests");
        times.record(now, &route, seconds(1.0));
    }
    assert_eq!(times.bound(now, &route, Duration::ZERO), Some(seconds(1.0 * settings.margin)));
    assert_eq!(times.bound(now, &RouteName::from("other"), Duration::ZERO), None);
}

/// Guards against requests that became slow a moment ago, none of which has ended yet.
#[test]
fn running_request_counts_with_its_age() {
    let settings = RunTimeSettings::default();
    let mut times = RunTimes::new(settings);
    let (now, route) = (Instant::now(), RouteName::from("r"));
    (0..100).for_each(|_| times.record(now, &route, seconds(0.5)));
    let bound = times.bound(now, &route, seconds(4.0));
    assert_eq!(bound, Some(seconds(4.0 * settings.margin)));
}

/// Guards against one slow request that makes a node refuse for good.
#[test]
fn slow_request_is_forgotten_after_two_windows() {
    let settings = RunTimeSettings::default();
    let mut times = RunTimes::new(settings);
    let (start, route) = (Instant::now(), RouteName::from("r"));
    times.record(start, &route, seconds(9.0));
    let mut forgotten_after = None;
    for second in 0..200 {
        let now = start + Duration::from_secs(second);
        (0..5).for_each(|_| times.record(now, &route, seconds(0.5)));
        let bound = times.bound(now, &route, Duration::ZERO);
        if forgotten_after.is_none() && bound.is_some_and(|bound| bound < seconds(1.0)) {
            forgotten_after = Some(Duration::from_secs(second));
        }
    }
    let forgotten_after = forgotten_after.expect("forgotten");
    assert!(forgotten_after >= settings.window && forgotten_after <= settings.window * 2);
}

/// Guards against rare slow requests that a node has not seen yet, takes after its stop signal and
/// gives up when it ends (LOST).
#[test]
fn rare_slow_request_is_not_taken_by_a_node_that_saw_few_requests() {
    let settings = RunTimeSettings::default();
    let (start, route) = (Instant::now(), RouteName::from("r"));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let draw = |rng: &mut Xoshiro256PlusPlus| {
        let is_slow = rng.random_range(0..100) == 0;
        seconds(if is_slow { rng.random_range(3.7..4.5) } else { rng.random_range(0.1..1.0) })
    };
    let (mut taken, mut lost) = (0, 0);
    for _ in 0..10_000 {
        let mut times = RunTimes::new(settings);
        let seen = rng.random_range(settings.least_requests..settings.least_requests * 3);
        (0..seen).for_each(|_| times.record(start, &route, draw(&mut rng)));
        let term = term(start, 8);
        let now = start + seconds(rng.random_range(0.0..4.0));
        let needed = times.bound(now, &route, Duration::ZERO).unwrap_or(Duration::from_secs(8));
        if term.admits(now, needed) {
            taken += 1;
            lost += u32::from(now + draw(&mut rng) > term.ends_at);
        }
    }
    assert_eq!(lost, 0, "of {taken} taken");
}

/// Guards against a request that is taken because those of an hour ago were quick.
#[test]
fn requests_of_long_ago_say_nothing_about_others() {
    let settings = RunTimeSettings::default();
    let mut times = RunTimes::new(settings);
    let (start, route) = (Instant::now(), RouteName::from("r"));
    (0..100).for_each(|_| times.record(start, &route, seconds(0.5)));
    let limit = seconds(20.0);
    let needed = |age| times.needed(start + age, &route, Duration::ZERO, limit);
    assert_eq!(needed(settings.window), seconds(0.5 * settings.margin));
    assert_eq!(needed(settings.window * 2), limit);
}
