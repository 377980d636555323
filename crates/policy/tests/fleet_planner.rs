//! Forming, opening, repairing and dissolving groups of model servers.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    EvacuationSet, FleetOrder, FleetPlanner, FleetPlannerSettings, FleetView, StaleCause,
    StalePlaces, is_standby_group, newest_places,
};
use comfreyturn_ports::{FleetAction, OrderOutcome};
use comfreyturn_types::{
    EngineSpec, FabricDomain, FailureDomain, FleetGroupRecord, FleetServer, GroupId,
    GroupMembership, MemberPhase, MemberRecord, ModelName, PooledModel, ServerLife, ServiceName,
    StoreVersion, VmId,
};

/// A fleet whose servers carry out orders immediately.
struct TestFleet {
    service: ServiceName,
    engine: EngineSpec,
    servers: Vec<FleetServer>,
    unlisted: HashSet<ServerLife>,
    lost: HashSet<ServerLife>,
    stale: StalePlaces,
    evacuated: EvacuationSet,
    work: HashMap<ModelName, f64>,
    before_traffic: bool,
    planner: FleetPlanner,
    now: Instant,
}

fn model(name: &str, group_size: u32) -> PooledModel {
    PooledModel {
        name: ModelName::from(name),
        group_size,
        share: 0.5,
        pace: 1.0,
        load_time: Duration::from_secs(16),
        warm_time: Duration::from_millis(1600),
    }
}

