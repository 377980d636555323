//! One node's part of the gateway.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use comfreyturn_control::TimedTable;
use comfreyturn_policy::choose_target;
use comfreyturn_ports::{
    Clock, ConfigFeed, DatagramLink, FleetControl, NodeRegistry, ServerFeed, ServerLink, Spawner,
    TableStore,
};
use comfreyturn_types::{CellName, Incarnation, NodeId};

use crate::{
    DeniedReason, FleetLoop, ForwardAnswer, ForwardRequest, GatewaySettings, HeartbeatLoop,
    NotRunReason, forward_attempt::InFlightGuard, forward_run::ForwardRun,
    gateway_state::GatewayState, request_trace::RequestTrace,
};

/// The interfaces through which a gateway reaches the outside.
#[derive(Clone)]
pub struct GatewayPorts {
    /// Clock and timers.
    pub clock: Rc<dyn Clock>,

    /// Spawns tasks.
    pub spawner: Rc<dyn Spawner>,

    /// The table service, for the fleet's lease and the rows of groups.
    pub table: Rc<dyn TableStore>,

    /// Sends requests to servers.
    pub servers: Rc<dyn ServerLink>,

    /// Sends orders and probes to servers.
    pub fleet: Rc<dyn FleetControl>,

    /// The operators' configuration.
    pub config_feed: Rc<dyn ConfigFeed>,

    /// The list of servers.
    pub server_feed: Rc<dyn ServerFeed>,

    /// The list of nodes.
    pub nodes: Rc<dyn NodeRegistry>,

    /// Exchanges datagrams with other nodes.
    pub datagrams: Rc<dyn DatagramLink>,
}

/// The identity and the addresses of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayIdentity {
    /// The cell of this node; part of the keys of the rows that the node writes.
    pub cell: CellName,

    /// The name of the node.
    pub node: NodeId,

    /// The incarnation of this process.
    pub incarnation: Incarnation,

    /// Where the node receives datagrams.
    pub peer_address: SocketAddr,

    /// Where the node accepts callers.
    pub caller_address: SocketAddr,
}

/// One node's part of the gateway.
pub struct Gateway {
    pub(crate) identity: GatewayIdentity,
    pub(crate) ports: GatewayPorts,
    pub(crate) state: Rc<GatewayState>,
}

impl Gateway {
    /// Creates a gateway without a configuration or a list of servers.
    pub fn new(
        identity: GatewayIdentity,
        ports: GatewayPorts,
        settings: GatewaySettings,
    ) -> Rc<Self> {
        Rc::new(Self { identity, ports, state: Rc::new(GatewayState::new(settings)) })
    }

    /// Starts the background tasks: polling of the feeds, heartbeats, gauges, and forming of groups
    /// while this node holds the fleet's lease.
    pub fn start(self: &Rc<Self>) {
        let spawn = |task| self.ports.spawner.spawn(task);
        spawn(Box::pin(self.clone().follow_config()));
        spawn(Box::pin(self.clone().follow_servers()));
        spawn(Box::pin(self.clone().keep_node_rows()));
        let heartbeats = Rc::new(HeartbeatLoop::new(self.clone()));
        spawn(Box::pin(heartbeats.clone().send()));
        spawn(Box::pin(heartbeats.receive()));
        spawn(Box::pin(FleetLoop::new(self.clone()).run()));
        spawn(Box::pin(self.clone().keep_gauges()));
    }

