//! Orders to servers that form groups, and liveness probes.

use std::time::Duration;

use async_trait::async_trait;
use comfreyturn_types::{FencingNumber, FleetServer, GroupId, GroupMembership, ModelName, VmId};

/// The outcome of an order that the server responded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderOutcome {
    /// The server has begun to carry out the order, or had already done so.
    Taken,

    /// The order can't be carried out in the server's current state.
    Unfit,

    /// The server has seen a higher fencing number, or a higher epoch.
    Outdated,

    /// Another server now has the address.
    WrongServer,
}

/// An order or a probe got no valid response; an order may still take effect later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no valid response from the server")]
pub struct FleetError;

/// Result of an order or a probe.
pub type FleetResult<T, E = FleetError> = std::result::Result<T, E>;

/// The action that an order requests.
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

    /// Start to serve requests, as the head.
    Open {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },

    /// Finish the requests in progress and accept no new ones, as the head.
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

    /// Load weights of a model onto the host.
    Stage {
        /// The model.
        model: ModelName,
    },
}

impl FleetAction {
    /// The group that the action concerns, with its epoch.
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

/// A server's place in a group, as the server itself tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ReportedPlace {
    /// It doesn't say.
    #[default]
    Unstated,

    /// It is in no group.
    Free,

    /// It is in this group.
    Member(GroupMembership),
}

/// A server's answer to a probe. It may be some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// For how long it still tolerates only a low rate of requests; `None` if it does not say.
    pub cold_left: Option<Duration>,

    /// Its place in a group.
    pub place: ReportedPlace,
}

/// Orders to servers that form groups, and liveness probes.
#[async_trait(?Send)]
pub trait FleetControl {
    /// Sends an order with a fencing number.
    async fn order(
        &self,
        server: &FleetServer,
        action: &FleetAction,
        fencing: FencingNumber,
    ) -> FleetResult<OrderOutcome>;

    /// Checks that a server responds, and returns what it reports of itself.
    async fn probe(&self, server: &FleetServer) -> FleetResult<ServerReport>;
}
