//! Questions and notices between nodes.

use std::time::Duration;

use async_trait::async_trait;
use comfreyturn_types::{
    CellName, ConfigEntry, ConfigVersion, CustomerName, Incarnation, NodeId, RosterMember, VmId,
    VmReport,
};
use serde::{Deserialize, Serialize};

use crate::Step;

/// Who sends a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Messages from another cell are dropped.
    pub cell: CellName,

    /// The node.
    pub node: NodeId,

    /// The run of the node.
    pub incarnation: Incarnation,
}

/// Where the asker stands in the watched state of the one it asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCursor {
    /// The last change that the asker holds. Zero asks for everything.
    pub sequence: u64,
}

/// A backend server's report, relayed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// The VM.
    pub vm: VmId,

    /// The report, or `None` if the last poll failed.
    pub report: Option<VmReport>,

    /// How long before this answer the poll that gave the report was sent.
    pub age: Duration,
}

/// What a watcher says of the VMs that it watches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchUpdate {
    /// The cursor to ask with next.
    pub cursor: WatchCursor,

    /// Reports that changed since the asker's cursor.
    pub changed: Vec<RelayedReport>,

    /// The VMs of all other reports that the asker holds from this watcher and that are still
    /// true: nothing but load changed.
    pub unchanged: UnchangedReports,
}

/// Freshness of reports that did not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UnchangedReports {
    /// The age of the oldest of them.
    pub age: Duration,

    /// VMs whose last poll is older than `age`, or failed; these are not refreshed.
    pub except: Vec<VmId>,
}

/// A question to a peer. Only the answer to one's own question is evidence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerQuestion {
    /// Which version do you know, and what do you watch?
    Heartbeat {
        /// The version that the asker knows.
        config: ConfigVersion,

        /// Where the asker stands in the peer's watched state.
        cursor: WatchCursor,
    },

    /// Apply these entries and say which version you then know.
    ConfigPush {
        /// Consecutive entries.
        entries: Vec<ConfigEntry>,
    },

    /// Which entries follow this version?
    ConfigFetch {
        /// The version that the asker knows.
        after: ConfigVersion,
    },

    /// Will you lend a part of your share of a customer's limit?
    ShareLoan {
        /// The customer.
        customer: CustomerName,

        /// Rises with each such question of the asker.
        number: u64,

        /// The fraction of the limit that the asker wants to hold from this peer in all.
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
        /// Consecutive entries; empty if the peer knows of none or keeps them no longer.
        entries: Vec<ConfigEntry>,
    },

    /// Answers [`PeerQuestion::ShareLoan`].
    ShareLoan {
        /// The customer.
        customer: CustomerName,

        /// The number of the question.
        number: u64,

        /// The fraction of the limit that is lent, in place of what was lent before.
        lent: f64,
    },
}

/// An answer with who gave it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerReply {
    /// Who answered.
    pub from: PeerIdentity,

    /// The sender's monotonic time since its start, to notice a frozen VM.
    pub uptime: Duration,

    /// The answer.
    pub answer: PeerAnswer,
}

/// News that only ever restricts what a receiver does. Not evidence that anything is well.
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

    /// A request was running at a backend server when that died.
    Suspect {
        /// Customer and body, hashed.
        fingerprint: u64,
        /// Names the death, so that one death counts once.
        death: u64,
    },

    /// A suspect request ran to its end.
    SuspectCleared {
        /// Customer and body, hashed.
        fingerprint: u64,
    },
}

/// What went wrong between peers.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum PeerError {
    /// The peer was not reached, or did not answer in time.
    #[display("peer not reached")]
    Unreachable,

    /// The peer is not the incarnation that the roster names.
    #[display("peer is another incarnation")]
    OtherIncarnation,

    /// The answer does not fit the question.
    #[display("malformed answer from peer")]
    Malformed,
}

/// Result of a question or notice.
pub type PeerResult<T, E = PeerError> = std::result::Result<T, E>;

/// The way to other nodes of the cell.
#[async_trait(?Send)]
pub trait PeerLink {
    /// Asks a peer. The reply is from the incarnation that `peer` names, or an error.
    async fn ask(
        &self,
        step: Step,
        peer: &RosterMember,
        question: PeerQuestion,
    ) -> PeerResult<PeerReply>;

    /// Tells a peer; whether it arrives stays open.
    async fn notify(&self, step: Step, peer: &RosterMember, notice: PeerNotice) -> PeerResult<()>;
}

/// What a node does with its peers' messages.
#[async_trait(?Send)]
pub trait PeerHandler {
    /// Answers a question.
    async fn answer(&self, from: &PeerIdentity, question: PeerQuestion) -> PeerAnswer;

    /// Takes in a notice.
    fn notice(&self, from: &PeerIdentity, notice: PeerNotice);
}
