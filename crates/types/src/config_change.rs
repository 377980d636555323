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
    /// Drains a VM (`true`), or returns it to use (`false`).
    SetVmDrained {
        /// The VM.
        vm: VmId,
        /// Whether it is drained.
        drained: bool,
    },
    /// Removes a node from the addresses given to callers (`true`), or adds it again (`false`). A
    /// drained node still serves the callers that connect to it.
    SetNodeDrained {
        /// The node.
        node: NodeId,
        /// Whether it is drained.
        drained: bool,
    },
    /// Adds a node to the roster, or replaces its earlier incarnation.
    JoinRoster(RosterMember),
    /// Removes one incarnation of a node from the roster.
    LeaveRoster {
        /// The node.
        node: NodeId,
        /// The incarnation; a later one remains on the roster.
        incarnation: Incarnation,
    },
}

impl ConfigChange {
    /// Whether the change alters which nodes count for a majority.
    pub fn changes_roster(&self) -> bool {
        matches!(self, Self::JoinRoster(_) | Self::LeaveRoster { .. })
    }
}

/// One position of the configuration log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Invariant: one more than the entry before it.
    pub version: ConfigVersion,

    /// The operation that created the entry.
    pub operation: OperationId,

    /// The changes, applied in order and atomically.
    pub changes: Vec<ConfigChange>,
}
