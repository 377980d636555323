//! The platform's feeds to a gateway: the operators' configuration and the list of servers.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use comfreyturn_types::{FailureDomain, FleetServer, GatewayConfig, StoreVersion, VmId};

/// Error of reading a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum FeedError {
    /// The platform was not reached, or refused the request.
    #[display("platform not reached")]
    Unreachable,

    /// The platform's response is malformed.
    #[display("malformed response from the platform")]
    Malformed,
}

/// Result of reading a feed.
pub type FeedResult<T, E = FeedError> = std::result::Result<T, E>;

/// One reading of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigReading {
    /// The newest configuration, if it differs from the previous reading.
    pub config: Option<Rc<GatewayConfig>>,

    /// A time at which the configuration was proven to be the newest one; `None` if the reading
    /// proves nothing.
    pub proven_at: Option<Instant>,
}

/// The evacuated failure domains, as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationReading {
    /// The store's version up to which changes are included.
    pub version: StoreVersion,

    /// The domains whose servers get nothing new.
    pub domains: BTreeSet<FailureDomain>,
}

/// The operators' configuration.
#[async_trait(?Send)]
pub trait ConfigFeed {
    /// Waits for the next reading, at most about `wait`.
    async fn next(&self, wait: Duration) -> FeedResult<ConfigReading>;

    /// The evacuated failure domains as last read; `None` before the first reading. They are known
    /// also if the configuration of the same reading is malformed.
    fn evacuation(&self) -> Option<EvacuationReading>;
}

/// A change of the list of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The server is in the list, with this description.
    Listed(Box<FleetServer>),

    /// The server is no longer in the list, or its entry cannot be decoded.
    Dropped(VmId),
}

/// One reading of the list of servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerReading {
    /// Whether the changes are the complete list, which replaces the previous one.
    pub is_whole: bool,

    /// The platform's version up to which the changes are included. Increases from reading to
    /// reading, and is comparable between nodes.
    pub version: StoreVersion,

    /// The changes, in order.
    pub changes: Vec<ServerChange>,
}

/// The platform's list of servers.
#[async_trait(?Send)]
pub trait ServerFeed {
    /// Reads the changes since the last call, or the complete list if `whole` is set.
    async fn next(&self, whole: bool) -> FeedResult<ServerReading>;
}
