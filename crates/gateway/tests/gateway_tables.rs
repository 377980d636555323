//! The gateway's tables of servers and peers, and its trackers of loads and stalls.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_gateway::{
    KeptEntries, LoadTracker, LogPosition, LogSlice, LoggedChange, ModelRate, PeerProgress,
    PeerStatus, PeerTable, PeerTimeouts, ReportKind, ServerLog, ServerTable, StallTracker,
    ViewReport, ViewReports,
};
use comfreyturn_policy::standby_model;
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{
    EngineSpec, FailureDomain, FleetServer, GroupId, GroupMembership, Incarnation, MemberPhase,
    ModelName, NodeId, PooledModel, ServerLife, ServiceName, StoreVersion, VmId,
};

const RETENTION: Duration = Duration::from_secs(2);

fn life(vm: &str) -> ServerLife {
    ServerLife { vm: VmId::from(vm), born: 1 }
}

fn member(vm: &str, rank: u32, phase: MemberPhase) -> FleetServer {
    FleetServer {
        life: life(vm),
        service: ServiceName::from("pool"),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: FailureDomain::from("z"),
        slots: 17,
        leaving: false,
        fabric_domain: None,
        model: Some(ModelName::from("m")),
        staged: Vec::new(),
        membership: Some(GroupMembership { group: GroupId::from("m.7"), epoch: 7, rank, phase }),
        cold_left: Duration::ZERO,
    }
}

fn engine() -> EngineSpec {
    EngineSpec {
        slots: 17,
        models: vec![PooledModel {
            name: ModelName::from("m"),
            group_size: 2,
            share: 1.0,
            pace: 1.0,
            load_time: Duration::from_secs(16),
            warm_time: Duration::from_secs(1),
        }],
        loads_per_second: 5.0,
        loads_at_once: 7,
        kept_models: 1,
        open_time: Duration::ZERO,
        times: None,
    }
}

fn reading(is_whole: bool, servers: Vec<FleetServer>, dropped: &[&str]) -> ServerReading {
    let listed = servers.into_iter().map(|server| ServerChange::Listed(Box::new(server)));
    let dropped = dropped.iter().map(|vm| ServerChange::Dropped(VmId::from(*vm)));
    let version = StoreVersion::first_era(1);
    ServerReading { is_whole, version, changes: listed.chain(dropped).collect() }
}

fn serving(table: &mut ServerTable) -> usize {
    table.serving_groups(&ServiceName::from("pool"), &engine()).len()
}

#[test]
fn group_serves_only_once_every_member_was_ready() {
    let mut table = ServerTable::default();
    let head = member("a", 0, MemberPhase::Open);
    table.apply(reading(true, vec![head.clone()], &[]), KeptEntries::default());
    assert_eq!(serving(&mut table), 0, "one member is missing");
    let joining = member("b", 1, MemberPhase::Joining);
    table.apply(reading(false, vec![joining], &[]), KeptEntries::default());
    assert_eq!(serving(&mut table), 0, "one member was never ready");
    table.apply(
        reading(false, vec![member("b", 1, MemberPhase::Ready)], &[]),
        KeptEntries::default(),
    );
    assert_eq!(serving(&mut table), 1);
}

/// Guards against a spare in a standby group of its own that counts as a group which serves.
#[test]
fn standby_group_never_serves() {
    let mut table = ServerTable::default();
    let mut spare = member("a", 0, MemberPhase::Ready);
    let group = GroupId::from("m.7.standby");
    assert!(standby_model(&engine(), &group).is_some(), "the name of a standby group");
    for phase in [MemberPhase::Ready, MemberPhase::Open] {
        spare.membership = Some(GroupMembership { group: group.clone(), epoch: 7, rank: 0, phase });
        table.apply(reading(false, vec![spare.clone()], &[]), KeptEntries::default());
        assert_eq!(serving(&mut table), 0, "{phase}");
        assert_eq!(table.groups(&ServiceName::from("pool"), &engine()).len(), 0, "{phase}");
    }
}

