//! Faults that a test brings about at the platform.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The body of `POST /faults`. Fields left out change nothing.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The table refuses all calls for this long, from now on.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub table_outage_ms: Option<Duration>,

    /// Each table call takes this much longer, until set again.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub table_delay_ms: Option<Duration>,

    /// The answers of the next commits are lost after the write.
    pub lost_commit_answers: Option<u32>,

    /// The list of VMs lags by this much, until set again.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub list_lag_ms: Option<Duration>,
}

/// The faults in force at the table.
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

    /// Takes in new faults.
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

    /// How much longer each call takes.
    pub(crate) fn delay(&self) -> Duration {
        self.delay
    }

    /// Whether this commit's answer is lost. Counts.
    pub(crate) fn loses_answer(&mut self) -> bool {
        let lost = self.lost_commit_answers > 0;
        self.lost_commit_answers = self.lost_commit_answers.saturating_sub(1);
        lost
    }
}
