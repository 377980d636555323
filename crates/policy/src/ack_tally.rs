//! Whether enough members of the roster acknowledged a configuration version.

use std::collections::{BTreeMap, BTreeSet};

use comfreyturn_types::{ConfigVersion, Incarnation, NodeId, Roster};

use crate::RosterState;

/// One incarnation of a node.
pub type MemberRun = (NodeId, Incarnation);

/// Counts the members that acknowledged a version.
///
/// A version is accepted once a strict majority of the roster's living members know it. While the
/// last change of the roster is unconfirmed, this applies to both the current and the previous
/// roster.
///
/// Members proven dead are not counted: their VM is gone from the platform's list, a successor has
/// bound their address, or an operator declared them dead. This is safe because a dead member
/// never answers a request again. A node that considers itself fresh has responses from a strict
/// majority of the *whole* roster, all of them living. That majority and the strict majority of the
/// living members that knows the version both lie among the living members, so they share a member,
/// and that member knows the version.
#[derive(Clone, Debug, Default)]
pub struct AckTally {
    /// The highest version that each run acknowledged. Invariant: never decreases.
    pub known: BTreeMap<MemberRun, ConfigVersion>,

    /// Runs that are proven dead.
    pub dead: BTreeSet<MemberRun>,
}

impl AckTally {
    /// Records that a run acknowledged a version.
    pub fn record(&mut self, run: MemberRun, version: ConfigVersion) {
        let known = self.known.entry(run).or_default();
        *known = version.max(*known);
    }

    /// Whether enough members acknowledged `version`. `confirmed` is the version of the newest
    /// roster change known to be confirmed.
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

    /// Whether a strict majority of a roster's living members know `version`. Also true if the
    /// roster has no living members, because no node can be fresh under it. This lets the first
    /// node join alone after a restart of all nodes.
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
