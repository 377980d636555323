//! Evacuated failure domains: how this node learns of them, and what it does not send there.

use std::{
    collections::{BTreeSet, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{EvacuationChange, MAX_EVACUATED_DOMAINS, ToldEvacuation};
use comfreyturn_ports::EvacuationReading;
use comfreyturn_proto::peer;
use comfreyturn_types::{FailureDomain, FleetServer, GroupId, NodeId, StoreVersion};

use crate::{
    beat_codec::{decode_version, encode_version},
    gateway_state::GatewayState,
    node_snapshot::whole_ms,
};

/// The field `from` of log lines on what this node read itself.
const STORE: &str = "store";

/// The field `from` of log lines on evacuations that were kept long enough.
const TIME: &str = "time";

impl GatewayState {
    /// Applies the evacuated domains that this node read from the store.
    pub(crate) fn apply_evacuation_reading(&self, now: Instant, reading: EvacuationReading) {
        let EvacuationReading { version, domains } = reading;
        if domains.len() > MAX_EVACUATED_DOMAINS {
            log::warn!(
                domains = domains.len(), limit = MAX_EVACUATED_DOMAINS;
                "evacuation: too many failure domains, the last ones by name are ignored."
            );
        }
        let change = self.evacuation.borrow_mut().apply_reading(now, version, domains);
        self.log_change(&change, version, STORE);
    }

    /// Applies the evacuated domains that another node knows; `None` if it never heard of any.
    pub(crate) fn apply_told_evacuation(
        &self,
        now: Instant,
        node: &NodeId,
        message: Option<&peer::EvacuatedDomains>,
    ) {
        let Some(message) = message else { return };
        let version = decode_version(message.version.as_ref());
        let told = ToldEvacuation {
            version,
            domains: decode_domains(&message.domains),
            kept: decode_domains(&message.kept_domains),
            kept_for: Duration::from_millis(message.kept_ms),
        };
        let change = self.evacuation.borrow_mut().apply_told(now, told);
        self.log_change(&change, version, node.as_str());
    }

    /// Ends evacuations that a restored store lacked and that operators didn't write again.
    pub(crate) fn end_kept_evacuations(&self, now: Instant) {
        let change = self.evacuation.borrow_mut().end_kept(now);
        self.log_change(&change, self.list_version(), TIME);
    }

    /// The evacuated domains for another node.
    pub(crate) fn encode_evacuation(&self, now: Instant) -> Option<peer::EvacuatedDomains> {
        let told = self.evacuation.borrow().told(now)?;
        Some(peer::EvacuatedDomains {
            version: Some(encode_version(told.version)),
            domains: encode_domains(&told.domains),
            kept_domains: encode_domains(&told.kept),
            kept_ms: whole_ms(told.kept_for),
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
        for domain in &change.kept {
            log::warn!(
                domain:% = domain, version:% = version, from = from;
                "evacuation: the restored store lacks it, the failure domain stays evacuated for now."
            );
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

fn encode_domains(domains: &BTreeSet<FailureDomain>) -> Vec<String> {
    domains.iter().map(ToString::to_string).collect()
}

fn decode_domains(names: &[String]) -> BTreeSet<FailureDomain> {
    let names = names.iter().filter(|name| !name.is_empty());
    names.map(|name| FailureDomain::from(name.as_str())).collect()
}
