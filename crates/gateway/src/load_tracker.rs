//! Requests in flight at each server, from all nodes.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
};

use comfreyturn_types::ServerLife;

#[derive(Debug, Default)]
struct LoadTotals {
    own: HashMap<ServerLife, u32>,
    others: HashMap<ServerLife, u32>,
    own_unread: HashMap<ServerLife, u32>,
    others_unread: HashMap<ServerLife, u32>,
}

/// Counts requests in flight at each server, and prompt tokens that it still has to read: exactly
/// for this node, and as last reported for the other nodes.
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

    /// Counts prompt tokens that a server has to read, until the guard is dropped.
    pub fn start_reading(&self, life: &ServerLife, tokens: u32) -> ReadingGuard {
        let mut totals = self.totals.borrow_mut();
        let unread = totals.own_unread.entry(life.clone()).or_default();
        // What exceeds the range is not counted, so that the guard takes away what it added.
        let tokens = tokens.min(u32::MAX - *unread);
        *unread += tokens;
        ReadingGuard { tracker: self.clone(), life: life.clone(), tokens }
    }

    /// Replaces the sums over all other nodes.
    pub fn set_others(&self, loads: HashMap<ServerLife, u32>) {
        self.totals.borrow_mut().others = loads;
    }

    /// Replaces the sums of unread prompt tokens over all other nodes.
    pub fn set_others_unread(&self, unread: HashMap<ServerLife, u32>) {
        self.totals.borrow_mut().others_unread = unread;
    }

    /// Requests in flight at a server.
    pub fn running(&self, life: &ServerLife) -> u32 {
        let (own, others) = self.split_running(life);
        own.saturating_add(others)
    }

    /// Requests in flight at a server: those of this node, and those of all others.
    pub fn split_running(&self, life: &ServerLife) -> (u32, u32) {
        let totals = self.totals.borrow();
        (count(&totals.own, life), count(&totals.others, life))
    }

    /// Servers with requests in flight, of any node.
    pub fn busy(&self) -> HashSet<ServerLife> {
        let totals = self.totals.borrow();
        let counts = totals.own.iter().chain(&totals.others);
        counts.filter(|(_, count)| **count > 0).map(|(life, _)| life.clone()).collect()
    }

    /// Prompt tokens that a server still has to read.
    pub fn unread(&self, life: &ServerLife) -> u32 {
        let totals = self.totals.borrow();
        count(&totals.own_unread, life).saturating_add(count(&totals.others_unread, life))
    }

    /// This node's requests in flight, by server.
    pub fn own(&self) -> HashMap<ServerLife, u32> {
        self.totals.borrow().own.clone()
    }

    /// Prompt tokens of this node's requests that servers still have to read.
    pub fn own_unread(&self) -> HashMap<ServerLife, u32> {
        self.totals.borrow().own_unread.clone()
    }

    fn finish_reading(&self, life: &ServerLife, tokens: u32) {
        let mut totals = self.totals.borrow_mut();
        if let Some(unread) = totals.own_unread.get_mut(life) {
            *unread -= tokens;
            if *unread == 0 {
                totals.own_unread.remove(life);
            }
        }
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

fn count(counts: &HashMap<ServerLife, u32>, life: &ServerLife) -> u32 {
    counts.get(life).copied().unwrap_or(0)
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

/// Counts the tokens of one prompt as unread until dropped.
#[derive(Debug)]
pub struct ReadingGuard {
    tracker: LoadTracker,
    life: ServerLife,
    tokens: u32,
}

impl Drop for ReadingGuard {
    fn drop(&mut self) {
        self.tracker.finish_reading(&self.life, self.tokens);
    }
}