#[test]
fn group_serves_without_the_entry_of_a_member_but_not_of_its_head() {
    let mut table = ServerTable::default();
    let members = || vec![member("a", 0, MemberPhase::Open), member("b", 1, MemberPhase::Ready)];
    table.apply(reading(true, members(), &[]), KeptEntries::default());
    assert_eq!(serving(&mut table), 1);
    let applied = table.apply(reading(false, Vec::new(), &["b"]), KeptEntries::default());
    assert_eq!(applied.dropped.len(), 1);
    assert!(applied.has_changes);
    assert_eq!(serving(&mut table), 1);
    table.apply(
        reading(false, vec![member("b", 1, MemberPhase::Ready)], &["a"]),
        KeptEntries::default(),
    );
    assert_eq!(serving(&mut table), 0);
}

#[test]
fn leaving_head_takes_no_new_work() {
    let mut table = ServerTable::default();
    let mut head = member("a", 0, MemberPhase::Open);
    head.leaving = true;
    table.apply(
        reading(true, vec![head, member("b", 1, MemberPhase::Ready)], &[]),
        KeptEntries::default(),
    );
    assert_eq!(serving(&mut table), 0);
}

#[test]
fn missing_servers_stay_in_the_table_with_keep_missing() {
    let mut table = ServerTable::default();
    table
        .apply(reading(true, vec![member("a", 0, MemberPhase::Open)], &[]), KeptEntries::default());
    let applied = table.apply(
        reading(true, Vec::new(), &["a"]),
        KeptEntries { missing: true, ..KeptEntries::default() },
    );
    assert!(applied.dropped.is_empty());
    assert!(table.get(&life("a")).is_some());
    let applied = table.apply(reading(true, Vec::new(), &[]), KeptEntries::default());
    assert_eq!(applied.dropped.len(), 1);
}

#[test]
fn unchanged_entry_is_not_reported_as_a_change() {
    let mut table = ServerTable::default();
    table
        .apply(reading(true, vec![member("a", 0, MemberPhase::Open)], &[]), KeptEntries::default());
    let again = table.apply(
        reading(false, vec![member("a", 0, MemberPhase::Open)], &[]),
        KeptEntries::default(),
    );
    assert!(!again.has_changes);
    let closing = member("a", 0, MemberPhase::Closing);
    assert!(table.apply(reading(false, vec![closing], &[]), KeptEntries::default()).has_changes);
}

#[test]
fn loads_are_the_sum_of_own_and_last_reported_requests() {
    let now = Instant::now();
    let tracker = LoadTracker::default();
    let mut reports = ViewReports::default();
    let mut report = |at: Instant, running: u32| {
        let loads = HashMap::from([(life("a"), running)]);
        let report = ViewReport { loads, ..ViewReport::default() };
        reports.record(at, NodeId::from("n"), ReportKind::Relay, report);
        reports.sum(&[ReportKind::Relay]).loads
    };
    let guard = tracker.start(&life("a"));
    tracker.set_others(report(now, 3));
    assert_eq!(tracker.running(&life("a")), 4);
    tracker.set_others(report(now, 1));
    assert_eq!(tracker.running(&life("a")), 2);
    drop(guard);
    assert_eq!(tracker.running(&life("a")), 1);
    let second = Duration::from_secs(1);
    reports.forget_unresponsive(now + RETENTION, second, second);
    tracker.set_others(reports.sum(&[ReportKind::Relay]).loads);
    assert_eq!(tracker.running(&life("a")), 0, "a removed node has no requests in flight");
}

