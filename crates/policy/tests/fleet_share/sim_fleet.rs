//! A fleet in virtual time: servers that load weights, join groups and are lost, before the
//! production planner.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    EvacuationSet, FleetOrder, FleetPlanner, FleetPlannerSettings, FleetView, GroupSightings,
    StalePlaces, group_model, standby_model,
};
use comfreyturn_ports::{FleetAction, OrderOutcome};
use comfreyturn_types::{
    EngineSpec, FabricDomain, FailureDomain, FleetServer, GroupMembership, MemberPhase, ModelName,
    PooledModel, ServerLife, ServiceName, VmId,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};

/// Requests that a group runs at a time.
const SLOTS: u32 = 20;

/// Time between two plans.
const PLAN_PERIOD: Duration = Duration::from_millis(150);

/// Loads take this fraction of their time before the first request.
const FIRST_LOAD_SHARE: f64 = 0.1;

/// A lost server is noticed after this time, and dropped from the list after [`LIST_TIMEOUT`].
const LOSS_TIMEOUT: Duration = Duration::from_millis(1000);
const LIST_TIMEOUT: Duration = Duration::from_millis(3600);

/// How long a head that closes still runs requests.
const CLOSE_TIME: Duration = Duration::from_millis(1500);

const REJOIN_TIME: Duration = Duration::from_millis(200);

/// Servers that the list shows in addition in each period at the start.
const LISTED_PER_PERIOD: usize = 8;

/// Settings of a [`SimFleet`].
#[derive(Clone, Debug)]
pub struct SimSettings {
    pub domains: usize,
    pub domain_size: usize,
    pub models: Vec<PooledModel>,

    /// Requests in flight of each model, in the order of `models`.
    pub work: Vec<f64>,
    pub loads_at_once: u32,
    pub loads_per_second: f64,
    pub lead: Duration,
    pub seed: u64,
}

impl SimSettings {
    /// How the servers run models.
    pub fn engine(&self) -> EngineSpec {
        EngineSpec {
            slots: SLOTS,
            models: self.models.clone(),
            loads_per_second: self.loads_per_second,
            loads_at_once: self.loads_at_once,
            kept_models: 1,
            open_time: Duration::from_millis(300),
            times: None,
        }
    }
}

pub fn model(name: &str, group_size: u32, share: f64) -> PooledModel {
    PooledModel {
        name: ModelName::from(name),
        group_size,
        share,
        pace: 1.0,
        load_time: Duration::from_secs(16),
        warm_time: Duration::from_millis(1600),
    }
}

/// A server, and what it is about to do.
struct SimServer {
    entry: FleetServer,

    /// Weights that are being loaded, and when the load ends.
    load: Option<(ModelName, Instant)>,

    /// When its phase changes, and to what.
    change: Option<(Instant, MemberPhase)>,
    lost_at: Option<Instant>,
}

/// The fleet, its planner, and the present time.
pub struct SimFleet {
    settings: SimSettings,
    engine: EngineSpec,
    service: ServiceName,
    servers: Vec<SimServer>,
    listed: usize,
    planner: FleetPlanner,
    random: StdRng,
    started_at: Instant,
    pub now: Instant,
    next_vm: usize,

    /// Loads that began since the first request.
    pub loads: usize,

    /// Orders to close a head.
    pub closed: usize,

    /// Orders to join a standby group, and orders to open one.
    pub standby_joins: usize,
    pub standby_opens: usize,
}

impl SimFleet {
    pub fn new(settings: SimSettings) -> Self {
        let engine = settings.engine();
        let now = Instant::now();
        let mut fleet = Self {
            engine,
            service: ServiceName::from("pool"),
            servers: Vec::new(),
            listed: 0,
            planner: FleetPlanner::new(1, FleetPlannerSettings::default()),
            random: StdRng::seed_from_u64(settings.seed),
            started_at: now,
            now,
            next_vm: 0,
            loads: 0,
            closed: 0,
            standby_joins: 0,
            standby_opens: 0,
            settings,
        };
        for domain in 0..fleet.settings.domains {
            (0..fleet.settings.domain_size).for_each(|_| fleet.add_server(domain));
        }
        fleet
    }

    pub fn add_server(&mut self, domain: usize) {
        let entry = FleetServer {
            life: ServerLife { vm: VmId::from(format!("vm-{:04}", self.next_vm)), born: 1 },
            service: self.service.clone(),
            address: "127.0.0.1:1".parse().unwrap(),
            failure_domain: FailureDomain::from("z"),
            slots: SLOTS,
            leaving: false,
            fabric_domain: Some(FabricDomain::from(format!("d{domain:02}"))),
            model: None,
            staged: Vec::new(),
            membership: None,
            cold_left: Duration::ZERO,
        };
        self.next_vm += 1;
        self.servers.push(SimServer { entry, load: None, change: None, lost_at: None });
    }