fn server(index: usize, staged: &[&str]) -> FleetServer {
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
    fn new(servers: Vec<FleetServer>, models: Vec<PooledModel>) -> Self {
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
            stale: StalePlaces::default(),
            evacuated: EvacuationSet::default(),
            work,
            before_traffic: false,
            planner: FleetPlanner::new(1, FleetPlannerSettings::default()),
            now: Instant::now(),
        }
    }

    /// Plans, stores the row changes immediately and plans again, then advances the time by a
    /// second.
    fn orders(&mut self) -> Vec<FleetOrder> {
        let mut orders = self.plan_once();
        let (written, removed) = self.planner.row_changes();
        self.planner.record_rows(&written, &removed);
        orders.extend(self.plan_once());
        self.now += Duration::from_secs(1);
        orders
    }

    fn plan_once(&mut self) -> Vec<FleetOrder> {
        let view = FleetView {
            service: &self.service,
            engine: &self.engine,
            servers: self.servers.iter().collect(),
            unlisted: &self.unlisted,
            lost: &self.lost,
            stale: &self.stale,
            evacuated: &self.evacuated,
            work: &self.work,
            before_traffic: self.before_traffic,
            is_work_measured: !self.before_traffic,
        };
        self.planner.plan(self.now, &view)
    }

    fn carry_out(&mut self, orders: &[FleetOrder]) {
        for order in orders {
            let life = &order.life;
            let Some(server) = self.servers.iter_mut().find(|server| server.life == *life) else {
                continue;
            };
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

    fn settle(&mut self) {
        for _ in 0..6 {
            let orders = self.orders();
            self.carry_out(&orders);
        }
    }

    /// Servers whose phase is this one.
    fn in_phase(&self, phase: MemberPhase) -> Vec<ServerLife> {
        let servers = self.servers.iter();
        let matching = servers.filter(|server| {
            server.membership.as_ref().is_some_and(|membership| membership.phase == phase)
        });
        matching.map(|server| server.life.clone()).collect()
    }

    fn records(&self) -> Vec<FleetGroupRecord> {
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
                    .map(|server| comfreyturn_types::MemberRecord {
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

fn set_phase(server: &mut FleetServer, phase: MemberPhase) {
    if let Some(membership) = &mut server.membership {
        membership.phase = phase;
    }
}

fn is_leave(order: &FleetOrder) -> bool {
    matches!(order.action, FleetAction::Leave { .. })
}

/// Orders to join a group, except the standby group of a spare, which can't serve.
fn joins(orders: &[FleetOrder]) -> Vec<&FleetOrder> {
    let is_join = |order: &&FleetOrder| match &order.action {
        FleetAction::Join { group, .. } => !is_standby_group(group),
        _ => false,
    };
    orders.iter().filter(is_join).collect()
}

/// A fleet whose work needs one group per four of the `grouped` servers; the others are spares.
fn staged_fleet(count: usize, grouped: u32) -> TestFleet {
    let servers = (0..count).map(|index| server(index, &["big"])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("big", 4)]);
    fleet.work.insert(ModelName::from("big"), f64::from(grouped) / 4.0 * 10.0);
    fleet
}

#[test]
fn groups_stay_within_a_fabric_domain() {
    let mut fleet = staged_fleet(20, 16);
    fleet.settle();
    assert_eq!(fleet.in_phase(MemberPhase::Open).len(), 4);
    for server in &fleet.servers {
        let Some(own) = &server.membership else { continue };
        let mates = fleet.servers.iter().filter(|other| {
            other.membership.as_ref().is_some_and(|membership| membership.group == own.group)
        });
        assert!(mates.into_iter().all(|other| other.fabric_domain == server.fabric_domain));
    }
}

#[test]
fn no_server_is_ordered_to_join_before_the_row_is_written() {
    let mut fleet = staged_fleet(10, 8);
    let first = fleet.plan_once();
    assert!(joins(&first).is_empty());
    let (written, removed) = fleet.planner.row_changes();
    assert_eq!((written.len(), removed.len()), (2, 0), "two groups of ten servers");
    assert!(joins(&fleet.plan_once()).is_empty());
    fleet.planner.record_rows(&written, &removed);
    assert_eq!(joins(&fleet.plan_once()).len(), 8);
}

#[test]
fn head_opens_once_every_member_is_ready() {
    let mut fleet = staged_fleet(10, 8);
    let orders = fleet.orders();
    fleet.carry_out(&orders);
    for server in &mut fleet.servers[..] {
        if server.life.vm.as_str() == "vm-01" {
            set_phase(server, MemberPhase::Joining);
        }
    }
    let opened: Vec<_> = fleet.orders().into_iter().map(|order| order.action).collect();
    let open = |action: &&FleetAction| matches!(action, FleetAction::Open { .. });
    assert_eq!(opened.iter().filter(open).count(), 1, "only the group without vm-01 opens");
}

#[test]
fn lost_member_is_replaced_by_a_spare_after_the_head_left() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    let group = fleet.servers.iter().find(|server| server.life == head).unwrap();
    let group = group.membership.clone().unwrap().group;
    let member = fleet.servers.iter().find(|server| {
        let membership = server.membership.as_ref();
        membership.is_some_and(|own| own.group == group && own.rank == 2)
    });
    fleet.lost.insert(member.unwrap().life.clone());
    let orders = fleet.orders();
    assert!(orders.iter().any(|order| order.life == head && is_leave(order)));
    assert!(joins(&orders).is_empty(), "members wait until the head has left");
    fleet.carry_out(&orders);
    let orders = fleet.orders();
    assert_eq!(joins(&orders).len(), 4, "the remaining members and a spare form a new group");
    assert!(orders.iter().all(|order| !fleet.lost.contains(&order.life)));
}

#[test]
fn unreachable_head_that_is_listed_keeps_its_members() {
    let mut fleet = staged_fleet(8, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.lost.insert(head);
    for _ in 0..20 {
        assert!(
            joins(&fleet.orders()).is_empty(),
            "the head may still serve requests of other nodes"
        );
    }
}

/// Guards against a planner that ends the streams of a sound head which is silent for a second or two:
/// it was ordered to leave its group, and carried that out when it went on.
#[test]
fn head_that_is_silent_for_a_while_keeps_its_group() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let open = fleet.in_phase(MemberPhase::Open);
    fleet.lost.insert(open[0].clone());
    for _ in 0..3 {
        let orders = fleet.orders();
        assert!(!orders.iter().any(is_leave), "{orders:?}");
    }
    fleet.lost.clear();
    fleet.settle();
    assert_eq!(fleet.in_phase(MemberPhase::Open), open);
}

/// Guards against a head that never answers, though it is listed, and holds its members for ever.
#[test]
fn listed_head_that_stays_silent_is_ordered_to_leave() {
    let mut fleet = staged_fleet(8, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.lost.insert(head.clone());
    let orders: Vec<FleetOrder> = (0..8).flat_map(|_| fleet.orders()).collect();
    assert!(orders.iter().any(|order| order.life == head && is_leave(order)));
}

/// Guards against a slower repair: spares take the place of a silent head's group at once.
#[test]
fn spares_replace_the_group_of_a_silent_head_at_once() {
    let servers = (0..10).map(|index| server(index, &["big"])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("big", 2)]);
    fleet.work.insert(ModelName::from("big"), 30.0);
    fleet.settle();
    let open = fleet.in_phase(MemberPhase::Open);
    assert_eq!(open.len(), 4);
    fleet.lost.insert(open[0].clone());
    let orders = fleet.orders();
    assert_eq!(joins(&orders).len(), 2, "{orders:?}");
}

/// Guards against a server in two groups: a head that nobody hears may still be open (TWO).
#[test]
fn head_that_is_neither_listed_nor_reachable_frees_its_members_once_they_have_left() {
    let mut fleet = staged_fleet(8, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.lost.insert(head.clone());
    fleet.unlisted.insert(head.clone());
    fleet.servers.extend((8..10).map(|index| server(index, &["big"])));
    let mut orders = fleet.orders();
    orders.extend(fleet.orders());
    assert!(joins(&orders).is_empty(), "the members have not left");
    let left: Vec<FleetOrder> =
        orders.into_iter().filter(|order| is_leave(order) && order.life != head).collect();
    assert_eq!(left.len(), 3);
    for order in &left {
        fleet.planner.record_outcome(order, OrderOutcome::Outdated);
    }
    assert!(joins(&fleet.orders()).is_empty(), "refused orders prove nothing");
    for order in &left {
        fleet.planner.record_outcome(order, OrderOutcome::Taken);
    }
    assert_eq!(joins(&fleet.orders()).len(), 4);
}

/// Guards against a server in two groups: a planner that does not know the group of a member, and
/// does not hear its head, must not take the member for free (TWO).
#[test]
fn member_of_an_unknown_group_without_a_listed_head_leaves_it_first() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.servers.retain(|server| server.life != head);
    // The row was lost, or removed while all members were unlisted.
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    let orders = fleet.orders();
    assert!(joins(&orders).is_empty(), "the members have not left");
    assert_eq!(orders.iter().filter(|order| is_leave(order)).count(), 3);
    assert!(joins(&fleet.orders()).is_empty(), "nor have they on the second look");
    fleet.carry_out(&orders);
    assert_eq!(joins(&fleet.orders()).len(), 4);
}

/// Guards against a server that is taken for a member of an older group whose row was left (TWO).
#[test]
fn server_that_only_rows_name_is_in_the_newest_of_its_groups() {
    let member = |index: usize| MemberRecord {
        life: server(index, &[]).life,
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: FailureDomain::from("z"),
    };
    let record = |name: &str, epoch: u64, members: &[usize]| FleetGroupRecord {
        group: GroupId::from(name),
        service: ServiceName::from("pool"),
        epoch,
        model: ModelName::from("big"),
        members: members.iter().copied().map(member).collect(),
    };
    // The older group's row comes first, as rows are sorted by name.
    let records =
        [record("big.1000007", 1_000_007, &[5, 6]), record("big.3000003", 3_000_003, &[7, 5])];
    let places = newest_places(&records);
    let place = |index: usize| {
        let (record, rank) = places[&server(index, &[]).life];
        (record.group.as_str().to_owned(), rank)
    };
    assert_eq!(place(5), ("big.3000003".to_owned(), 1));
    assert_eq!(place(6), ("big.1000007".to_owned(), 1));
    assert_eq!(place(7), ("big.3000003".to_owned(), 0));
}

/// Guards against members that are freed by a list that is older than an order to open (TWO).
#[test]
fn head_that_an_earlier_planner_may_have_opened_frees_no_member_by_the_list_alone() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let records = fleet.records();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    let group = fleet.servers.iter().find(|server| server.life == head).unwrap();
    let group = group.membership.clone().unwrap().group;
    let in_group = |server: &&mut FleetServer| {
        server.membership.as_ref().is_some_and(|own| own.group == group)
    };
    for server in fleet.servers.iter_mut().filter(in_group) {
        if server.life == head {
            set_phase(server, MemberPhase::Ready);
        } else if server.membership.as_ref().is_some_and(|own| own.rank == 3) {
            server.membership = None;
        }
    }
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    let orders = fleet.orders();
    assert!(joins(&orders).is_empty(), "the list may be older than an order to open");
    assert_eq!(orders.iter().filter(|order| is_leave(order)).count(), 3);
    fleet.carry_out(&orders);
    assert_eq!(joins(&fleet.orders()).len(), 4);
}

/// Guards against a group that is ended because the entry of a member went back, though it serves.
#[test]
fn group_stays_as_it_is_until_its_members_have_told_their_places() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let (entries, records) = (fleet.servers.clone(), fleet.records());
    let is_second = |own: &GroupMembership| own.rank == 1;
    let member = fleet.servers.iter_mut().find(|s| s.membership.as_ref().is_some_and(is_second));
    let member = member.unwrap();
    member.membership = None;
    let life = member.life.clone();
    fleet.stale.mark(fleet.now, &life, StaleCause::Contradicted);
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    for _ in 0..4 {
        assert_eq!(fleet.orders(), Vec::new());
    }
    fleet.servers = entries;
    assert!(fleet.stale.record_report(&life, fleet.now));
    assert_eq!(fleet.orders(), Vec::new(), "the group serves");
    // A member that doesn't answer holds up nothing, and joins nothing.
    fleet.stale.mark(fleet.now, &life, StaleCause::Contradicted);
    fleet.lost.insert(life.clone());
    let orders: Vec<FleetOrder> = (0..4).flat_map(|_| fleet.orders()).collect();
    assert!(orders.iter().any(is_leave), "the group has lost a member");
    assert!(orders.iter().all(|order| order.life != life));
}

#[test]
fn unlisted_head_that_answers_keeps_its_members_until_it_has_left() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    fleet.unlisted.insert(head.clone());
    let orders = fleet.orders();
    let leave = orders.iter().find(|order| order.life == head).unwrap().clone();
    assert!(matches!(leave.action, FleetAction::Leave { .. }));
    assert!(joins(&fleet.orders()).is_empty());
    fleet.planner.record_outcome(&leave, OrderOutcome::Outdated);
    assert!(joins(&fleet.orders()).is_empty(), "a refused order does not prove that the head left");
    fleet.planner.record_outcome(&leave, OrderOutcome::Taken);
    assert_eq!(joins(&fleet.orders()).len(), 4);
}

