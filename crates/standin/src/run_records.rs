//! Records that stand-ins keep of a run, for the checks of tests.
//!
//! Times are in milliseconds on one clock for the whole run: the machine's wall clock in servers,
//! virtual time in fakes.

use std::time::{SystemTime, UNIX_EPOCH};

use comfreyturn_types::{
    FencingNumber, GroupAssignment, GroupGeneration, GroupId, Incarnation, StreamId, VmId,
};
use serde::{Deserialize, Serialize};

/// How a run of a request at a backend server ended.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ExecutionEnd {
    /// It has not ended, or the backend server was stopped before its end.
    #[default]
    Running,
    /// The answer was complete.
    Finished,
    /// The group lost a member, or the engine got another place.
    Broken,
    /// It was cancelled, or no caller read it for the retention time.
    Cancelled,
    /// The backend server crashed.
    Crashed,
}

/// One run of a completion at a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// The engine.
    pub vm: VmId,

    /// The engine's incarnation.
    pub incarnation: Incarnation,

    /// The stream.
    pub stream: StreamId,

    /// The prompt's [`content_hash`](crate::content_hash).
    pub prompt_hash: u64,

    /// The group that the attempt named.
    pub group: GroupId,

    /// The generation that the attempt named.
    pub generation: GroupGeneration,

    /// When the engine accepted it.
    pub accepted_ms: u64,

    /// When it was admitted to the batch, if it was.
    pub started_ms: Option<u64>,

    /// When it ended; `None` while it runs.
    pub ended_ms: Option<u64>,

    /// The position of its first token.
    pub first_position: u32,

    /// Tokens that it generated.
    pub tokens: u32,

    /// How it ended.
    pub end: ExecutionEnd,
}

/// A change of a model engine's place in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRecord {
    /// The engine.
    pub vm: VmId,

    /// When the order took effect.
    pub at_ms: u64,

    /// The order's fencing number.
    pub fencing: FencingNumber,

    /// The new place; `None` if the engine became idle.
    pub assignment: Option<GroupAssignment>,
}

/// Records of a model engine: the answer to `GET /control/records`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Runs, in order of acceptance.
    pub executions: Vec<ExecutionRecord>,

    /// Changes of its place, in order of time.
    pub places: Vec<PlaceRecord>,

    /// When it began to leave.
    pub leaving_ms: Option<u64>,

    /// When attempts were refused as not started, in order.
    pub not_started_ms: Vec<u64>,

    /// Number of attempts whose delivered tokens are not the output of their prompt.
    pub foreign_output: u64,

    /// Number of orders refused for an old fencing number.
    pub fenced_orders: u64,
}

/// One run of a request at a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainExecution {
    /// The backend server.
    pub vm: VmId,

    /// Number of this run at the backend server, counted from one.
    pub execution: u64,

    /// The header `Idempotency-Key`, if present.
    pub key: Option<String>,

    /// The HTTP method.
    pub method: String,

    /// Path and query.
    pub path: String,

    /// The body's [`content_hash`](crate::content_hash).
    pub body_hash: u64,

    /// When it began.
    pub started_ms: u64,

    /// When it ended; `None` while it runs.
    pub ended_ms: Option<u64>,

    /// How it ended.
    pub end: ExecutionEnd,
}

/// Records of a plain service: the answer to `GET /control/records`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainRecords {
    /// Runs, in order of their start.
    pub executions: Vec<PlainExecution>,

    /// When it began to leave.
    pub leaving_ms: Option<u64>,

    /// When requests were refused as not started, in order.
    pub not_started_ms: Vec<u64>,
}

/// The current time on the run's clock, in milliseconds.
pub(crate) fn run_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
