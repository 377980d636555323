//! Orders to servers that form groups, and questions whether they live.

use async_trait::async_trait;
use comfreyturn_types::{FencingNumber, FleetServer, GroupId, ModelName, VmId};

/// What became of an order that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderOutcome {
    /// It has begun, or holds already.
    Taken,

    /// It does not fit the server's state.
    Unfit,

    /// The server has seen a higher fencing number, or a higher epoch.
    Outdated,

    /// Another server has the address.
    WrongServer,
}

/// An order, or a question, got no answer that makes sense; an order may take effect later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no answer from the server")]
pub struct FleetError;

/// Result of an order or a question.
pub type FleetResult<T, E = FleetError> = std::result::Result<T, E>;

/// What a server is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FleetAction {
    /// Take a place in a group.
    Join {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
        /// The model.
        model: ModelName,
        /// All members, the head first.
        members: Vec<VmId>,
    },

    /// Start serving, as the head.
    Open {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },

    /// Finish what has begun and take nothing new, as the head.
    Close {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },

    /// Leave the group at once.
    Leave {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },

    /// Load weights onto the host.
    Stage {
        /// The model.
        model: ModelName,
    },
}

impl FleetAction {
    /// The group that the order is about, and its epoch.
    pub fn group(&self) -> Option<(&GroupId, u64)> {
        match self {
            Self::Join { group, epoch, .. }
            | Self::Open { group, epoch }
            | Self::Close { group, epoch }
            | Self::Leave { group, epoch } => Some((group, *epoch)),
            Self::Stage { .. } => None,
        }
    }
}

/// Orders to servers that form groups, and questions whether they live.
#[async_trait(?Send)]
pub trait FleetControl {
    /// Gives an order under a fencing number.
    async fn order(
        &self,
        server: &FleetServer,
        action: &FleetAction,
        fencing: FencingNumber,
    ) -> FleetResult<OrderOutcome>;

    /// Asks a server whether it lives.
    async fn probe(&self, server: &FleetServer) -> FleetResult<()>;
}
