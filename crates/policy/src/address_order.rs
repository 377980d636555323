//! The order in which nodes are tried for a customer's requests to a service.

use comfreyturn_types::{CustomerName, NodeId, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// Orders nodes by rendezvous hashing, the preferred one first.
///
/// The order is the same at all nodes with the same roster. Adding or removing a node moves only
/// the keys for which that node comes first.
pub fn rendezvous_order<'a>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a NodeId>,
) -> Vec<&'a NodeId> {
    let mut ranked: Vec<_> = nodes
        .into_iter()
        .map(|node| (xxh3_64(format!("{key}\u{0}{node}").as_bytes()), node))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// The key under which the nodes of a customer and service are ordered.
pub fn address_key(service: &ServiceName, customer: &CustomerName) -> String {
    format!("{service}\u{0}{customer}")
}

/// The nodes that a customer's limit is split over: the first `count` nodes of its rendezvous
/// order.
///
/// They are the same for all services, since a limit covers all of them.
pub fn customer_homes<'a>(
    customer: &CustomerName,
    nodes: impl IntoIterator<Item = &'a NodeId>,
    count: usize,
) -> Vec<&'a NodeId> {
    let mut homes = rendezvous_order(customer.as_str(), nodes);
    homes.truncate(count);
    homes
}

/// The order in which callers try nodes: the customer's homes first, then the others.
///
/// The order of the homes also depends on the service, so that requests of one service arrive at
/// one home and its prefixes and claims stay local.
pub fn address_order<'a>(
    service: &ServiceName,
    customer: &CustomerName,
    nodes: impl IntoIterator<Item = &'a NodeId>,
    homes: usize,
) -> Vec<&'a NodeId> {
    let mut nodes = rendezvous_order(customer.as_str(), nodes);
    let others = nodes.split_off(homes.min(nodes.len()));
    let key = address_key(service, customer);
    rendezvous_order(&key, nodes).into_iter().chain(others).collect()
}
