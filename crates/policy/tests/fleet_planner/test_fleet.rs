//! A fleet whose servers carry out orders immediately, and the planner of its groups.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    EvacuationSet, FleetOrder, FleetPlanner, FleetPlannerSettings, FleetView, GroupSightings,
    StalePlaces, is_standby_group,
};
use comfreyturn_ports::{FleetAction, OrderOutcome};
use comfreyturn_types::{
    EngineSpec, FabricDomain, FailureDomain, FleetGroupRecord, FleetServer, GroupMembership,
    MemberPhase, MemberRecord, ModelName, PooledModel, ServerLife, ServiceName, VmId,
};

/// A fleet whose servers carry out orders immediately.
pub struct TestFleet {
    pub service: ServiceName,
    pub engine: EngineSpec,
    pub servers: Vec<FleetServer>,
    pub unlisted: HashSet<ServerLife>,
    pub lost: HashSet<ServerLife>,
    pub busy: HashSet<ServerLife>,
    pub stale: StalePlaces,
    pub sightings: GroupSightings,
    pub evacuated: EvacuationSet,
    pub work: HashMap<ModelName, f64>,
    pub before_traffic: bool,
    pub planner: FleetPlanner,

    /// Whether the answers to orders reach the planner.
    pub answers: bool,
    pub now: Instant,
}

pub fn model(name: &str, group_size: u32) -> PooledModel {
    PooledModel {
        name: ModelName::from(name),
        group_size,
        share: 0.5,
        pace: 1.0,
        load_time: Duration::from_secs(16),
        warm_time: Duration::from_millis(1600),
    }
}

pub fn server(index: usize, staged: &[&str]) -> FleetServer {
    FleetServer {
        life: ServerLife { vm: VmId::from(format!("vm-{index:02}")), born: 1 },
        service: ServiceName::from("pool"),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: FailureDomain::from("z"),
        slots: 17,
        leaving: false,
        fabric_domain: Some(FabricDomain::from(format!("d{}", index / 10))),
        model: None,
        staged: staged.iter().map(|name| ModelName::from(*name)).collect(),
        membership: None,
        cold_left: Duration::ZERO,
    }
}

impl TestFleet {
    pub fn new(servers: Vec<FleetServer>, models: Vec<PooledModel>) -> Self {
        let work = models.iter().map(|model| (model.name.clone(), 1.0)).collect();
        let engine = EngineSpec {
            slots: 17,
            models,
            loads_per_second: 5.0,
            loads_at_once: 7,
            kept_models: 1,
            open_time: Duration::from_millis(300),
            times: None,
        };
        Self {
            service: ServiceName::from("pool"),
            engine,
            servers,
            unlisted: HashSet::new(),
            lost: HashSet::new(),
            busy: HashSet::new(),
            stale: StalePlaces::default(),
            sightings: GroupSightings::default(),
            evacuated: EvacuationSet::default(),
            work,
            before_traffic: false,
            planner: FleetPlanner::new(1, FleetPlannerSettings::default()),
            answers: true,
            now: Instant::now(),
        }
    }

    /// Plans, stores the row changes immediately and plans again, then advances the time by a
    /// second.
    pub fn orders(&mut self) -> Vec<FleetOrder> {
        let mut orders = self.plan_once();
        let (written, removed) = self.planner.row_changes();
        self.planner.record_rows(&written, &removed);
        orders.extend(self.plan_once());
        self.now += Duration::from_secs(1);
        orders
    }

    pub fn plan_once(&mut self) -> Vec<FleetOrder> {
        self.servers.iter().for_each(|server| self.sightings.record(self.now, server));
        let view = FleetView {
            service: &self.service,
            engine: &self.engine,
            servers: self.servers.iter().collect(),
            unlisted: &self.unlisted,
            lost: &self.lost,
            busy: &self.busy,
            stale: &self.stale,
            sightings: &self.sightings,
            evacuated: &self.evacuated,
            work: &self.work,
            before_traffic: self.before_traffic,
            is_work_measured: !self.before_traffic,
        };
        self.planner.plan(self.now, &view)
    }

