//! Faults that tests inject at the platform.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The body of `POST /faults`. Absent fields change nothing.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The table refuses all calls for this long, starting now.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub table_outage_ms: Option<Duration>,

    /// Delay added to each table call, until set again.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub table_delay_ms: Option<Duration>,

    /// Number of commits, starting with the next one, whose answer is lost after the write.
    pub lost_commit_answers: Option<u32>,

    /// Lag of the list of VMs, until set again.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub list_lag_ms: Option<Duration>,
}

/// The faults that are active at the table.
#[derive(Debug)]
pub(crate) struct TableFaults {
    outage_until: Instant,
    delay: Duration,
    lost_commit_answers: u32,
}

impl TableFaults {
    /// No faults.
    pub(crate) fn new(now: Instant) -> Self {
        Self { outage_until: now, delay: Duration::ZERO, lost_commit_answers: 0 }
    }

    /// Applies the fields that are present in `faults`.
    pub(crate) fn apply(&mut self, now: Instant, faults: &PlatformFaults) {
        if let Some(outage) = faults.table_outage_ms {
            self.outage_until = now + outage;
        }
        if let Some(delay) = faults.table_delay_ms {
            self.delay = delay;
        }
        if let Some(count) = faults.lost_commit_answers {
            self.lost_commit_answers = count;
        }
    }

    /// Whether the table refuses all calls.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        now < self.outage_until
    }

    /// Delay added to each call.
    pub(crate) fn delay(&self) -> Duration {
        self.delay
    }

    /// Whether the answer of this commit is lost. Takes one off the remaining count.
    pub(crate) fn take_lost_answer(&mut self) -> bool {
        let lost = self.lost_commit_answers > 0;
        self.lost_commit_answers = self.lost_commit_answers.saturating_sub(1);
        lost
    }
}
