//! Assignment of watchers to backend servers.

use comfreyturn_types::{NodeId, Roster, RosterMember, VmId};

use crate::rendezvous_order;

/// How many nodes watch each backend server.
pub const WATCHERS_PER_VM: usize = 2;

/// Chooses the watchers of a backend server by rendezvous hashing over the roster, in different
/// failure domains if the roster has enough of them.
pub fn watchers_of<'a>(vm: &VmId, roster: &'a Roster) -> Vec<&'a NodeId> {
    let order: Vec<&RosterMember> = rendezvous_order(vm.as_str(), roster.members.keys())
        .into_iter()
        .filter_map(|node| roster.members.get(node))
        .collect();
    let mut watchers: Vec<&RosterMember> = Vec::with_capacity(WATCHERS_PER_VM);
    for member in &order {
        let domain_taken = watchers.iter().any(|w| w.failure_domain == member.failure_domain);
        if watchers.len() < WATCHERS_PER_VM && !domain_taken {
            watchers.push(member);
        }
    }
    for member in &order {
        let chosen = watchers.iter().any(|w| w.node == member.node);
        if watchers.len() < WATCHERS_PER_VM && !chosen {
            watchers.push(member);
        }
    }
    watchers.into_iter().map(|member| &member.node).collect()
}