#[test]
fn unlisted_member_that_answers_leaves_its_group_alone() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let member = fleet
        .servers
        .iter()
        .find(|server| server.membership.as_ref().is_some_and(|membership| membership.rank == 1));
    let member = member.unwrap().life.clone();
    fleet.unlisted.insert(member);
    assert!(fleet.orders().is_empty());
}

#[test]
fn new_planner_keeps_groups_that_serve() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let records = fleet.records();
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    assert!(fleet.orders().is_empty());
}

#[test]
fn new_planner_holds_members_of_a_head_that_only_the_row_names() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let records = fleet.records();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    // The head lost its connection to the platform. The new planner never saw it listed and knows
    // it only from the row.
    fleet.unlisted.insert(head);
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    for _ in 0..5 {
        assert!(joins(&fleet.orders()).is_empty());
    }
}

#[test]
fn restarted_server_belongs_to_no_group() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let head = fleet.in_phase(MemberPhase::Open)[0].clone();
    let server = fleet.servers.iter_mut().find(|server| server.life == head).unwrap();
    server.life.born = 2;
    server.membership = None;
    for _ in 0..3 {
        let orders = fleet.orders();
        fleet.carry_out(&orders);
    }
    assert_eq!(fleet.in_phase(MemberPhase::Open).len(), 2);
}

