//! One node's part of the gateway.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_control::TimedTable;
use comfreyturn_policy::{CallerNode, RelayCandidate, choose_target, spread_callers};
use comfreyturn_ports::{
    Clock, ConfigFeed, DatagramLink, FleetControl, NodeRegistry, ServerFeed, ServerLink, Spawner,
    TableStore,
};
use comfreyturn_types::{CallerLimits, CellName, FailureDomain, Incarnation, NodeId, StoreVersion};

use crate::{
    DeniedReason, FleetLoop, ForwardAnswer, ForwardRequest, GatewaySettings, HeartbeatLoop,
    NotRunReason,
    forward_run::ForwardRun,
    gateway_state::GatewayState,
    in_flight::{InFlightGuard, InFlightWork},
    request_trace::RequestTrace,
    run_progress::RunProgress,
};

/// Assumed time left of a caller that states no deadline.
const UNSTATED_DEADLINE: Duration = Duration::from_secs(5);

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

    /// The failure domain that the node belongs to.
    pub failure_domain: FailureDomain,

    /// The node's share of processors, in thousandths of a core.
    pub capacity: u32,

    /// Whether all nodes of the deployment start for the first time.
    pub first_start: bool,
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
        let state = Rc::new(GatewayState::new(settings, &identity));
        Rc::new(Self { identity, ports, state })
    }

    /// Starts the background tasks: polling of the feeds, heartbeats, gauges, watching of lost
    /// paths, release of waiting requests, and forming of groups while this node holds the fleet's lease.
    pub fn start(self: &Rc<Self>) {
        self.state.started_at.set(Some(self.ports.clock.now()));
        let spawn = |task| self.ports.spawner.spawn(task);
        spawn(Box::pin(self.clone().keep_node_rows()));
        spawn(Box::pin(self.clone().follow_config()));
        spawn(Box::pin(self.clone().follow_servers()));
        let heartbeats = Rc::new(HeartbeatLoop::new(self.clone()));
        spawn(Box::pin(heartbeats.clone().send()));
        spawn(Box::pin(heartbeats.receive()));
        spawn(Box::pin(FleetLoop::new(self.clone()).run()));
        spawn(Box::pin(self.clone().keep_gauges()));
        spawn(Box::pin(self.clone().watch_paths()));
        spawn(Box::pin(self.clone().release_waiting()));
    }

    /// Answers a request.
    pub async fn forward(&self, request: ForwardRequest) -> ForwardAnswer {
        let state = &self.state;
        state.start_traffic(self.ports.clock.now());
        let mut trace = RequestTrace::new(state, &self.ports.clock, &request);
        if state.refusing.get() {
            return self.not_run(&trace, NotRunReason::Leaving, request.deadline);
        }
        let view = state.config.borrow().clone();
        let Some(view) = view else {
            return self.not_run(&trace, NotRunReason::NoConfig, request.deadline);
        };
        let Some(route) = view.routes.find(&request.host, request.path()) else {
            return denied(&trace, DeniedReason::NoRoute);
        };
        let needs_key = view.keys.is_some() && !route.public;
        if needs_key && !state.config_is_usable(self.ports.clock.now()) {
            return self.not_run(&trace, NotRunReason::StaleConfig, request.deadline);
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
            return self.not_run(&trace, NotRunReason::NoServer, request.deadline);
        };
        let label = view.customer_label(customer.map(|customer| &customer.name));
        trace.routed(
            &service.name,
            &route.name,
            label,
            customer.and_then(|customer| customer.priority),
        );
        let limit = request.deadline.map_or(route.timeout, |limit| limit.min(route.timeout));
        let now = self.ports.clock.now();
        let deadline_at = request.received_at + limit;
        let left = deadline_at.saturating_duration_since(now);
        state.log_late_request(now, &request, &route.name, left);
        if !state.can_take(now, &route.name, left) {
            return self.not_run(&trace, NotRunReason::EndsTooSoon, request.deadline);
        }
        let work = InFlightWork::Request { request: request.id.clone(), route: route.name.clone() };
        let run = ForwardRun {
            state: state.clone(),
            ports: self.ports.clone(),
            deadline_at,
            route: route.clone(),
            service: service.clone(),
            customer: customer.map(|customer| customer.name.clone()),
            priority: view.priority(customer, route, &service.name),
            progress: RunProgress::default(),
            _in_flight: InFlightGuard::start(state, now, work),
            trace,
            request,
        };
        run.run().await
    }

    fn not_run(
        &self,
        trace: &RequestTrace,
        reason: NotRunReason,
        deadline: Option<Duration>,
    ) -> ForwardAnswer {
        let retry_after =
            self.state.retry_after(reason.cause(), deadline.unwrap_or(UNSTATED_DEADLINE));
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
            && self.state.list_age(now).is_some()
            && self.state.config_is_usable(now)
    }

    /// Whether this node's own paths to the servers work.
    pub(crate) fn has_paths(&self) -> bool {
        !self.state.paths.borrow().is_lost()
    }

    /// The addresses of the nodes that callers of a failure domain should use, at most `limit`.
    pub fn caller_addresses(
        &self,
        failure_domain: Option<&FailureDomain>,
        limit: usize,
    ) -> Vec<SocketAddr> {
        let Self { identity, state, .. } = self;
        let now = self.ports.clock.now();
        let view = state.view.borrow();
        let alive = view.peers.alive(now, state.settings.peer_timeouts);
        let ready = alive.filter(|(_, peer)| peer.status.ready);
        let mut nodes: Vec<CallerNode> = ready
            .map(|(node, peer)| CallerNode {
                node: node.clone(),
                failure_domain: peer.status.failure_domain.clone(),
                address: peer.status.caller_address,
            })
            .collect();
        // Callers of a node without paths to the servers are better off at another one.
        if self.is_ready() && (self.has_paths() || nodes.is_empty()) {
            nodes.push(CallerNode {
                node: identity.node.clone(),
                failure_domain: identity.failure_domain.clone(),
                address: identity.caller_address,
            });
        }
        spread_callers(nodes, failure_domain, limit)
    }

    /// Chooses the relays anew. A leaving node is none.
    pub(crate) fn update_roster(&self, now: Instant) {
        let Self { identity, state, .. } = self;
        let settings = &state.settings;
        let own = RelayCandidate {
            node: identity.node.clone(),
            failure_domain: identity.failure_domain.clone(),
            capacity: identity.capacity,
        };
        let own = (!state.leaving.get()).then_some(own);
        let mut view = state.view.borrow_mut();
        view.update_roster(now, own, settings.peer_timeouts, settings.relays);
    }

    /// Whether this node reads the list of servers from the platform: the holder of the fleet's
    /// lease and the first relays do. All other nodes get the changes from their relays.
    pub(crate) fn reads_list(&self, now: Instant) -> bool {
        let Self { identity, state, .. } = self;
        let settings = &state.settings;
        if state.forms_groups.get() || state.needs_whole_list.get() {
            return true;
        }
        let view = state.view.borrow();
        let is_alone = view.roster.relays().all(|node| *node == identity.node);
        let rank = view.roster.rank(&identity.node);
        let is_old = state.list_age(now).is_none_or(|age| age >= settings.list_age_limit);
        is_alone
            || rank.is_some_and(|rank| rank < settings.list_readers)
            || (is_old && state.was_running_for(now, settings.list_age_limit))
    }

    /// The version of the configuration that this node holds.
    pub fn config_version(&self) -> Option<u64> {
        self.state.config.borrow().as_ref().map(|view| view.config.version)
    }

    /// The limits on callers that the configuration states.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.state.config.borrow().as_ref().map(|view| view.config.limits)
    }

    /// The version of the platform's store up to which this node has the list of servers.
    pub fn list_version(&self) -> StoreVersion {
        self.state.list_version()
    }

    /// Whether this node holds the fleet's lease and orders servers into groups.
    pub fn forms_groups(&self) -> bool {
        self.state.forms_groups.get()
    }

    /// Requests of callers that are in flight.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.borrow().len()
    }

    /// Whether callers should use other nodes, because this one stops.
    pub fn is_leaving(&self) -> bool {
        self.state.leaving.get()
    }

    /// Announces that callers should use other nodes. New requests are still answered.
    pub fn announce_leaving(&self) {
        self.state.leaving.set(true);
        log::info!(in_flight = self.in_flight(); "gateway: leaving.");
    }

    /// Refuses all new requests from now on, and those that wait.
    pub fn refuse_new(&self) {
        self.state.refusing.set(true);
        self.state.waiting.stop();
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
