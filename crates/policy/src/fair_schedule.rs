//! Start-time fair queueing over flows.

use std::collections::BTreeMap;

/// A flow's weight and the virtual start time of its next request.
#[derive(Debug)]
struct FairFlow {
    weight: f64,
    start: f64,
}

/// Orders flows by virtual start time, so that contended capacity is shared in proportion to
/// weight.
///
/// The virtual time is the start time of the request that was served last. A flow that was idle
/// starts at the virtual time: it gains no credit while idle, and is not charged for capacity that
/// it used while no other flow was waiting.
#[derive(Debug)]
pub(crate) struct FairSchedule<K> {
    virtual_time: f64,
    flows: BTreeMap<K, FairFlow>,
}

impl<K: Clone + Ord> FairSchedule<K> {
    pub(crate) fn new() -> Self {
        Self { virtual_time: 0.0, flows: BTreeMap::new() }
    }

    /// The virtual start time of a flow's next request.
    pub(crate) fn start(&self, flow: &K) -> f64 {
        let start = self.flows.get(flow).map_or(0.0, |flow| flow.start);
        start.max(self.virtual_time)
    }

    /// Moves an idle flow up to the virtual time when its first request is enqueued.
    pub(crate) fn activate(&mut self, flow: &K, weight: f64) {
        let start = self.start(flow);
        self.flows.insert(flow.clone(), FairFlow { weight, start });
    }

    /// Charges a request of `cost` to a flow, and advances the virtual time to its start.
    pub(crate) fn serve(&mut self, flow: &K, weight: f64, cost: f64) {
        let start = self.start(flow);
        self.virtual_time = start;
        self.flows.insert(flow.clone(), FairFlow { weight, start: start + cost / weight });
    }

    /// Adds `cost` to the charge of a request that was served earlier; it may be negative.
    pub(crate) fn correct(&mut self, flow: &K, cost: f64) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.start += cost / flow.weight;
        }
    }

    /// Removes flows without waiting requests whose start is not after the virtual time.
    pub(crate) fn remove_idle(&mut self, is_waiting: impl Fn(&K) -> bool) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|key, flow| flow.start > virtual_time || is_waiting(key));
    }
}
