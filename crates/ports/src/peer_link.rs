//! Questions (requests) and notices between nodes.

use std::time::Duration;

use async_trait::async_trait;
use comfreyturn_types::{
    CellName, ConfigEntry, ConfigVersion, CustomerName, Incarnation, NodeId, RosterMember, VmId,
    VmReport,
};
use serde::{Deserialize, Serialize};

use crate::Step;

/// The sender of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The cell; messages from another cell are dropped.
    pub cell: CellName,

    /// The node.
    pub node: NodeId,

    /// The run of the node.
    pub incarnation: Incarnation,
}

/// The position up to which the asker knows the watched state of a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCursor {
    /// The last change that the asker has received. Zero requests the full state.
    pub sequence: u64,
}

/// A backend server's report, relayed by its watcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// The VM.
    pub vm: VmId,

    /// The report, or `None` if the last poll failed or the VM is no longer watched.
    pub report: Option<VmReport>,

    /// Time between sending the poll that returned the report and this answer.
    pub age: Duration,
}

/// Changes in the state of the VMs that a watcher watches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchUpdate {
    /// The cursor for the next question.
    pub cursor: WatchCursor,

    /// Reports that changed since the asker's cursor.
    pub changed: Vec<RelayedReport>,

    /// Refreshes the other reports that the asker has from this watcher. They have not changed,
    /// apart from load changes too small to relay.
    pub unchanged: UnchangedReports,
}

/// Freshness of reports that did not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UnchangedReports {
    /// The age of the oldest of these reports.
    pub age: Duration,

    /// VMs whose last poll is older than `age`, or failed; these are not refreshed.
    pub except: Vec<VmId>,
}

/// A question to a peer. A node accepts only answers to its own questions as evidence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerQuestion {
    /// Requests the version that the peer knows and the changes in what it watches.
    Heartbeat {
        /// The version that the asker knows.
        config: ConfigVersion,

        /// The position up to which the asker knows the peer's watched state.
        cursor: WatchCursor,
    },

    /// Requests that the peer apply these entries and return the version that it then knows.
    ConfigPush {
        /// Consecutive entries.
        entries: Vec<ConfigEntry>,
    },

    /// Requests the entries that follow a version.
    ConfigFetch {
        /// The version that the asker knows.
        after: ConfigVersion,
    },

    /// Requests a loan of a part of the peer's share of a customer's limit.
    ShareLoan {
        /// The customer.
        customer: CustomerName,

        /// Increases with each loan question of the asker.
        number: u64,

        /// The total fraction of the limit that the asker wants to borrow from this peer.
        wanted: f64,
    },
}

/// An answer to a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerAnswer {
    /// Answers [`PeerQuestion::Heartbeat`].
    Heartbeat {
        /// The version that the peer knows.
        config: ConfigVersion,

        /// Whether the peer is leaving.
        leaving: bool,

        /// Requests in progress at the peer.
        in_flight: u32,

        /// What the peer watches.
        watch: WatchUpdate,
    },

    /// Answers [`PeerQuestion::ConfigPush`]: the version that the peer now knows.
    ConfigKnown {
        /// The version.
        config: ConfigVersion,
    },

    /// Answers [`PeerQuestion::ConfigFetch`].
    ConfigEntries {
        /// Consecutive entries; empty if the peer knows none or no longer stores them.
        entries: Vec<ConfigEntry>,
    },

    /// Answers [`PeerQuestion::ShareLoan`].
    ShareLoan {
        /// The customer.
        customer: CustomerName,

        /// The number of the question.
        number: u64,

        /// The total fraction of the limit that is lent; replaces the earlier loan.
        lent: f64,
    },
}

/// An answer with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerReply {
    /// The sender of the answer.
    pub from: PeerIdentity,

    /// Time since the sender's process started, by its monotonic clock; used to detect a paused VM.
    pub uptime: Duration,

    /// The answer.
    pub answer: PeerAnswer,
}

/// A notice only restricts what the receiver does. It is no evidence that a server or node is
/// healthy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerNotice {
    /// A backend server is leaving.
    VmLeaving {
        /// The VM.
        vm: VmId,
        /// The run that is leaving.
        incarnation: Incarnation,
    },

    /// A backend server was lost, or no longer holds its place in its group.
    VmLost {
        /// The VM.
        vm: VmId,
    },

    /// The sender is leaving.
    NodeLeaving,

    /// A request was running at a backend server when the server crashed.
    Suspect {
        /// Hash of customer and body.
        fingerprint: u64,
        /// Identifies the crash, so that each crash counts once.
        death: u64,
    },

    /// A suspect request completed.
    SuspectCleared {
        /// Hash of customer and body.
        fingerprint: u64,
    },
}

/// Error of a question or notice.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum PeerError {
    /// The peer was not reached, or did not answer within the timeout.
    #[display("peer not reached")]
    Unreachable,

    /// The peer is not the incarnation that the roster names.
    #[display("peer is another incarnation")]
    OtherIncarnation,

    /// The answer does not match the question.
    #[display("malformed answer from peer")]
    Malformed,
}

/// Result of a question or notice.
pub type PeerResult<T, E = PeerError> = std::result::Result<T, E>;

/// Sends messages to other nodes of the cell.
#[async_trait(?Send)]
pub trait PeerLink {
    /// Sends a question and awaits the reply. Fails unless the reply is from the incarnation that
    /// `peer` names.
    async fn ask(
        &self,
        step: Step,
        peer: &RosterMember,
        question: PeerQuestion,
    ) -> PeerResult<PeerReply>;

    /// Sends a notice. Success does not mean that the peer received it.
    async fn notify(&self, step: Step, peer: &RosterMember, notice: PeerNotice) -> PeerResult<()>;
}

/// Handles the messages of a node's peers.
#[async_trait(?Send)]
pub trait PeerHandler {
    /// Answers a question.
    async fn answer(&self, from: &PeerIdentity, question: PeerQuestion) -> PeerAnswer;

    /// Handles a notice.
    fn notice(&self, from: &PeerIdentity, notice: PeerNotice);
}
