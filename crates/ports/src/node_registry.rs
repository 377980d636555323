//! How nodes find each other, and the datagrams between them.

use std::net::SocketAddr;

use async_trait::async_trait;
use comfreyturn_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::TableResult;

/// Where a run of a node takes datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,

    /// Its run.
    pub incarnation: Incarnation,

    /// Where it takes datagrams.
    pub peer_address: SocketAddr,
}

/// The nodes of a deployment, kept by the platform.
#[async_trait(?Send)]
pub trait NodeRegistry {
    /// Enters this run of a node, in place of earlier ones.
    async fn announce(&self, entry: &NodeEntry) -> TableResult<()>;

    /// Removes a node.
    async fn withdraw(&self, node: &NodeId) -> TableResult<()>;

    /// All nodes that were ever entered and not removed.
    async fn list(&self) -> TableResult<Vec<NodeEntry>>;
}

/// Datagrams between nodes. Each may be lost, doubled or late.
#[async_trait(?Send)]
pub trait DatagramLink {
    /// Sends a datagram. Failures go unnoticed, as losses on the way do.
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>);

    /// Waits for the next datagram.
    async fn receive(&self) -> std::io::Result<Vec<u8>>;
}
