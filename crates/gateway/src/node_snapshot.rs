//! The data on which a node bases its decisions, for logs and gauges.

use std::time::{Duration, Instant};

use comfreyturn_policy::HeadCandidate;
use comfreyturn_types::{ModelName, ServiceName, StoreVersion};

use crate::gateway_state::GatewayState;

/// Versions and ages of the data on which a node bases its decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct NodeSnapshot {
    /// The version of the configuration.
    pub(crate) config_version: Option<u64>,

    /// How long ago the configuration was confirmed as the newest.
    pub(crate) config_age: Option<Duration>,

    /// The version of the list of servers as last read.
    pub(crate) list_version: StoreVersion,

    /// How long ago the list of servers was last read.
    pub(crate) list_age: Option<Duration>,

    /// Number of other live nodes.
    pub(crate) peers: usize,
}

/// The capacity of a service's servers, as seen by this node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ServiceCapacity {
    /// Servers, or heads of groups, that accept requests.
    pub(crate) heads: usize,

    /// Those of them that stalled recently.
    pub(crate) stalled: usize,

    /// Requests in flight at them, from all nodes.
    pub(crate) running: u32,

    /// Requests that they can run at once.
    pub(crate) slots: u32,
}

impl GatewayState {
    /// The versions and ages of this node's data.
    pub(crate) fn snapshot(&self, now: Instant) -> NodeSnapshot {
        NodeSnapshot {
            config_version: self.config.borrow().as_ref().map(|view| view.config.version),
            config_age: self.confirmed.get().age(now),
            list_version: self.list_version(),
            list_age: self.list_age(now),
            peers: self.view.borrow().peers.alive(now, self.settings.peer_timeouts).count(),
        }
    }

    /// The capacity of the servers of a service, as seen by this node.
    pub(crate) fn capacity(
        &self,
        now: Instant,
        service: &ServiceName,
        model: Option<&ModelName>,
    ) -> ServiceCapacity {
        let view = self.config.borrow().clone();
        let spec = view.as_ref().and_then(|view| view.config.services.get(service));
        let Some(spec) = spec else { return ServiceCapacity::default() };
        let candidates = self.candidates(spec, model);
        let stalls = self.stalls.borrow();
        let retention = self.settings.stall_retention;
        let is_stalled =
            |candidate: &&HeadCandidate| stalls.is_stalled(now, &candidate.life, retention);
        ServiceCapacity {
            heads: candidates.len(),
            stalled: candidates.iter().filter(is_stalled).count(),
            running: saturating_sum(candidates.iter().map(|candidate| candidate.running)),
            slots: saturating_sum(candidates.iter().map(|candidate| candidate.slots)),
        }
    }
}

/// The sum of numbers that other nodes tell, or the largest number there is.
fn saturating_sum(numbers: impl Iterator<Item = u32>) -> u32 {
    numbers.fold(0, u32::saturating_add)
}

/// An age in milliseconds for a log line.
pub(crate) fn age_ms(age: Option<Duration>) -> Option<u64> {
    age.map(whole_ms)
}

/// A duration in whole milliseconds for a log line.
pub(crate) fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
