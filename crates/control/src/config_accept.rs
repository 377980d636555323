//! Acceptance of configuration versions: tracks which members know a version and pushes it to the
//! others.

use std::{collections::BTreeSet, time::Duration};

use comfreyturn_policy::{AckTally, MemberRun};
use comfreyturn_ports::{PeerAnswer, PeerQuestion, Step};
use comfreyturn_types::{ConfigVersion, NodeId, OperationId, RosterMember};
use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{ApplyResult, NodeControl, config_apply::pending};

/// The delay before a version is pushed again to a member that does not know it.
const PUSH_RETRY_DELAY: Duration = Duration::from_millis(200);

impl NodeControl {
    /// Pushes a version to all members until enough of them know it.
    pub(crate) async fn await_accepted(
        &self,
        operation: &OperationId,
        version: ConfigVersion,
        gone_nodes: &BTreeSet<NodeId>,
    ) -> ApplyResult<ConfigVersion> {
        let wait = self.push_until_accepted(version, gone_nodes);
        let accepted = self.ports.within(self.settings.accept_timeout, wait).await;
        accepted.ok_or_else(|| pending(version, operation))?;
        self.confirm_roster(gone_nodes).await;
        Ok(version)
    }

    async fn push_until_accepted(&self, version: ConfigVersion, gone_nodes: &BTreeSet<NodeId>) {
        let mut pushes: FuturesUnordered<_> = self
            .counted_members()
            .into_iter()
            .map(|member| self.push_until_known(member, version))
            .collect();
        while !self.is_accepted(version, gone_nodes) {
            if pushes.next().await.is_none() {
                self.ports.sleep(PUSH_RETRY_DELAY).await;
            }
        }
        self.spawn_pushes(version);
    }

    /// Pushes a version to a member until the member knows the version or is known to be dead.
    async fn push_until_known(&self, member: RosterMember, version: ConfigVersion) {
        let run = (member.node.clone(), member.incarnation);
        while !self.knows(&run, version) && !self.tally.borrow().dead.contains(&run) {
            self.push_once(&member).await;
            if !self.knows(&run, version) {
                self.ports.sleep(PUSH_RETRY_DELAY).await;
            }
        }
    }

    /// Pushes the newest version once, in the background, to the members that have not yet
    /// acknowledged `version`.
    pub(crate) fn spawn_pushes(&self, version: ConfigVersion) {
        let Some(control) = self.weak_self.upgrade() else { return };
        for member in self.counted_members() {
            let run = (member.node.clone(), member.incarnation);
            if self.knows(&run, version) {
                continue;
            }
            let control = control.clone();
            self.spawn(async move { control.push_once(&member).await });
        }
    }

    /// Sends a member the entries that it does not know.
    async fn push_once(&self, member: &RosterMember) {
        let run = (member.node.clone(), member.incarnation);
        let known = self.tally.borrow().known.get(&run).copied();
        let mut entries = known.map(|known| self.log.entries_after(known)).unwrap_or_default();
        if entries.is_empty() {
            entries.extend(self.log.entry(self.log.version()));
        }
        let question = PeerQuestion::ConfigPush { entries };
        match self.ports.exchange(Step::ConfigPush, member, question).await {
            Ok(PeerAnswer::ConfigKnown { config }) => self.record_known(run, config),
            Ok(_) => {
                log::warn!("config: {} sent an unexpected answer to a config push.", member.node)
            }
            Err(error) => self.record_peer_error(member, &error),
        }
    }

    /// Records in the table that the last roster change is confirmed, once enough members know it.
    pub(crate) async fn confirm_roster(&self, gone_nodes: &BTreeSet<NodeId>) {
        let roster = self.log.state().roster.clone();
        if roster.version <= self.log.confirmed() || !self.is_accepted(roster.version, gone_nodes) {
            return;
        }
        match self.store.confirm_roster(roster.version).await {
            Ok(()) => self.log.set_confirmed(roster.version),
            Err(error) => log::debug!("roster: change not confirmed yet: {error}."),
        }
    }

    /// Whether enough members know a version for it to be accepted.
    pub(crate) fn is_accepted(
        &self,
        version: ConfigVersion,
        gone_nodes: &BTreeSet<NodeId>,
    ) -> bool {
        let state = self.log.state();
        let mut tally = self.tally.borrow().clone();
        tally.record(self.run(), state.version);
        tally.dead.extend(self.gone_runs(gone_nodes));
        tally.is_accepted(version, &state.roster, self.log.confirmed())
    }

    /// A tally in which only this run and the members that answered recently know a version, which
    /// is version zero. It shows whether a change could be accepted at all.
    pub(crate) fn reachable_tally(&self) -> AckTally {
        let now = self.now();
        let mut tally = AckTally { dead: self.tally.borrow().dead.clone(), ..AckTally::default() };
        tally.record(self.run(), ConfigVersion::default());
        for (run, peer) in self.peers.borrow().iter() {
            if peer.is_responsive(now) {
                tally.record(run.clone(), ConfigVersion::default());
            }
        }
        tally
    }

    /// The runs in the roster that belong to `gone_nodes`.
    pub(crate) fn gone_runs(&self, gone_nodes: &BTreeSet<NodeId>) -> Vec<MemberRun> {
        let members = self.counted_members().into_iter();
        let gone = members.filter(|member| gone_nodes.contains(&member.node));
        gone.map(|member| (member.node, member.incarnation)).collect()
    }

    fn knows(&self, run: &MemberRun, version: ConfigVersion) -> bool {
        *run == self.run()
            || self.tally.borrow().known.get(run).is_some_and(|known| *known >= version)
    }
}
