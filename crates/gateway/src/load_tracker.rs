//! Requests in flight at each server, from all nodes.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::{NodeId, ServerLife};

#[derive(Debug, Default)]
struct LoadTotals {
    own: HashMap<ServerLife, u32>,
    peers: HashMap<NodeId, (Instant, HashMap<ServerLife, u32>)>,

    /// Invariant: the sums over `peers`.
    others: HashMap<ServerLife, u32>,
}

/// Counts requests in flight at each server: exactly for this node, and as last reported for the
/// other nodes.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    totals: Rc<RefCell<LoadTotals>>,
}

impl LoadTracker {
    /// Counts a request of this node until the guard is dropped.
    pub fn start(&self, life: &ServerLife) -> LoadGuard {
        *self.totals.borrow_mut().own.entry(life.clone()).or_default() += 1;
        LoadGuard { tracker: self.clone(), life: life.clone() }
    }

    /// Replaces the counts reported by another node.
    pub fn set_peer_loads(&self, now: Instant, node: NodeId, loads: HashMap<ServerLife, u32>) {
        let mut totals = self.totals.borrow_mut();
        totals.peers.insert(node, (now, loads));
        totals.sum_others();
    }

    /// Removes the counts of nodes that reported nothing for `limit`: their requests ended with
    /// them.
    pub fn forget_unresponsive(&self, now: Instant, limit: Duration) {
        let mut totals = self.totals.borrow_mut();
        let before = totals.peers.len();
        totals.peers.retain(|_, (at, _)| now.saturating_duration_since(*at) < limit);
        if totals.peers.len() != before {
            totals.sum_others();
        }
    }

    /// Requests in flight at a server.
    pub fn running(&self, life: &ServerLife) -> u32 {
        let totals = self.totals.borrow();
        let count = |counts: &HashMap<ServerLife, u32>| counts.get(life).copied().unwrap_or(0);
        count(&totals.own) + count(&totals.others)
    }

    /// This node's requests in flight, by server.
    pub fn own(&self) -> Vec<(ServerLife, u32)> {
        let totals = self.totals.borrow();
        totals.own.iter().map(|(life, running)| (life.clone(), *running)).collect()
    }

    fn finish(&self, life: &ServerLife) {
        let mut totals = self.totals.borrow_mut();
        if let Some(running) = totals.own.get_mut(life) {
            *running -= 1;
            if *running == 0 {
                totals.own.remove(life);
            }
        }
    }
}

impl LoadTotals {
    fn sum_others(&mut self) {
        let mut others: HashMap<ServerLife, u32> = HashMap::new();
        for (_, loads) in self.peers.values() {
            for (life, running) in loads {
                *others.entry(life.clone()).or_default() += running;
            }
        }
        self.others = others;
    }
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct LoadGuard {
    tracker: LoadTracker,
    life: ServerLife,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.tracker.finish(&self.life);
    }
}
