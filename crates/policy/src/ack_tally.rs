//! Whether enough members of the roster know a version.

use std::collections::{BTreeMap, BTreeSet};

use comfreyturn_types::{ConfigVersion, Incarnation, NodeId, Roster};

use crate::RosterState;

/// One run of one node.
pub type MemberRun = (NodeId, Incarnation);

/// Counts who knows a version.
///
/// A version is accepted once a strict majority of the roster's living members know it, and while
/// the last change of the roster is not confirmed, a strict majority of both rosters.
///
/// Members proven dead leave the count: their VM is gone from the platform's list, a successor has
/// bound their address, or an operator says so. That is safe because a dead member answers no
/// question ever again. A node that calls itself fresh has answers from a strict majority of the
/// *whole* roster, all of them living; two strict majorities of which both lie among the living
/// share a member, and that member knows the version.
#[derive(Clone, Debug, Default)]
pub struct AckTally {
    /// The highest version that each run is known to know. Invariant: never falls.
    pub known: BTreeMap<MemberRun, ConfigVersion>,

    /// Runs that are proven dead.
    pub dead: BTreeSet<MemberRun>,
}

impl AckTally {
    /// A run said that it knows a version.
    pub fn record(&mut self, run: MemberRun, version: ConfigVersion) {
        let known = self.known.entry(run).or_default();
        *known = version.max(*known);
    }

    /// Whether `version` is known to enough members. `confirmed` is the newest change of the
    /// roster that is known to be confirmed.
    pub fn is_accepted(
        &self,
        version: ConfigVersion,
        roster: &RosterState,
        confirmed: ConfigVersion,
    ) -> bool {
        let pending = roster.version > confirmed;
        self.has_majority(version, &roster.current)
            && (!pending || self.has_majority(version, &roster.previous))
    }

    /// Whether a strict majority of a roster's living members know `version`. True of a roster
    /// that has no living members, as nobody can be fresh by it: after a restart of all nodes, the
    /// first of them joins alone.
    pub fn has_majority(&self, version: ConfigVersion, roster: &Roster) -> bool {
        let living: Vec<MemberRun> = roster
            .members
            .values()
            .map(|member| (member.node.clone(), member.incarnation))
            .filter(|run| !self.dead.contains(run))
            .collect();
        let knowing = living
            .iter()
            .filter(|run| self.known.get(*run).is_some_and(|known| *known >= version))
            .count();
        living.is_empty() || knowing * 2 > living.len()
    }
}