    fn has_traffic(&self) -> bool {
        self.now.duration_since(self.started_at) >= self.settings.lead
    }

    // -----------------------------------------------------------------------------------------
    // Faults

    /// Loses servers that are in groups. Spares in standby groups are not.
    pub fn lose_grouped(&mut self, count: usize) {
        for _ in 0..count {
            let grouped: Vec<usize> = (0..self.servers.len())
                .filter(|index| {
                    let server = &self.servers[*index];
                    let group = server.entry.membership.as_ref().map(|own| &own.group);
                    let model = group.and_then(|group| group_model(&self.engine, group));
                    server.lost_at.is_none() && model.is_some()
                })
                .collect();
            if let Some(index) = grouped.choose(&mut self.random) {
                self.servers[*index].lost_at = Some(self.now);
            }
        }
    }

    /// Loses the last member of a group of the model.
    pub fn lose_member_of(&mut self, model: &str) {
        let engine = &self.engine;
        let runs_model = |server: &SimServer| {
            let membership = server.entry.membership.as_ref();
            let group = membership.and_then(|own| group_model(engine, &own.group));
            group.is_some_and(|pooled| pooled.name.as_str() == model)
        };
        let rank = |server: &SimServer| server.entry.membership.as_ref().map(|own| own.rank);
        let members: Vec<usize> =
            (0..self.servers.len()).filter(|index| runs_model(&self.servers[*index])).collect();
        let last = members.into_iter().max_by_key(|index| rank(&self.servers[*index])).unwrap();
        self.servers[last].lost_at = Some(self.now);
    }

    /// Loses all servers of a fabric domain.
    pub fn lose_domain(&mut self, domain: usize) {
        let name = FabricDomain::from(format!("d{domain:02}"));
        let now = self.now;
        let servers = self.servers.iter_mut();
        for server in servers.filter(|server| server.entry.fabric_domain.as_ref() == Some(&name)) {
            server.lost_at.get_or_insert(now);
        }
    }

    pub fn any_domain(&mut self) -> usize {
        self.random.random_range(0..self.settings.domains)
    }

    /// Replaces the planner by one that knows nothing but what the servers report.
    pub fn replace_planner(&mut self, fencing: u64) {
        self.planner = FleetPlanner::new(fencing, FleetPlannerSettings::default());
    }

    // -----------------------------------------------------------------------------------------
    // Time

    /// Advances the time to `at` after the start of traffic, or before it if negative.
    pub fn run_until(&mut self, at_s: f64, mut each: impl FnMut(&Self)) {
        let since_start = self.settings.lead.as_secs_f64() + at_s;
        let end = self.started_at + Duration::from_secs_f64(since_start);
        while self.now < end {
            self.step();
            each(self);
        }
    }

    fn step(&mut self) {
        self.listed = (self.listed + LISTED_PER_PERIOD).min(self.servers.len());
        self.finish_changes();
        for _ in 0..2 {
            let orders = self.plan();
            for order in &orders {
                self.carry_out(order);
                self.planner.record_outcome(self.now, order, OrderOutcome::Taken);
            }
            let (written, removed) = self.planner.row_changes();
            self.planner.record_rows(&written, &removed);
        }
        self.now += PLAN_PERIOD;
    }

    fn finish_changes(&mut self) {
        let now = self.now;
        for server in &mut self.servers {
            if let Some((model, _)) = server.load.take_if(|(_, end)| *end <= now) {
                server.entry.staged = vec![model];
            }
            if let Some((_, phase)) = server.change.take_if(|(at, _)| *at <= now)
                && let Some(membership) = &mut server.entry.membership
            {
                membership.phase = phase;
            }
        }
        let is_dropped = |at: Instant| now.duration_since(at) >= LIST_TIMEOUT;
        self.servers.retain(|server| !server.lost_at.is_some_and(is_dropped));
        self.listed = self.listed.min(self.servers.len());
    }

    fn plan(&mut self) -> Vec<FleetOrder> {
        let lost: HashSet<ServerLife> = self
            .servers
            .iter()
            .filter(|server| {
                server.lost_at.is_some_and(|at| self.now.duration_since(at) >= LOSS_TIMEOUT)
            })
            .map(|server| server.entry.life.clone())
            .collect();
        let has_traffic = self.has_traffic();
        let models = self.engine.models.iter();
        let work: HashMap<ModelName, f64> = models
            .zip(&self.settings.work)
            .map(|(model, work)| {
                let declared = model.share / f64::from(model.group_size);
                (model.name.clone(), if has_traffic { *work } else { declared })
            })
            .collect();
        let unlisted = HashSet::new();
        let view = FleetView {
            service: &self.service,
            engine: &self.engine,
            servers: self.servers[..self.listed].iter().map(|server| &server.entry).collect(),
            unlisted: &unlisted,
            lost: &lost,
            busy: &HashSet::new(),
            stale: &StalePlaces::default(),
            sightings: &GroupSightings::default(),
            evacuated: &EvacuationSet::default(),
            work: &work,
            before_traffic: !has_traffic,
            is_work_measured: has_traffic,
        };
        self.planner.plan(self.now, &view)
    }

