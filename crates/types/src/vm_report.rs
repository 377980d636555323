//! Reports of backend servers about themselves.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    AdapterName, FencingNumber, GroupGeneration, GroupId, Incarnation, ModelName, ModelVersionName,
    ServiceName, VmId,
};

/// A VM's place in a group, as assigned by an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupAssignment {
    /// The group.
    pub group: GroupId,

    /// The generation of its membership.
    pub generation: GroupGeneration,

    /// The service that the group serves.
    pub service: ServiceName,

    /// The model to load.
    pub model: ModelName,

    /// The version to load.
    pub version: ModelVersionName,

    /// The adapters to load in addition to the model.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,

    /// All VMs of the group in rank order; the first one accepts requests.
    /// Invariant: no VM is listed twice.
    pub members: Vec<VmId>,
}

/// The phase of a backend server.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmPhase {
    /// Has no assignment.
    Idle,
    /// Loading weights for its assignment.
    Loading,
    /// Ready to serve. A plain backend server is always either ready or leaving.
    Ready,
}

/// The load of a backend server, measured some time before the report.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VmLoad {
    /// Number of requests in the running batch.
    pub running: u32,

    /// Number of requests waiting for a slot in the batch.
    pub queued: u32,

    /// Maximum number of requests in the batch; zero if the backend server does not report it.
    #[serde(default)]
    pub capacity: u32,

    /// Time from the measurement of the load to the report, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// A backend server's report about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmReport {
    /// The VM.
    pub vm: VmId,

    /// The run of the backend server. Once a run is reported as leaving, it stays leaving.
    pub incarnation: Incarnation,

    /// Its phase.
    pub phase: VmPhase,

    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,

    /// Its place in a group, if it has one.
    #[serde(default)]
    pub assignment: Option<GroupAssignment>,

    /// The highest fencing number that it has seen, if it checks fencing numbers.
    #[serde(default)]
    pub fencing: Option<FencingNumber>,

    /// Its load.
    #[serde(default)]
    pub load: VmLoad,
}
