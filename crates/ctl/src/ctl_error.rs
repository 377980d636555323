//! What ends a command without success.

use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode};

use comfreyturn_node::NodeError;
use comfreyturn_standin::{LoadError, StandinError};

use crate::{IntentError, UsageError};

/// Result of a command.
pub type Result<T, E = CtlError> = std::result::Result<T, E>;

const EXIT_REFUSED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_UNAVAILABLE: u8 = 3;

/// What ends a command without success.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CtlError {
    /// The command line makes no sense.
    #[display("{_0}")]
    Usage(UsageError),

    /// The file that `apply` was given makes no sense.
    #[display("{_0}")]
    Intent(IntentError),

    /// The file that `apply` was given cannot be read.
    #[display("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the operating system said.
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

    /// Not applied: the configuration is not what the change was decided on.
    #[display("conflict at version {current}: {subject}")]
    Conflict {
        /// The newest version.
        current: u64,
        /// What differs.
        subject: String,
    },

    /// There is no such thing.
    #[display("{subject} does not exist")]
    NotFound {
        /// What was asked for.
        subject: String,
    },

    /// Not applied; come back later.
    #[display("unavailable, come back in {retry_after_ms} ms: {reason}")]
    Unavailable {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after_ms: u64,
    },

    /// Perhaps applied, not known to a majority yet.
    #[display("operation {operation_id} is pending; repeat it with --operation-id {operation_id}")]
    Pending {
        /// The operation.
        operation_id: String,
    },

    /// The node was not reached.
    #[display("no connection to {address}")]
    Unreachable {
        /// Its address.
        address: SocketAddr,
    },

    /// The node did not answer, or with an error.
    #[display("no answer from {address}: {status}")]
    NoAnswer {
        /// Its address.
        address: SocketAddr,
        /// What the transport says.
        status: CallFailure,
    },

    /// A version was not in force everywhere in time.
    #[display("version {version} is not in force everywhere yet")]
    NotInForce {
        /// The version.
        version: u64,
    },

    /// A load makes no sense.
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

    /// The operating system refused what the command needs.
    #[display("{_0}")]
    System(io::Error),

    /// A part of the lab panicked.
    #[display("a part of the lab panicked")]
    LabPanicked,

    /// Too few ports of loopback are free for a lab.
    #[display("too few free ports for a lab")]
    NoFreePorts,

    /// The lab's services did not serve in time.
    #[display("the lab does not serve yet")]
    LabNotReady,
}

/// Why a call got no answer.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CallFailure {
    /// The time was over.
    #[display("timeout")]
    Timeout,

    /// The call ended with an error of gRPC.
    #[display("{code}: {message}")]
    Status {
        /// The code.
        code: tonic::Code,
        /// Its message.
        message: String,
    },

    /// The answer holds nothing.
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
