//! Assembles a node, runs it and shuts it down.

use std::{
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_adapters::{
    BackendClient, BackendSettings, ByteMeter, CompioSpawner, DirectoryClient, EngineClient,
    HttpPool, HttpSettings, PeerClient, PeerServer, PeerSettings, SignalInbox, SystemClock,
    TableClient,
};
use comfreyturn_control::{ControlPorts, ControlSettings, LimitController, NodeControl};
use comfreyturn_policy::{
    CrashLedger, CrashLedgerSettings, FairQueue, FairQueueSettings, LoadRouter, LoadRouterSettings,
    RetryBudgetSettings, ShareRetryBudget, ShutdownSettings, ShutdownTerm, WeightedPlanner,
    WeightedPlannerSettings,
};
use comfreyturn_ports::{Clock, PeerIdentity, PeerLink, Spawner};
use comfreyturn_serving::{RequestService, ServingPolicies, ServingPorts, ServingSettings};
use comfreyturn_telemetry::node_recorder;
use comfreyturn_types::RosterMember;
use compio::net::TcpListener;
use futures_util::{FutureExt, pin_mut, select_biased};

use crate::{
    NodeError, NodeSettings, Result, StopSignal,
    caller::{CallerApi, CallerServer},
    node_gauges::NodeGauges,
    node_view::{HOME_NODES, NodeView},
    operator::{OperatorServer, OperatorService},
};

/// Time for connections to flush their last bytes after the last request has ended.
const CONNECTION_FLUSH_TIME: Duration = Duration::from_millis(200);

/// Time kept before the shutdown limit for the last answers, the outcomes of claims and the roster;
/// less if the limit is short.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Time for the last answers of a process that was frozen until its shutdown limit had passed.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(500);

/// Runs a node until it receives a stop signal. Must be called inside a compio runtime, on a thread
/// that runs no other node.
///
/// # Errors
/// If an address of the settings cannot be listened on.
pub async fn run_node(settings: NodeSettings, stop: flume::Receiver<StopSignal>) -> Result<()> {
    let recorder = node_recorder();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let mut inbox = SignalInbox::new(stop, Rc::new(SystemClock));
    let listeners = NodeListeners::open(&settings).await?;
    let parts = NodeParts::new(&settings);
    log::info!(
        "node: {} started with incarnation {}.",
        settings.node,
        parts.control.member().incarnation
    );
    let (drain_trigger, draining) = flume::bounded::<Infallible>(0);
    parts.start(&settings, listeners, draining, recorder.handle());
    let (signal, stopped_at) = inbox.next().await;
    if signal != Some(StopSignal::Now) {
        let term = shutdown_term(&settings, stopped_at);
        parts.shut_down(term, drain_trigger, &mut inbox).await;
    }
    log::info!("node: {} stopped.", settings.node);
    Ok(())
}

/// The listening sockets of a node.
struct NodeListeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl NodeListeners {
    /// Opens the sockets, the peers' first: only one process can listen on that address, so success
    /// proves that no other process of this node is running.
    async fn open(settings: &NodeSettings) -> Result<Self> {
        Ok(Self {
            peers: listen(settings.peer_address).await?,
            callers: listen(settings.caller_address).await?,
            operators: listen(settings.operator_address).await?,
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|source| NodeError::Listen { address, source })
}

/// The parts of a running node.
struct NodeParts {
    identity: PeerIdentity,
    clock: Rc<dyn Clock>,
    spawner: Rc<dyn Spawner>,
    meter: ByteMeter,
    control: Rc<NodeControl>,
    view: Rc<NodeView>,
    service: Rc<RequestService>,
}

impl NodeParts {
    fn new(settings: &NodeSettings) -> Self {
        let member = settings.roster_member();
        let identity = identity(settings, &member);
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let spawner: Rc<dyn Spawner> = Rc::new(CompioSpawner);
        let meter = ByteMeter::default();
        let pool = HttpPool::new(HttpSettings::default(), meter.clone());
        let peers: Rc<dyn PeerLink> = Rc::new(PeerClient::new(
            identity.clone(),
            clock.now(),
            PeerSettings::default(),
            meter.clone(),
        ));
        let table = Rc::new(TableClient::new(pool.clone(), settings.platform_address));
        let ports = ControlPorts {
            clock: clock.clone(),
            spawner: spawner.clone(),
            table: table.clone(),
            directory: Rc::new(DirectoryClient::new(pool.clone(), settings.platform_address)),
            engines: Rc::new(EngineClient::new(pool)),
            peers: peers.clone(),
        };
        let control =
            NodeControl::new(settings.cell.clone(), member, ports, ControlSettings::default());
        let limits = LimitController::new(
            control.clone(),
            peers.clone(),
            clock.clone(),
            spawner.clone(),
            HOME_NODES,
        );
        control.set_planner(Box::new(WeightedPlanner::new(planner_settings(settings))));
        let view = Rc::new(NodeView {
            control: control.clone(),
            peers,
            limits,
            node: settings.node.clone(),
        });
        let data_pool = HttpPool::new(HttpSettings::default(), ByteMeter::default());
        let serving_ports = ServingPorts {
            clock: clock.clone(),
            spawner: spawner.clone(),
            table,
            backends: Rc::new(BackendClient::new(data_pool, BackendSettings::default())),
        };
        let service = RequestService::new(
            identity.clone(),
            view.clone(),
            serving_ports,
            policies(),
            serving_settings(settings),
        );
        Self { identity, clock, spawner, meter, control, view, service }
    }

    fn start(
        &self,
        settings: &NodeSettings,
        listeners: NodeListeners,
        draining: flume::Receiver<Infallible>,
        metrics: metrics_exporter_prometheus::PrometheusHandle,
    ) {
        let service = self.service.clone();
        self.control.on_notice(Rc::new(move |_, notice| service.apply_notice(notice)));
        self.control.start();
        let gauges = NodeGauges::new(
            self.control.clone(),
            self.service.clone(),
            self.clock.clone(),
            self.meter.clone(),
            metrics.clone(),
        );
        self.spawner.spawn(Box::pin(gauges.run()));
        let peers = PeerServer::new(
            self.identity.clone(),
            self.clock.now(),
            PeerSettings::default(),
            self.meter.clone(),
            self.view.limits.clone(),
        );
        self.spawner.spawn(Box::pin(self.view.limits.clone().run()));
        self.spawner.spawn(Box::pin(peers.serve(listeners.peers)));
        let api = CallerApi {
            service: self.service.clone(),
            view: self.view.clone(),
            clock: self.clock.clone(),
            settings: settings.callers.clone(),
        };
        let callers = CallerServer { api: Rc::new(api), draining, open_connections: Rc::default() };
        self.spawner.spawn(Box::pin(Rc::new(callers).run(listeners.callers)));
        let service = OperatorService::new(self.control.clone(), self.clock.clone());
        let operators = Rc::new(OperatorServer { service, metrics });
        self.spawner.spawn(Box::pin(operators.run(listeners.operators)));
    }

    /// Shuts down gracefully. A second signal or the time limit interrupts requests in progress.
    async fn shut_down(
        &self,
        term: Option<ShutdownTerm>,
        drain_trigger: flume::Sender<Infallible>,
        inbox: &mut SignalInbox<StopSignal>,
    ) {
        if let Some(term) = term {
            self.service.end_by(term);
        }
        let graceful = self.leave(drain_trigger).fuse();
        pin_mut!(graceful);
        let limit = self.limit_reached(term).fuse();
        pin_mut!(limit);
        let second = inbox.next().fuse();
        pin_mut!(second);
        select_biased! {
            () = graceful => {}
            () = limit => log::warn!("node: shutdown limit reached, interrupting requests."),
            _ = second => log::warn!("node: second stop signal, interrupting requests."),
        }
    }

    /// Completes at the shutdown limit, or never if there is none.
    async fn limit_reached(&self, term: Option<ShutdownTerm>) {
        let Some(term) = term else { return std::future::pending().await };
        let left = |at: Instant| at.saturating_duration_since(self.clock.now());
        self.clock.sleep(left(term.ends_at)).await;
        let left = left(term.killed_at);
        self.clock.sleep(if left.is_zero() { LAST_ANSWER_TIME } else { left }).await;
    }

    /// Announces that the node is leaving, serves while callers may still use its address, waits
    /// for requests in progress, closes connections, and leaves the roster.
    async fn leave(&self, drain_trigger: flume::Sender<Infallible>) {
        self.control.set_leaving();
        self.service.drain().await;
        drop(drain_trigger);
        if let Err(error) = self.control.leave_roster().await {
            log::warn!("node: could not leave the roster: {error}.");
        }
        self.clock.sleep(CONNECTION_FLUSH_TIME).await;
    }
}

/// When the node ends that got its stop signal at `stopped_at`; `None` without a shutdown limit.
fn shutdown_term(settings: &NodeSettings, stopped_at: Instant) -> Option<ShutdownTerm> {
    let settings = ShutdownSettings {
        grace: settings.shutdown_limit?,
        address_hold: settings.callers.address_validity,
        answer_margin: ANSWER_MARGIN,
    };
    Some(ShutdownTerm::new(stopped_at, &settings))
}

fn identity(settings: &NodeSettings, member: &RosterMember) -> PeerIdentity {
    PeerIdentity {
        cell: settings.cell.clone(),
        node: member.node.clone(),
        incarnation: member.incarnation,
    }
}

fn policies() -> ServingPolicies {
    ServingPolicies {
        router: Box::new(LoadRouter::new(LoadRouterSettings::default(), rand::random())),
        queue: Box::new(FairQueue::new(FairQueueSettings::default(), rand::random())),
        retries: Box::new(ShareRetryBudget::new(RetryBudgetSettings::default())),
        suspects: Box::new(CrashLedger::new(CrashLedgerSettings::default())),
    }
}

fn planner_settings(settings: &NodeSettings) -> WeightedPlannerSettings {
    WeightedPlannerSettings {
        store_bytes_per_second: settings.weight_store.store_bytes_per_second,
        vm_bytes_per_second: settings.weight_store.vm_bytes_per_second,
        ..WeightedPlannerSettings::default()
    }
}

fn serving_settings(settings: &NodeSettings) -> ServingSettings {
    ServingSettings {
        address_validity: settings.callers.address_validity,
        ..ServingSettings::default()
    }
}