#[test]
fn epochs_rise_from_planner_to_planner() {
    let mut fleet = staged_fleet(10, 8);
    fleet.settle();
    let epoch = |fleet: &TestFleet| {
        let memberships = fleet.servers.iter().filter_map(|server| server.membership.as_ref());
        memberships.map(|membership| membership.epoch).max().unwrap()
    };
    let before = epoch(&fleet);
    for server in &mut fleet.servers {
        server.membership = None;
    }
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.settle();
    assert!(epoch(&fleet) > before);
}

/// Guards against an entry of another writer whose epoch ends the process of each planner, or keeps
/// epochs from rising; and one whose rank or group does not exist.
#[test]
fn membership_with_odd_numbers_does_not_disturb_other_groups() {
    let epochs = [u64::MAX, u64::MAX - 1, u64::MAX - 5, u64::MAX / 2, 1 << 53, 0];
    let ranks = [0, 3, 4, u32::MAX];
    let groups = ["big.7", "big.18446744073709551615", "other", ""];
    for (epoch, rank, group) in
        epochs.iter().flat_map(|epoch| ranks.iter().map(move |rank| (epoch, rank))).flat_map(
            |(epoch, rank)| groups.iter().map(move |group| (*epoch, *rank, GroupId::from(*group))),
        )
    {
        let odd = GroupMembership { group, epoch, rank, phase: MemberPhase::Open };
        let mut fleet = staged_fleet(9, 8);
        fleet.servers.push(server(95, &["big"]));
        let mut newest = 0;
        for fencing in [1, 2, 3] {
            fleet.planner = FleetPlanner::new(fencing, FleetPlannerSettings::default());
            for server in &mut fleet.servers {
                server.membership = None;
            }
            for _ in 0..6 {
                fleet.servers[9].membership = Some(odd.clone());
                let orders = fleet.orders();
                fleet.carry_out(&orders);
            }
            let members = fleet.servers[..9].iter().filter_map(|server| server.membership.as_ref());
            let members: Vec<_> = members.filter(|place| !is_standby_group(&place.group)).collect();
            assert_eq!(members.len(), 8, "{odd:?}");
            let oldest = members.iter().map(|place| place.epoch).min().unwrap();
            assert!(oldest > newest, "epochs rise from planner to planner: {odd:?}");
            newest = members.iter().map(|place| place.epoch).max().unwrap();
            assert!(newest < 1 << 53, "{odd:?}");
        }
    }
}

