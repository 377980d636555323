//! What a gateway knows.

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

use crate::{GatewaySettings, LoadBook, PeerBook, ServerBook, StallBook, config_view::ConfigView};

/// Deaths that condemn a request, whatever else dies at the time.
const CONDEMNING_DEATHS: usize = 3;

/// How long a server that was dropped from the list is remembered.
const UNLISTED_MEMORY: Duration = Duration::from_secs(20);

/// Other nodes that are told at the usual rate.
const PEERS_AT_FULL_RATE: u32 = 16;

/// A list of servers that was not read for this time is no ground for plans.
const LIST_MEMORY: Duration = Duration::from_secs(2);

/// Weight of a new second in the average of refusals.
const REFUSAL_WEIGHT: f64 = 0.3;

/// What a gateway knows. All parts are changed on one thread; no borrow is held over an await.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) config: RefCell<Option<Rc<ConfigView>>>,
    pub(crate) confirmed: Cell<ConfirmedConfig>,
    pub(crate) servers: RefCell<ServerBook>,
    pub(crate) loads: LoadBook,
    pub(crate) stalls: RefCell<StallBook>,
    pub(crate) peers: RefCell<PeerBook>,
    pub(crate) budgets: RefCell<HashMap<ServiceName, ShareRetryBudget>>,
    pub(crate) suspects: RefCell<CrashLedger>,

    /// Deaths by requests that this node saw, with when.
    pub(crate) deaths: RefCell<Vec<(Instant, u64, u64)>>,

    /// Servers that do not answer.
    pub(crate) lost: RefCell<HashSet<ServerLife>>,

    /// Members of groups that were dropped from the list, with when. They may serve on.
    pub(crate) unlisted: RefCell<HashMap<ServerLife, (Instant, FleetServer)>>,

    /// Requests that this node sends, by service and model.
    pub(crate) arrivals: RefCell<HashMap<(ServiceName, Option<ModelName>), ArrivalMeter>>,

    /// Requests refused for want of room since the last beat, by model.
    refused: RefCell<HashMap<ModelName, f64>>,
    refusal_rates: RefCell<HashMap<ModelName, f64>>,

    /// When the list of servers was read first and last.
    list_read: Cell<Option<(Instant, Instant)>>,

    /// The platform's version up to which the list was read.
    list_version: Cell<u64>,

    /// The newest version of the configuration that another node holds.
    pub(crate) config_elsewhere: Cell<u64>,

    /// The version at which this node last saw something change in the list.
    pub(crate) list_news: Cell<u64>,

    /// The same, at any other node.
    news_elsewhere: Cell<u64>,
    pub(crate) has_traffic: Cell<bool>,
    pub(crate) leaving: Cell<bool>,
    pub(crate) refusing: Cell<bool>,
    pub(crate) in_flight: Cell<usize>,

    /// The fencing number of the fleet's lease while this node holds it; else zero.
    pub(crate) lease: Cell<u64>,

    /// Whether this node orders servers into groups.
    pub(crate) plans: Cell<bool>,
    pub(crate) picker: HeadPicker,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings) -> Self {
        let suspects = CrashLedgerSettings {
            burst_crashes: 0,
            burst_quarantine_crashes: CONDEMNING_DEATHS,
            ..CrashLedgerSettings::default()
        };
        Self {
            picker: HeadPicker::new(settings.picker),
            settings,
            config: RefCell::default(),
            confirmed: Cell::default(),
            servers: RefCell::default(),
            loads: LoadBook::default(),
            stalls: RefCell::default(),
            peers: RefCell::default(),
            budgets: RefCell::default(),
            suspects: RefCell::new(CrashLedger::new(suspects)),
            deaths: RefCell::default(),
            lost: RefCell::default(),
            unlisted: RefCell::default(),
            arrivals: RefCell::default(),
            refused: RefCell::default(),
            refusal_rates: RefCell::default(),
            list_read: Cell::new(None),
            list_version: Cell::new(0),
            config_elsewhere: Cell::new(0),
            list_news: Cell::new(0),
            news_elsewhere: Cell::new(0),
            has_traffic: Cell::new(false),
            leaving: Cell::new(false),
            refusing: Cell::new(false),
            in_flight: Cell::new(0),
            lease: Cell::new(0),
            plans: Cell::new(false),
        }
    }

    /// Counts a request of a service for its retry budget.
    pub(crate) fn note_request(&self, now: Instant, service: &ServiceName) {
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Whether a request of a service may be sent once more; if so, counts it.
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

    /// Notes up to which version the list of servers was read, and whether something changed.
    pub(crate) fn note_reading(&self, version: u64, has_news: bool) {
        self.list_version.set(version);
        if has_news {
            self.list_news.set(version);
        }
    }

    /// Takes in that another node saw news in the list at a version.
    pub(crate) fn hear_news(&self, version: u64) {
        self.news_elsewhere.set(self.news_elsewhere.get().max(version));
    }

    /// Whether another node saw news in the list that this one has not read.
    pub(crate) fn has_missed_news(&self) -> bool {
        self.news_elsewhere.get() > self.list_version.get()
    }

    /// The version of the list of servers up to which it was read.
    pub(crate) fn list_version(&self) -> u64 {
        self.list_version.get()
    }

    /// How long ago the list of servers was read.
    pub(crate) fn list_age(&self, now: Instant) -> Option<Duration> {
        self.list_read.get().map(|(_, last)| now.saturating_duration_since(last))
    }

    /// Notes that the list of servers was read.
    pub(crate) fn note_list(&self, now: Instant) {
        let (first, _) = self.list_read.get().unwrap_or((now, now));
        self.list_read.set(Some((first, now)));
    }

    /// Whether the list of servers is known well enough to plan: it was read a short time ago,
    /// and, where groups were `restored`, for long enough that servers that lapsed are back.
    pub(crate) fn list_is_settled(&self, now: Instant, restored: bool) -> bool {
        let Some((first, last)) = self.list_read.get() else { return false };
        let fresh = now.saturating_duration_since(last) < LIST_MEMORY;
        let known = now.saturating_duration_since(first) >= self.settings.return_wait;
        fresh && (known || !restored)
    }

    /// Remembers members of groups that were dropped from the list, and forgets servers that are
    /// gone for good.
    pub(crate) fn note_dropped(&self, now: Instant, dropped: Vec<FleetServer>) {
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
            servers.get(life).is_none() && now.saturating_duration_since(*at) < UNLISTED_MEMORY
        });
        let known = |life: &ServerLife| servers.get(life).is_some() || unlisted.contains_key(life);
        self.stalls.borrow_mut().retain(known);
        self.lost.borrow_mut().retain(known);
    }

    /// Remembers the members of a group that its row names and the list does not. They may serve
    /// on, cut off from the platform since before this node looked.
    pub(crate) fn remember_members(&self, now: Instant, record: &FleetGroupRecord) {
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

    /// A period of beats, or a time of silence, stretched for the number of nodes: each node sends
    /// to every other one, and may spend only so much on it.
    pub(crate) fn stretched(&self, period: Duration) -> Duration {
        let peers = u32::try_from(self.peers.borrow().len()).unwrap_or(u32::MAX);
        period * (peers / PEERS_AT_FULL_RATE).max(1)
    }

    /// When a caller that is refused now may come back.
    pub(crate) fn retry_after(&self) -> Duration {
        let (least, most) = self.settings.retry_after;
        least + most.saturating_sub(least).mul_f64(rand::random())
    }

    /// Notes that a request for a model was refused for want of room.
    pub(crate) fn note_refusal(&self, model: Option<&ModelName>) {
        if let Some(model) = model {
            *self.refused.borrow_mut().entry(model.clone()).or_default() += 1.0;
        }
    }

    /// Turns refusals since the last call, `period` ago, into averages by model.
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

/// A server as the row of its group tells it. A head is taken to serve until it says otherwise.
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
