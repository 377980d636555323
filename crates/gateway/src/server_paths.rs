//! Which way requests take to the servers: this node's own paths, or through another node.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{AnswerReceiver, ColdStatement};
use comfreyturn_types::{FleetServer, ServerLife};
use futures_util::future::{Either, select};
use rand::seq::{IndexedRandom as _, IteratorRandom as _};

use crate::{
    Gateway, NotRunReason,
    gateway_state::GatewayState,
    in_flight::{InFlightGuard, InFlightWork},
};

/// A server that answered another node longer ago than this may have failed since.
const ANSWER_MAX_AGE: Duration = Duration::from_secs(1);

impl GatewayState {
    /// The node through which a request must be sent; `None` if this node's own paths work, or no
    /// other node is alive. One hop at most is taken: a node that lost its own paths opens no
    /// tunnels.
    ///
    /// # Errors
    ///
    /// If other nodes are alive, and none has a path to the servers.
    pub(crate) fn helper(&self, now: Instant) -> Result<Option<SocketAddr>, NotRunReason> {
        self.update_paths(now);
        if !self.paths.borrow().is_lost() {
            return Ok(None);
        }
        let view = self.view.borrow();
        let mut alive = view.peers.alive(now, self.settings.peer_timeouts).peekable();
        if alive.peek().is_none() {
            return Ok(None);
        }
        let helpers: Vec<(SocketAddr, u32)> = alive
            .filter(|(_, peer)| peer.status.ready)
            .map(|(_, peer)| (peer.status.peer_address, peer.status.capacity.max(1)))
            .collect();
        // By capacity, so that no node gets all requests of the others.
        let helper = helpers.choose_weighted(&mut rand::rng(), |(_, capacity)| *capacity);
        helper.map(|(address, _)| Some(*address)).map_err(|_| NotRunReason::NoServer)
    }

    /// Records that a new connection of this node reached a server.
    pub(crate) fn record_reached(&self) {
        if self.paths.borrow_mut().record_reached() {
            log::info!("paths: servers are reached again.");
        }
    }

    /// Records that this node did not reach a server, that the server was silent, or broke off.
    pub(crate) fn record_unreached(&self, now: Instant, life: &ServerLife) {
        self.paths.borrow_mut().record_unreached(now, life);
        self.update_paths(now);
    }

    /// Records that a server sent something over a connection of this node.
    pub(crate) fn record_heard(&self, life: &ServerLife) {
        self.paths.borrow_mut().record_heard(life);
    }

    /// Decides whether this node's own paths are lost. If so, what it saw of servers meanwhile says
    /// nothing about them.
    fn update_paths(&self, now: Instant) {
        let mut stalls = self.stalls.borrow_mut();
        let is_new = self
            .paths
            .borrow_mut()
            .update(now, |life, at| stalls.peer_seen_at(life).is_some_and(|seen| seen > at));
        if is_new {
            stalls.forget_own_stalls();
            log::warn!("paths: no server is reached; requests go through other nodes.");
        }
    }

    /// The servers that are listed with an address.
    pub(crate) fn lives_at(&self, server: SocketAddr) -> Vec<ServerLife> {
        let servers = self.servers.borrow();
        let there = servers.all().filter(|listed| listed.address == server);
        there.map(|listed| listed.life.clone()).collect()
    }

    /// A random server that answered another node lately.
    fn answering_server(&self, now: Instant) -> Option<FleetServer> {
        let (servers, stalls) = (self.servers.borrow(), self.stalls.borrow());
        let waits = self.waits.borrow();
        let free = servers
            .all()
            .filter(|server| !waits.is_waiting(now, &server.life) && !self.is_evacuated(server));
        let answering = free.filter(|server| {
            let seen_at = stalls.peer_seen_at(&server.life);
            seen_at.is_some_and(|at| now.saturating_duration_since(at) < ANSWER_MAX_AGE)
        });
        answering.choose(&mut rand::rng()).cloned()
    }

    /// Whether this node opens a connection to a server for another node.
    fn helps(&self, now: Instant, server: SocketAddr) -> bool {
        let has_place = self.in_flight.borrow().len() < self.settings.helped_requests;
        let is_usable = !self.leaving.get() && self.config_is_usable(now);
        let has_path = !self.paths.borrow().is_lost();
        has_place && is_usable && has_path && self.permits_tunnel(now, server)
    }
}

/// A permit for one connection to a server for another node. A node that stops waits until the
/// connection is closed, as long as it may.
pub struct TunnelPermit {
    _in_flight: InFlightGuard,
}

impl Gateway {
    /// A permit to connect to a server for another node; `None` if this node doesn't do so now.
    pub fn admit_tunnel(&self, server: SocketAddr) -> Option<TunnelPermit> {
        let now = self.ports.clock.now();
        let start = || InFlightGuard::start(&self.state, now, InFlightWork::Tunnel { server });
        self.state.helps(now, server).then(|| TunnelPermit { _in_flight: start() })
    }

    /// Probes a server from time to time while this node's own paths count as lost. Never returns.
    pub(crate) async fn watch_paths(self: Rc<Self>) {
        let Self { ports, state, .. } = &*self;
        loop {
            ports.clock.sleep(state.settings.path_probe_period).await;
            if !state.paths.borrow().is_lost() {
                continue;
            }
            let server = state.answering_server(ports.clock.now());
            if let Some(server) = server
                && self.responds(&server).await
            {
                state.record_reached();
            }
        }
    }

    /// Whether a server answers a probe of this node in time. What it reports is recorded.
    pub(crate) async fn responds(&self, server: &FleetServer) -> bool {
        let Self { ports, state, .. } = self;
        let asked_at = ports.clock.now();
        let limit = ports.clock.sleep(state.settings.probe_timeout);
        let answer = select(ports.fleet.probe(server), limit).await;
        let Either::Left((Ok(report), _)) = answer else { return false };
        state.record_place(&server.life, asked_at, report.place);
        if let Some(left) = report.cold_left {
            let statement = ColdStatement::new(ports.clock.now(), left);
            state.record_cold_answer(&server.life, statement, AnswerReceiver::This);
        }
        true
    }
}
