//! Which fault happens where.

use std::time::Duration;

use comfreyturn_ports::Step;
use comfreyturn_types::NodeId;
use serde::{Deserialize, Serialize};

/// What happens when a node reaches a step.
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
    /// The node dies before the call.
    Kill,
    /// The node stands still before the call, and goes on later.
    FreezeAndWake,
    /// The call takes effect, but its answer is lost.
    LostAnswer,
    /// The table service refuses all calls of all nodes for a stretch.
    TableDown,
    /// The table service answers all nodes late for a stretch.
    TableSlow,
    /// Nothing goes from the node to the target for a stretch.
    CutOneWay,
    /// Nothing goes between the node and the target for a stretch.
    CutBothWays,
    /// The node stands still before the call for longer than its lease.
    LeaseLapse,
    /// The test's hook runs before the call.
    RacingOperator,
    /// The call takes effect a second time, later. At backend servers, where the connection's
    /// protocol rules that out, the answer is late instead.
    DuplicateLate,
}

/// One fault at one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// The step.
    pub step: Step,

    /// Which of the calls at this step, counted from one from when the rule is injected.
    pub occurrence: u32,

    /// The node whose calls count; all nodes if none is given.
    pub node: Option<NodeId>,

    /// The fault.
    pub fault: Fault,
}

/// A fault that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FiredFault {
    /// The step.
    pub step: Step,

    /// The fault.
    pub fault: Fault,

    /// The node that called.
    pub node: NodeId,

    /// When, as virtual time since the start.
    pub at: Duration,
}

/// How long faults last. All of it is virtual time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSettings {
    /// Time that each call takes.
    pub latency: Duration,

    /// Time after which a caller gives up on an answer.
    pub call_timeout: Duration,

    /// How long [`Fault::FreezeAndWake`] lasts.
    pub pause: Duration,

    /// How long [`Fault::LeaseLapse`] lasts. Longer than any lease of the test.
    pub lease_lapse: Duration,

    /// Whether a frozen node's clock stands still too, as on a paused VM.
    pub pauses_clock: bool,

    /// How long [`Fault::TableDown`] lasts.
    pub outage: Duration,

    /// How long [`Fault::TableSlow`] lasts.
    pub slow_period: Duration,

    /// How late answers are under [`Fault::TableSlow`].
    pub slow_delay: Duration,

    /// How long cuts last.
    pub cut: Duration,

    /// How late the second delivery of [`Fault::DuplicateLate`] is.
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
