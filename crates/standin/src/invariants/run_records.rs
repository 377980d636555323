//! The records of a whole test run.

use comfreyturn_types::{
    ConfigVersion, GroupAssignment, IdempotencyKey, Incarnation, NodeId, RequestId, RequestOutcome,
    VmId,
};
use serde::{Deserialize, Serialize};

use crate::{EngineRecords, ExecutionRecord, PlainExecution, PlainRecords};

/// The place that a VM reported. It applies until the VM's next report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceReport {
    /// The VM.
    pub vm: VmId,

    /// When the VM reported it.
    pub at_ms: u64,

    /// The place; `None` if the VM is free, dead or unresponsive.
    pub assignment: Option<GroupAssignment>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallEnd {
    /// With a whole answer.
    Whole {
        /// The answer, by [`content_hash`](crate::content_hash).
        answer_hash: u64,
    },

    /// With an outcome word.
    Outcome(RequestOutcome),

    /// The answer broke off without an outcome word.
    Cut,

    /// No answer arrived.
    Missing,
}

/// One request, as observed by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Identifies the request in violations. Invariant: unique within a run.
    pub request: RequestId,

    /// The prompt or body, by [`content_hash`](crate::content_hash). Only resubmissions of the same
    /// request share it.
    pub content_hash: u64,

    /// The expected whole answer, by [`content_hash`](crate::content_hash), if it is known
    /// beforehand.
    pub expected_hash: Option<u64>,

    /// The idempotency key, if there was one.
    pub key: Option<IdempotencyKey>,

    /// Whether the request must run at most once.
    pub non_idempotent: bool,

    /// The node that the request was sent to.
    pub node: NodeId,

    /// When the request was sent.
    pub sent_ms: u64,

    /// When the call ended.
    pub ended_ms: u64,

    /// How the call ended.
    pub end: CallEnd,
}

/// The acceptance of a configuration version, as reported to an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAcceptance {
    /// The version.
    pub version: ConfigVersion,

    /// When it was accepted.
    pub at_ms: u64,
}

/// The configuration that a node used at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// The node.
    pub node: NodeId,

    /// The incarnation of the node.
    pub incarnation: Incarnation,

    /// When the node used the version.
    pub at_ms: u64,

    /// The version in use.
    pub version: ConfigVersion,

    /// Whether the node admitted requests.
    pub admits: bool,
}

/// The time for which a backend server was leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// The VM.
    pub vm: VmId,

    /// When it began to leave.
    pub at_ms: u64,

    /// When its process ended, if it did. A later process on the VM is not leaving.
    pub until_ms: Option<u64>,
}

/// The arrival of new work at a backend server, accepted or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRecord {
    /// The VM.
    pub vm: VmId,

    /// When the work arrived.
    pub at_ms: u64,
}

/// A graceful shutdown of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShutdownRecord {
    /// The node.
    pub node: NodeId,

    /// When the node was asked to shut down.
    pub began_ms: u64,

    /// When its process ended.
    pub ended_ms: u64,
}

/// The kill of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeathRecord {
    /// The node.
    pub node: NodeId,

    /// When the node was killed.
    pub at_ms: u64,
}

/// The records of a whole run. Order within a list does not matter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RunRecords {
    /// Runs at model engines.
    pub executions: Vec<ExecutionRecord>,

    /// Runs at plain services.
    pub plain_executions: Vec<PlainExecution>,

    /// Places of VMs over time.
    pub places: Vec<PlaceReport>,

    /// Requests, as observed by their callers.
    pub calls: Vec<CallRecord>,

    /// Versions that were accepted.
    pub acceptances: Vec<ConfigAcceptance>,

    /// Versions that nodes used over time.
    pub configs: Vec<ConfigReport>,

    /// Backend servers that left.
    pub leavings: Vec<LeavingRecord>,

    /// New work at backend servers.
    pub dispatches: Vec<DispatchRecord>,

    /// Nodes that shut down gracefully.
    pub shutdowns: Vec<ShutdownRecord>,

    /// Nodes that were killed.
    pub deaths: Vec<DeathRecord>,
}

impl RunRecords {
    /// Adds the records of a model engine.
    pub fn add_engine(&mut self, vm: &VmId, records: EngineRecords) {
        let accepted = records.executions.iter().map(|execution| execution.accepted_ms);
        self.add_dispatches(vm, accepted.chain(records.not_started_ms));
        self.add_leaving(vm, records.leaving_ms);
        self.executions.extend(records.executions);
        self.places.extend(records.places.into_iter().map(|place| PlaceReport {
            vm: place.vm,
            at_ms: place.at_ms,
            assignment: place.assignment,
        }));
    }

    /// Adds the records of a plain service.
    pub fn add_plain(&mut self, vm: &VmId, records: PlainRecords) {
        let started = records.executions.iter().map(|execution| execution.started_ms);
        self.add_dispatches(vm, started.chain(records.not_started_ms));
        self.add_leaving(vm, records.leaving_ms);
        self.plain_executions.extend(records.executions);
    }

    fn add_dispatches(&mut self, vm: &VmId, times: impl Iterator<Item = u64>) {
        let records = times.map(|at_ms| DispatchRecord { vm: vm.clone(), at_ms });
        self.dispatches.extend(records);
    }

    fn add_leaving(&mut self, vm: &VmId, at_ms: Option<u64>) {
        let record = at_ms.map(|at_ms| LeavingRecord { vm: vm.clone(), at_ms, until_ms: None });
        self.leavings.extend(record);
    }
}