/// Guards against a node that takes its own waiting requests for those of others, because a relay
/// sends them back to it, and so takes too small a part of the free places.
#[test]
fn own_waiting_requests_are_taken_out_of_a_digest() {
    let report = |waiting: f64, finished: f64| {
        let rate = ModelRate { waiting, finished, ..ModelRate::default() };
        ViewReport { rates: HashMap::from([(ModelName::from("m"), rate)]), ..ViewReport::default() }
    };
    let mut digest = report(3.0, 10.0);
    digest.merge(&report(2.0, 5.0));
    digest.subtract(&report(3.0, 10.0));
    let rate = digest.rates[&ModelName::from("m")];
    assert_eq!((rate.waiting, rate.finished), (2.0, 5.0));
}

#[test]
fn prompt_counts_as_unread_until_its_guard_is_dropped() {
    let tracker = LoadTracker::default();
    tracker.set_others_unread(HashMap::from([(life("a"), 100)]));
    let guards =
        [tracker.start_reading(&life("a"), 40), tracker.start_reading(&life("a"), u32::MAX)];
    assert_eq!(tracker.unread(&life("a")), u32::MAX, "the sum doesn't overflow");
    assert_eq!(tracker.own_unread()[&life("a")], u32::MAX);
    drop(guards);
    assert_eq!(tracker.unread(&life("a")), 100);
    assert!(tracker.own_unread().is_empty());
}

/// A node that doesn't take its own figures out of a digest counts them twice.
#[test]
fn paces_and_unread_tokens_of_others_are_what_remains_without_the_own_ones() {
    let report = |running: u32, unread: u32, pace: Option<f64>| ViewReport {
        loads: HashMap::from([(life("a"), running)]),
        unread: HashMap::from([(life("a"), unread)]),
        paces: pace.map(|pace| (life("a"), pace)).into_iter().collect(),
        ..ViewReport::default()
    };
    let own = report(3, 500, Some(2.0));
    let mut digest = own.clone();
    digest.merge(&report(1, 200, Some(4.0)));
    assert_eq!(digest.unread[&life("a")], 700);
    assert!((digest.paces[&life("a")] - 2.5).abs() < 1e-9, "weighted by running requests");
    digest.subtract(&own);
    assert_eq!((digest.loads[&life("a")], digest.unread[&life("a")]), (1, 200));
    assert!((digest.paces[&life("a")] - 4.0).abs() < 1e-9);
    digest.merge(&report(5, 0, None));
    assert!((digest.paces[&life("a")] - 4.0).abs() < 1e-9, "a node without a pace has no say");
    let mut alone = own.clone();
    alone.subtract(&own);
    assert!(alone.paces.is_empty());
}

#[test]
fn stall_ends_when_the_server_delivers_data() {
    let now = Instant::now();
    let mut tracker = StallTracker::default();
    tracker.record_stall(now, &life("a"));
    assert!(tracker.is_stalled(now, &life("a"), RETENTION));
    tracker.record_seen(now + Duration::from_millis(10), &life("a"));
    assert!(!tracker.is_stalled(now + Duration::from_millis(10), &life("a"), RETENTION));
    tracker.record_stall(now + Duration::from_millis(20), &life("a"));
    assert!(
        !tracker.is_stalled(now + RETENTION * 2, &life("a"), RETENTION),
        "a stall ends with its retention time"
    );
}

/// Guards against a slow server that gets new requests after each of its silences.
#[test]
fn stall_goes_on_while_data_comes_after_silences() {
    let now = Instant::now();
    let mut stalls = StallTracker::default();
    stalls.record_stall(now, &life("a"));
    stalls.record_seen_late(now + Duration::from_millis(500), &life("a"));
    let later = now + Duration::from_millis(600);
    assert!(stalls.is_stalled(later, &life("a"), Duration::from_secs(2)));
    assert!(stalls.was_seen(later, &life("a"), Duration::from_millis(200)));
    stalls.record_seen(later, &life("a"));
    assert!(!stalls.is_stalled(later, &life("a"), Duration::from_secs(2)));
}

