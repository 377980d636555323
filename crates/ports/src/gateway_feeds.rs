//! What the platform tells a gateway: the operators' configuration and the list of servers.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use comfreyturn_types::{FleetServer, GatewayConfig, VmId};

/// Why there is no news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum FeedError {
    /// The platform was not reached, or refused to answer.
    #[display("platform not reached")]
    Unreachable,

    /// The platform's answer makes no sense.
    #[display("malformed answer from the platform")]
    Malformed,
}

/// Result of waiting for news.
pub type FeedResult<T, E = FeedError> = std::result::Result<T, E>;

/// What was learned of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigReading {
    /// The newest configuration, if it is another one than before.
    pub config: Option<Rc<GatewayConfig>>,

    /// A moment at which the configuration was the newest one, for sure.
    pub proven_at: Instant,
}

/// The operators' configuration.
#[async_trait(?Send)]
pub trait ConfigFeed {
    /// Waits for news, for about `wait` at most.
    async fn next(&self, wait: Duration) -> FeedResult<ConfigReading>;
}

/// A change of the list of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The server is in the list, as described.
    Listed(Box<FleetServer>),

    /// The server is in the list no more, or its entry cannot be understood.
    Dropped(VmId),
}

/// What was learned of the list of servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerReading {
    /// The changes are the whole list, and replace everything known.
    pub is_whole: bool,

    /// The platform's version up to which changes are known. Rises from reading to reading, and
    /// means the same at all nodes.
    pub version: u64,

    /// The changes, in order.
    pub changes: Vec<ServerChange>,
}

/// The platform's list of servers.
#[async_trait(?Send)]
pub trait ServerFeed {
    /// Reads what has changed since the last call, or the whole list.
    async fn next(&self, whole: bool) -> FeedResult<ServerReading>;
}
