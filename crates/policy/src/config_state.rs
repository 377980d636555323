//! The configuration of a cell at one version of the configuration log.

use std::collections::{BTreeMap, BTreeSet};

use comfreyturn_types::{
    AdapterIntent, AdapterName, ConfigChange, ConfigEntry, ConfigVersion, CustomerIntent,
    CustomerName, ModelName, ModelVersion, ModelVersionName, NodeId, PlannerWeights, Roster,
    ServiceIntent, ServiceName, VmId,
};
use serde::{Deserialize, Serialize};

/// The error for an entry that does not directly follow the state's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("entry {entry} does not follow version {version}")]
pub struct ConfigGap {
    /// The state's version.
    pub version: ConfigVersion,

    /// The entry's version.
    pub entry: ConfigVersion,
}

/// The declared configuration at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    /// The version of the last applied entry. Invariant: never decreases.
    pub version: ConfigVersion,

    /// Services.
    pub services: BTreeMap<ServiceName, ServiceIntent>,

    /// Model versions.
    pub model_versions: BTreeMap<(ModelName, ModelVersionName), ModelVersion>,

    /// Adapters.
    pub adapters: BTreeMap<AdapterName, AdapterIntent>,

    /// Customers.
    pub customers: BTreeMap<CustomerName, CustomerIntent>,

    /// The weights of the planner's two costs: group downtime and stranded accelerators.
    pub planner_weights: PlannerWeights,

    /// VMs that are not assigned to groups.
    pub drained_vms: BTreeSet<VmId>,

    /// Nodes that were requested to shut down.
    pub drained_nodes: BTreeSet<NodeId>,

    /// The nodes that count towards a majority.
    pub roster: RosterState,
}

/// The current roster and the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterState {
    /// The members.
    pub current: Roster,

    /// The members before the last entry that changed them. While that entry is unconfirmed, a
    /// majority of each roster is required, so one entry may change any number of members.
    pub previous: Roster,

    /// The version of the entry that last changed the roster; zero if there was none.
    pub version: ConfigVersion,
}

impl ConfigState {
    /// Applies an entry and returns whether it changed the state. An entry at or below the current
    /// version is ignored; one that leaves a gap is refused.
    pub fn apply(&mut self, entry: &ConfigEntry) -> Result<bool, ConfigGap> {
        if entry.version <= self.version {
            return Ok(false);
        }
        if entry.version != self.version.next() {
            return Err(ConfigGap { version: self.version, entry: entry.version });
        }
        self.version = entry.version;
        if entry.changes.iter().any(ConfigChange::changes_roster) {
            self.roster.previous = self.roster.current.clone();
            self.roster.version = entry.version;
        }
        for change in &entry.changes {
            self.apply_change(change);
        }
        Ok(true)
    }

    /// The customer that a key authenticates.
    pub fn customer_by_key(&self, key: &str) -> Option<&CustomerIntent> {
        self.customers.values().find(|customer| customer.key == key)
    }

    /// Applies one change without validation and without advancing the version.
    pub(crate) fn apply_change(&mut self, change: &ConfigChange) {
        match change.clone() {
            ConfigChange::PutService(service) => {
                self.services.insert(service.name.clone(), service);
            }
            ConfigChange::DeleteService(name) => {
                self.services.remove(&name);
            }
            ConfigChange::PutModelVersion(version) => {
                let key = (version.model.clone(), version.version.clone());
                self.model_versions.insert(key, version);
            }
            ConfigChange::DeleteModelVersion { model, version } => {
                self.model_versions.remove(&(model, version));
            }
            ConfigChange::PutAdapter(adapter) => {
                self.adapters.insert(adapter.name.clone(), adapter);
            }
            ConfigChange::DeleteAdapter(name) => {
                self.adapters.remove(&name);
            }
            ConfigChange::PutCustomer(customer) => {
                self.customers.insert(customer.name.clone(), customer);
            }
            ConfigChange::DeleteCustomer(name) => {
                self.customers.remove(&name);
            }
            ConfigChange::SetPlannerWeights(weights) => self.planner_weights = weights,
            ConfigChange::SetVmDrained { vm, drained } => {
                set_member(&mut self.drained_vms, vm, drained);
            }
            ConfigChange::SetNodeDrained { node, drained } => {
                set_member(&mut self.drained_nodes, node, drained);
            }
            ConfigChange::JoinRoster(member) => {
                self.roster.current.members.insert(member.node.clone(), member);
            }
            ConfigChange::LeaveRoster { node, incarnation } => {
                if self.roster.current.contains(&node, incarnation) {
                    self.roster.current.members.remove(&node);
                }
            }
        }
    }
}

fn set_member<T: Ord>(set: &mut BTreeSet<T>, item: T, present: bool) {
    if present {
        set.insert(item);
    } else {
        set.remove(&item);
    }
}
