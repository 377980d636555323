//! Discovery of nodes, and the datagrams between them.

use std::net::SocketAddr;

use async_trait::async_trait;
use comfreyturn_types::{FailureDomain, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::TableResult;

/// One run of a node, as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,

    /// The run of the node.
    pub incarnation: Incarnation,

    /// The address at which it receives datagrams.
    pub peer_address: SocketAddr,

    /// The address at which it accepts callers.
    pub caller_address: SocketAddr,

    /// The failure domain that it belongs to.
    pub failure_domain: FailureDomain,

    /// Its share of processors, in thousandths of a core.
    pub capacity: u32,
}

/// The list of the nodes of a deployment, stored by the platform.
#[async_trait(?Send)]
pub trait NodeRegistry {
    /// Registers this run of a node, replacing earlier ones.
    async fn announce(&self, entry: &NodeEntry) -> TableResult<()>;

    /// Removes a node.
    async fn withdraw(&self, node: &NodeId) -> TableResult<()>;

    /// All nodes that were registered and not removed since.
    async fn list(&self) -> TableResult<Vec<NodeEntry>>;
}

/// Datagrams between nodes. Each may be lost, duplicated or delayed.
#[async_trait(?Send)]
pub trait DatagramLink {
    /// Sends a datagram. Errors are not returned: a sender must expect lost datagrams anyway.
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>);

    /// Waits for the next datagram.
    async fn receive(&self) -> std::io::Result<Vec<u8>>;
}