#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let servers = (0..60).map(|index| server(index, &[])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("big", 4), model("small", 2)]);
    let mut stages = 0;
    for _ in 0..4 {
        let orders = fleet.orders();
        let stage = |order: &&FleetOrder| matches!(order.action, FleetAction::Stage { .. });
        let count = orders.iter().filter(stage).count();
        assert!(count <= 5, "{count} loads in a second");
        stages += count;
    }
    assert_eq!(stages, 7, "no more loads than run at full speed");
}

#[test]
fn models_get_groups_by_their_work() {
    let servers = (0..60).map(|index| server(index, &[])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("big", 4), model("small", 2)]);
    fleet.before_traffic = true;
    fleet.work.insert(ModelName::from("small"), 0.5);
    fleet.settle();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for life in fleet.in_phase(MemberPhase::Open) {
        let server = fleet.servers.iter().find(|server| server.life == life).unwrap();
        *counts.entry(server.model.clone().unwrap().to_string()).or_default() += 1;
    }
    let per_group = |name: &str, work: f64| work / counts[name] as f64;
    let (big, small) = (per_group("big", 1.0), per_group("small", 0.5));
    assert!(big / small < 1.5 && small / big < 1.5, "work of a group: {big}, {small}");
}

#[test]
fn last_spare_of_a_model_that_lacks_nothing_is_not_given_other_weights() {
    let mut servers: Vec<FleetServer> = (0..4).map(|index| server(index, &["big"])).collect();
    servers.push(server(4, &["big"]));
    servers.extend((5..7).map(|index| server(index, &["small"])));
    servers.push(server(7, &["small"]));
    let mut fleet = TestFleet::new(servers, vec![model("big", 4), model("small", 2)]);
    // The large model has all its groups; the small one is short of one.
    fleet.work.insert(ModelName::from("big"), 8.0);
    fleet.work.insert(ModelName::from("small"), 12.0);
    for _ in 0..8 {
        let orders = fleet.orders();
        let stages = orders.iter().any(|order| matches!(order.action, FleetAction::Stage { .. }));
        assert!(!stages, "the spare of the large model must stay available to repair its group");
        fleet.carry_out(&orders);
    }
    assert_eq!(fleet.in_phase(MemberPhase::Open).len(), 2);
}