#[test]
fn stall_reported_by_another_node_is_ignored_after_recent_data() {
    let now = Instant::now();
    let mut tracker = StallTracker::default();
    let max_age = Duration::from_millis(250);
    tracker.record_seen(now, &life("a"));
    tracker.record_peer_stall(now + Duration::from_millis(100), &life("a"), max_age);
    assert!(!tracker.is_stalled(now + Duration::from_millis(100), &life("a"), RETENTION));
    let later = now + Duration::from_millis(400);
    tracker.record_peer_stall(later, &life("a"), max_age);
    assert!(tracker.is_stalled(later, &life("a"), RETENTION));
    assert!(tracker.own_stalls(later, RETENTION).is_empty(), "it is not reported as an own stall");
}

const TIMEOUTS: PeerTimeouts =
    PeerTimeouts { heard: Duration::from_secs(1), relayed: Duration::from_millis(500) };

fn status(incarnation: u64, port: u16) -> PeerStatus {
    PeerStatus {
        incarnation: Incarnation(incarnation),
        peer_address: ([127, 0, 0, 1], port).into(),
        caller_address: ([127, 0, 0, 1], port + 1).into(),
        failure_domain: FailureDomain::from("z"),
        capacity: 250,
        ready: true,
        lease_fencing: 0,
    }
}

fn record(table: &mut PeerTable, now: Instant, incarnation: u64, sequence: u64) -> bool {
    let progress = PeerProgress { sequence, ..PeerProgress::default() };
    table.record(now, NodeId::from("n"), status(incarnation, 2), progress)
}

#[test]
fn late_heartbeat_of_the_same_incarnation_is_ignored() {
    let now = Instant::now();
    let mut table = PeerTable::default();
    assert!(record(&mut table, now, 1, 5));
    assert!(!record(&mut table, now, 1, 4));
    assert!(!record(&mut table, now, 1, 5));
    assert!(record(&mut table, now, 2, 1), "a new incarnation starts a new sequence");
}

#[test]
fn heartbeats_take_precedence_over_the_row_of_a_node() {
    let now = Instant::now();
    let mut table = PeerTable::default();
    record(&mut table, now, 2, 1);
    table.add_listed(now, NodeId::from("n"), status(1, 9));
    let addresses: Vec<_> = table.named().map(|(_, peer)| peer.status.peer_address).collect();
    assert_eq!(addresses, ["127.0.0.1:2".parse().unwrap()]);
    assert_eq!(table.alive(now, TIMEOUTS).count(), 1);
    assert_eq!(table.alive(now + TIMEOUTS.heard, TIMEOUTS).count(), 0);
}

#[test]
fn node_that_a_whole_list_of_live_nodes_lacks_has_crashed() {
    let now = Instant::now();
    let mut table = PeerTable::default();
    table.record_relayed(now, NodeId::from("a"), status(1, 2), TIMEOUTS);
    table.record_relayed(now, NodeId::from("b"), status(2, 4), TIMEOUTS);
    let later = now + Duration::from_millis(100);
    let tags = HashSet::from([status(1, 2).tag(&NodeId::from("a"))]);
    table.apply_live(later, &tags, true, TIMEOUTS);
    let alive: Vec<_> = table.alive(later, TIMEOUTS).map(|(node, _)| node.to_string()).collect();
    assert_eq!(alive, ["a"]);
}

#[test]
fn node_with_another_status_is_not_refreshed_until_it_is_described() {
    let now = Instant::now();
    let mut table = PeerTable::default();
    let node = NodeId::from("a");
    table.record_relayed(now, node.clone(), status(1, 2), TIMEOUTS);
    let unready = PeerStatus { ready: false, ..status(1, 2) };
    let later = now + TIMEOUTS.relayed;
    table.apply_live(later, &HashSet::from([unready.tag(&node)]), false, TIMEOUTS);
    assert_eq!(table.alive(later, TIMEOUTS).count(), 0);
    table.record_relayed(later, node.clone(), unready, TIMEOUTS);
    assert!(!table.get(&node).unwrap().status.ready);
}

