//! The state shared by the tasks of a gateway.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    num::NonZeroUsize,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    AnswerMemory, ArrivalMeter, ColdServers, ConfirmedConfig, CrashLedger, CrashLedgerSettings,
    EvacuationSet, GroupSightings, HeadPicker, PaceMeter, PathMonitor, RefusalCause, RunTimes,
    SendQuotas, SenderRoster, ServerRooms, ServerWaits, ShutdownTerm, StalePlaces, StatedLimits,
    return_delay,
};
use comfreyturn_types::{
    FailureDomain, FleetServer, ModelName, RouteName, ServerLife, ServiceName, ServiceSpec,
};

use crate::{
    GatewayIdentity, GatewaySettings, LoadTracker, ModelRate, ReportKind, ServerLog, ServerTable,
    StallTracker, ViewReport,
    config_view::ConfigView,
    in_flight::InFlightTable,
    part_suspects::PartSuspects,
    peer_view::PeerView,
    retry_budgets::{BudgetBasis, RetryBudgets},
    waiting_requests::WaitingRequests,
};

/// Crashes after which a request is quarantined, regardless of other crashes at the time.
const QUARANTINE_CRASHES: usize = 3;

/// Data heard from a server longer ago than this is not reported.
const OWN_SEEN_MAX_AGE: Duration = Duration::from_secs(2);

/// Weight of one second of refusals in the moving average.
const REFUSAL_WEIGHT: f64 = 0.3;

