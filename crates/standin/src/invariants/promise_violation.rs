//! Violations of what the system promises.

use comfreyturn_types::{ConfigVersion, GroupGeneration, GroupId, NodeId, RequestId, VmId};

/// What the system promises.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum SystemPromise {
    /// No group serves unless all its VMs are present.
    WholeGroups,
    /// No VM belongs to two groups at once.
    SeparateGroups,
    /// Every caller receives the whole answer to its own request.
    WholeAnswers,
    /// A request that was answered as not run did not run.
    TrueNotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving backend server receives no new work.
    QuietLeaving,
    /// A graceful shutdown interrupts no request.
    GracefulShutdown,
    /// An accepted configuration is in force everywhere and never reverts.
    LastingConfig,
}

/// A violation of a promise. Times are milliseconds on the run's clock.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum PromiseViolation {
    /// A group ran a request although one of its members had been absent for too long.
    #[display("{group} generation {generation} served at {at_ms} ms without {vm}")]
    AbsentMember {
        /// The group.
        group: GroupId,
        /// Its generation.
        generation: GroupGeneration,
        /// The member.
        vm: VmId,
        /// When its absence exceeded the limit.
        at_ms: u64,
    },

    /// Two groups, or generations of one, ran requests at once with a VM in common.
    #[display("{vm} served in {first} and {second} at {at_ms} ms")]
    SharedVm {
        /// The VM.
        vm: VmId,
        /// The group that began first.
        first: GroupId,
        /// The other group.
        second: GroupId,
        /// A time at which both served.
        at_ms: u64,
    },

    /// A caller got an answer that is not the whole answer to its request.
    #[display("{request} got a wrong answer")]
    WrongAnswer {
        /// The request.
        request: RequestId,
    },

    /// A caller's answer broke off without an outcome word, although its node was not killed.
    #[display("{request} got an answer that broke off")]
    CutAnswer {
        /// The request.
        request: RequestId,
    },

    /// A caller got no answer at all, although its node was not killed.
    #[display("{request} got no answer")]
    MissingAnswer {
        /// The request.
        request: RequestId,
    },

    /// A request ran although its caller got the outcome "not run".
    #[display("{request} was answered as not run, but ran at {at_ms} ms")]
    FalseNotRun {
        /// The request.
        request: RequestId,
        /// When it ran.
        at_ms: u64,
    },

    /// A non-idempotent request ran more than once.
    #[display("{request} must run at most once, but ran {runs} times")]
    RepeatedRun {
        /// The request.
        request: RequestId,
        /// The number of runs.
        runs: usize,
    },

    /// A backend server got new work too long after it had begun to leave.
    #[display("{vm} got work {after_ms} ms after it began to leave")]
    WorkAfterLeaving {
        /// The VM.
        vm: VmId,
        /// Time since it began to leave.
        after_ms: u64,
    },

    /// A graceful shutdown interrupted a request.
    #[display("the shutdown of {node} interrupted {request}")]
    InterruptedCall {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
    },

    /// A node admitted requests under an old configuration too long after a newer one had been
    /// accepted.
    #[display(
        "{node} admitted under version {version} at {at_ms} ms, but version {accepted} was due"
    )]
    LateConfig {
        /// The node.
        node: NodeId,
        /// The version that it used.
        version: ConfigVersion,
        /// The newest version that should have been in force.
        accepted: ConfigVersion,
        /// When the node reported that version.
        at_ms: u64,
    },

    /// A running node reverted to an older configuration.
    #[display("{node} reverted from version {from} to {to}")]
    RevertedConfig {
        /// The node.
        node: NodeId,
        /// The version before.
        from: ConfigVersion,
        /// The version after.
        to: ConfigVersion,
    },
}

impl PromiseViolation {
    /// The promise that was broken.
    pub fn promise(&self) -> SystemPromise {
        match self {
            Self::AbsentMember { .. } => SystemPromise::WholeGroups,
            Self::SharedVm { .. } => SystemPromise::SeparateGroups,
            Self::WrongAnswer { .. } | Self::CutAnswer { .. } | Self::MissingAnswer { .. } => {
                SystemPromise::WholeAnswers
            }
            Self::FalseNotRun { .. } => SystemPromise::TrueNotRun,
            Self::RepeatedRun { .. } => SystemPromise::AtMostOnce,
            Self::WorkAfterLeaving { .. } => SystemPromise::QuietLeaving,
            Self::InterruptedCall { .. } => SystemPromise::GracefulShutdown,
            Self::LateConfig { .. } | Self::RevertedConfig { .. } => SystemPromise::LastingConfig,
        }
    }
}