    /// The time that a load takes which begins now.
    fn load_time(&mut self, model: &ModelName) -> Duration {
        let pooled = self.engine.models.iter().find(|pooled| pooled.name == *model).unwrap();
        let at_once = 1 + self.servers.iter().filter(|server| server.load.is_some()).count();
        let slowdown = (at_once as f64 / f64::from(self.engine.loads_at_once)).max(1.0);
        if !self.has_traffic() {
            return pooled.load_time.mul_f64(slowdown * FIRST_LOAD_SHARE);
        }
        self.loads += 1;
        pooled.load_time.mul_f64(slowdown)
    }

    fn carry_out(&mut self, order: &FleetOrder) {
        let group = order.action.group();
        if group.is_some_and(|(group, _)| standby_model(&self.engine, group).is_some()) {
            self.standby_joins += usize::from(matches!(order.action, FleetAction::Join { .. }));
            self.standby_opens += usize::from(matches!(order.action, FleetAction::Open { .. }));
        }
        let position = self.servers.iter().position(|server| server.entry.life == order.life);
        let Some(index) = position.filter(|index| self.servers[*index].lost_at.is_none()) else {
            return;
        };
        match &order.action {
            FleetAction::Join { group, epoch, model, members } => {
                let vm = &order.life.vm;
                let rank = members.iter().position(|member| member == vm).unwrap();
                self.join(index, model);
                self.servers[index].entry.membership = Some(GroupMembership {
                    group: group.clone(),
                    epoch: *epoch,
                    rank: u32::try_from(rank).unwrap(),
                    phase: MemberPhase::Joining,
                });
            }
            FleetAction::Open { .. } => {
                let at = self.now + self.engine.open_time;
                self.servers[index].change = Some((at, MemberPhase::Open));
            }
            FleetAction::Close { .. } => {
                let server = &mut self.servers[index];
                let Some(membership) = &mut server.entry.membership else { return };
                if membership.phase == MemberPhase::Open {
                    membership.phase = MemberPhase::Closing;
                    server.change = Some((self.now + CLOSE_TIME, MemberPhase::Ready));
                    self.closed += 1;
                }
            }
            FleetAction::Leave { .. } => {
                self.servers[index].entry.membership = None;
                self.servers[index].change = None;
            }
            FleetAction::Stage { model } => {
                let end = self.now + self.load_time(model);
                self.servers[index].load = Some((model.clone(), end));
            }
        }
    }

    fn join(&mut self, index: usize, model: &ModelName) {
        let pooled = self.engine.models.iter().find(|pooled| pooled.name == *model).unwrap();
        let warm_time = pooled.warm_time;
        let SimServer { entry, change, .. } = &self.servers[index];
        let time = if entry.model.as_ref() == Some(model) {
            // A server that still reads the weights from its host first ends that.
            let rest = change.map_or(Duration::ZERO, |(at, _)| at.duration_since(self.now));
            rest.max(REJOIN_TIME)
        } else if entry.staged.contains(model) {
            warm_time
        } else {
            let time = self.load_time(model);
            self.servers[index].load = Some((model.clone(), self.now + time));
            time
        };
        let server = &mut self.servers[index];
        server.entry.model = Some(model.clone());
        server.change = Some((self.now + time, MemberPhase::Ready));
    }

    // -----------------------------------------------------------------------------------------
    // Figures

    /// Number of groups of each model that serve: the head is open and no member is lost.
    pub fn serving(&self) -> Vec<usize> {
        let mut groups: HashMap<_, Vec<&SimServer>> = HashMap::new();
        for server in &self.servers {
            if let Some(membership) = &server.entry.membership {
                groups.entry(&membership.group).or_default().push(server);
            }
        }
        let mut counts = vec![0; self.engine.models.len()];
        for (group, members) in groups {
            let Some(model) = group_model(&self.engine, group) else { continue };
            let whole = members.len() == model.group_size as usize
                && members.iter().all(|member| member.lost_at.is_none());
            let is_open = |member: &&SimServer| {
                let membership = member.entry.membership.as_ref();
                membership.is_some_and(|own| own.rank == 0 && own.phase == MemberPhase::Open)
            };
            if whole && members.iter().any(is_open) {
                let index = self.engine.models.iter().position(|other| other.name == model.name);
                counts[index.unwrap()] += 1;
            }
        }
        counts
    }

    /// Number of servers that are not lost, and of those that are in no group.
    pub fn free(&self) -> (usize, usize) {
        let alive = self.servers.iter().filter(|server| server.lost_at.is_none());
        let free = alive.clone().filter(|server| server.entry.membership.is_none());
        (alive.count(), free.count())
    }
}
