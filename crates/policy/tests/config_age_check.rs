//! Explores all orders of changes, readings, messages and waits of two nodes that follow one
//! configuration. Looks for a node that may use a version for longer than the limit after a newer
//! one stood.
//!
//! A message that does not arrive is a cut, one that arrives late was held up or waited in the
//! socket of a node that stood still, and a node that reads nothing is cut off from the store.

use std::{
    collections::{HashSet, VecDeque},
    time::{Duration, Instant},
};

use comfreyturn_policy::{ConfigAttestation, ConfirmedConfig};

const NODES: usize = 2;

/// How long a proof counts, in ticks.
const LIMIT: u64 = 2;

/// Ticks that are played.
const LAST_TICK: u64 = 4;

const TICK: Duration = Duration::from_secs(1);

/// Which part of the rule is left out.
#[derive(Clone, Copy, PartialEq)]
enum Omission {
    Nothing,
    /// A word is dated by its arrival.
    Echo,
    /// A word counts for any version.
    Version,
    /// A word is as new as the message, whatever the age of the proof behind it.
    Age,
    /// A reading is dated by its arrival.
    ReadingDate,
}

/// A reading that was asked for.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Reading {
    node: usize,
    asked_at: u64,
    version: u64,
}

/// A word on the configuration.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Word {
    to: usize,
    version: u64,
    age: u64,

    /// The receiver's newest message that the sender had taken in: when it was sent.
    echo: Option<u64>,

    /// When it was sent.
    sent_at: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Node {
    version: u64,
    confirmed_at: Option<u64>,

    /// When the other node sent the newest message that came.
    heard: Option<u64>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,

    /// When the second version came to stand; before that there is one.
    changed_at: Option<u64>,
    nodes: [Node; NODES],

    /// The answer of the store that was given and has not arrived. A newer one stands for its loss.
    reading: Option<Reading>,

    /// The word that was sent and has not arrived. A newer one stands for its loss.
    word: Option<Word>,
}

/// The number of worlds, and whether one of them breaks the promise.
fn explore(omission: Omission) -> (usize, bool) {
    let node = Node { version: 0, confirmed_at: None, heard: None };
    let first = World { now: 0, changed_at: None, nodes: [node; NODES], reading: None, word: None };
    let start = Instant::now() + TICK * 100;
    let mut seen = HashSet::from([first.clone()]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        if (0..NODES).any(|n| uses_old_version(&world, n, start)) {
            return (seen.len(), true);
        }
        for next in successors(&world, omission, start) {
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

/// The production code's state of a node.
fn confirmed(node: &Node, start: Instant) -> ConfirmedConfig {
    let mut confirmed = ConfirmedConfig::default();
    node.confirmed_at.into_iter().for_each(|tick| confirmed.confirm(at(start, tick)));
    confirmed
}

/// The tick at which a state says that its configuration was the newest.
fn tick_of(confirmed: ConfirmedConfig, now: u64, start: Instant) -> Option<u64> {
    let age = confirmed.age(at(start, now))?;
    Some(now - age.as_secs())
}

fn uses_old_version(world: &World, n: usize, start: Instant) -> bool {
    let node = &world.nodes[n];
    let outdated_at = world.changed_at.filter(|_| node.version == 1);
    let limit = TICK * u32::try_from(LIMIT).unwrap();
    let usable = confirmed(node, start).is_usable(at(start, world.now), limit);
    outdated_at.is_some_and(|changed_at| usable && world.now - changed_at >= LIMIT)
}

fn successors(world: &World, omission: Omission, start: Instant) -> Vec<World> {
    let mut next = Vec::new();
    if world.now < LAST_TICK {
        next.push(World { now: world.now + 1, ..world.clone() });
    }
    if world.changed_at.is_none() {
        next.push(World { changed_at: Some(world.now), ..world.clone() });
    }
    for node in 0..NODES {
        next.push(ask_store(world, node));
        next.extend(send_word(world, node, start));
    }
    next.extend(take_reading(world, omission, start));
    next.extend(take_word(world, omission, start));
    next
}

/// The store answers as it is now; the answer arrives some time later, or never.
fn ask_store(world: &World, node: usize) -> World {
    let version = if world.changed_at.is_some() { 2 } else { 1 };
    let reading = Some(Reading { node, asked_at: world.now, version });
    World { reading, ..world.clone() }
}

fn take_reading(world: &World, omission: Omission, start: Instant) -> Option<World> {
    let mut next = world.clone();
    let reading = next.reading.take()?;
    let node = &mut next.nodes[reading.node];
    node.version = node.version.max(reading.version);
    let mut state = confirmed(node, start);
    let dated = if omission == Omission::ReadingDate { world.now } else { reading.asked_at };
    state.confirm(at(start, dated));
    node.confirmed_at = tick_of(state, world.now, start);
    Some(next)
}

fn send_word(world: &World, n: usize, start: Instant) -> Option<World> {
    let node = &world.nodes[n];
    let age = confirmed(node, start).age(at(start, world.now))?.as_secs();
    let mut next = world.clone();
    let (to, echo) = (1 - n, node.heard);
    next.word = Some(Word { to, version: node.version, age, echo, sent_at: world.now });
    Some(next)
}

fn take_word(world: &World, omission: Omission, start: Instant) -> Option<World> {
    let mut next = world.clone();
    let word = next.word.take()?;
    let node = &mut next.nodes[word.to];
    node.heard = Some(word.sent_at);
    let echo_sent_at = if omission == Omission::Echo { Some(world.now) } else { word.echo };
    let Some(echo_sent_at) = echo_sent_at.filter(|_| node.version > 0) else { return Some(next) };
    let age = if omission == Omission::Age { 0 } else { word.age };
    let vouch = ConfigAttestation {
        version: if omission == Omission::Version { 0 } else { word.version },
        age: TICK * u32::try_from(age).unwrap(),
        echo_sent_at: at(start, echo_sent_at),
    };
    let mut state = confirmed(node, start);
    state.apply_attestation(node.version, &vouch);
    node.confirmed_at = tick_of(state, world.now, start);
    Some(next)
}

#[test]
fn no_order_of_events_keeps_an_old_version_in_use() {
    let (worlds, breaks) = explore(Omission::Nothing);
    println!("{worlds} worlds");
    assert!(worlds > 10_000, "{worlds}");
    assert!(!breaks);
}

#[test]
fn word_dated_by_its_arrival_keeps_an_old_version_in_use() {
    assert!(explore(Omission::Echo).1);
}

#[test]
fn word_for_any_version_keeps_an_old_version_in_use() {
    assert!(explore(Omission::Version).1);
}

#[test]
fn word_without_the_age_of_its_proof_keeps_an_old_version_in_use() {
    assert!(explore(Omission::Age).1);
}

#[test]
fn reading_dated_by_its_arrival_keeps_an_old_version_in_use() {
    assert!(explore(Omission::ReadingDate).1);
}