/// A fabric domain of 19 servers without weights that serve models in groups of eight and four.
fn domain_of_nineteen() -> TestFleet {
    let mut servers: Vec<FleetServer> = (0..19).map(|index| server(index, &[])).collect();
    for server in &mut servers {
        server.fabric_domain = Some(FabricDomain::from("d0"));
    }
    let mut fleet = TestFleet::new(servers, vec![model("big", 8), model("small", 4)]);
    fleet.before_traffic = true;
    fleet
}

fn free(fleet: &TestFleet) -> Vec<&FleetServer> {
    fleet.servers.iter().filter(|server| server.membership.is_none()).collect()
}

#[test]
fn spares_load_weights_before_traffic_though_a_model_lacks_a_group_without_room() {
    let mut fleet = domain_of_nineteen();
    // The large model wants more groups than the domain can hold.
    fleet.work.insert(ModelName::from("big"), 100.0);
    for _ in 0..10 {
        fleet.settle();
    }
    let spares = free(&fleet);
    assert!(!spares.is_empty());
    let unstaged = spares.iter().filter(|server| server.staged.is_empty()).count();
    assert_eq!(unstaged, 0, "a spare without weights replaces nobody for 16 s");
}

#[test]
fn spares_hold_the_weights_of_the_groups_of_their_domain() {
    let mut fleet = domain_of_nineteen();
    fleet.work.insert(ModelName::from("big"), 100.0);
    for _ in 0..10 {
        fleet.settle();
    }
    let grouped = |name: &str| {
        let in_group = fleet.servers.iter().filter(|server| server.membership.is_some());
        in_group.filter(|server| server.model == Some(ModelName::from(name))).count()
    };
    let staged = |name: &str| {
        let spares = free(&fleet).into_iter();
        spares.filter(|server| server.staged.contains(&ModelName::from(name))).count()
    };
    for name in ["big", "small"] {
        assert!(grouped(name) == 0 || staged(name) > 0, "{name}: no spare for its groups");
        assert!(grouped(name) > 0 || staged(name) == 0, "{name}: a spare without groups");
    }
}

