//! The protocol that changes the configuration.

use std::time::Duration;

use comfreyturn_policy::{ConfigState, subject_of};
use comfreyturn_ports::{CommitOutcome, Step, TableError};
use comfreyturn_types::{ConfigChange, ConfigEntry, ConfigVersion, OperationId};

use crate::{
    ApplyCommand, ApplyError, ApplyObstacle, ApplyResult, ChangePrecondition, NodeControl,
    config_store::ConfigFront,
};

/// How often a change is tried against others that come first.
const MAX_COMMIT_ATTEMPTS: u32 = 16;

/// When to come back after a refusal or an unfinished change.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The pause after a commit that got no answer.
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);

/// Histogram of how long changes take, by outcome.
const APPLY_SECONDS: &str = "comfreyturn_config_apply_seconds";

/// What came of one attempt to write a change.
enum CommitAttempt {
    /// It took effect as this version.
    Done(ConfigVersion),

    /// Another change came first.
    Overtaken,

    /// It may have taken effect.
    Unknown,
}

impl NodeControl {
    /// Applies changes. Returns their version once they are accepted: durable in the table, and
    /// known to a strict majority of the roster.
    pub async fn apply(&self, command: ApplyCommand) -> ApplyResult<ConfigVersion> {
        let asked_at = self.now();
        let result = self.write_and_accept(&command).await;
        let outcome: &'static str = match &result {
            Ok(_) => "accepted",
            Err(error) => error.into(),
        };
        let elapsed = self.now().saturating_duration_since(asked_at);
        metrics::histogram!(APPLY_SECONDS, "outcome" => outcome).record(elapsed);
        result
    }

    async fn write_and_accept(&self, command: &ApplyCommand) -> ApplyResult<ConfigVersion> {
        let version = self.write_change(command).await?;
        self.await_accepted(&command.operation, version, &command.gone_nodes).await
    }

    /// Writes a change, and reads back by its operation whenever an answer was lost.
    async fn write_change(&self, command: &ApplyCommand) -> ApplyResult<ConfigVersion> {
        let mut unknown = false;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            let attempt = match self.try_write(command, unknown).await {
                Err(ApplyError::Unavailable { .. }) if unknown => break,
                attempt => attempt?,
            };
            match attempt {
                CommitAttempt::Done(version) => return Ok(version),
                CommitAttempt::Overtaken => {}
                CommitAttempt::Unknown => {
                    unknown = true;
                    self.ports.sleep(READ_BACK_PAUSE).await;
                }
            }
        }
        if unknown {
            return Err(pending(ConfigVersion::default(), &command.operation));
        }
        Err(unavailable(ApplyObstacle::Contended))
    }

    async fn try_write(
        &self,
        command: &ApplyCommand,
        read_back: bool,
    ) -> ApplyResult<CommitAttempt> {
        let step = if read_back { Step::ConfigReadBack } else { Step::ConfigReadHead };
        let known = self.log.version();
        let front = self.store.read_front(step, &command.operation, known).await;
        let front = front.map_err(|_| unavailable(ApplyObstacle::TableUnavailable))?;
        self.log.set_confirmed(front.confirmed);
        self.catch_up(front.head)
            .await
            .map_err(|_| unavailable(ApplyObstacle::TableUnavailable))?;
        if let Some(version) = front.done {
            return Ok(CommitAttempt::Done(version));
        }
        let before = self.log.state();
        if before.version != front.head {
            return Ok(CommitAttempt::Overtaken);
        }
        check_command(command, &before)?;
        self.check_majority(command, &before, &front)?;
        self.commit_change(command, &before, &front).await
    }

    async fn commit_change(
        &self,
        command: &ApplyCommand,
        before: &ConfigState,
        front: &ConfigFront,
    ) -> ApplyResult<CommitAttempt> {
        let changes = command.changes.iter().map(|(_, change)| change.clone()).collect();
        let version = before.version.next();
        let entry = ConfigEntry { version, operation: command.operation.clone(), changes };
        let mut after = before.clone();
        after.apply(&entry).expect("the entry follows the version that it was made for");
        match self.store.commit(front, before, &after, &entry).await {
            Ok(CommitOutcome::Committed) => {
                self.append_entries(&[entry]);
                Ok(CommitAttempt::Done(version))
            }
            Ok(CommitOutcome::Conflict(_)) => Ok(CommitAttempt::Overtaken),
            Err(TableError::Unavailable) => Err(unavailable(ApplyObstacle::TableUnavailable)),
            Err(TableError::NoAnswer | TableError::Malformed) => Ok(CommitAttempt::Unknown),
        }
    }

    /// Refuses a change that could not be accepted, before it is written.
    fn check_majority(
        &self,
        command: &ApplyCommand,
        state: &ConfigState,
        front: &ConfigFront,
    ) -> ApplyResult<()> {
        let roster_changes = command.changes.iter().any(|(_, change)| change.changes_roster());
        if roster_changes && state.roster.version > front.confirmed {
            return Err(unavailable(ApplyObstacle::RosterUnconfirmed));
        }
        let mut reach = self.reach_tally();
        reach.dead.extend(self.gone_runs(&command.gone_nodes));
        if !reach.is_accepted(ConfigVersion::default(), &state.roster, front.confirmed) {
            return Err(unavailable(ApplyObstacle::NoMajority));
        }
        Ok(())
    }
}

/// Checks a command against the configuration that it would change.
fn check_command(command: &ApplyCommand, state: &ConfigState) -> ApplyResult<()> {
    let current = state.version;
    if command.expected.is_some_and(|expected| expected != current) {
        return Err(ApplyError::Conflict { current, subject: "version".to_owned() });
    }
    for (precondition, change) in &command.changes {
        let holds = match precondition {
            ChangePrecondition::Any => true,
            ChangePrecondition::Absent => !state.contains_subject(change),
            ChangePrecondition::Present => state.contains_subject(change),
        };
        if !holds {
            return Err(ApplyError::Conflict { current, subject: subject_of(change) });
        }
    }
    let changes: Vec<&ConfigChange> = command.changes.iter().map(|(_, change)| change).collect();
    state
        .validate_all(changes)
        .map_err(|error| ApplyError::Invalid { subject: error.subject, reason: error.fault })
}

fn unavailable(reason: ApplyObstacle) -> ApplyError {
    ApplyError::Unavailable { reason, retry_after: RETRY_AFTER }
}

pub(crate) fn pending(version: ConfigVersion, operation: &OperationId) -> ApplyError {
    ApplyError::Pending { version, operation: operation.clone(), retry_after: RETRY_AFTER }
}
