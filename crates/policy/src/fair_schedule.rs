//! Start-time fair queueing over flows.

use std::collections::BTreeMap;

/// One flow: its weight and the virtual time at which its next request starts.
#[derive(Debug)]
struct FairFlow {
    weight: f64,
    start: f64,
}

/// Orders flows by virtual start time, so that each gets its weight's share of what is contended.
///
/// The virtual time is the start of the request that was served last. A flow that was idle starts
/// at the virtual time: it neither saves up for later nor pays for what it used while nobody else
/// wanted it.
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

    /// Brings an idle flow up to the virtual time, when it gets its first waiting request.
    pub(crate) fn activate(&mut self, flow: &K, weight: f64) {
        let start = self.start(flow);
        self.flows.insert(flow.clone(), FairFlow { weight, start });
    }

    /// Serves a request of `cost` from a flow.
    pub(crate) fn serve(&mut self, flow: &K, weight: f64, cost: f64) {
        let start = self.start(flow);
        self.virtual_time = start;
        self.flows.insert(flow.clone(), FairFlow { weight, start: start + cost / weight });
    }

    /// Corrects what was charged to a flow for a request that was served earlier.
    pub(crate) fn correct(&mut self, flow: &K, cost: f64) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.start += cost / flow.weight;
        }
    }

    /// Forgets flows that would start at the virtual time anyway.
    pub(crate) fn forget_idle(&mut self, is_waiting: impl Fn(&K) -> bool) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|key, flow| flow.start > virtual_time || is_waiting(key));
    }
}
