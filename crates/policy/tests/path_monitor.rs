//! Telling a lost path from failed servers.

use std::time::{Duration, Instant};

use comfreyturn_policy::{PathMonitor, PathSettings};
use comfreyturn_types::{ServerLife, VmId};

fn life(index: usize) -> ServerLife {
    ServerLife { vm: VmId::from(format!("vm-{index}")), born: 1 }
}

fn monitor() -> PathMonitor {
    PathMonitor::new(PathSettings::default())
}

const PAUSE: Duration = Duration::from_millis(100);

/// A monitor of a node that did not reach `count` servers, all at `now`.
fn failing(now: Instant, count: usize) -> PathMonitor {
    let mut monitor = monitor();
    (0..count).for_each(|index| monitor.record_unreached(now, &life(index)));
    monitor
}

#[test]
fn servers_that_answer_only_others_mean_a_lost_path() {
    let now = Instant::now();
    let mut monitor = failing(now, 3);
    assert!(!monitor.update(now, |_, _| false), "nobody else reaches them either");
    assert!(monitor.update(now + PAUSE, |_, since| since < now + PAUSE));
    assert!(monitor.is_lost());
    assert!(!monitor.update(now + PAUSE, |_, _| true), "it is known already");
}

#[test]
fn failed_servers_are_no_lost_path() {
    let now = Instant::now();
    let mut monitor = failing(now, 50);
    assert!(!monitor.update(now + PAUSE, |_, _| false));
    assert!(!monitor.update(now + PAUSE, |server, _| *server == life(0) || *server == life(1)));
}

#[test]
fn answers_before_the_failure_prove_nothing() {
    let now = Instant::now();
    let mut monitor = failing(now, 50);
    let answered_at = now - PAUSE;
    assert!(!monitor.update(now + PAUSE, |_, since| answered_at > since));
}

#[test]
fn server_that_is_reached_in_between_proves_the_path() {
    let now = Instant::now();
    let mut monitor = failing(now, 2);
    assert!(!monitor.record_reached(), "nothing was lost");
    monitor.record_unreached(now + PAUSE, &life(3));
    assert!(!monitor.update(now + 2 * PAUSE, |_, _| true));
}

#[test]
fn failures_far_apart_do_not_add_up() {
    let (mut monitor, now) = (monitor(), Instant::now());
    let window = PathSettings::default().window;
    for index in 0..10 {
        let at = now + window * u32::try_from(index).unwrap();
        monitor.record_unreached(at, &life(index));
        assert!(!monitor.update(at, |_, _| true));
    }
}

#[test]
fn path_is_back_once_a_server_is_reached() {
    let now = Instant::now();
    let mut monitor = failing(now, 3);
    assert!(monitor.update(now + PAUSE, |_, _| true));
    assert!(monitor.record_reached());
    assert!(!monitor.is_lost());
    assert!(!monitor.update(now + PAUSE, |_, _| true), "earlier failures are forgotten");
}
