//! When a refused caller should come back.

use std::time::Duration;

/// Why a caller is refused, as far as it matters for the time at which it should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// Another node may be able to serve it.
    Node,

    /// The service lacks capacity, for all nodes.
    Capacity,

    /// The servers want nothing from this node for some time.
    Waits {
        /// Time until the first of them takes a request again.
        first: Duration,
    },
}

/// Settings of [`return_delay`].
#[derive(Clone, Copy, Debug)]
pub struct ReturnSettings {
    /// The least and the longest wait for another node.
    pub other_node: (Duration, Duration),

    /// The least and the longest wait for capacity. Groups are repaired within it.
    pub capacity: (Duration, Duration),
}

impl Default for ReturnSettings {
    fn default() -> Self {
        Self {
            other_node: (Duration::from_millis(50), Duration::from_millis(250)),
            capacity: (Duration::from_millis(600), Duration::from_millis(1800)),
        }
    }
}

/// Callers give up an attempt that would begin after this part of their time.
const LATEST_RETURN_DIVISOR: u32 = 3;

/// How long a caller with `time_left` should wait. `draw` is a random number from 0 up to 1, so that
/// callers that were refused together don't come back together.
pub fn return_delay(
    cause: RefusalCause,
    time_left: Duration,
    settings: &ReturnSettings,
    draw: f64,
) -> Duration {
    let (least, most) = match cause {
        RefusalCause::Node => settings.other_node,
        RefusalCause::Capacity | RefusalCause::Waits { .. } => settings.capacity,
    };
    let spread = most.saturating_sub(least).mul_f64(draw);
    let delay = match cause {
        RefusalCause::Waits { first } => first + spread,
        RefusalCause::Node | RefusalCause::Capacity => least + spread,
    };
    delay.min(time_left / LATEST_RETURN_DIVISOR)
}
