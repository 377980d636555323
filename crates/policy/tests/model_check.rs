//! Explores all orders of commits, pushes, reads of the table, restarts and joins in a small cell.
//! An event that does not happen is a cut. Looks for a node that may call its configuration fresh
//! although a newer one was accepted.
//!
//! Where a node's knowledge may lag, the model lets it have all there is: an acknowledgement, a
//! death or a confirmation counts at once, wherever it was seen. That makes acceptance easier than
//! in truth, and the promise harder to keep. A node is asked about its freshness as if it had
//! just heard all peers, which is the most that evidence without the table can say.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    time::Instant,
};

use comfreyturn_policy::{AckTally, ConfigState, FreshnessGauge, MemberRun, RosterState};
use comfreyturn_types::*;

const NODES: usize = 3;

/// Which part of the rule is left out.
#[derive(Clone, Copy, PartialEq)]
enum Omission {
    Nothing,
    MajorityAcks,
    Incarnations,
}

/// Entries of the log at most, with those by which the nodes joined.
const MAX_ENTRIES: usize = NODES + 3;

/// Restarts at most.
const MAX_RESTARTS: usize = 2;

/// A run of a node: its number and its incarnation.
type Run = (usize, u64);

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Entry {
    Plain,
    Join(Run),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    log: Vec<Entry>,
    /// The version that the present run of each node knows; zero if none yet.
    versions: [usize; NODES],
    incarnations: [u64; NODES],
    /// Earlier runs, with the versions that they acknowledged.
    ended: BTreeMap<Run, usize>,
    confirmed: usize,
    accepted: usize,
}

struct Explorer {
    omission: Omission,
    rosters: BTreeMap<Vec<Entry>, Vec<RosterState>>,
}

impl Explorer {
    /// The number of worlds, and whether one of them breaks the promise.
    fn explore(omission: Omission) -> (usize, bool) {
        let mut explorer = Self { omission, rosters: BTreeMap::new() };
        let first = first_world();
        let mut seen = HashSet::from([first.clone()]);
        let mut queue = VecDeque::from([first]);
        while let Some(world) = queue.pop_front() {
            if (0..NODES).any(|n| explorer.misses_change(&world, n)) {
                return (seen.len(), true);
            }
            for mut next in explorer.successors(&world) {
                explorer.settle(&mut next);
                if seen.insert(next.clone()) {
                    queue.push_back(next);
                }
            }
        }
        (seen.len(), false)
    }

    /// Whether a node that has heard all peers calls a configuration fresh that is outdated.
    fn misses_change(&mut self, world: &World, n: usize) -> bool {
        let version = world.versions[n];
        if version == 0 || version >= world.accepted {
            return false;
        }
        let now = Instant::now();
        let mut gauge = FreshnessGauge::default();
        for m in (0..NODES).filter(|m| *m != n) {
            let run = self.member_run((m, world.incarnations[m]));
            gauge.record_member(run, now, config_version(world.versions[m]));
        }
        let own = self.member_run((n, world.incarnations[n]));
        let roster = self.roster(world, version).current;
        gauge.is_fresh(now, config_version(version), &roster, &own)
    }

    fn successors(&mut self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        for n in 0..NODES {
            next.push(World {
                versions: with(world.versions, n, world.log.len()),
                ..world.clone()
            });
            next.extend(self.commit(world, n));
            next.extend(self.restart(world, n));
            for m in 0..NODES {
                let version = world.versions[n].max(world.versions[m]);
                if world.versions[m] > 0 {
                    next.push(World {
                        versions: with(world.versions, m, version),
                        ..world.clone()
                    });
                }
            }
        }
        next
    }

    /// A member commits a change; any other node joins, if the last such change is confirmed.
    fn commit(&mut self, world: &World, n: usize) -> Option<World> {
        let head = world.log.len();
        if world.versions[n] < head || head >= MAX_ENTRIES {
            return None;
        }
        let run = (n, world.incarnations[n]);
        let roster = self.roster(world, head);
        let is_named = roster.current.contains(&node_id(n), Incarnation(run.1));
        if !is_named && roster.version > config_version(world.confirmed) {
            return None;
        }
        let entry = if is_named { Entry::Plain } else { Entry::Join(run) };
        let mut next = world.clone();
        next.log.push(entry);
        next.versions[n] = head + 1;
        Some(next)
    }

    fn restart(&self, world: &World, n: usize) -> Option<World> {
        if world.ended.len() >= MAX_RESTARTS {
            return None;
        }
        let mut next = world.clone();
        next.ended.insert((n, world.incarnations[n]), world.versions[n]);
        next.incarnations[n] += 1;
        next.versions[n] = 0;
        Some(next)
    }