/// The state shared by the tasks of a gateway. All of them run on one thread; no borrow is held
/// across an await.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) config: RefCell<Option<Rc<ConfigView>>>,
    pub(crate) confirmed: Cell<ConfirmedConfig>,
    pub(crate) servers: RefCell<ServerTable>,
    pub(crate) loads: LoadTracker,

    /// The failure domain of this node.
    pub(crate) failure_domain: FailureDomain,

    /// By which factor servers are slower than stated, as measured by this node.
    pub(crate) paces: RefCell<PaceMeter>,

    /// The same, as measured by the other nodes.
    pub(crate) others_paces: RefCell<HashMap<ServerLife, f64>>,
    pub(crate) stalls: RefCell<StallTracker>,

    /// Whether this node's own paths to the servers work.
    pub(crate) paths: RefCell<PathMonitor>,

    /// Servers that said in an answer to this node that they are leaving. A lifetime never leaves
    /// the set while the server is known.
    pub(crate) leaving_servers: RefCell<HashSet<ServerLife>>,

    /// Servers that asked this node to wait.
    pub(crate) waits: RefCell<ServerWaits>,

    /// How many requests servers ran when they turned one away.
    pub(crate) rooms: RefCell<ServerRooms>,

    /// The evacuated failure domains.
    pub(crate) evacuation: RefCell<EvacuationSet>,

    /// The rate limits that servers state.
    pub(crate) limits: RefCell<StatedLimits>,

    /// This node's part of these limits.
    pub(crate) quotas: RefCell<SendQuotas>,

    /// The nodes that share these limits.
    pub(crate) senders: RefCell<SenderRoster>,

    /// Servers that tolerate only a low rate of requests.
    pub(crate) cold: RefCell<ColdServers>,

    /// This node's part of what cold servers tolerate.
    pub(crate) cold_quotas: RefCell<SendQuotas>,

    /// The nodes that share what cold servers tolerate and the retry budget, also those that are
    /// not heard: they may be cut off from this node, and send.
    pub(crate) all_senders: RefCell<SenderRoster>,
    pub(crate) view: RefCell<PeerView>,

    /// Changes of the list of servers, for other nodes.
    pub(crate) list_log: RefCell<ServerLog>,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) suspects: RefCell<CrashLedger>,

    /// Recent crashes caused by requests of this node: time, fingerprint of the request, and hash
    /// of the server's life.
    pub(crate) crashes: RefCell<Vec<(Instant, u64, u64)>>,

    /// When the holder of the fleet's lease last ordered a head to join a group without an answer, as
    /// far as this node knows.
    pub(crate) unanswered_join: Cell<Option<Instant>>,

    /// Since when servers have been seen in their groups.
    pub(crate) sightings: RefCell<GroupSightings>,

    /// Which prompt parts may have crashed servers.
    pub(crate) parts: RefCell<PartSuspects>,

    /// Servers that don't answer probes.
    pub(crate) lost: RefCell<HashSet<ServerLife>>,

    /// Servers whose place in a group must be asked for before it can be relied on.
    pub(crate) stale_places: RefCell<StalePlaces>,

    /// The newest era of which this node has seen a part of the list of servers.
    pub(crate) list_era: Cell<Option<u64>>,

    /// Members of groups that left the list, and when. They may still serve.
    pub(crate) unlisted: RefCell<HashMap<ServerLife, (Instant, FleetServer)>>,

    /// Rates of the requests sent by this node, by service and model.
    pub(crate) arrivals: RefCell<HashMap<(ServiceName, Option<ModelName>), ArrivalMeter>>,

    /// Requests refused for lack of capacity since the last heartbeat, by model.
    refused: RefCell<HashMap<ModelName, f64>>,

    /// Rates of this node's requests, by model.
    rates: RefCell<HashMap<ModelName, ModelRate>>,

    /// When the list of servers was first and last read, by this node or the one from which it
    /// gets the list.
    pub(crate) list_reads: Cell<Option<(Instant, Instant)>>,

    /// Whether the list must be read from the platform, because no other node has the changes that
    /// this one lacks.
    pub(crate) needs_whole_list: Cell<bool>,

    /// Whether reports came since the loads of other nodes were last summed up.
    pub(crate) has_new_reports: Cell<bool>,

    /// When this node last read the configuration from the platform.
    pub(crate) config_read_at: Cell<Option<Instant>>,

    /// The newest version of the configuration held by another node.
    pub(crate) peer_config_version: Cell<u64>,

    /// When the first request of a caller arrived at any node.
    traffic_since: Cell<Option<Instant>>,
    pub(crate) has_traffic: Cell<bool>,
    /// Whether all nodes of the deployment start for the first time.
    pub(crate) is_first_start: bool,

    /// When this node started its tasks; `None` before.
    pub(crate) started_at: Cell<Option<Instant>>,

    /// When this node began to exchange datagrams; `None` before.
    pub(crate) joined_at: Cell<Option<Instant>>,
    pub(crate) leaving: Cell<bool>,
    pub(crate) refusing: Cell<bool>,
    pub(crate) in_flight: RefCell<InFlightTable>,

    /// How long requests took lately.
    pub(crate) run_times: RefCell<RunTimes<RouteName>>,

    /// When the node ends, once it received a stop signal.
    pub(crate) shutdown: Cell<Option<ShutdownTerm>>,

    /// The fencing number of the fleet's lease while this node holds it, else zero.
    pub(crate) lease_fencing: Cell<u64>,

    /// Whether this node orders servers into groups.
    pub(crate) forms_groups: Cell<bool>,
    pub(crate) picker: HeadPicker,
    pub(crate) waiting: WaitingRequests,

    /// The memory for answers until they are returned.
    pub(crate) answer_memory: AnswerMemory,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings, identity: &GatewayIdentity) -> Self {
        let GatewayIdentity { node, failure_domain, first_start, .. } = identity.clone();
        let suspects = CrashLedgerSettings {
            burst_crashes: 0,
            burst_quarantine_crashes: QUARANTINE_CRASHES,
            ..CrashLedgerSettings::default()
        };
        Self {
            picker: HeadPicker::new(settings.picker),
            waiting: WaitingRequests::new(settings.waiting),
            answer_memory: AnswerMemory::new(settings.answer_memory),
            config: RefCell::default(),
            confirmed: Cell::default(),
            servers: RefCell::default(),
            loads: LoadTracker::default(),
            failure_domain,
            paces: RefCell::new(PaceMeter::new(settings.pace_meter)),
            others_paces: RefCell::default(),
            stalls: RefCell::default(),
            paths: RefCell::new(PathMonitor::new(settings.paths)),
            leaving_servers: RefCell::default(),
            waits: RefCell::new(ServerWaits::new(settings.server_waits)),
            rooms: RefCell::default(),
            evacuation: RefCell::default(),
            limits: RefCell::default(),
            quotas: RefCell::new(SendQuotas::new(settings.send_quotas, node.clone())),
            senders: RefCell::default(),
            cold: RefCell::default(),
            cold_quotas: RefCell::new(SendQuotas::new(settings.cold_quotas, node.clone())),
            all_senders: RefCell::new(SenderRoster::with_silent_nodes()),
            view: RefCell::new(PeerView::new(settings.relay_choice)),
            list_log: RefCell::default(),
            retry_budgets: RetryBudgets::new(&settings),
            suspects: RefCell::new(CrashLedger::new(suspects)),
            crashes: RefCell::default(),
            parts: RefCell::new(PartSuspects::new(node.clone())),
            lost: RefCell::default(),
            unanswered_join: Cell::new(None),
            sightings: RefCell::default(),
            stale_places: RefCell::new(StalePlaces::new(settings.stale_places)),
            list_era: Cell::new(None),
            unlisted: RefCell::default(),
            arrivals: RefCell::default(),
            refused: RefCell::default(),
            rates: RefCell::default(),
            list_reads: Cell::new(None),
            needs_whole_list: Cell::new(false),
            has_new_reports: Cell::new(false),
            traffic_since: Cell::new(None),
            config_read_at: Cell::new(None),
            peer_config_version: Cell::new(0),
            has_traffic: Cell::new(false),
            is_first_start: first_start,
            started_at: Cell::new(None),
            joined_at: Cell::new(None),
            leaving: Cell::new(false),
            refusing: Cell::new(false),
            in_flight: RefCell::default(),
            run_times: RefCell::new(RunTimes::new(settings.run_times)),
            shutdown: Cell::new(None),
            lease_fencing: Cell::new(0),
            forms_groups: Cell::new(false),
            settings,
        }
    }

    /// Counts a request of a service for its retry budget.
    pub(crate) fn record_request(&self, now: Instant, service: &ServiceName) {
        self.retry_budgets.record_request(now, service, self.budget_basis(now));
    }

    /// Whether a request of a service may be retried; if so, takes a retry from the budget.
    pub(crate) fn try_retry(&self, now: Instant, service: &ServiceName) -> bool {
        self.retry_budgets.try_retry(now, service, self.budget_basis(now))
    }

    /// What this node knows that its retry budgets depend on.
    pub(crate) fn budget_basis(&self, now: Instant) -> BudgetBasis {
        let knows_nodes = self.was_running_for(now, self.settings.sender_settling_time);
        let nodes = if knows_nodes { self.all_senders.borrow().len() } else { 0 };
        BudgetBasis {
            nodes: NonZeroUsize::new(nodes),
            started_at: self.started_at.get().unwrap_or(now),
            is_first_start: self.is_first_start,
        }
    }

    /// Records that callers send requests.
    pub(crate) fn start_traffic(&self, now: Instant) {
        if !self.has_traffic.replace(true) {
            self.traffic_since.set(Some(now));
        }
    }

    /// Whether this node has exchanged datagrams for at least `time`.
    pub(crate) fn was_running_for(&self, now: Instant, time: Duration) -> bool {
        self.joined_at.get().is_some_and(|at| now.saturating_duration_since(at) >= time)
    }

    /// How long callers have been sending requests; `None` before the first one.
    pub(crate) fn traffic_age(&self, now: Instant) -> Option<Duration> {
        self.traffic_since.get().map(|since| now.saturating_duration_since(since))
    }

    pub(crate) fn has_lost<'a>(&self, mut members: impl Iterator<Item = &'a FleetServer>) -> bool {
        let lost = self.lost.borrow();
        members.any(|member| lost.contains(&member.life))
    }

    // ---------------------------------------------------------------------------------------
    // Reports to other nodes

    /// What this node alone reports.
    pub(crate) fn own_report(&self, now: Instant) -> ViewReport {
        let refusals = self.own_refusals(now);
        let stalls = self.stalls.borrow();
        let retention = self.settings.stall_retention;
        let crashes = self.crashes.borrow();
        ViewReport {
            loads: self.loads.own(),
            unread: self.loads.own_unread(),
            paces: self.paces.borrow_mut().recent(now),
            seen: stalls.own_seen(now, OWN_SEEN_MAX_AGE),
            stalls: stalls.own_stalls(now, retention),
            rates: self.rates.borrow().clone(),
            crashes: crashes.iter().map(|(_, request, crash)| (*request, *crash)).collect(),
            quarantined: self.suspects.borrow().quarantined(now).collect(),
            parts: self.parts.borrow().report(now),
            refusals,
            limits: self.limits.borrow().own_recent(now, self.settings.send_quotas.trial_age),
            cold: self.cold.borrow().own_recent(now),
            unanswered_join: self.unanswered_join.get().filter(|_| self.forms_groups.get()),
        }
    }

    /// The sum of what all other nodes report.
    pub(crate) fn others_report(&self) -> ViewReport {
        let kinds = [ReportKind::Relay, ReportKind::Member, ReportKind::Upstream];
        self.view.borrow().reports.sum(&kinds)
    }

    /// Sums up the loads of the other nodes, if there are new reports.
    pub(crate) fn refresh_loads(&self) {
        if self.has_new_reports.replace(false) {
            let others = self.others_report();
            self.loads.set_others(others.loads);
            self.loads.set_others_unread(others.unread);
            *self.others_paces.borrow_mut() = others.paces;
        }
    }

    /// Adds the requests since the last call, `period` ago, to the moving averages.
    pub(crate) fn update_rates(&self, now: Instant, period: Duration) {
        let refused = std::mem::take(&mut *self.refused.borrow_mut());
        let mut rates = self.rates.borrow_mut();
        let weight = REFUSAL_WEIGHT * period.as_secs_f64();
        for (model, count) in refused {
            let rate = rates.entry(model).or_default();
            rate.refused += weight * count / period.as_secs_f64();
        }
        for ((_, model), meter) in self.arrivals.borrow().iter() {
            if let Some(model) = model {
                rates.entry(model.clone()).or_default().arrived = meter.rate(now);
            }
        }
        for rate in rates.values_mut() {
            rate.refused *= 1.0 - weight;
            rate.waiting = 0.0;
            rate.finished = 0.0;
        }
        let room = self.waiting.room.borrow();
        for (key, weight) in room.weights() {
            if let Some(model) = &key.model {
                rates.entry(model.clone()).or_default().waiting += weight;
            }
        }
        for (key, rate) in room.finish_rates(now) {
            if let Some(model) = &key.model {
                rates.entry(model.clone()).or_default().finished += rate;
            }
        }
    }

    /// After which time a caller that is refused now and has `time_left` should come back.
    pub(crate) fn retry_after(&self, cause: RefusalCause, time_left: Duration) -> Duration {
        return_delay(cause, time_left, &self.settings.return_delay, rand::random())
    }

    /// Records that a request for a model was refused for lack of capacity. Names that callers made
    /// up are not counted.
    pub(crate) fn record_refusal(&self, service: &ServiceSpec, model: Option<&ModelName>) {
        let engine = service.engine.as_ref();
        let is_declared = |name: &&ModelName| {
            engine.is_some_and(|engine| engine.models.iter().any(|model| model.name == **name))
        };
        if let Some(model) = model.filter(is_declared) {
            *self.refused.borrow_mut().entry(model.clone()).or_default() += 1.0;
        }
    }
}