#[test]
fn room_beyond_the_spares_of_a_domain_serves_another_model() {
    let mut fleet = domain_of_nineteen();
    // Seven servers are left beside groups of eight: too few for another one.
    fleet.servers.truncate(15);
    fleet.work.insert(ModelName::from("big"), 100.0);
    for _ in 0..10 {
        fleet.settle();
    }
    assert_eq!(free(&fleet).len(), 3, "one group of eight, one of four, and spares");
}

/// Servers of two failure domains, `a` and `b`. Four groups serve in each of them, and two servers
/// are spares.
fn fleet_of_two_domains() -> TestFleet {
    let servers = (0..20).map(|index| server(index, &["small"])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("small", 2)]);
    fleet.work.insert(ModelName::from("small"), 60.0);
    for (index, server) in fleet.servers.iter_mut().enumerate() {
        server.failure_domain = FailureDomain::from(if index < 10 { "a" } else { "b" });
    }
    fleet.settle();
    assert_eq!((fleet.open_in("a"), fleet.open_in("b")), (4, 4));
    fleet
}

impl TestFleet {
    /// Number of groups that serve in a failure domain.
    fn open_in(&self, domain: &str) -> usize {
        let open = self.in_phase(MemberPhase::Open);
        open.iter().filter(|life| self.is_in(domain, life)).count()
    }

    fn is_in(&self, domain: &str, life: &ServerLife) -> bool {
        let server = self.servers.iter().find(|server| server.life == *life);
        server.is_some_and(|server| server.failure_domain.as_str() == domain)
    }

    fn evacuate(&mut self, number: u64, domains: &[&str]) {
        let domains = domains.iter().map(|name| FailureDomain::from(*name)).collect();
        self.evacuated.apply_reading(Instant::now(), StoreVersion::first_era(number), domains);
    }

    /// Plans for some time, with pauses in which forming groups time out. No order goes to domain
    /// `a`, and no group loses its row.
    fn settle_without_a(&mut self) {
        for _ in 0..8 {
            self.now += Duration::from_secs(3);
            let mut orders = self.plan_once();
            assert_eq!(self.planner.row_changes().1, []);
            orders.extend(self.orders());
            assert!(orders.iter().all(|order| !self.is_in("a", &order.life)), "{orders:?}");
            self.carry_out(&orders);
        }
    }
}

/// Guards against a planner that repairs, dissolves or uses servers in an evacuated domain, that
/// doesn't serve their demand elsewhere, or that gives their groups up when the evacuation ends.
#[test]
fn groups_in_an_evacuated_domain_stay_and_others_take_their_demand() {
    let mut fleet = fleet_of_two_domains();
    fleet.evacuate(1, &["a"]);
    fleet.lost.insert(fleet.servers[0].life.clone());
    fleet.settle_without_a();
    assert_eq!(fleet.open_in("b"), 5, "the spares serve too");
    fleet.lost.clear();
    fleet.evacuate(2, &[]);
    let orders = fleet.orders();
    assert!(!orders.iter().any(|order| fleet.is_in("a", &order.life)), "{orders:?}");
    assert_eq!(fleet.open_in("a"), 4, "they serve on at once");
}

/// Guards against a new lease holder that dissolves the groups of an evacuated domain, of which it
/// knows only rows, because their servers are off.
#[test]
fn new_planner_keeps_the_rows_of_groups_in_an_evacuated_domain() {
    let mut fleet = fleet_of_two_domains();
    let records = fleet.records();
    fleet.evacuate(1, &["a"]);
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    let all = fleet.servers.clone();
    fleet.servers.retain(|server| server.failure_domain.as_str() != "a");
    fleet.settle_without_a();
    let away = all.into_iter().filter(|server| server.failure_domain.as_str() == "a");
    fleet.servers.extend(away);
    fleet.settle_without_a();
    fleet.evacuate(2, &[]);
    let orders = fleet.orders();
    assert!(!orders.iter().any(is_leave), "{orders:?}");
    assert_eq!(fleet.open_in("a"), 4);
}