    pub fn carry_out(&mut self, orders: &[FleetOrder]) {
        for order in orders {
            let life = &order.life;
            let Some(server) = self.servers.iter_mut().find(|server| server.life == *life) else {
                continue;
            };
            if self.answers {
                self.planner.record_outcome(self.now, order, OrderOutcome::Taken);
            }
            match &order.action {
                FleetAction::Join { group, epoch, model, members } => {
                    let rank = members.iter().position(|member| *member == life.vm).unwrap();
                    server.model = Some(model.clone());
                    server.staged = vec![model.clone()];
                    server.membership = Some(GroupMembership {
                        group: group.clone(),
                        epoch: *epoch,
                        rank: u32::try_from(rank).unwrap(),
                        phase: MemberPhase::Ready,
                    });
                }
                FleetAction::Open { .. } => set_phase(server, MemberPhase::Open),
                FleetAction::Close { .. } => set_phase(server, MemberPhase::Ready),
                FleetAction::Leave { .. } => server.membership = None,
                FleetAction::Stage { model } => server.staged = vec![model.clone()],
            }
        }
    }

    pub fn settle(&mut self) {
        for _ in 0..6 {
            let orders = self.orders();
            self.carry_out(&orders);
        }
    }

    /// Servers whose phase is this one.
    pub fn in_phase(&self, phase: MemberPhase) -> Vec<ServerLife> {
        let servers = self.servers.iter();
        let matching = servers.filter(|server| {
            server.membership.as_ref().is_some_and(|membership| membership.phase == phase)
        });
        matching.map(|server| server.life.clone()).collect()
    }

    /// The listed server.
    pub fn server(&mut self, life: &ServerLife) -> &mut FleetServer {
        self.servers.iter_mut().find(|server| server.life == *life).unwrap()
    }

    /// The member of the same group that has this rank.
    pub fn member(&self, mate: &ServerLife, rank: u32) -> ServerLife {
        let place = |server: &&FleetServer| server.membership.clone();
        let own = self.servers.iter().find(|server| server.life == *mate);
        let group = own.as_ref().and_then(place).unwrap().group;
        let is_member = |server: &&FleetServer| {
            place(server).is_some_and(|own| own.group == group && own.rank == rank)
        };
        self.servers.iter().find(is_member).unwrap().life.clone()
    }

    pub fn records(&self) -> Vec<FleetGroupRecord> {
        let mut groups: HashMap<_, Vec<&FleetServer>> = HashMap::new();
        for server in &self.servers {
            if let Some(membership) = &server.membership {
                groups.entry(membership.group.clone()).or_default().push(server);
            }
        }
        let record = |(group, mut members): (_, Vec<&FleetServer>)| {
            members.sort_by_key(|server| server.membership.as_ref().unwrap().rank);
            FleetGroupRecord {
                group,
                service: self.service.clone(),
                epoch: members[0].membership.as_ref().unwrap().epoch,
                model: members[0].model.clone().unwrap(),
                members: members
                    .iter()
                    .map(|server| MemberRecord {
                        life: server.life.clone(),
                        address: server.address,
                        failure_domain: server.failure_domain.clone(),
                    })
                    .collect(),
            }
        };
        groups.into_iter().map(record).collect()
    }
}

pub fn set_phase(server: &mut FleetServer, phase: MemberPhase) {
    if let Some(membership) = &mut server.membership {
        membership.phase = phase;
    }
}

pub fn is_leave(order: &FleetOrder) -> bool {
    matches!(order.action, FleetAction::Leave { .. })
}

pub fn is_close(order: &FleetOrder) -> bool {
    matches!(order.action, FleetAction::Close { .. })
}

/// Orders to join a group, except the standby group of a spare, which can't serve.
pub fn joins(orders: &[FleetOrder]) -> Vec<&FleetOrder> {
    let is_join = |order: &&FleetOrder| match &order.action {
        FleetAction::Join { group, .. } => !is_standby_group(group),
        _ => false,
    };
    orders.iter().filter(is_join).collect()
}

/// A fleet whose work needs one group per four of the `grouped` servers; the others are spares.
pub fn staged_fleet(count: usize, grouped: u32) -> TestFleet {
    let servers = (0..count).map(|index| server(index, &["big"])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("big", 4)]);
    fleet.work.insert(ModelName::from("big"), f64::from(grouped) / 4.0 * 10.0);
    fleet
}