    /// Answers a request.
    pub async fn forward(&self, request: ForwardRequest) -> ForwardAnswer {
        let state = &self.state;
        state.has_traffic.set(true);
        let mut trace = RequestTrace::new(state, &self.ports.clock, &request);
        if state.refusing.get() {
            return self.not_run(&trace, NotRunReason::Leaving);
        }
        let view = state.config.borrow().clone();
        let Some(view) = view else { return self.not_run(&trace, NotRunReason::NoConfig) };
        let Some(route) = view.routes.find(&request.host, request.path()) else {
            return denied(&trace, DeniedReason::NoRoute);
        };
        let needs_key = view.keys.is_some() && !route.public;
        if needs_key && !state.config_is_usable(self.ports.clock.now()) {
            return self.not_run(&trace, NotRunReason::StaleConfig);
        }
        let customer = match &view.keys {
            Some(keys) if needs_key => {
                let Some(customer) = request.key.as_deref().and_then(|key| keys.customer(key))
                else {
                    return denied(&trace, DeniedReason::UnknownKey);
                };
                Some(customer)
            }
            _ => None,
        };
        let target = choose_target(route, rand::random());
        let service = target.and_then(|target| view.config.services.get(&target.service));
        let Some(service) = service else {
            return self.not_run(&trace, NotRunReason::NoServer);
        };
        let label = view.customer_label(customer.map(|customer| &customer.name));
        trace.routed(&service.name, label, customer.and_then(|customer| customer.priority));
        let limit = request.deadline.map_or(route.timeout, |limit| limit.min(route.timeout));
        let run = ForwardRun {
            state: state.clone(),
            ports: self.ports.clone(),
            deadline_at: request.received_at + limit,
            route: route.clone(),
            service: service.clone(),
            customer: customer.map(|customer| customer.name.clone()),
            priority: customer.and_then(|customer| customer.priority),
            tried: Vec::new(),
            sent: 0,
            may_have_run: false,
            _in_flight: InFlightGuard::start(state),
            trace,
            request,
        };
        run.run().await
    }

    fn not_run(&self, trace: &RequestTrace, reason: NotRunReason) -> ForwardAnswer {
        let retry_after = self.state.retry_after();
        trace.not_run(reason, retry_after);
        ForwardAnswer::NotRun { reason, retry_after }
    }

    // ---------------------------------------------------------------------------------------
    // Status and shutdown

    /// Whether callers should use this node.
    pub fn is_ready(&self) -> bool {
        let now = self.ports.clock.now();
        !self.state.leaving.get()
            && self.state.config.borrow().is_some()
            && self.state.config_is_usable(now)
    }

    /// The addresses of all nodes that callers should use.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let now = self.ports.clock.now();
        let timeout = self.state.scale_by_peers(self.state.settings.peer_timeout);
        let peers = self.state.peers.borrow();
        let alive = peers.alive(now, timeout);
        let ready = alive.filter(|(_, peer)| peer.ready);
        let mut addresses: Vec<_> = ready.filter_map(|(_, peer)| peer.caller_address).collect();
        if self.is_ready() {
            addresses.push(self.identity.caller_address);
        }
        addresses
    }

    /// The version of the configuration that this node holds.
    pub fn config_version(&self) -> Option<u64> {
        self.state.config.borrow().as_ref().map(|view| view.config.version)
    }

    /// Whether this node holds the fleet's lease and orders servers into groups.
    pub fn forms_groups(&self) -> bool {
        self.state.forms_groups.get()
    }

    /// Requests of callers that are in flight.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.get()
    }

    /// Announces that callers should use other nodes. New requests are still answered.
    pub fn announce_leaving(&self) {
        self.state.leaving.set(true);
        log::info!(in_flight = self.in_flight(); "gateway: leaving.");
    }

    /// Refuses all new requests from now on.
    pub fn refuse_new(&self) {
        self.state.refusing.set(true);
        log::info!(in_flight = self.in_flight(); "gateway: refuses new requests.");
    }

    /// The table service, with a time limit on each call.
    pub(crate) fn table(&self, limit: Duration) -> TimedTable {
        TimedTable::new(self.ports.table.clone(), self.ports.clock.clone(), limit)
    }
}

fn denied(trace: &RequestTrace, reason: DeniedReason) -> ForwardAnswer {
    trace.denied(reason);
    ForwardAnswer::Denied(reason)
}
