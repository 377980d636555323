//! Requests under way at each server, from all nodes.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::{NodeId, ServerLife};

#[derive(Debug, Default)]
struct BookParts {
    own: HashMap<ServerLife, u32>,
    peers: HashMap<NodeId, (Instant, HashMap<ServerLife, u32>)>,

    /// Invariant: the sums over `peers`.
    others: HashMap<ServerLife, u32>,
}

/// Counts requests under way at each server: the node's own exactly, the other nodes' as they
/// last told.
#[derive(Clone, Debug, Default)]
pub struct LoadBook {
    parts: Rc<RefCell<BookParts>>,
}

impl LoadBook {
    /// Counts a request of this node until the ticket is dropped.
    pub fn start(&self, life: &ServerLife) -> LoadTicket {
        *self.parts.borrow_mut().own.entry(life.clone()).or_default() += 1;
        LoadTicket { book: self.clone(), life: life.clone() }
    }

    /// Replaces what another node told.
    pub fn take_peer(&self, now: Instant, node: NodeId, loads: HashMap<ServerLife, u32>) {
        let mut parts = self.parts.borrow_mut();
        parts.peers.insert(node, (now, loads));
        parts.sum_others();
    }

    /// Forgets nodes that told nothing for `limit`: they are gone, and so are their requests.
    pub fn forget_silent(&self, now: Instant, limit: Duration) {
        let mut parts = self.parts.borrow_mut();
        let before = parts.peers.len();
        parts.peers.retain(|_, (at, _)| now.saturating_duration_since(*at) < limit);
        if parts.peers.len() != before {
            parts.sum_others();
        }
    }

    /// Requests under way at a server.
    pub fn running(&self, life: &ServerLife) -> u32 {
        let parts = self.parts.borrow();
        let count = |counts: &HashMap<ServerLife, u32>| counts.get(life).copied().unwrap_or(0);
        count(&parts.own) + count(&parts.others)
    }

    /// The node's own requests under way, by server.
    pub fn own(&self) -> Vec<(ServerLife, u32)> {
        let parts = self.parts.borrow();
        parts.own.iter().map(|(life, running)| (life.clone(), *running)).collect()
    }

    fn finish(&self, life: &ServerLife) {
        let mut parts = self.parts.borrow_mut();
        if let Some(running) = parts.own.get_mut(life) {
            *running -= 1;
            if *running == 0 {
                parts.own.remove(life);
            }
        }
    }
}

impl BookParts {
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

/// Counts one request under way while it lives.
#[derive(Debug)]
pub struct LoadTicket {
    book: LoadBook,
    life: ServerLife,
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        self.book.finish(&self.life);
    }
}
