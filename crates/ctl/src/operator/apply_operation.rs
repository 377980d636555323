//! Submits changes until there is a result.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyturn_proto::{
    ChangeRequest, ConvertResult,
    operator::{Accepted, ApplyRequest, apply_reply::Result as ApplyOutcome},
};
use compio::time::sleep;

use crate::{CtlError, Result, operator::OperatorSession};

/// Timeout for a result. Afterwards the operator may submit the same operation again.
const RESULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause before an operation without an answer is submitted again, and lower limit on the pause that
/// a node requests.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Upper limit on the pause that a node requests.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Changes that are submitted as one operation.
pub(crate) struct ApplyOperation {
    /// Identifies the operation. Submitting it again under the same ID has no further effect.
    pub(crate) operation_id: String,

    /// The version that the changes are based on; zero means any.
    pub(crate) expected_version: u64,

    /// The changes.
    pub(crate) changes: Vec<ChangeRequest>,
}

impl ApplyOperation {
    /// Creates an operation with a random ID.
    pub(crate) fn new(changes: Vec<ChangeRequest>) -> Self {
        let operation_id = format!("{:016x}", rand::random::<u64>());
        Self { operation_id, expected_version: 0, changes }
    }

    fn request(&self) -> Result<ApplyRequest> {
        let changes: ConvertResult<Vec<_>> = self.changes.iter().map(TryInto::try_into).collect();
        let changes = changes.map_err(|error| CtlError::Refused {
            subject: error.subject,
            reason: error.fault.to_string(),
        })?;
        Ok(ApplyRequest {
            operation_id: self.operation_id.clone(),
            expected_version: self.expected_version,
            changes,
        })
    }
}

/// Submits an operation, and resubmits it under the same ID while its result is unknown.
///
/// # Errors
///
/// [`CtlError::Pending`] if there is no result in time: the changes may or may not be in force.
pub(crate) async fn submit(address: SocketAddr, operation: &ApplyOperation) -> Result<Accepted> {
    let request = operation.request()?;
    let mut session = OperatorSession::connect(address).await?;
    let deadline = Instant::now() + RESULT_TIMEOUT;
    loop {
        let pause = match session.apply(request.clone()).await {
            Ok(ApplyOutcome::Accepted(accepted)) => return Ok(accepted),
            Ok(ApplyOutcome::Pending(pending)) => Duration::from_millis(pending.retry_after_ms),
            Ok(refusal) => return Err(refused(refusal)),
            Err(error) => {
                log::warn!("ctl: {error}, retrying.");
                RETRY_PAUSE
            }
        };
        let pause = pause.clamp(RETRY_PAUSE, MAX_PAUSE);
        if Instant::now() + pause >= deadline {
            return Err(CtlError::Pending { operation_id: operation.operation_id.clone() });
        }
        sleep(pause).await;
        if let Ok(fresh) = OperatorSession::connect(address).await {
            session = fresh;
        }
    }
}

fn refused(outcome: ApplyOutcome) -> CtlError {
    match outcome {
        ApplyOutcome::Conflict(conflict) => {
            CtlError::Conflict { current: conflict.current_version, subject: conflict.subject }
        }
        ApplyOutcome::Invalid(invalid) => {
            CtlError::Refused { subject: invalid.subject, reason: invalid.reason }
        }
        ApplyOutcome::Unavailable(unavailable) => CtlError::Unavailable {
            reason: unavailable.reason,
            retry_after_ms: unavailable.retry_after_ms,
        },
        ApplyOutcome::Pending(pending) => CtlError::Pending { operation_id: pending.operation_id },
        ApplyOutcome::Accepted(accepted) => {
            CtlError::Pending { operation_id: accepted.operation_id }
        }
    }
}
