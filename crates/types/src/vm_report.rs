//! What a backend server says of itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    AdapterName, FencingNumber, GroupGeneration, GroupId, Incarnation, ModelName, ModelVersionName,
    ServiceName, VmId,
};

/// A VM's place in a group, as an order gave it.
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

    /// The adapters to load beside it.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,

    /// All VMs of the group in rank order; the first one takes requests.
    /// Invariant: no VM stands twice.
    pub members: Vec<VmId>,
}

/// What a backend server is doing.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmPhase {
    /// Holds no assignment.
    Idle,
    /// Loads weights for its assignment.
    Loading,
    /// Ready to serve. A plain backend server is always either this or leaving.
    Ready,
}

/// The load of a backend server, which lags.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VmLoad {
    /// Requests in the running batch.
    pub running: u32,

    /// Requests that wait for a place in the batch.
    pub queued: u32,

    /// Requests that the batch holds at most; zero if the backend server does not say.
    #[serde(default)]
    pub capacity: u32,

    /// How long before the report this load was measured, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// A backend server's report of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmReport {
    /// The VM.
    pub vm: VmId,

    /// The run of the backend server. Leaving sticks to it.
    pub incarnation: Incarnation,

    /// What it is doing.
    pub phase: VmPhase,

    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,

    /// Its place in a group, if it holds one.
    #[serde(default)]
    pub assignment: Option<GroupAssignment>,

    /// The highest fencing number it has seen, if it checks them.
    #[serde(default)]
    pub fencing: Option<FencingNumber>,

    /// Its load.
    #[serde(default)]
    pub load: VmLoad,
}
