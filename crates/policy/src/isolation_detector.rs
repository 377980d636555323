//! Telling a planner that is cut off from VMs that are lost.

use std::time::{Duration, Instant};

use crate::PlannerInput;

/// Settings of a [`IsolationDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IsolationSettings {
    /// Silence that counts.
    pub min_silence: Duration,

    /// VMs that fall silent within this of each other fell silent together.
    pub window: Duration,

    /// How long the guard holds the planner back at most.
    pub max_wait: Duration,
}

impl Default for IsolationSettings {
    fn default() -> Self {
        Self {
            min_silence: Duration::from_secs(4),
            window: Duration::from_secs(10),
            max_wait: Duration::from_secs(300),
        }
    }
}

/// Holds a planner back when more than half of all VMs fell silent together: then the observer is
/// likelier cut off than the VMs lost.
#[derive(Clone, Debug)]
pub struct IsolationDetector {
    settings: IsolationSettings,

    /// When the present silence began to hold the planner back.
    since: Option<Instant>,
}

impl IsolationDetector {
    /// A guard that saw nothing yet.
    pub fn new(settings: IsolationSettings) -> Self {
        Self { settings, since: None }
    }

    /// Whether the planner should wait.
    pub fn should_wait(&mut self, input: &PlannerInput) -> bool {
        if !self.is_cut_off(input) {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(input.now);
        input.now.saturating_duration_since(since) < self.settings.max_wait
    }

    fn is_cut_off(&self, input: &PlannerInput) -> bool {
        let silent = input.vms.values().map(|vm| vm.silent_for);
        let mut silent: Vec<Duration> =
            silent.filter(|silent| *silent > self.settings.min_silence).collect();
        if silent.len() * 2 <= input.vms.len() {
            return false;
        }
        silent.sort_unstable();
        let most = input.vms.len() / 2 + 1;
        silent.windows(most).any(|span| match (span.first(), span.last()) {
            (Some(first), Some(last)) => last.saturating_sub(*first) <= self.settings.window,
            _ => false,
        })
    }
}
