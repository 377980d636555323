//! When a server's listed place counts again after it may have been out of date.

use std::time::{Duration, Instant};

use comfreyturn_policy::{StaleCause, StalePlaces, StalePlacesSettings};
use comfreyturn_types::{GroupId, ServerLife, VmId};

fn life() -> ServerLife {
    ServerLife { vm: VmId::from("vm-1"), born: 1 }
}

fn marked(cause: StaleCause) -> (StalePlaces, Instant) {
    let mut places = StalePlaces::new(StalePlacesSettings::default());
    let now = Instant::now();
    places.mark(now, &life(), cause);
    (places, now)
}

const LAG: Duration = Duration::from_millis(500);
const LIFETIME: Duration = Duration::from_secs(5);

/// Guards against a report that describes the time before the doubt.
#[test]
fn only_a_report_that_is_newer_than_the_doubt_settles_it() {
    let (mut places, now) = marked(StaleCause::Contradicted);
    assert_eq!(places.to_ask(now).count(), 0);
    assert!(!places.record_report(&life(), now + LAG / 2));
    assert!(places.is_stale(&life()));
    assert_eq!(places.to_ask(now + LAG).count(), 1);
    assert!(places.record_report(&life(), now + LAG));
    assert!(places.is_empty());
}

#[test]
fn server_that_tells_no_place_counts_again_once_older_entries_are_gone() {
    let (mut places, now) = marked(StaleCause::Contradicted);
    places.record_answer(&life(), now + LIFETIME / 2);
    assert!(places.is_stale(&life()));
    places.record_answer(&life(), now + LIFETIME);
    assert!(!places.is_stale(&life()));
}

/// Guards against a server that is cut off from a restored store and counts as free after a wait.
#[test]
fn time_alone_settles_no_contradiction() {
    let (mut places, now) = marked(StaleCause::FirstReading);
    places.retain(now + LIFETIME, |_| true);
    assert!(places.is_empty());
    places.mark(now, &life(), StaleCause::Contradicted);
    places.mark(now, &life(), StaleCause::GroupMissing);
    places.retain(now + LIFETIME * 100, |_| true);
    assert_eq!(places.len(), 1);
    places.retain(now, |_| false);
    assert!(places.is_empty());
}

#[test]
fn entry_without_the_group_that_its_server_was_ordered_to_leave_is_expected() {
    let mut places = StalePlaces::new(StalePlacesSettings::default());
    let now = Instant::now();
    places.record_left(&life(), &GroupId::from("m.1"));
    places.mark_group_missing(now, &life(), &GroupId::from("m.1"));
    assert!(!places.is_stale(&life()));
    places.mark_group_missing(now, &life(), &GroupId::from("m.2"));
    assert!(places.is_stale(&life()));
}

/// Guards against a server that is taken for free though it is in the group that it left before: late
/// orders put it back, and another writer wrote over its entry (TWO).
#[test]
fn answered_order_explains_one_entry_without_the_group_only() {
    let mut places = StalePlaces::new(StalePlacesSettings::default());
    let now = Instant::now();
    places.record_left(&life(), &GroupId::from("m.1"));
    places.mark_group_missing(now, &life(), &GroupId::from("m.1"));
    assert!(!places.is_stale(&life()));
    places.mark_group_missing(now, &life(), &GroupId::from("m.1"));
    assert!(places.is_stale(&life()));
}
