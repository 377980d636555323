//! Freshness of the configuration, acknowledgements, and lease terms.

use std::time::{Duration, Instant};

use comfreyturn_policy::{
    AckTally, CONFIG_EVIDENCE_LIFETIME, FreshnessTracker, HeldLease, LeaseObservation, LeaseTerm,
    MemberRun, RosterState,
};
use comfreyturn_types::*;

const MILLISECOND: Duration = Duration::from_millis(1);

fn run(number: u64) -> MemberRun {
    (NodeId::from(format!("n{number}")), Incarnation(number))
}

fn roster(numbers: std::ops::RangeInclusive<u64>) -> Roster {
    let address = ([127, 0, 0, 1], 1).into();
    let members = numbers.map(run).map(|(node, incarnation)| RosterMember {
        node,
        incarnation,
        vm: "vm".into(),
        failure_domain: "domain".into(),
        peer_address: address,
        caller_address: address,
        operator_address: address,
    });
    Roster { members: members.map(|member| (member.node.clone(), member)).collect() }
}

#[test]
fn strict_majority_of_roster_runs_is_fresh() {
    let now = Instant::now();
    let roster = roster(1..=4);
    let version = ConfigVersion(7);
    let mut tracker = FreshnessTracker::default();
    tracker.record_member(run(2), now, version);
    tracker.record_member((NodeId::from("n3"), Incarnation(99)), now, version);
    assert!(!tracker.is_fresh(now, version, &roster, &run(1)), "half is no majority");
    tracker.record_member(run(4), now, ConfigVersion(8));
    assert!(!tracker.is_fresh(now, version, &roster, &run(1)), "member 4 knows a newer version");
    assert!(tracker.is_fresh(now, ConfigVersion(8), &roster, &run(1)));
    let late = now + CONFIG_EVIDENCE_LIFETIME + MILLISECOND;
    assert!(!tracker.is_fresh(late, ConfigVersion(8), &roster, &run(1)));
}

#[test]
fn node_that_applied_the_head_is_fresh() {
    let now = Instant::now();
    let roster = roster(1..=3);
    let mut tracker = FreshnessTracker::default();
    tracker.record_head(now, ConfigVersion(3));
    assert!(!tracker.is_fresh(now, ConfigVersion(2), &roster, &run(1)));
    assert!(tracker.is_fresh(now + CONFIG_EVIDENCE_LIFETIME, ConfigVersion(3), &roster, &run(1)));
    tracker.clear();
    assert!(!tracker.is_fresh(now, ConfigVersion(3), &roster, &run(1)));
}

#[test]
fn dead_members_are_not_counted_and_both_rosters_need_a_majority() {
    let version = ConfigVersion(5);
    let mut tally = AckTally::default();
    tally.record(run(1), version);
    tally.record(run(2), version);
    tally.record(run(2), ConfigVersion(1));
    let state = RosterState { current: roster(1..=3), previous: roster(1..=4), version };
    assert!(tally.is_accepted(version, &state, version), "the change is confirmed");
    assert!(
        !tally.is_accepted(version, &state, ConfigVersion(4)),
        "two of four members of the previous roster"
    );
    tally.dead.insert(run(4));
    assert!(tally.is_accepted(version, &state, ConfigVersion(4)));
    assert!(!tally.is_accepted(version.next(), &state, version));
}

#[test]
fn holder_stops_before_observers_take_over() {
    let now = Instant::now();
    let term = LeaseTerm::default();
    let lease = HeldLease { fencing: FencingNumber(1), row: RowVersion(1), renewed_at: now };
    let rows = (RowVersion(1), RowVersion(4));
    let observation = LeaseObservation::update(None, now, rows);
    let stop = term.term - term.safety_margin;
    assert!(term.is_held(now + stop - MILLISECOND, &lease));
    assert!(!term.is_held(now + stop, &lease));
    assert!(!term.has_lapsed(now + term.term - MILLISECOND, &observation));
    assert!(term.has_lapsed(now + term.term, &observation));
    let renewed =
        LeaseObservation::update(Some(observation), now + stop, (RowVersion(1), RowVersion(5)));
    assert!(!term.has_lapsed(now + term.term, &renewed));
}
