//! The state shared by the tasks of a gateway.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    ArrivalMeter, ConfirmedConfig, CrashLedger, CrashLedgerSettings, HeadPicker, RetryBudget,
    RetryBudgetSettings, ShareRetryBudget,
};
use comfreyturn_types::{
    FleetGroupRecord, FleetServer, GroupMembership, MemberPhase, MemberRecord, ModelName,
    ServerLife, ServiceName,
};

use crate::{
    GatewaySettings, LoadTracker, PeerTable, ServerTable, StallTracker, config_view::ConfigView,
};

/// Crashes after which a request is quarantined, regardless of other crashes at the time.
const QUARANTINE_CRASHES: usize = 3;

/// How long servers that left the list are kept.
const UNLISTED_RETENTION: Duration = Duration::from_secs(20);

/// Periods are multiplied by the number of other nodes divided by this, rounded down, but not
/// shortened.
const PEERS_AT_FULL_RATE: u32 = 16;

/// Groups are not planned if the list of servers was not read within this time.
const LIST_MAX_AGE: Duration = Duration::from_secs(2);

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
    pub(crate) stalls: RefCell<StallTracker>,
    pub(crate) peers: RefCell<PeerTable>,
    pub(crate) budgets: RefCell<HashMap<ServiceName, ShareRetryBudget>>,
    pub(crate) suspects: RefCell<CrashLedger>,

    /// Recent crashes caused by requests of this node: time, fingerprint of the request, and hash
    /// of the server's life.
    pub(crate) crashes: RefCell<Vec<(Instant, u64, u64)>>,

    /// Servers that don't answer probes.
    pub(crate) lost: RefCell<HashSet<ServerLife>>,

    /// Members of groups that left the list, and when. They may still serve.
    pub(crate) unlisted: RefCell<HashMap<ServerLife, (Instant, FleetServer)>>,

    /// Rates of the requests sent by this node, by service and model.
    pub(crate) arrivals: RefCell<HashMap<(ServiceName, Option<ModelName>), ArrivalMeter>>,

    /// Requests refused for lack of capacity since the last heartbeat, by model.
    refused: RefCell<HashMap<ModelName, f64>>,
    refusal_rates: RefCell<HashMap<ModelName, f64>>,

    /// When the list of servers was first and last read.
    list_reads: Cell<Option<(Instant, Instant)>>,

    /// The platform's version of the list as last read.
    list_version: Cell<u64>,

    /// The newest version of the configuration held by another node.
    pub(crate) peer_config_version: Cell<u64>,

    /// The version of the list at which this node last saw a change.
    pub(crate) list_change_version: Cell<u64>,

    /// The newest version of the list at which any other node saw a change.
    peer_change_version: Cell<u64>,
    pub(crate) has_traffic: Cell<bool>,
    pub(crate) leaving: Cell<bool>,
    pub(crate) refusing: Cell<bool>,
    pub(crate) in_flight: Cell<usize>,

    /// The fencing number of the fleet's lease while this node holds it, else zero.
    pub(crate) lease_fencing: Cell<u64>,

    /// Whether this node orders servers into groups.
    pub(crate) forms_groups: Cell<bool>,
    pub(crate) picker: HeadPicker,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings) -> Self {
        let suspects = CrashLedgerSettings {
            burst_crashes: 0,
            burst_quarantine_crashes: QUARANTINE_CRASHES,
            ..CrashLedgerSettings::default()
        };
        Self {
            picker: HeadPicker::new(settings.picker),
            settings,
            config: RefCell::default(),
            confirmed: Cell::default(),
            servers: RefCell::default(),
            loads: LoadTracker::default(),
            stalls: RefCell::default(),
            peers: RefCell::default(),
            budgets: RefCell::default(),
            suspects: RefCell::new(CrashLedger::new(suspects)),
            crashes: RefCell::default(),
            lost: RefCell::default(),
            unlisted: RefCell::default(),
            arrivals: RefCell::default(),
            refused: RefCell::default(),
            refusal_rates: RefCell::default(),
            list_reads: Cell::new(None),
            list_version: Cell::new(0),
            peer_config_version: Cell::new(0),
            list_change_version: Cell::new(0),
            peer_change_version: Cell::new(0),
            has_traffic: Cell::new(false),
            leaving: Cell::new(false),
            refusing: Cell::new(false),
            in_flight: Cell::new(0),
            lease_fencing: Cell::new(0),
            forms_groups: Cell::new(false),
        }
    }

    /// Counts a request of a service for its retry budget.
    pub(crate) fn record_request(&self, now: Instant, service: &ServiceName) {
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Whether a request of a service may be retried; if so, takes a retry from the budget.
    pub(crate) fn try_retry(&self, now: Instant, service: &ServiceName) -> bool {
        self.with_budget(service, |budget| budget.try_retry(now))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut ShareRetryBudget) -> T,
    ) -> T {
        let settings = RetryBudgetSettings {
            share: self.settings.retry_share,
            floor: self.settings.retry_floor,
            window: self.settings.retry_window,
            ..RetryBudgetSettings::default()
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget =
            budgets.entry(service.clone()).or_insert_with(|| ShareRetryBudget::new(settings));
        change(budget)
    }

    /// Records the version of the list of servers that was read, and whether it contained changes.
    pub(crate) fn record_list_version(&self, version: u64, has_changes: bool) {
        self.list_version.set(version);
        if has_changes {
            self.list_change_version.set(version);
        }
    }

    /// Records that another node saw a change at a version of the list.
    pub(crate) fn record_peer_change(&self, version: u64) {
        self.peer_change_version.set(self.peer_change_version.get().max(version));
    }

    /// Whether another node saw a change in the list that this node has not read.
    pub(crate) fn has_unread_changes(&self) -> bool {
        self.peer_change_version.get() > self.list_version.get()
    }

    /// The version of the list of servers as last read.
    pub(crate) fn list_version(&self) -> u64 {
        self.list_version.get()
    }

    /// How long ago the list of servers was last read.
    pub(crate) fn list_age(&self, now: Instant) -> Option<Duration> {
        self.list_reads.get().map(|(_, last)| now.saturating_duration_since(last))
    }

    /// Records that the list of servers was read.
    pub(crate) fn record_list_read(&self, now: Instant) {
        let (first, _) = self.list_reads.get().unwrap_or((now, now));
        self.list_reads.set(Some((first, now)));
    }

    /// Whether the list of servers is complete enough to plan: it was read recently, and, if groups
    /// were `restored`, it has been read for long enough that servers whose entries expired have
    /// registered again.
    pub(crate) fn list_is_settled(&self, now: Instant, restored: bool) -> bool {
        let Some((first, last)) = self.list_reads.get() else { return false };
        let fresh = now.saturating_duration_since(last) < LIST_MAX_AGE;
        let settled = now.saturating_duration_since(first) >= self.settings.outage_grace;
        fresh && (settled || !restored)
    }

    /// Keeps members of groups that left the list, and forgets stalled and lost servers that are
    /// neither listed nor kept.
    pub(crate) fn record_dropped(&self, now: Instant, dropped: Vec<FleetServer>) {
        let mut unlisted = self.unlisted.borrow_mut();
        let members = dropped.into_iter().filter(|server| server.membership.is_some());
        for server in members {
            let group = server.membership.as_ref().map(|membership| membership.group.to_string());
            log::info!(
                server:% = server.life, group = group, list_version = self.list_version();
                "servers: member of a group left the list."
            );
            unlisted.insert(server.life.clone(), (now, server));
        }
        let servers = self.servers.borrow();
        unlisted.retain(|life, (at, _)| {
            servers.get(life).is_none() && now.saturating_duration_since(*at) < UNLISTED_RETENTION
        });
        let known = |life: &ServerLife| servers.get(life).is_some() || unlisted.contains_key(life);
        self.stalls.borrow_mut().retain(known);
        self.lost.borrow_mut().retain(known);
    }

    /// Keeps the members that a group's row names but the list doesn't. They may still serve if
    /// they lost their connection to the platform before this node read the list.
    pub(crate) fn add_unlisted_members(&self, now: Instant, record: &FleetGroupRecord) {
        let servers = self.servers.borrow();
        let mut unlisted = self.unlisted.borrow_mut();
        for (rank, member) in record.members.iter().enumerate() {
            if servers.get(&member.life).is_some() || unlisted.contains_key(&member.life) {
                continue;
            }
            let server = recorded_server(record, member, rank);
            unlisted.insert(member.life.clone(), (now, server));
        }
    }

    pub(crate) fn has_lost<'a>(&self, mut members: impl Iterator<Item = &'a FleetServer>) -> bool {
        let lost = self.lost.borrow();
        members.any(|member| lost.contains(&member.life))
    }

    /// Lengthens a period or a timeout with the number of nodes. Each node sends heartbeats to
    /// every other one, so this bounds the rate at which it sends.
    pub(crate) fn scale_by_peers(&self, period: Duration) -> Duration {
        let peers = u32::try_from(self.peers.borrow().len()).unwrap_or(u32::MAX);
        period * (peers / PEERS_AT_FULL_RATE).max(1)
    }

    /// A random time after which a caller refused now should retry.
    pub(crate) fn retry_after(&self) -> Duration {
        let (least, most) = self.settings.retry_after;
        least + most.saturating_sub(least).mul_f64(rand::random())
    }

    /// Records that a request for a model was refused for lack of capacity.
    pub(crate) fn record_refusal(&self, model: Option<&ModelName>) {
        if let Some(model) = model {
            *self.refused.borrow_mut().entry(model.clone()).or_default() += 1.0;
        }
    }

    /// Adds the refusals since the last call, `period` ago, to the moving averages; returns
    /// refusals per second by model.
    pub(crate) fn update_refusals(&self, period: Duration) -> Vec<(ModelName, f64)> {
        let refused = std::mem::take(&mut *self.refused.borrow_mut());
        let mut rates = self.refusal_rates.borrow_mut();
        let weight = REFUSAL_WEIGHT * period.as_secs_f64();
        for (model, count) in &refused {
            let rate = rates.entry(model.clone()).or_default();
            *rate += weight * count / period.as_secs_f64();
        }
        for rate in rates.values_mut() {
            *rate *= 1.0 - weight;
        }
        rates.iter().map(|(model, rate)| (model.clone(), *rate)).collect()
    }
}

/// Builds a server from the row of its group. The head is assumed to be open until it reports
/// another phase.
fn recorded_server(record: &FleetGroupRecord, member: &MemberRecord, rank: usize) -> FleetServer {
    let phase = if rank == 0 { MemberPhase::Open } else { MemberPhase::Ready };
    FleetServer {
        life: member.life.clone(),
        service: record.service.clone(),
        address: member.address,
        failure_domain: member.failure_domain.clone(),
        slots: 0,
        leaving: false,
        fabric_domain: None,
        model: Some(record.model.clone()),
        staged: Vec::new(),
        membership: Some(GroupMembership {
            group: record.group.clone(),
            epoch: record.epoch,
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            phase,
        }),
    }
}
