//! Errors of commands.

use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode};

use comfreyturn_node::NodeError;
use comfreyturn_standin::{LoadError, StandinError};

use crate::{IntentError, UsageError};

/// Result of a command.
pub type Result<T, E = CtlError> = std::result::Result<T, E>;

const EXIT_REFUSED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_UNAVAILABLE: u8 = 3;

/// An error that ends a command.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CtlError {
    /// The command line is invalid.
    #[display("{_0}")]
    Usage(UsageError),

    /// The intent file of `apply` is invalid.
    #[display("{_0}")]
    Intent(IntentError),

    /// A file that the command reads or writes is not accessible.
    #[display("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },

    /// Not applied: the change is not allowed.
    #[display("refused: {subject}: {reason}")]
    Refused {
        /// What the change is about.
        subject: String,
        /// Why it is not allowed.
        reason: String,
    },

    /// Not applied: the configuration differs from the one that the change is based on.
    #[display("conflict at version {current}: {subject}")]
    Conflict {
        /// The newest version.
        current: u64,
        /// What differs.
        subject: String,
    },

    /// The item does not exist.
    #[display("{subject} does not exist")]
    NotFound {
        /// The item.
        subject: String,
    },

    /// Not applied; may be retried later.
    #[display("unavailable, come back in {retry_after_ms} ms: {reason}")]
    Unavailable {
        /// Why.
        reason: String,
        /// Time until a retry makes sense, in milliseconds.
        retry_after_ms: u64,
    },

    /// Possibly applied; not yet confirmed by a majority of nodes.
    #[display("operation {operation_id} is pending; repeat it with --operation-id {operation_id}")]
    Pending {
        /// The operation.
        operation_id: String,
    },

    /// No connection to the node.
    #[display("no connection to {address}")]
    Unreachable {
        /// Its address.
        address: SocketAddr,
    },

    /// The node did not answer, or answered with an error.
    #[display("no answer from {address}: {status}")]
    NoAnswer {
        /// Its address.
        address: SocketAddr,
        /// Why the call failed.
        status: CallFailure,
    },

    /// A version was not in force everywhere in time.
    #[display("version {version} is not in force everywhere yet")]
    NotInForce {
        /// The version.
        version: u64,
    },

    /// The settings of a load are invalid.
    #[display("{_0}")]
    Load(LoadError),

    /// A stand-in could not run.
    #[display("{_0}")]
    Standin(StandinError),

    /// A request crashed a stand-in, as its settings say.
    #[display("the stand-in crashed")]
    StandinCrashed,

    /// A node of the lab could not run.
    #[display("{_0}")]
    Node(NodeError),

    /// A system call failed.
    #[display("{_0}")]
    System(io::Error),

    /// A part of the lab panicked.
    #[display("a part of the lab panicked")]
    LabPanicked,

    /// Too few loopback ports are free for a lab.
    #[display("too few free ports for a lab")]
    NoFreePorts,

    /// The lab's services did not start serving in time.
    #[display("the lab does not serve yet")]
    LabNotReady,
}

/// Why a call got no answer.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CallFailure {
    /// The call timed out.
    #[display("timeout")]
    Timeout,

    /// The call ended with a gRPC error.
    #[display("{code}: {message}")]
    Status {
        /// The code.
        code: tonic::Code,
        /// Its message.
        message: String,
    },

    /// The answer has no result.
    #[display("empty answer")]
    Empty,
}

impl CtlError {
    /// The exit code: 1 refused or conflict, 2 usage or bad settings, 3 unavailable.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused { .. } | Self::Conflict { .. } | Self::NotFound { .. } => EXIT_REFUSED,
            Self::Usage(_) | Self::Intent(_) | Self::Unreadable { .. } | Self::Load(_) => {
                EXIT_USAGE
            }
            Self::Unavailable { .. }
            | Self::Pending { .. }
            | Self::Unreachable { .. }
            | Self::NoAnswer { .. }
            | Self::NotInForce { .. }
            | Self::Standin(_)
            | Self::StandinCrashed
            | Self::Node(_)
            | Self::System(_)
            | Self::LabPanicked
            | Self::NoFreePorts
            | Self::LabNotReady => EXIT_UNAVAILABLE,
        })
    }
}

impl From<UsageError> for CtlError {
    fn from(error: UsageError) -> Self {
        Self::Usage(error)
    }
}

impl From<IntentError> for CtlError {
    fn from(error: IntentError) -> Self {
        Self::Intent(error)
    }
}

impl From<StandinError> for CtlError {
    fn from(error: StandinError) -> Self {
        Self::Standin(error)
    }
}

impl From<io::Error> for CtlError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}
