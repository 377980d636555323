//! Rules that state which fault is injected at which call.

use std::time::Duration;

use comfreyturn_ports::Step;
use comfreyturn_types::NodeId;
use serde::{Deserialize, Serialize};

/// A fault that is injected when a node makes a call.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The node is killed before the call.
    Kill,
    /// The node is paused before the call, and resumes later.
    FreezeAndWake,
    /// The call takes effect, but its answer is lost.
    LostAnswer,
    /// The table service refuses all calls of all nodes for a period.
    TableDown,
    /// The table service delays its answers to all nodes for a period.
    TableSlow,
    /// Everything sent from the node to the target is dropped for a period.
    CutOneWay,
    /// The node and the target cannot reach each other for a period.
    CutBothWays,
    /// The node is paused before the call for longer than its lease.
    LeaseLapse,
    /// The test's hook runs before the call.
    RacingOperator,
    /// The call takes effect a second time, later. At backend servers, where the connection's
    /// protocol rules that out, the answer is late instead.
    DuplicateLate,
}

/// Injects one fault at one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// The step.
    pub step: Step,

    /// Which call at this step gets the fault, counted from one since the rule was added.
    pub occurrence: u32,

    /// The node whose calls are counted; all nodes if `None`.
    pub node: Option<NodeId>,

    /// The fault.
    pub fault: Fault,
}

/// A fault that was injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FiredFault {
    /// The step.
    pub step: Step,

    /// The fault.
    pub fault: Fault,

    /// The node that called.
    pub node: NodeId,

    /// Virtual time since the start.
    pub at: Duration,
}

/// How long faults last, in virtual time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSettings {
    /// Time that each call takes.
    pub latency: Duration,

    /// Time after which a caller gives up on an answer.
    pub call_timeout: Duration,

    /// How long [`Fault::FreezeAndWake`] lasts.
    pub pause: Duration,

    /// How long [`Fault::LeaseLapse`] lasts. Must be longer than any lease of the test.
    pub lease_lapse: Duration,

    /// Whether a paused node's clock stops too, as on a paused VM.
    pub pauses_clock: bool,

    /// How long [`Fault::TableDown`] lasts.
    pub outage: Duration,

    /// How long [`Fault::TableSlow`] lasts.
    pub slow_period: Duration,

    /// The delay of answers under [`Fault::TableSlow`].
    pub slow_delay: Duration,

    /// How long cuts last.
    pub cut: Duration,

    /// Time until the second delivery of [`Fault::DuplicateLate`].
    pub duplicate_delay: Duration,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(1),
            call_timeout: Duration::from_secs(2),
            pause: Duration::from_secs(60),
            lease_lapse: Duration::from_secs(60),
            pauses_clock: true,
            outage: Duration::from_secs(30),
            slow_period: Duration::from_secs(30),
            slow_delay: Duration::from_secs(1),
            cut: Duration::from_secs(30),
            duplicate_delay: Duration::from_secs(5),
        }
    }
}
