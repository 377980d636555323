//! Changes of the configuration as callers ask for them.

use std::{collections::BTreeSet, time::Duration};

use comfreyturn_policy::ConfigFault;
use comfreyturn_types::{ConfigChange, ConfigVersion, NodeId, OperationId};

/// What must be true of the thing that is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ChangePrecondition {
    /// Nothing.
    #[default]
    Any,
    /// It does not exist.
    Absent,
    /// It exists.
    Present,
}

/// Changes that are applied together, or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyCommand {
    /// Names the operation. The same name again gives the result of the change that took effect.
    pub operation: OperationId,

    /// The version that the changes were decided on; `None` means any.
    pub expected: Option<ConfigVersion>,

    /// The changes, in order.
    pub changes: Vec<(ChangePrecondition, ConfigChange)>,

    /// Nodes that are gone for good on an operator's word; nobody waits for them.
    pub gone_nodes: BTreeSet<NodeId>,
}

/// Why a change cannot be applied now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ApplyObstacle {
    /// The table service does not work.
    #[display("the table service is unavailable")]
    TableUnavailable,
    /// The node does not know the configuration yet.
    #[display("the configuration is not loaded")]
    NotLoaded,
    /// Too few members of the roster answer; a member that is gone for good must be confirmed.
    #[display("no majority of the roster answers")]
    NoMajority,
    /// An earlier change of the roster is not known to its majorities yet.
    #[display("an earlier roster change is not confirmed")]
    RosterUnconfirmed,
    /// Other changes came first, again and again.
    #[display("too many changes at once")]
    Contended,
}

/// Why a change has no good result.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ApplyError {
    /// Not applied: the configuration is not what the change was decided on.
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

    /// Not applied; come back later.
    #[display("not applied: {reason}")]
    Unavailable {
        /// Why.
        reason: ApplyObstacle,
        /// When to come back.
        retry_after: Duration,
    },

    /// Written, or perhaps written, but not known to a majority yet. The same operation again
    /// tells the result.
    #[display("operation {operation} is pending")]
    Pending {
        /// The version, or zero if it is not known whether the change was written.
        version: ConfigVersion,
        /// The operation.
        operation: OperationId,
        /// When to ask again.
        retry_after: Duration,
    },
}

/// Result of applying changes.
pub type ApplyResult<T, E = ApplyError> = std::result::Result<T, E>;