    /// Accepts and confirms all that can be.
    fn settle(&mut self, world: &mut World) {
        let newest = world.versions.iter().copied().max().unwrap_or_default();
        let roster = self.roster(world, newest);
        let last = usize::try_from(roster.version.0).unwrap();
        if last > world.confirmed && self.is_accepted(world, last, &roster) {
            world.confirmed = last;
        }
        for n in 0..NODES {
            let roster = self.roster(world, world.versions[n]);
            for version in world.accepted + 1..=world.versions[n] {
                if self.is_accepted(world, version, &roster) {
                    world.accepted = version;
                }
            }
        }
    }

    /// Whether a version is accepted by someone who takes any of the ended runs for dead, and
    /// counts what the others acknowledged.
    fn is_accepted(&self, world: &World, version: usize, roster: &RosterState) -> bool {
        if self.omission == Omission::MajorityAcks {
            return true;
        }
        let living = (0..NODES).map(|n| ((n, world.incarnations[n]), world.versions[n]));
        let ended: Vec<(Run, usize)> = world.ended.iter().map(|(run, v)| (*run, *v)).collect();
        (0..1_usize << ended.len()).any(|choice| {
            let mut tally = AckTally::default();
            for (run, known) in living.clone().chain(ended.iter().copied()) {
                tally.record(self.member_run(run), config_version(known));
            }
            let dead = ended.iter().enumerate().filter(|(index, _)| choice >> index & 1 == 1);
            if self.omission != Omission::Incarnations {
                tally.dead = dead.map(|(_, (run, _))| self.member_run(*run)).collect();
            }
            tally.is_accepted(config_version(version), roster, config_version(world.confirmed))
        })
    }

    /// The roster at a version of a world's log.
    fn roster(&mut self, world: &World, version: usize) -> RosterState {
        let rosters = &mut self.rosters;
        if !rosters.contains_key(&world.log) {
            rosters.insert(world.log.clone(), self.omission.replay(&world.log));
        }
        rosters[&world.log][version].clone()
    }

    fn member_run(&self, run: Run) -> MemberRun {
        (node_id(run.0), self.omission.incarnation(run))
    }
}

impl Omission {
    fn incarnation(self, run: Run) -> Incarnation {
        Incarnation(if self == Self::Incarnations { 0 } else { run.1 })
    }

    /// The rosters at all versions of a log.
    fn replay(self, log: &[Entry]) -> Vec<RosterState> {
        let mut state = ConfigState::default();
        let mut rosters = vec![state.roster.clone()];
        for entry in log {
            let version = state.version.next();
            let changes = match entry {
                Entry::Plain => Vec::new(),
                Entry::Join(run) => vec![ConfigChange::JoinRoster(self.member(*run))],
            };
            let operation = OperationId::from(version.to_string());
            state.apply(&ConfigEntry { version, operation, changes }).unwrap();
            rosters.push(state.roster.clone());
        }
        rosters
    }

    fn member(self, run: Run) -> RosterMember {
        let address = ([127, 0, 0, 1], 7000).into();
        RosterMember {
            node: node_id(run.0),
            incarnation: self.incarnation(run),
            vm: "vm".into(),
            failure_domain: "domain".into(),
            peer_address: address,
            caller_address: address,
            operator_address: address,
        }
    }
}

/// Nodes that have all joined.
fn first_world() -> World {
    World {
        log: (0..NODES).map(|n| Entry::Join((n, 0))).collect(),
        versions: [NODES; NODES],
        incarnations: [0; NODES],
        ended: BTreeMap::new(),
        confirmed: NODES,
        accepted: NODES,
    }
}

fn with(mut versions: [usize; NODES], n: usize, version: usize) -> [usize; NODES] {
    versions[n] = version;
    versions
}

fn config_version(number: usize) -> ConfigVersion {
    ConfigVersion(number as u64)
}

fn node_id(number: usize) -> NodeId {
    NodeId::from(format!("n{number}"))
}

#[test]
fn accepted_configuration_is_never_missed() {
    assert!(!is_broken(Omission::Nothing));
}

#[test]
fn acceptance_without_majority_breaks() {
    assert!(is_broken(Omission::MajorityAcks));
}

#[test]
fn counting_restarted_nodes_breaks() {
    assert!(is_broken(Omission::Incarnations));
}

fn is_broken(omission: Omission) -> bool {
    let (worlds, is_broken) = Explorer::explore(omission);
    println!("{worlds} worlds, broken: {is_broken}");
    is_broken
}
