//! When backend servers turn requests away and ask the node to wait.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::{NodeId, ServerLife, VmId};

/// A server turned a request of a node away and asked the node to wait.
#[derive(Clone, Debug)]
pub struct WaitAsked {
    /// The server.
    pub life: ServerLife,

    /// The node whose connection the server saw.
    pub seen: NodeId,

    /// When it answered, by the clock of the node that sent the request.
    pub at: Instant,

    /// How long it wants nothing from that node.
    pub wait: Duration,
}

/// How many requests a server runs at once. It turns further ones away.
#[derive(Clone, Copy, Debug)]
pub struct ServerPlaces {
    /// Requests that it runs at once.
    pub places: u32,

    /// How long it asks a node to wait if all places are taken.
    pub wait: Duration,
}

/// A span of time in which a server turns all requests away.
struct WaitSpan {
    wait: Duration,
    until: Instant,
}

/// When servers turn requests away and ask the node to wait.
#[derive(Default)]
pub(crate) struct WaitingRules {
    spans: RefCell<HashMap<ServerLife, WaitSpan>>,
    places: RefCell<HashMap<VmId, ServerPlaces>>,

    /// Taken places of each server.
    taken: Rc<RefCell<HashMap<ServerLife, u32>>>,
    asked: RefCell<Vec<WaitAsked>>,
}

impl WaitingRules {
    /// Makes a server turn all requests away until some time.
    pub(crate) fn turn_away(&self, life: &ServerLife, wait: Duration, until: Instant) {
        self.spans.borrow_mut().insert(life.clone(), WaitSpan { wait, until });
    }

    /// Sets the places of a server.
    pub(crate) fn set_places(&self, vm: VmId, places: ServerPlaces) {
        self.places.borrow_mut().insert(vm, places);
    }

    /// A place for a request at a server.
    ///
    /// # Errors
    ///
    /// If the server turns the request away: how long it asks the node to wait.
    pub(crate) fn take_place(
        &self,
        now: Instant,
        life: &ServerLife,
    ) -> Result<PlaceGuard, Duration> {
        if let Some(span) = self.spans.borrow().get(life)
            && now < span.until
        {
            return Err(span.wait);
        }
        let taken = self.taken.borrow().get(life).copied().unwrap_or_default();
        if let Some(limit) = self.places.borrow().get(&life.vm)
            && taken >= limit.places
        {
            return Err(limit.wait);
        }
        *self.taken.borrow_mut().entry(life.clone()).or_default() += 1;
        Ok(PlaceGuard { taken: self.taken.clone(), life: life.clone() })
    }

    /// Records that a server answered with a wait.
    pub(crate) fn record_asked(&self, asked: WaitAsked) {
        self.asked.borrow_mut().push(asked);
    }

    /// The answers with a wait, in order.
    pub(crate) fn asked(&self) -> Vec<WaitAsked> {
        self.asked.borrow().clone()
    }
}

/// A taken place of a server, until it is dropped.
pub(crate) struct PlaceGuard {
    taken: Rc<RefCell<HashMap<ServerLife, u32>>>,
    life: ServerLife,
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        if let Some(taken) = self.taken.borrow_mut().get_mut(&self.life) {
            *taken = taken.saturating_sub(1);
        }
    }
}
