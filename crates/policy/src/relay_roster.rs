//! Choice of the nodes that relay what all nodes know.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use comfreyturn_types::{FailureDomain, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// A live node that could be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The node.
    pub node: NodeId,

    /// The failure domain that it belongs to.
    pub failure_domain: FailureDomain,

    /// Its share of processors, in thousandths of a core.
    pub capacity: u32,
}

/// Settings of a [`RelayRoster`].
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    /// Up to this number of nodes, all of them are relays.
    pub direct_limit: usize,

    /// Least number of relays of a failure domain, if it has that many nodes.
    pub least_per_domain: usize,

    /// Nodes of a failure domain for each relay beyond the least number.
    pub nodes_per_relay: usize,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self { direct_limit: 16, least_per_domain: 3, nodes_per_relay: 64 }
    }
}

/// The relays of a fleet.
///
/// All nodes exchanging datagrams with each other would cost each of them time in proportion to
/// the number of nodes. Instead, relays exchange with each other what their members report, and
/// each other node is the member of one relay. All nodes that know the same live nodes choose the
/// same relays; nodes with different knowledge still reach each other, since every node answers
/// its members, whether it is a relay or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayRoster {
    /// By rank: the first relay of each failure domain, then the second ones, and so on; among
    /// these by capacity.
    relays: Vec<RelayCandidate>,

    /// The place of each other node among those of its failure domain.
    places: HashMap<NodeId, usize>,
}

impl RelayRoster {
    /// Chooses the relays: in each failure domain the nodes with the most processors.
    pub fn new(candidates: Vec<RelayCandidate>, settings: RelaySettings) -> Self {
        let all_relay = candidates.len() <= settings.direct_limit;
        let mut domains: BTreeMap<FailureDomain, Vec<RelayCandidate>> = BTreeMap::new();
        for candidate in candidates {
            domains.entry(candidate.failure_domain.clone()).or_default().push(candidate);
        }
        let mut ranked: Vec<(usize, RelayCandidate)> = Vec::new();
        let mut places = HashMap::new();
        for (_, mut nodes) in domains {
            nodes.sort_by_cached_key(|node| (Reverse(node.capacity), name_hash(&node.node)));
            let count = settings.least_per_domain + nodes.len() / settings.nodes_per_relay.max(1);
            if !all_relay && count < nodes.len() {
                let members = nodes.split_off(count).into_iter().map(|member| member.node);
                places.extend(members.enumerate().map(|(place, node)| (node, place)));
            }
            ranked.extend(nodes.into_iter().enumerate());
        }
        ranked.sort_by_cached_key(|(place, node)| {
            (*place, Reverse(node.capacity), name_hash(&node.node))
        });
        Self { relays: ranked.into_iter().map(|(_, node)| node).collect(), places }
    }

    /// The relays in the order of their rank.
    pub fn relays(&self) -> impl Iterator<Item = &NodeId> {
        self.relays.iter().map(|relay| &relay.node)
    }

    /// The rank of a node; `None` if it is no relay.
    pub fn rank(&self, node: &NodeId) -> Option<usize> {
        self.relays.iter().position(|relay| relay.node == *node)
    }

    /// The relays in the order in which a node should try them: those of its failure domain, then
    /// the others. Members of a domain begin with different relays, so that each relay has about
    /// the same number.
    pub fn preference(&self, node: &NodeId, failure_domain: &FailureDomain) -> Vec<NodeId> {
        let others = self.relays.iter().filter(|relay| relay.node != *node);
        let (mut local, mut distant): (Vec<_>, Vec<_>) =
            others.partition(|relay| relay.failure_domain == *failure_domain);
        if !local.is_empty() {
            let place = self.places.get(node).copied().unwrap_or_default();
            let first = place % local.len();
            local.rotate_left(first);
        }
        distant.sort_by_cached_key(|relay| xxh3_64(format!("{node}/{}", relay.node).as_bytes()));
        local.into_iter().chain(distant).map(|relay| relay.node.clone()).collect()
    }
}

fn name_hash(node: &NodeId) -> u64 {
    xxh3_64(node.as_str().as_bytes())
}
