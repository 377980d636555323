//! The set of evacuated failure domains, as nodes read it and tell each other.

use std::collections::BTreeSet;

use comfreyturn_policy::{EvacuationSet, MAX_EVACUATED_DOMAINS};
use comfreyturn_types::{FailureDomain, StoreVersion};

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| FailureDomain::from(*name)).collect()
}

fn version(number: u64) -> StoreVersion {
    StoreVersion::first_era(number)
}

/// Guards against messages that change in deployments without evacuation.
#[test]
fn nothing_is_told_before_the_first_evacuation() {
    let mut set = EvacuationSet::default();
    assert_eq!(set.told(), None);
    set.apply_reading(version(3), domains(&[]));
    assert_eq!(set.told(), None);
    set.apply_reading(version(4), domains(&["a"]));
    set.apply_reading(version(5), domains(&[]));
    assert_eq!(set.told(), Some((version(5), &domains(&[]))), "the end is told");
}

/// Guards against a node that was frozen and spreads an evacuation that ended, and against one that
/// is never told the end because the others never knew of it.
#[test]
fn older_set_is_not_applied_and_is_answered_by_the_newer_one() {
    let mut set = EvacuationSet::default();
    set.apply_reading(version(9), domains(&[]));
    let change = set.apply_told(version(7), domains(&["a"]));
    assert!(change.begun.is_empty() && set.is_empty());
    assert_eq!(set.told(), Some((version(9), &domains(&[]))));
}

/// Guards against changes where two nodes with the same set read the store at different versions.
#[test]
fn newer_version_of_the_same_set_changes_nothing() {
    let mut set = EvacuationSet::default();
    assert_eq!(set.apply_told(version(3), domains(&["a"])).begun.len(), 1);
    let change = set.apply_reading(version(8), domains(&["a"]));
    assert!(change.begun.is_empty() && change.ended.is_empty());
    assert_eq!(set.told(), Some((version(8), &domains(&["a"]))));
}

/// Guards against the numbers of a restored store, which are lower than those before.
#[test]
fn newer_era_replaces_the_set() {
    let mut set = EvacuationSet::default();
    set.apply_reading(version(100), domains(&["a"]));
    let change = set.apply_told(StoreVersion { era: 1, number: 2 }, domains(&["b"]));
    assert_eq!((change.begun, change.ended), (vec!["b".into()], vec!["a".into()]));
}

/// Guards against messages that grow with the number of rows.
#[test]
fn set_is_bounded() {
    let names: Vec<String> = (0..MAX_EVACUATED_DOMAINS + 9).map(|n| format!("z{n:03}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut set = EvacuationSet::default();
    set.apply_reading(version(1), domains(&names));
    assert_eq!(set.len(), MAX_EVACUATED_DOMAINS);
    assert!(set.contains(&FailureDomain::from("z000")));
}
