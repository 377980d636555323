//! What operators declare: services, model versions, adapters, customers and weights.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{AdapterName, CustomerName, ModelName, ModelVersionName, ServiceName};

/// The backend of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceBackend {
    /// Groups of model engines.
    Model(ModelBackend),

    /// Plain backend servers, which the platform's list labels with the service's name.
    Plain,
}

/// How a model service is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelBackend {
    /// Invariant: the model version exists in the same configuration.
    pub model: ModelName,

    /// Invariant: the model version exists in the same configuration.
    pub version: ModelVersionName,

    /// Invariant: each adapter exists and belongs to `model`.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,

    /// How many whole groups are declared.
    pub groups: u32,

    /// When VMs are scarce, services with a lower rank keep their groups first.
    #[serde(default)]
    pub rank: u32,
}

/// A service that callers address by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceIntent {
    /// Unique within a cell.
    pub name: ServiceName,

    /// Its backend.
    pub backend: ServiceBackend,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// The model.
    pub model: ModelName,

    /// Unique within the model.
    pub version: ModelVersionName,

    /// Number of VMs that one replica spans. Invariant: at least one.
    pub vms_per_group: u32,

    /// Size of the weights that one VM loads, in bytes.
    pub weight_bytes: u64,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterIntent {
    /// Unique within a cell.
    pub name: AdapterName,

    /// Invariant: some version of this model exists in the same configuration.
    pub model: ModelName,
}

/// A customer and its limits.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerIntent {
    /// Unique within a cell.
    pub name: CustomerName,

    /// The secret that authenticates the customer. Invariant: unique within a cell.
    pub key: String,

    /// Share of a contended service, relative to other customers. Invariant: at least one.
    #[serde(default = "default_weight")]
    pub weight: u32,

    /// Requests a second over all nodes.
    pub requests_per_second: u32,

    /// Generated tokens a second over all nodes.
    pub tokens_per_second: u32,

    /// The services that the customer may use; empty means all.
    #[serde(default)]
    pub services: Vec<ServiceName>,

    /// Deadline of requests that state none, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_deadline")]
    pub deadline: Duration,
}

/// Weights of the two costs that the planner minimizes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerWeights {
    /// Cost of one second in which a service has one whole group fewer than declared.
    pub group_downtime: f64,

    /// Cost of one second in which one accelerator is held but belongs to no serving group.
    pub stranded_accelerator: f64,
}

impl Default for PlannerWeights {
    fn default() -> Self {
        Self { group_downtime: 1.0, stranded_accelerator: 1.0 }
    }
}

impl CustomerIntent {
    /// Weight of a customer that specifies none.
    pub const DEFAULT_WEIGHT: u32 = 1;

    /// Deadline of requests of a customer that specifies none.
    pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
}

fn default_weight() -> u32 {
    CustomerIntent::DEFAULT_WEIGHT
}

fn default_deadline() -> Duration {
    CustomerIntent::DEFAULT_DEADLINE
}
