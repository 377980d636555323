//! Joins and leaves the roster.

use std::{collections::BTreeSet, rc::Rc};

use comfreyturn_types::{ConfigChange, OperationId};

use crate::{ApplyCommand, ApplyError, ApplyResult, ChangePrecondition, NodeControl};

impl NodeControl {
    /// Joins the roster whenever it does not contain this run.
    pub(crate) async fn run_roster(self: Rc<Self>) {
        loop {
            if self.should_join() {
                self.join_roster().await;
            }
            self.ports.sleep(self.settings.join_period).await;
        }
    }

    /// Releases the planner's lease and removes this run from the roster. The last member is not
    /// removed; the node's next run replaces it.
    pub async fn leave_roster(&self) -> ApplyResult<()> {
        self.set_leaving();
        if let Err(error) = self.lease.release().await {
            log::warn!("lease: release failed: {error}.");
        }
        let state = self.log.state();
        let (node, incarnation) = (self.member.node.clone(), self.member.incarnation);
        let roster = &state.roster.current;
        if !roster.contains(&node, incarnation) || roster.members.len() == 1 {
            return Ok(());
        }
        let operation = OperationId::from(format!("leave-{node}-{incarnation}"));
        let change = ConfigChange::LeaveRoster { node, incarnation };
        self.apply(roster_command(operation, change)).await.map(|_| ())
    }

    fn should_join(&self) -> bool {
        let state = self.log.state();
        let in_roster = state.roster.current.contains(&self.member.node, self.member.incarnation);
        !in_roster && !self.leaving.get()
    }

    async fn join_roster(&self) {
        let (node, incarnation) = (&self.member.node, self.member.incarnation);
        let round = self.log.state().roster.version;
        let operation = OperationId::from(format!("join-{node}-{incarnation}-{round}"));
        let change = ConfigChange::JoinRoster(self.member.clone());
        match self.apply(roster_command(operation, change)).await {
            Ok(version) => log::info!("roster: joined at version {version}."),
            Err(ApplyError::Invalid { reason, .. }) => log::warn!("roster: not joined: {reason}."),
            Err(error) => log::debug!("roster: not joined yet: {error}."),
        }
    }
}

fn roster_command(operation: OperationId, change: ConfigChange) -> ApplyCommand {
    ApplyCommand {
        operation,
        expected: None,
        changes: vec![(ChangePrecondition::Any, change)],
        gone_nodes: BTreeSet::new(),
    }
}
