//! The set of evacuated failure domains, as nodes read it and tell each other.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    EvacuationChange, EvacuationSet, MAX_EVACUATED_DOMAINS, RESTORE_KEEP_TIME, ToldEvacuation,
};
use comfreyturn_types::{FailureDomain, StoreVersion};

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| FailureDomain::from(*name)).collect()
}

fn version(number: u64) -> StoreVersion {
    StoreVersion::first_era(number)
}

fn restored(number: u64) -> StoreVersion {
    StoreVersion { era: 1, number }
}

fn told(version: StoreVersion, names: &[&str]) -> ToldEvacuation {
    ToldEvacuation { version, domains: domains(names), ..Default::default() }
}

/// A set that knew domain `a` before the store was restored, and the restored store lacks it.
fn with_lost_row(now: Instant) -> (EvacuationSet, EvacuationChange) {
    let mut set = EvacuationSet::default();
    set.apply_reading(now, version(100), domains(&["a"]));
    let change = set.apply_reading(now, restored(2), domains(&[]));
    (set, change)
}

/// Guards against messages that change in deployments without evacuation.
#[test]
fn nothing_is_told_before_the_first_evacuation() {
    let now = Instant::now();
    let mut set = EvacuationSet::default();
    assert_eq!(set.told(now), None);
    set.apply_reading(now, version(3), domains(&[]));
    assert_eq!(set.told(now), None);
    set.apply_reading(now, version(4), domains(&["a"]));
    set.apply_reading(now, version(5), domains(&[]));
    assert_eq!(set.told(now), Some(told(version(5), &[])), "the end is told");
}

/// Guards against a node that was frozen and spreads an evacuation that ended, and against one that
/// is never told the end because the others never knew of it.
#[test]
fn older_set_is_not_applied_and_is_answered_by_the_newer_one() {
    let now = Instant::now();
    let mut set = EvacuationSet::default();
    set.apply_reading(now, version(9), domains(&[]));
    let change = set.apply_told(now, told(version(7), &["a"]));
    assert!(change.begun.is_empty() && set.is_empty());
    assert_eq!(set.told(now), Some(told(version(9), &[])));
}

/// Guards against changes where two nodes with the same set read the store at different versions.
#[test]
fn newer_version_of_the_same_set_changes_nothing() {
    let now = Instant::now();
    let mut set = EvacuationSet::default();
    assert_eq!(set.apply_told(now, told(version(3), &["a"])).begun.len(), 1);
    let change = set.apply_reading(now, version(8), domains(&["a"]));
    assert!(change.begun.is_empty() && change.ended.is_empty());
    assert_eq!(set.told(now), Some(told(version(8), &["a"])));
}

/// Guards against the numbers of a restored store, which are lower than those before, and against
/// an evacuation that ends because the restored store lacks it (EVAC).
#[test]
fn newer_era_replaces_the_set_and_keeps_what_it_lacks() {
    let now = Instant::now();
    let mut set = EvacuationSet::default();
    set.apply_reading(now, version(100), domains(&["a"]));
    let change = set.apply_told(now, told(restored(2), &["b"]));
    assert_eq!(change.begun, vec!["b".into()]);
    assert_eq!(change.kept, vec!["a".into()]);
    assert!(change.ended.is_empty() && set.contains(&"a".into()) && set.contains(&"b".into()));
    let end = now + RESTORE_KEEP_TIME;
    assert_eq!(set.end_kept(end - Duration::from_millis(1)), EvacuationChange::default());
    assert_eq!(set.end_kept(end).ended, vec!["a".into()]);
    assert!(!set.contains(&"a".into()) && set.contains(&"b".into()));
}

/// Guards against an evacuation that ends although it was written again, and one that doesn't end
/// although it was taken back after that.
#[test]
fn lost_row_that_is_written_again_counts_until_it_is_taken_back() {
    let now = Instant::now();
    let (mut set, change) = with_lost_row(now);
    assert_eq!(change.kept, vec!["a".into()]);
    let change = set.apply_reading(now, restored(3), domains(&["a"]));
    assert_eq!(change, EvacuationChange::default());
    assert_eq!(set.end_kept(now + RESTORE_KEEP_TIME), EvacuationChange::default());
    assert!(set.contains(&"a".into()));
    let change = set.apply_reading(now, restored(4), domains(&[]));
    assert_eq!(change.ended, vec!["a".into()]);
    assert!(set.is_empty());
}

/// Guards against a second return of the store that ends what the first one lost.
#[test]
fn second_restore_keeps_the_domains_of_the_first() {
    let now = Instant::now();
    let (mut set, _) = with_lost_row(now);
    let later = now + RESTORE_KEEP_TIME / 2;
    let change = set.apply_reading(later, StoreVersion { era: 2, number: 1 }, domains(&[]));
    assert_eq!(change.kept, vec!["a".into()]);
    assert!(set.end_kept(now + RESTORE_KEEP_TIME).ended.is_empty());
    assert_eq!(set.end_kept(later + RESTORE_KEEP_TIME).ended, vec!["a".into()]);
}

/// Guards against a node that starts after the restore and sends requests to the domain, and
/// against nodes that tell each other for ever of a domain that none of them knew itself.
#[test]
fn node_that_starts_keeps_what_others_tell_and_tells_it_to_nobody() {
    let now = Instant::now();
    let (set, _) = with_lost_row(now);
    let mut started = EvacuationSet::default();
    started.apply_reading(now, restored(2), domains(&[]));
    let later = now + Duration::from_secs(1);
    let change = started.apply_told(later, set.told(later).expect("it is in use"));
    assert_eq!(change.kept, vec!["a".into()]);
    assert_eq!(started.told(later).expect("it is in use").kept, domains(&[]));
    assert!(started.end_kept(later).ended.is_empty());
    assert_eq!(started.end_kept(now + RESTORE_KEEP_TIME).ended, vec!["a".into()]);
}

/// Guards against a sender that has not read yet that the evacuation was written again and ended.
#[test]
fn kept_domains_of_an_older_version_are_not_taken_over() {
    let now = Instant::now();
    let (set, _) = with_lost_row(now);
    let mut started = EvacuationSet::default();
    started.apply_reading(now, restored(3), domains(&["a"]));
    started.apply_reading(now, restored(4), domains(&[]));
    started.apply_told(now, set.told(now).expect("it is in use"));
    assert!(started.is_empty());
}

/// Guards against messages that grow with the number of rows.
#[test]
fn set_is_bounded() {
    let now = Instant::now();
    let names: Vec<String> = (0..MAX_EVACUATED_DOMAINS + 9).map(|n| format!("z{n:03}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut set = EvacuationSet::default();
    set.apply_reading(now, version(1), domains(&names));
    assert_eq!(set.len(), MAX_EVACUATED_DOMAINS);
    assert!(set.contains(&FailureDomain::from("z000")));
    set.apply_reading(now, restored(1), domains(&[]));
    assert_eq!(set.len(), MAX_EVACUATED_DOMAINS);
    let kept = ToldEvacuation {
        kept: domains(&names),
        kept_for: RESTORE_KEEP_TIME,
        ..told(restored(1), &[])
    };
    let mut started = EvacuationSet::default();
    started.apply_told(now, kept);
    assert_eq!(started.len(), MAX_EVACUATED_DOMAINS);
}
