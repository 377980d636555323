//! Changes of the configuration and the log that orders them.

use serde::{Deserialize, Serialize};

use crate::{
    AdapterIntent, AdapterName, ConfigVersion, CustomerIntent, CustomerName, Incarnation,
    ModelName, ModelVersion, ModelVersionName, NodeId, OperationId, PlannerWeights, RosterMember,
    ServiceIntent, ServiceName, VmId,
};

/// One change. Each variant carries the whole new value, so that replaying the log twice gives
/// the same state as replaying it once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigChange {
    /// Creates or replaces a service.
    PutService(ServiceIntent),
    /// Deletes a service.
    DeleteService(ServiceName),
    /// Creates or replaces a model version.
    PutModelVersion(ModelVersion),
    /// Deletes a model version.
    DeleteModelVersion {
        /// The model.
        model: ModelName,
        /// The version.
        version: ModelVersionName,
    },
    /// Creates or replaces an adapter.
    PutAdapter(AdapterIntent),
    /// Deletes an adapter.
    DeleteAdapter(AdapterName),
    /// Creates or replaces a customer.
    PutCustomer(CustomerIntent),
    /// Deletes a customer.
    DeleteCustomer(CustomerName),
    /// Sets the planner's weights.
    SetPlannerWeights(PlannerWeights),
    /// Drains a VM (`true`), or takes it back into use (`false`).
    SetVmDrained {
        /// The VM.
        vm: VmId,
        /// Whether it is drained.
        drained: bool,
    },
    /// Takes a node out of the answers to callers who ask for addresses (`true`), or takes it back
    /// into them (`false`). It goes on serving those who come.
    SetNodeDrained {
        /// The node.
        node: NodeId,
        /// Whether it is drained.
        drained: bool,
    },
    /// Adds a node to the roster, or replaces its earlier incarnation.
    JoinRoster(RosterMember),
    /// Takes one incarnation of a node off the roster.
    LeaveRoster {
        /// The node.
        node: NodeId,
        /// The incarnation; a later one stays.
        incarnation: Incarnation,
    },
}

impl ConfigChange {
    /// Whether the change alters who counts for a majority.
    pub fn changes_roster(&self) -> bool {
        matches!(self, Self::JoinRoster(_) | Self::LeaveRoster { .. })
    }
}

/// One position of the configuration log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Invariant: one more than the entry before it.
    pub version: ConfigVersion,

    /// The operation that made the entry.
    pub operation: OperationId,

    /// The changes, applied in order and together.
    pub changes: Vec<ConfigChange>,
}
