//! Work in flight at this node.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::{RequestId, RouteName};

use crate::gateway_state::GatewayState;

/// What a node does for somebody.
#[derive(Clone, Debug, derive_more::Display)]
pub(crate) enum InFlightWork {
    /// A caller's request.
    #[display("request {request}")]
    Request {
        /// The request's id.
        request: RequestId,
        /// Its route.
        route: RouteName,
    },

    /// A connection to a server for another node.
    #[display("tunnel to {server}")]
    Tunnel {
        /// The server.
        server: SocketAddr,
    },

    /// A caller's connection, on which a request is read or an answer is written.
    #[display("connection of a caller")]
    Connection,
}

/// Work in flight, and since when.
#[derive(Debug, Default)]
pub(crate) struct InFlightTable {
    next: u64,

    /// By number, so the oldest one comes first.
    entries: BTreeMap<u64, (InFlightWork, Instant)>,
}

impl InFlightTable {
    /// The number of requests and tunnels.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// All work with its age, the oldest first.
    pub(crate) fn oldest(&self, now: Instant) -> impl Iterator<Item = (&InFlightWork, Duration)> {
        self.entries
            .values()
            .map(move |(work, since)| (work, now.saturating_duration_since(*since)))
    }

    /// The age of the oldest request of a route; zero if there is none.
    pub(crate) fn oldest_age(&self, now: Instant, route: &RouteName) -> Duration {
        let is_of_route = |work: &InFlightWork| match work {
            InFlightWork::Request { route: own, .. } => own == route,
            InFlightWork::Tunnel { .. } | InFlightWork::Connection => false,
        };
        let oldest = self.oldest(now).find(|(work, _)| is_of_route(work));
        oldest.map_or(Duration::ZERO, |(_, age)| age)
    }

    fn add(&mut self, now: Instant, work: InFlightWork) -> u64 {
        let number = self.next;
        self.next += 1;
        self.entries.insert(number, (work, now));
        number
    }
}

/// Counts work as in flight until dropped.
pub struct InFlightGuard {
    state: Rc<GatewayState>,
    number: u64,
}

impl InFlightGuard {
    pub(crate) fn start(state: &Rc<GatewayState>, now: Instant, work: InFlightWork) -> Self {
        let number = state.in_flight.borrow_mut().add(now, work);
        Self { state: state.clone(), number }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.borrow_mut().entries.remove(&self.number);
    }
}
