//! The nodes of a cell, as the configuration log lists them.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{FailureDomain, Incarnation, NodeId, VmId};

/// One node on the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMember {
    /// The node.
    pub node: NodeId,

    /// The run that the log names. A later run counts for no majority until the log names it.
    pub incarnation: Incarnation,

    /// The VM that the node runs on, as the platform names it.
    pub vm: VmId,

    /// Where the node's failure domain is.
    pub failure_domain: FailureDomain,

    /// Where peers connect.
    pub peer_address: SocketAddr,

    /// Where callers connect.
    pub caller_address: SocketAddr,

    /// Where operators connect.
    pub operator_address: SocketAddr,
}

/// The members, by node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Roster {
    /// Invariant: each member stands under its own node's name.
    pub members: BTreeMap<NodeId, RosterMember>,
}

impl Roster {
    /// Whether the roster names this run of this node.
    pub fn names(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        self.members.get(node).is_some_and(|member| member.incarnation == incarnation)
    }
}
