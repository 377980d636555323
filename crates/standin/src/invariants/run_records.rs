//! The records of a whole run.

use comfreyturn_types::{
    ConfigVersion, GroupAssignment, IdempotencyKey, Incarnation, NodeId, RequestId, RequestOutcome,
    VmId,
};
use serde::{Deserialize, Serialize};

use crate::{EngineRecords, ExecutionRecord, PlainExecution, PlainRecords};

/// What a VM reported of its place. It stands until the VM's next record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceReport {
    /// The VM.
    pub vm: VmId,

    /// When.
    pub at_ms: u64,

    /// The place; none if the VM is free, dead or not heard.
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

    /// The answer broke off without a word.
    Cut,

    /// No answer ever came.
    Missing,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Names the request in violations. Invariant: unique within a run.
    pub request: RequestId,

    /// The prompt or body, by [`content_hash`](crate::content_hash). Requests that are not
    /// resubmissions of one another differ in it.
    pub content_hash: u64,

    /// The whole answer that belongs to the request, by [`content_hash`](crate::content_hash),
    /// where it is known beforehand.
    pub expected_hash: Option<u64>,

    /// The key, if there was one.
    pub key: Option<IdempotencyKey>,

    /// Whether it must run at most once.
    pub non_idempotent: bool,

    /// The node that it was sent to.
    pub node: NodeId,

    /// When it was sent.
    pub sent_ms: u64,

    /// When it ended.
    pub ended_ms: u64,

    /// How it ended.
    pub end: CallEnd,
}

/// An operator was told that a version is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAcceptance {
    /// The version.
    pub version: ConfigVersion,

    /// When.
    pub at_ms: u64,
}

/// The configuration of a node at a moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// The node.
    pub node: NodeId,

    /// The run of the node.
    pub incarnation: Incarnation,

    /// When.
    pub at_ms: u64,

    /// The version that it used.
    pub version: ConfigVersion,

    /// Whether it admitted requests.
    pub admits: bool,
}

/// A backend server began to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// The VM.
    pub vm: VmId,

    /// When it began to leave.
    pub at_ms: u64,

    /// When it ended, if it did. A later run on the VM is not leaving.
    pub until_ms: Option<u64>,
}

/// New work arrived at a backend server, whether or not it took it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRecord {
    /// The VM.
    pub vm: VmId,

    /// When.
    pub at_ms: u64,
}

/// A node shut down gracefully.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShutdownRecord {
    /// The node.
    pub node: NodeId,

    /// When it was told to.
    pub began_ms: u64,

    /// When its process ended.
    pub ended_ms: u64,
}

/// A node was killed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeathRecord {
    /// The node.
    pub node: NodeId,

    /// When.
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

    /// Requests as their callers saw them.
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
    /// Adds all that a model engine recorded.
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

    /// Adds all that a plain service recorded.
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
