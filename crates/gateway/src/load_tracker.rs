//! Requests in flight at each server, from all nodes.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use comfreyturn_types::ServerLife;

#[derive(Debug, Default)]
struct LoadTotals {
    own: HashMap<ServerLife, u32>,
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

    /// Replaces the sums over all other nodes.
    pub fn set_others(&self, loads: HashMap<ServerLife, u32>) {
        self.totals.borrow_mut().others = loads;
    }

    /// Requests in flight at a server.
    pub fn running(&self, life: &ServerLife) -> u32 {
        let totals = self.totals.borrow();
        let count = |counts: &HashMap<ServerLife, u32>| counts.get(life).copied().unwrap_or(0);
        count(&totals.own) + count(&totals.others)
    }

    /// This node's requests in flight, by server.
    pub fn own(&self) -> HashMap<ServerLife, u32> {
        self.totals.borrow().own.clone()
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
