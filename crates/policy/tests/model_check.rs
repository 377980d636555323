//! Model checker for the freshness of the configuration. Explores all orders of commits, pushes,
//! reads of the table, restarts and joins in a small cell. Fails if a node may consider its
//! configuration fresh although a newer one was accepted. An event that never happens models a
//! network partition.
//!
//! Where a node's knowledge may lag in production, the model gives it all knowledge at once: an
//! acknowledgement, a death or a confirmation counts immediately, wherever it was seen. That makes
//! acceptance easier than in production, and a violation more likely. Freshness is checked as if
//! the node had just received responses from all peers, which is the strongest evidence that it can
//! have without the table.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    time::Instant,
};

use comfreyturn_policy::{AckTally, ConfigState, FreshnessTracker, MemberRun, RosterState};
use comfreyturn_types::*;

const NODES: usize = 3;

/// The part of the rule that is left out, to show that it is needed.
#[derive(Clone, Copy, PartialEq)]
enum Omission {
    Nothing,
    MajorityAcks,
    Incarnations,
}

/// The maximum length of the log, including the entries with which the nodes joined.
const MAX_ENTRIES: usize = NODES + 3;

/// The maximum number of restarts.
const MAX_RESTARTS: usize = 2;

/// A run of a node: its number and its incarnation.
type Run = (usize, u64);

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Entry {
    Plain,
    Join(Run),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    log: Vec<Entry>,
    /// The version that the current run of each node knows; zero if none yet.
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
    /// Returns the number of states, and whether a node in one of them is wrongly fresh.
    fn explore(omission: Omission) -> (usize, bool) {
        let mut explorer = Self { omission, rosters: BTreeMap::new() };
        let first = initial_state();
        let mut seen = HashSet::from([first.clone()]);
        let mut queue = VecDeque::from([first]);
        while let Some(model) = queue.pop_front() {
            if (0..NODES).any(|n| explorer.is_wrongly_fresh(&model, n)) {
                return (seen.len(), true);
            }
            for mut next in explorer.successors(&model) {
                explorer.settle(&mut next);
                if seen.insert(next.clone()) {
                    queue.push_back(next);
                }
            }
        }
        (seen.len(), false)
    }

    /// Whether a node with responses from all peers considers an outdated configuration fresh.
    fn is_wrongly_fresh(&mut self, model: &ModelState, n: usize) -> bool {
        let version = model.versions[n];
        if version == 0 || version >= model.accepted {
            return false;
        }
        let now = Instant::now();
        let mut tracker = FreshnessTracker::default();
        for m in (0..NODES).filter(|m| *m != n) {
            let run = self.member_run((m, model.incarnations[m]));
            tracker.record_member(run, now, config_version(model.versions[m]));
        }
        let own = self.member_run((n, model.incarnations[n]));
        let roster = self.roster(model, version).current;
        tracker.is_fresh(now, config_version(version), &roster, &own)
    }

    fn successors(&mut self, model: &ModelState) -> Vec<ModelState> {
        let mut next = Vec::new();
        for n in 0..NODES {
            next.push(ModelState {
                versions: with(model.versions, n, model.log.len()),
                ..model.clone()
            });
            next.extend(self.commit(model, n));
            next.extend(self.restart(model, n));
            for m in 0..NODES {
                let version = model.versions[n].max(model.versions[m]);
                if model.versions[m] > 0 {
                    next.push(ModelState {
                        versions: with(model.versions, m, version),
                        ..model.clone()
                    });
                }
            }
        }
        next
    }

    /// A member commits a change. Any other node joins, if the last roster change is confirmed.
    fn commit(&mut self, model: &ModelState, n: usize) -> Option<ModelState> {
        let head = model.log.len();
        if model.versions[n] < head || head >= MAX_ENTRIES {
            return None;
        }
        let run = (n, model.incarnations[n]);
        let roster = self.roster(model, head);
        let is_named = roster.current.contains(&node_id(n), Incarnation(run.1));
        if !is_named && roster.version > config_version(model.confirmed) {
            return None;
        }
        let entry = if is_named { Entry::Plain } else { Entry::Join(run) };
        let mut next = model.clone();
        next.log.push(entry);
        next.versions[n] = head + 1;
        Some(next)
    }

    fn restart(&self, model: &ModelState, n: usize) -> Option<ModelState> {
        if model.ended.len() >= MAX_RESTARTS {
            return None;
        }
        let mut next = model.clone();
        next.ended.insert((n, model.incarnations[n]), model.versions[n]);
        next.incarnations[n] += 1;
        next.versions[n] = 0;
        Some(next)
    }

    /// Accepts and confirms every version that can be.
    fn settle(&mut self, model: &mut ModelState) {
        let newest = model.versions.iter().copied().max().unwrap_or_default();
        let roster = self.roster(model, newest);
        let last = usize::try_from(roster.version.0).unwrap();
        if last > model.confirmed && self.is_accepted(model, last, &roster) {
            model.confirmed = last;
        }
        for n in 0..NODES {
            let roster = self.roster(model, model.versions[n]);
            for version in model.accepted + 1..=model.versions[n] {
                if self.is_accepted(model, version, &roster) {
                    model.accepted = version;
                }
            }
        }
    }

    /// Whether some node can accept a version. Each subset of the ended runs is tried as the set
    /// of runs known to be dead; the acknowledgements of the other runs count.
    fn is_accepted(&self, model: &ModelState, version: usize, roster: &RosterState) -> bool {
        if self.omission == Omission::MajorityAcks {
            return true;
        }
        let living = (0..NODES).map(|n| ((n, model.incarnations[n]), model.versions[n]));
        let ended: Vec<(Run, usize)> = model.ended.iter().map(|(run, v)| (*run, *v)).collect();
        (0..1_usize << ended.len()).any(|choice| {
            let mut tally = AckTally::default();
            for (run, known) in living.clone().chain(ended.iter().copied()) {
                tally.record(self.member_run(run), config_version(known));
            }
            let dead = ended.iter().enumerate().filter(|(index, _)| choice >> index & 1 == 1);
            if self.omission != Omission::Incarnations {
                tally.dead = dead.map(|(_, (run, _))| self.member_run(*run)).collect();
            }
            tally.is_accepted(config_version(version), roster, config_version(model.confirmed))
        })
    }

    /// The roster at a version of the model's log.
    fn roster(&mut self, model: &ModelState, version: usize) -> RosterState {
        let rosters = &mut self.rosters;
        if !rosters.contains_key(&model.log) {
            rosters.insert(model.log.clone(), self.omission.replay(&model.log));
        }
        rosters[&model.log][version].clone()
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

/// The state in which all nodes have joined.
fn initial_state() -> ModelState {
    ModelState {
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
fn outdated_configuration_is_never_fresh() {
    assert!(!is_violated(Omission::Nothing));
}

#[test]
fn acceptance_without_majority_violates_freshness() {
    assert!(is_violated(Omission::MajorityAcks));
}

#[test]
fn counting_earlier_incarnations_violates_freshness() {
    assert!(is_violated(Omission::Incarnations));
}

fn is_violated(omission: Omission) -> bool {
    let (states, is_violated) = Explorer::explore(omission);
    println!("{states} states, violated: {is_violated}");
    is_violated
}
