//! The nodes of a cell, as the configuration log lists them.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{FailureDomain, Incarnation, NodeId, VmId};

/// One node on the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMember {
    /// The node.
    pub node: NodeId,

    /// The incarnation in the log. A later one does not count for a majority until the log lists
    /// it.
    pub incarnation: Incarnation,

    /// The VM that the node runs on, as the platform names it.
    pub vm: VmId,

    /// The node's failure domain.
    pub failure_domain: FailureDomain,

    /// Address for peers.
    pub peer_address: SocketAddr,

    /// Address for callers.
    pub caller_address: SocketAddr,

    /// Address for operators.
    pub operator_address: SocketAddr,
}

/// The members, by node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Roster {
    /// Invariant: each key is the `node` of its member.
    pub members: BTreeMap<NodeId, RosterMember>,
}

impl Roster {
    /// Whether this incarnation of the node is on the roster.
    pub fn contains(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        self.members.get(node).is_some_and(|member| member.incarnation == incarnation)
    }
}
