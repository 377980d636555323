//! Evacuated failure domains: how this node learns of them, and what it does not send there.

use std::collections::{BTreeSet, HashSet};

use comfreyturn_policy::{EvacuationChange, MAX_EVACUATED_DOMAINS};
use comfreyturn_ports::EvacuationReading;
use comfreyturn_proto::peer;
use comfreyturn_types::{FailureDomain, FleetServer, GroupId, NodeId, StoreVersion};

use crate::{
    beat_codec::{decode_version, encode_version},
    gateway_state::GatewayState,
};

/// The field `from` of log lines on what this node read itself.
const STORE: &str = "store";

impl GatewayState {
    /// Applies the evacuated domains that this node read from the store.
    pub(crate) fn apply_evacuation_reading(&self, reading: EvacuationReading) {
        let EvacuationReading { version, domains } = reading;
        if domains.len() > MAX_EVACUATED_DOMAINS {
            log::warn!(
                domains = domains.len(), limit = MAX_EVACUATED_DOMAINS;
                "evacuation: too many failure domains, the last ones by name are ignored."
            );
        }
        let change = self.evacuation.borrow_mut().apply_reading(version, domains);
        self.log_change(&change, version, STORE);
    }

    /// Applies the evacuated domains that another node knows; `None` if it never heard of any.
    pub(crate) fn apply_told_evacuation(
        &self,
        node: &NodeId,
        message: Option<&peer::EvacuatedDomains>,
    ) {
        let Some(message) = message else { return };
        let version = decode_version(message.version.as_ref());
        let names = message.domains.iter().filter(|name| !name.is_empty());
        let domains: BTreeSet<_> = names.map(|name| FailureDomain::from(name.as_str())).collect();
        let change = self.evacuation.borrow_mut().apply_told(version, domains);
        self.log_change(&change, version, node.as_str());
    }

    /// The evacuated domains for another node.
    pub(crate) fn encode_evacuation(&self) -> Option<peer::EvacuatedDomains> {
        let evacuation = self.evacuation.borrow();
        let (version, domains) = evacuation.told()?;
        Some(peer::EvacuatedDomains {
            version: Some(encode_version(version)),
            domains: domains.iter().map(ToString::to_string).collect(),
        })
    }

    fn log_change(&self, change: &EvacuationChange, version: StoreVersion, from: &str) {
        let servers = self.servers.borrow();
        let listed = servers.all().count();
        for domain in &change.begun {
            let count = servers.all().filter(|server| server.failure_domain == *domain).count();
            log::info!(
                domain:% = domain, version:% = version, from = from, servers = count;
                "evacuation: failure domain is evacuated."
            );
            if count == 0 && listed > 0 {
                log::warn!(
                    domain:% = domain;
                    "evacuation: unknown failure domain, no listed server is in it."
                );
            }
        }
        for domain in &change.ended {
            log::info!(
                domain:% = domain, version:% = version, from = from;
                "evacuation: failure domain is in use again."
            );
        }
    }

    /// Whether nothing new may be sent to a server because its failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, server: &FleetServer) -> bool {
        self.evacuation.borrow().contains(&server.failure_domain)
    }

    /// Groups with an unlisted member in an evacuated domain, with their epochs.
    pub(crate) fn groups_with_evacuated_unlisted(&self) -> HashSet<(GroupId, u64)> {
        if self.evacuation.borrow().is_empty() {
            return HashSet::new();
        }
        let unlisted = self.unlisted.borrow();
        let evacuated = unlisted.values().map(|(_, server)| server);
        let evacuated = evacuated.filter(|server| self.is_evacuated(server));
        let memberships = evacuated.filter_map(|server| server.membership.as_ref());
        memberships.map(|membership| (membership.group.clone(), membership.epoch)).collect()
    }

    /// Number of listed servers in evacuated domains.
    pub(crate) fn evacuated_servers(&self) -> usize {
        self.servers.borrow().all().filter(|server| self.is_evacuated(server)).count()
    }
}
