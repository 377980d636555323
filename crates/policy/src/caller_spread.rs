//! Choice of the nodes that callers of one failure domain should use.

use std::net::SocketAddr;

use comfreyturn_types::{FailureDomain, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// A node that accepts callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerNode {
    /// The node.
    pub node: NodeId,

    /// The failure domain that it belongs to.
    pub failure_domain: FailureDomain,

    /// Where it accepts callers.
    pub address: SocketAddr,
}

/// Callers are kept in their failure domain only if it has this number of nodes, so that the crash
/// of a few of them doesn't concern most of its callers.
const LEAST_LOCAL_NODES: usize = 8;

/// The addresses that callers of a failure domain should use, at most `limit`.
///
/// Callers use all addresses of an answer evenly. They get the nodes of their own failure domain if
/// it has at least half of its even share of the nodes, and else the nodes of all domains. If there
/// are more nodes than `limit`, each domain gets its own stable choice of them, so that connections
/// last and no node is left out by all domains.
pub fn spread_callers(
    mut nodes: Vec<CallerNode>,
    failure_domain: Option<&FailureDomain>,
    limit: usize,
) -> Vec<SocketAddr> {
    let mut domains: Vec<&FailureDomain> = nodes.iter().map(|node| &node.failure_domain).collect();
    domains.sort();
    domains.dedup();
    let even_share = nodes.len() / domains.len().max(1);
    let is_local = |node: &CallerNode| Some(&node.failure_domain) == failure_domain;
    let local = nodes.iter().filter(|node| is_local(node)).count();
    if local >= LEAST_LOCAL_NODES && local * 2 >= even_share {
        nodes.retain(is_local);
    }
    let salt = failure_domain.map_or("", FailureDomain::as_str);
    nodes.sort_by_cached_key(|node| xxh3_64(format!("{salt}/{}", node.node).as_bytes()));
    nodes.truncate(limit);
    nodes.into_iter().map(|node| node.address).collect()
}
