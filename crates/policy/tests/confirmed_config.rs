//! Age of the proof that a configuration is the newest, and its expiry.

use std::time::{Duration, Instant};

use comfreyturn_policy::{ConfirmedConfig, StoreClock};

const LIMIT: Duration = Duration::from_millis(4500);

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn nothing_is_usable_before_the_first_proof() {
    assert!(!ConfirmedConfig::default().is_usable(Instant::now(), LIMIT));
}

#[test]
fn proof_expires_at_the_limit() {
    let start = Instant::now();
    let mut confirmed = ConfirmedConfig::default();
    confirmed.confirm(start);
    assert!(confirmed.is_usable(start + milliseconds(4499), LIMIT));
    assert!(!confirmed.is_usable(start + LIMIT, LIMIT));
}

#[test]
fn late_older_proof_has_no_effect() {
    let start = Instant::now();
    let mut confirmed = ConfirmedConfig::default();
    confirmed.confirm(start + milliseconds(1000));
    confirmed.confirm(start);
    assert_eq!(confirmed.age(start + milliseconds(1500)), Some(milliseconds(500)));
}

#[test]
fn first_answer_is_dated_by_its_request() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    let answered_at =
        clock.bound_answer_time(start, start + milliseconds(900), milliseconds(50_000));
    assert_eq!(answered_at, start);
}

#[test]
fn long_poll_is_dated_by_the_store_clock() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    // A fast answer: the store's clock showed 50,000 no earlier than `start`.
    clock.bound_answer_time(start, start + milliseconds(4), milliseconds(50_000));
    // Sent at 10 ms; the store delayed the answer until its clock showed 51,000.
    let answered_at = clock.bound_answer_time(
        start + milliseconds(10),
        start + milliseconds(1010),
        milliseconds(51_000),
    );
    assert_eq!(answered_at, start + milliseconds(1000));
}

#[test]
fn answer_that_waited_in_a_socket_is_not_dated_by_its_arrival() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    clock.bound_answer_time(start, start + milliseconds(4), milliseconds(50_000));
    // The process was paused for 8 s before it read the answer.
    let answered_at = clock.bound_answer_time(
        start + milliseconds(10),
        start + milliseconds(9010),
        milliseconds(51_000),
    );
    assert_eq!(answered_at, start + milliseconds(1000));
}

#[test]
fn answer_is_never_dated_after_its_arrival() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    clock.bound_answer_time(start, start + milliseconds(4), milliseconds(50_000));
    // The node's clock was paused while the store's advanced.
    let received_at = start + milliseconds(20);
    let answered_at =
        clock.bound_answer_time(start + milliseconds(10), received_at, milliseconds(58_000));
    assert_eq!(answered_at, received_at);
}

#[test]
fn answer_of_a_restarted_store_clock_is_dated_by_its_request() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    clock.bound_answer_time(start, start + milliseconds(4), milliseconds(50_000));
    let sent_at = start + milliseconds(10);
    let answered_at = clock.bound_answer_time(sent_at, start + milliseconds(20), milliseconds(7));
    assert_eq!(answered_at, sent_at);
}
