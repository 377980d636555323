//! The protocol that changes the configuration.

use std::time::Duration;

use comfreyturn_policy::{ConfigState, subject_of};
use comfreyturn_ports::{CommitOutcome, Step, TableError};
use comfreyturn_types::{ConfigChange, ConfigEntry, ConfigVersion, OperationId};

use crate::{
    ApplyCommand, ApplyError, ApplyObstacle, ApplyResult, ChangePrecondition, NodeControl,
    config_store::ConfigSnapshot,
};

/// How many times a change is attempted while other changes keep being committed first.
const MAX_COMMIT_ATTEMPTS: u32 = 16;

/// When to retry after a refusal or a pending change.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The delay before reading back the result of a commit that got no answer.
const READ_BACK_DELAY: Duration = Duration::from_millis(200);

/// Histogram of the time that changes take, by outcome.
const APPLY_SECONDS: &str = "comfreyturn_config_apply_seconds";

/// The outcome of one attempt to write a change.
enum CommitAttempt {
    /// The change is stored as this version.
    Done(ConfigVersion),

    /// Another change was committed first.
    Conflicted,

    /// The commit got no answer, so the change may be stored.
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

    /// Writes a change. After a lost answer the result is read back by the operation's id.
    async fn write_change(&self, command: &ApplyCommand) -> ApplyResult<ConfigVersion> {
        let mut unknown = false;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            let attempt = match self.try_write(command, unknown).await {
                Err(ApplyError::Unavailable { .. }) if unknown => break,
                attempt => attempt?,
            };
            match attempt {
                CommitAttempt::Done(version) => return Ok(version),
                CommitAttempt::Conflicted => {}
                CommitAttempt::Unknown => {
                    unknown = true;
                    self.ports.sleep(READ_BACK_DELAY).await;
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
        let snapshot = self.store.read_snapshot(step, &command.operation, known).await;
        let snapshot = snapshot.map_err(|_| unavailable(ApplyObstacle::TableUnavailable))?;
        self.log.set_confirmed(snapshot.confirmed);
        self.catch_up(snapshot.head)
            .await
            .map_err(|_| unavailable(ApplyObstacle::TableUnavailable))?;
        if let Some(version) = snapshot.applied {
            return Ok(CommitAttempt::Done(version));
        }
        let before = self.log.state();
        if before.version != snapshot.head {
            return Ok(CommitAttempt::Conflicted);
        }
        check_command(command, &before)?;
        self.check_majority(command, &before, &snapshot)?;
        self.commit_change(command, &before, &snapshot).await
    }

    async fn commit_change(
        &self,
        command: &ApplyCommand,
        before: &ConfigState,
        snapshot: &ConfigSnapshot,
    ) -> ApplyResult<CommitAttempt> {
        let changes = command.changes.iter().map(|(_, change)| change.clone()).collect();
        let version = before.version.next();
        let entry = ConfigEntry { version, operation: command.operation.clone(), changes };
        let mut after = before.clone();
        after.apply(&entry).expect("the entry follows the version that it was made for");
        match self.store.commit(snapshot, before, &after, &entry).await {
            Ok(CommitOutcome::Committed) => {
                self.append_entries(&[entry]);
                Ok(CommitAttempt::Done(version))
            }
            Ok(CommitOutcome::Conflict(_)) => Ok(CommitAttempt::Conflicted),
            Err(TableError::Unavailable) => Err(unavailable(ApplyObstacle::TableUnavailable)),
            Err(TableError::NoAnswer | TableError::Malformed) => Ok(CommitAttempt::Unknown),
        }
    }

    /// Refuses a change that too few members could accept, before it is written.
    fn check_majority(
        &self,
        command: &ApplyCommand,
        state: &ConfigState,
        snapshot: &ConfigSnapshot,
    ) -> ApplyResult<()> {
        let roster_changes = command.changes.iter().any(|(_, change)| change.changes_roster());
        if roster_changes && state.roster.version > snapshot.confirmed {
            return Err(unavailable(ApplyObstacle::RosterUnconfirmed));
        }
        let mut tally = self.reachable_tally();
        tally.dead.extend(self.gone_runs(&command.gone_nodes));
        if !tally.is_accepted(ConfigVersion::default(), &state.roster, snapshot.confirmed) {
            return Err(unavailable(ApplyObstacle::NoMajority));
        }
        Ok(())
    }
}

/// Checks the preconditions and changes of a command against the current configuration.
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