// -------------------------------------------------------------------------------------------
// The log of the list of servers

fn version(number: u64) -> StoreVersion {
    StoreVersion::first_era(number)
}

fn change(vm: &str, number: u64, is_listed: bool) -> LoggedChange {
    let server = is_listed.then(|| member(vm, 0, MemberPhase::Open));
    LoggedChange { vm: VmId::from(vm), version: version(number), server }
}

fn names(slice: &LogSlice) -> Vec<&str> {
    slice.changes.iter().map(|change| change.vm.as_str()).collect()
}

fn log_of_three() -> ServerLog {
    let mut log = ServerLog::default();
    for (vm, number) in [("a", 5), ("b", 5), ("c", 7)] {
        log.push(change(vm, number, true));
    }
    log.complete_at(version(8));
    log
}

#[test]
fn reader_continues_where_its_last_slice_ended() {
    let log = log_of_three();
    let first = log.changes_after(LogPosition::default(), 2);
    assert_eq!((names(&first), first.complete), (vec!["a", "b"], None));
    let position = LogPosition { position: first.position, ..LogPosition::default() };
    let second = log.changes_after(position, 2);
    assert_eq!((names(&second), second.complete), (vec!["c"], Some(version(8))));
}

#[test]
fn reader_of_another_log_gets_what_is_newer_than_its_list() {
    let reader = LogPosition { complete: version(5), position: 0 };
    assert_eq!(names(&log_of_three().changes_after(reader, 9)), ["c"]);
}

#[test]
fn newer_change_of_a_server_replaces_the_older_one() {
    let mut log = log_of_three();
    log.push(change("a", 9, false));
    let slice = log.changes_after(LogPosition::default(), 9);
    assert_eq!(names(&slice), ["b", "c", "a"]);
    assert!(slice.changes[2].server.is_none());
    assert_eq!(log.version_of(&VmId::from("a")), version(9));
}

#[test]
fn reader_that_missed_a_forgotten_removal_is_told_of_the_hole() {
    let mut log = log_of_three();
    for number in 0..2100 {
        log.push(change(&format!("gone-{number}"), 10 + number, false));
    }
    log.complete_at(version(3000));
    let early = LogPosition { complete: version(8), position: 0 };
    assert!(log.changes_after(early, 9).has_hole);
    let late = LogPosition { complete: version(2000), position: 0 };
    assert!(!log.changes_after(late, 9).has_hole);
    assert!(!log.changes_after(LogPosition::default(), 9).has_hole, "it has nothing to remove");
}

#[test]
fn every_version_of_a_new_era_is_newer() {
    assert!(StoreVersion { era: 2, number: 1 } > StoreVersion { era: 1, number: 900 });
}

/// Guards against newer entries that a reading of an older copy replaces.
#[test]
fn reading_of_an_older_copy_keeps_newer_places_and_those_that_leave() {
    let mut table = ServerTable::default();
    let mut newer = member("a", 0, MemberPhase::Open);
    newer.membership.as_mut().unwrap().epoch = 9;
    newer.leaving = true;
    table.apply(reading(true, vec![newer.clone()], &[]), KeptEntries::default());
    let kept = KeptEntries { missing: true, known: true };
    let free = FleetServer { membership: None, leaving: false, ..newer.clone() };
    let older = FleetServer { leaving: false, ..member("a", 0, MemberPhase::Ready) };
    for entry in [free, older] {
        let applied = table.apply(reading(true, vec![entry.clone()], &[]), kept);
        assert_eq!(table.get(&life("a")), Some(&newer));
        assert_eq!(applied.regressed.len(), 1);
        assert_eq!(applied.regressed[0].is_free, entry.membership.is_none());
    }
    newer.membership.as_mut().unwrap().epoch = 10;
    table.apply(reading(true, vec![newer.clone()], &[]), kept);
    assert_eq!(table.get(&life("a")), Some(&newer), "an entry of a newer group is taken");
}
