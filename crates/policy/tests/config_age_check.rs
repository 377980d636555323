//! Model checker for the age limit of the configuration. Explores all orders of changes, store
//! reads, heartbeats and clock ticks of two nodes. Fails if a node may use a version for longer
//! than the limit after a newer one was committed.
//!
//! A message that never arrives models a network partition. One that arrives late models a slow
//! network or a paused receiver. A node that reads nothing is partitioned from the store.

use std::{
    collections::{HashSet, VecDeque},
    time::{Duration, Instant},
};

use comfreyturn_policy::{ConfigAttestation, ConfirmedConfig};

const NODES: usize = 2;

/// How long a proof is valid, in ticks.
const PROOF_LIMIT: u64 = 2;

/// The last tick that is explored.
const LAST_TICK: u64 = 4;

const TICK: Duration = Duration::from_secs(1);

/// The part of the rule that is left out, to show that it is needed.
#[derive(Clone, Copy, PartialEq)]
enum Omission {
    Nothing,
    /// An attestation is dated by its arrival instead of the echoed message.
    Echo,
    /// An attestation counts for any version.
    Version,
    /// The age of the proof behind an attestation is ignored.
    Age,
    /// A store read is dated by its arrival instead of its request.
    ReadTime,
}

/// A read of the store that was requested and not received.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct PendingRead {
    node: usize,
    requested_at: u64,
    version: u64,
}

/// A heartbeat with an attestation of the configuration.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Heartbeat {
    to: usize,
    version: u64,
    age: u64,

    /// When the newest message that the sender had received from the receiver was sent.
    echo: Option<u64>,

    sent_at: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Node {
    version: u64,
    confirmed_at: Option<u64>,

    /// When the other node sent the newest message that this node received.
    last_received: Option<u64>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    now: u64,

    /// When the second version was committed; `None` while there is only one.
    changed_at: Option<u64>,
    nodes: [Node; NODES],

    /// The store's response in flight. A newer one replaces it, which models its loss.
    read: Option<PendingRead>,

    /// The heartbeat in flight. A newer one replaces it, which models its loss.
    heartbeat: Option<Heartbeat>,
}

/// Returns the number of states, and whether one of them violates the age limit.
fn explore(omission: Omission) -> (usize, bool) {
    let node = Node { version: 0, confirmed_at: None, last_received: None };
    let first =
        ModelState { now: 0, changed_at: None, nodes: [node; NODES], read: None, heartbeat: None };
    let start = Instant::now() + TICK * 100;
    let mut seen = HashSet::from([first.clone()]);
    let mut queue = VecDeque::from([first]);
    while let Some(model) = queue.pop_front() {
        if (0..NODES).any(|n| uses_old_version(&model, n, start)) {
            return (seen.len(), true);
        }
        for next in successors(&model, omission, start) {
            if seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), false)
}

fn at(start: Instant, tick: u64) -> Instant {
    start + TICK * u32::try_from(tick).unwrap()
}

/// A node's state as the type of the production code.
fn confirmed(node: &Node, start: Instant) -> ConfirmedConfig {
    let mut confirmed = ConfirmedConfig::default();
    node.confirmed_at.into_iter().for_each(|tick| confirmed.confirm(at(start, tick)));
    confirmed
}

/// The tick at which the configuration was last proven to be the newest.
fn tick_of(confirmed: ConfirmedConfig, now: u64, start: Instant) -> Option<u64> {
    let age = confirmed.age(at(start, now))?;
    Some(now - age.as_secs())
}

fn uses_old_version(model: &ModelState, n: usize, start: Instant) -> bool {
    let node = &model.nodes[n];
    let outdated_at = model.changed_at.filter(|_| node.version == 1);
    let limit = TICK * u32::try_from(PROOF_LIMIT).unwrap();
    let usable = confirmed(node, start).is_usable(at(start, model.now), limit);
    outdated_at.is_some_and(|changed_at| usable && model.now - changed_at >= PROOF_LIMIT)
}

fn successors(model: &ModelState, omission: Omission, start: Instant) -> Vec<ModelState> {
    let mut next = Vec::new();
    if model.now < LAST_TICK {
        next.push(ModelState { now: model.now + 1, ..model.clone() });
    }
    if model.changed_at.is_none() {
        next.push(ModelState { changed_at: Some(model.now), ..model.clone() });
    }
    for node in 0..NODES {
        next.push(request_read(model, node));
        next.extend(send_heartbeat(model, node, start));
    }
    next.extend(receive_read(model, omission, start));
    next.extend(receive_heartbeat(model, omission, start));
    next
}

/// The store responds with its current version; the response arrives at a later step, or never.
fn request_read(model: &ModelState, node: usize) -> ModelState {
    let version = if model.changed_at.is_some() { 2 } else { 1 };
    let read = Some(PendingRead { node, requested_at: model.now, version });
    ModelState { read, ..model.clone() }
}

fn receive_read(model: &ModelState, omission: Omission, start: Instant) -> Option<ModelState> {
    let mut next = model.clone();
    let read = next.read.take()?;
    let node = &mut next.nodes[read.node];
    node.version = node.version.max(read.version);
    let mut state = confirmed(node, start);
    let proven_at = if omission == Omission::ReadTime { model.now } else { read.requested_at };
    state.confirm(at(start, proven_at));
    node.confirmed_at = tick_of(state, model.now, start);
    Some(next)
}

fn send_heartbeat(model: &ModelState, n: usize, start: Instant) -> Option<ModelState> {
    let node = &model.nodes[n];
    let age = confirmed(node, start).age(at(start, model.now))?.as_secs();
    let mut next = model.clone();
    let (to, echo) = (1 - n, node.last_received);
    next.heartbeat = Some(Heartbeat { to, version: node.version, age, echo, sent_at: model.now });
    Some(next)
}

fn receive_heartbeat(model: &ModelState, omission: Omission, start: Instant) -> Option<ModelState> {
    let mut next = model.clone();
    let heartbeat = next.heartbeat.take()?;
    let node = &mut next.nodes[heartbeat.to];
    node.last_received = Some(heartbeat.sent_at);
    let echo_sent_at = if omission == Omission::Echo { Some(model.now) } else { heartbeat.echo };
    let Some(echo_sent_at) = echo_sent_at.filter(|_| node.version > 0) else { return Some(next) };
    let age = if omission == Omission::Age { 0 } else { heartbeat.age };
    let attestation = ConfigAttestation {
        version: if omission == Omission::Version { 0 } else { heartbeat.version },
        age: TICK * u32::try_from(age).unwrap(),
        echo_sent_at: at(start, echo_sent_at),
    };
    let mut state = confirmed(node, start);
    state.apply_attestation(node.version, &attestation);
    node.confirmed_at = tick_of(state, model.now, start);
    Some(next)
}

#[test]
fn no_order_of_events_exceeds_the_age_limit() {
    let (states, violated) = explore(Omission::Nothing);
    println!("{states} states");
    assert!(states > 10_000, "{states}");
    assert!(!violated);
}

#[test]
fn attestation_dated_by_its_arrival_exceeds_the_age_limit() {
    assert!(explore(Omission::Echo).1);
}

#[test]
fn attestation_of_any_version_exceeds_the_age_limit() {
    assert!(explore(Omission::Version).1);
}

#[test]
fn attestation_without_the_age_of_its_proof_exceeds_the_age_limit() {
    assert!(explore(Omission::Age).1);
}

#[test]
fn read_dated_by_its_arrival_exceeds_the_age_limit() {
    assert!(explore(Omission::ReadTime).1);
}
