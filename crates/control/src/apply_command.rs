//! Commands that change the configuration, and their errors.

use std::{collections::BTreeSet, time::Duration};

use comfreyturn_policy::ConfigFault;
use comfreyturn_types::{ConfigChange, ConfigVersion, NodeId, OperationId};

/// What must be true of the entity that is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ChangePrecondition {
    /// Nothing.
    #[default]
    Any,
    /// The entity does not exist.
    Absent,
    /// The entity exists.
    Present,
}

/// Changes that are applied atomically.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyCommand {
    /// Identifies the operation. A repeated command with the same id returns the result of the
    /// change that was applied.
    pub operation: OperationId,

    /// The version that the changes are based on; `None` means any.
    pub expected: Option<ConfigVersion>,

    /// The changes, in order.
    pub changes: Vec<(ChangePrecondition, ConfigChange)>,

    /// Nodes that an operator has confirmed to be permanently gone. Acceptance does not wait for
    /// them.
    pub gone_nodes: BTreeSet<NodeId>,
}

/// Why a change cannot be applied now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ApplyObstacle {
    /// The table service is unavailable.
    #[display("the table service is unavailable")]
    TableUnavailable,
    /// The node has not loaded the configuration yet.
    #[display("the configuration is not loaded")]
    NotLoaded,
    /// Too few members of the roster answer. An operator must confirm members that are permanently
    /// gone.
    #[display("no majority of the roster answers")]
    NoMajority,
    /// An earlier roster change is not yet known to majorities of both the previous and the current
    /// roster.
    #[display("an earlier roster change is not confirmed")]
    RosterUnconfirmed,
    /// Other changes were committed first in every attempt.
    #[display("too many changes at once")]
    Contended,
}

/// Why a change failed or is not known to be accepted.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ApplyError {
    /// Not applied: the configuration does not meet what the change expects of it.
    #[display("conflict at version {current}: {subject}")]
    Conflict {
        /// The newest version.
        current: ConfigVersion,
        /// What differs.
        subject: String,
    },

    /// Not applied: the change is not allowed.
    #[display("{subject}: {reason}")]
    Invalid {
        /// What the change is about.
        subject: String,
        /// Why it is not allowed.
        reason: ConfigFault,
    },

    /// Not applied; can be retried later.
    #[display("not applied: {reason}")]
    Unavailable {
        /// Why.
        reason: ApplyObstacle,
        /// When to retry.
        retry_after: Duration,
    },

    /// Written, or possibly written, but not yet known to a majority. Repeating the same operation
    /// returns the result.
    #[display("operation {operation} is pending")]
    Pending {
        /// The version, or zero if it is not known whether the change was written.
        version: ConfigVersion,
        /// The operation.
        operation: OperationId,
        /// When to repeat the operation.
        retry_after: Duration,
    },
}

/// Result of applying changes.
pub type ApplyResult<T, E = ApplyError> = std::result::Result<T, E>;
