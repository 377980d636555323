//! Groups of servers that leave orders unanswered, carry them out seconds later, and crash, while
//! planners change; by seed.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    ops::Range,
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    EarlierOrders, EvacuationSet, FleetOrder, FleetPlanner, FleetPlannerSettings, FleetView,
    GroupSightings, StalePlaces,
};
use comfreyturn_ports::{FleetAction, OrderOutcome};
use comfreyturn_types::{
    FabricDomain, FleetGroupRecord, FleetServer, GroupId, GroupMembership, MemberPhase, ServerLife,
    VmId,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::test_fleet::{TestFleet, model, server};

/// Time between two plans, and the age of the list that they see.
const STEP: Duration = Duration::from_millis(100);
const LIST_AGE: Duration = Duration::from_millis(300);

const JOIN_TIME: Duration = Duration::from_millis(200);
const OPEN_TIME: Duration = Duration::from_millis(300);

/// A crashed server counts as lost, and leaves the list, after these times.
const LOSS_TIME: Duration = Duration::from_secs(1);
const LISTED_TIME: Duration = Duration::from_millis(3600);

/// After how many milliseconds late orders are carried out, and crashed servers are back.
const LATE_MS: Range<u64> = 2000..12_000;
const DOWN_MS: Range<u64> = 2000..6000;

/// Age of the last that a planner told when the next one takes over.
const TELLING_AGE: Duration = Duration::from_secs(2);

/// Share of the orders that are not answered.
const LATE_SHARE: f64 = 0.5;

const DOMAINS: usize = 3;
const SEEDS: u64 = 60;
const SECONDS: u32 = 120;

/// A server as it is, which the list tells later.
struct LateServer {
    entry: FleetServer,
    fencing: u64,
    newest_epoch: u64,

    /// The end of its change to another phase.
    change: Option<(Instant, MemberPhase)>,
    crashed_at: Option<Instant>,
}

impl LateServer {
    fn new(entry: FleetServer) -> Self {
        Self { entry, fencing: 0, newest_epoch: 0, change: None, crashed_at: None }
    }
}

struct LateFleet {
    random: StdRng,
    now: Instant,

    /// The planner, its fencing number and what it sees besides the list.
    site: TestFleet,
    fencing: u64,
    rows: Vec<FleetGroupRecord>,
    servers: Vec<LateServer>,

    /// What the list held at some times.
    lists: VecDeque<(Instant, Vec<FleetServer>)>,
    pending: Vec<(Instant, u64, FleetOrder)>,
    returns: Vec<(Instant, FleetServer)>,
    started: usize,

    /// What the planner told of unanswered orders, and when.
    told: Vec<(Instant, Option<Instant>)>,

    /// Orders to join that servers took while the head of their group was open.
    two: Vec<String>,
}

impl LateFleet {
    fn new(seed: u64) -> Self {
        let entries: Vec<FleetServer> = (0..2 * DOMAINS)
            .map(|number| FleetServer {
                fabric_domain: Some(FabricDomain::from(format!("d{}", number % DOMAINS))),
                ..server(number, &["big"])
            })
            .collect();
        let mut site = TestFleet::new(Vec::new(), vec![model("big", 2)]);
        site.work.values_mut().for_each(|work| *work = 100.0);
        Self {
            random: StdRng::seed_from_u64(seed),
            now: site.now,
            site,
            fencing: 1,
            rows: Vec::new(),
            started: entries.len(),
            servers: entries.into_iter().map(LateServer::new).collect(),
            lists: VecDeque::new(),
            pending: Vec::new(),
            returns: Vec::new(),
            told: Vec::new(),
            two: Vec::new(),
        }
    }

    fn in_ms(&mut self, range: Range<u64>) -> Instant {
        self.now + Duration::from_millis(self.random.random_range(range))
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for server in &mut self.servers {
            if let Some((_, phase)) = server.change.take_if(|(at, _)| *at <= now)
                && let Some(place) = &mut server.entry.membership
            {
                place.phase = phase;
            }
        }
        let due = self.returns.extract_if(.., |(at, _)| *at <= now);
        self.servers.extend(due.map(|(_, entry)| LateServer::new(entry)));
        let mut due: Vec<_> = self.pending.extract_if(.., |(at, ..)| *at <= now).collect();
        due.sort_by_key(|(at, ..)| *at);
        for (_, fencing, order) in due {
            self.carry_out(fencing, &order);
        }
        let is_listed =
            |server: &&LateServer| server.crashed_at.is_none_or(|at| now < at + LISTED_TIME);
        let list = self.servers.iter().filter(is_listed).map(|server| server.entry.clone());
        self.lists.push_back((now, list.collect()));
        while self.lists.len() > 1 && self.lists[1].0 + LIST_AGE <= now {
            self.lists.pop_front();
        }
        for order in self.plan() {
            self.send(&order);
        }
        self.told.push((now, self.site.planner.unanswered_join(now)));
    }

    /// The orders of two plans, between which the rows are written.
    fn plan(&mut self) -> Vec<FleetOrder> {
        let mut orders = self.plan_once();
        let (written, removed) = self.site.planner.row_changes();
        self.rows.retain(|row| !removed.contains(&row.group));
        self.rows.extend(written.iter().cloned());
        self.site.planner.record_rows(&written, &removed);
        orders.extend(self.plan_once());
        orders
    }

    fn plan_once(&mut self) -> Vec<FleetOrder> {
        let now = self.now;
        let list = &self.lists[0].1;
        list.iter().for_each(|server| self.site.sightings.record(now, server));
        let is_lost =
            |server: &&LateServer| server.crashed_at.is_some_and(|at| now >= at + LOSS_TIME);
        let lost: HashSet<ServerLife> =
            self.servers.iter().filter(is_lost).map(|server| server.entry.life.clone()).collect();
        let view = FleetView {
            service: &self.site.service,
            engine: &self.site.engine,
            servers: list.iter().collect(),
            unlisted: &HashSet::new(),
            lost: &lost,
            busy: &HashSet::new(),
            stale: &StalePlaces::default(),
            sightings: &self.site.sightings,
            evacuated: &EvacuationSet::default(),
            work: &self.site.work,
            before_traffic: false,
            is_work_measured: true,
        };
        self.site.planner.plan(now, &view)
    }

    fn send(&mut self, order: &FleetOrder) {
        if self.random.random_bool(LATE_SHARE) {
            let at = self.in_ms(LATE_MS);
            self.pending.push((at, self.fencing, order.clone()));
        } else if let Some(outcome) = self.carry_out(self.fencing, order) {
            self.site.planner.record_outcome(self.now, order, outcome);
        }
    }

    fn phase_of_head(&self, place: &GroupMembership) -> Option<MemberPhase> {
        let is_head = |own: &&GroupMembership| own.group == place.group && own.rank == 0;
        let alive = self.servers.iter().filter(|server| server.crashed_at.is_none());
        let mut places = alive.filter_map(|server| server.entry.membership.as_ref());
        places.find(is_head).map(|own| own.phase)
    }

    /// A server carries an order out, unless it has crashed.
    fn carry_out(&mut self, fencing: u64, order: &FleetOrder) -> Option<OrderOutcome> {
        let is_meant =
            |server: &LateServer| server.entry.life == order.life && server.crashed_at.is_none();
        let number = self.servers.iter().position(is_meant)?;
        if fencing < self.servers[number].fencing {
            return Some(OrderOutcome::Outdated);
        }
        let own = self.servers[number].entry.membership.clone();
        if let FleetAction::Join { group, epoch, .. } = &order.action
            && *epoch >= self.servers[number].newest_epoch
            && let Some(own) = own.as_ref().filter(|own| own.group != *group)
            && self.phase_of_head(own) == Some(MemberPhase::Open)
        {
            self.two.push(format!("{} of {} joined {group}", order.life, own.group));
        }
        let now = self.now;
        let server = &mut self.servers[number];
        server.fencing = fencing;
        let is_in = |(group, epoch): (&GroupId, u64)| {
            own.as_ref().is_some_and(|own| own.group == *group && own.epoch == epoch)
        };
        let is_in = order.action.group().is_some_and(is_in);
        match &order.action {
            FleetAction::Join { epoch, .. } if *epoch < server.newest_epoch => {
                return Some(OrderOutcome::Outdated);
            }
            FleetAction::Join { group, epoch, model, members } if !is_in => {
                let rank = members.iter().position(|member| *member == order.life.vm).unwrap();
                let (group, rank) = (group.clone(), u32::try_from(rank).unwrap());
                let phase = MemberPhase::Joining;
                server.newest_epoch = *epoch;
                server.entry.model = Some(model.clone());
                server.entry.membership =
                    Some(GroupMembership { group, epoch: *epoch, rank, phase });
                server.change = Some((now + JOIN_TIME, MemberPhase::Ready));
            }
            FleetAction::Open { .. } => {
                if !is_in || own.is_none_or(|own| own.phase != MemberPhase::Ready) {
                    return Some(OrderOutcome::Unfit);
                }
                server.change = Some((now + OPEN_TIME, MemberPhase::Open));
            }
            FleetAction::Leave { .. } if is_in => {
                server.entry.membership = None;
                server.change = None;
            }
            FleetAction::Leave { .. } => return Some(OrderOutcome::Unfit),
            FleetAction::Join { .. } | FleetAction::Close { .. } | FleetAction::Stage { .. } => {}
        }
        Some(OrderOutcome::Taken)
    }

    /// A random member of an open group crashes, and is back later under the same or another id.
    fn crash_member(&mut self) {
        let is_member = |server: &&mut LateServer| {
            server.crashed_at.is_none()
                && server.entry.membership.as_ref().is_some_and(|own| own.rank > 0)
        };
        let start = self.random.random_range(0..2 * DOMAINS);
        let Some(server) = self.servers.iter_mut().filter(is_member).nth(start % DOMAINS) else {
            return;
        };
        server.crashed_at = Some(self.now);
        let entry = FleetServer { membership: None, model: None, ..server.entry.clone() };
        let mut life = ServerLife { born: entry.life.born + 1, ..entry.life };
        if self.random.random_bool(0.5) {
            self.started += 1;
            life = ServerLife { vm: VmId::from(format!("new-{}", self.started)), born: 1 };
        }
        let at = self.in_ms(DOWN_MS);
        self.returns.push((at, FleetServer { life, ..entry }));
    }

    /// Another node plans, which knows the rows, and the list for as long as the first one or not at
    /// all.
    fn replace_planner(&mut self) {
        self.fencing += 1;
        // A planner that ends tells nothing of its last orders.
        let told_at = self.now - TELLING_AGE;
        let told = self.told.iter().rev().find(|(at, _)| *at <= told_at);
        let unanswered_join = told.and_then(|(_, unanswered)| *unanswered);
        let earlier = EarlierOrders { until: self.now, unanswered_join };
        let planner = FleetPlanner::new(self.fencing, FleetPlannerSettings::default());
        self.site.planner = planner.after(earlier);
        self.site.planner.restore(self.now, self.rows.clone());
        if self.random.random_bool(0.3) {
            self.site.sightings = GroupSightings::default();
        }
    }

    fn open_groups(&self) -> usize {
        let alive = self.servers.iter().filter(|server| server.crashed_at.is_none());
        let places = alive.filter_map(|server| server.entry.membership.as_ref());
        let open: HashMap<_, _> = places
            .filter(|own| own.phase == MemberPhase::Open)
            .map(|own| (&own.group, ()))
            .collect();
        open.len()
    }
}

/// Guards against a server in two groups: orders that are carried out late put it back into a group
/// that it had left, and open that (TWO).
#[test]
fn no_server_is_in_two_groups_after_late_orders() {
    for seed in 0..SEEDS {
        let mut fleet = LateFleet::new(seed);
        let mut most_open = 0;
        for _ in 0..SECONDS {
            if fleet.random.random_bool(0.4) {
                fleet.crash_member();
            }
            if fleet.random.random_bool(0.05) {
                fleet.replace_planner();
            }
            (0..10).for_each(|_| fleet.step());
            most_open = most_open.max(fleet.open_groups());
        }
        assert_eq!(fleet.two, Vec::<String>::new(), "seed {seed}");
        assert!(most_open >= 2, "seed {seed}: {most_open} groups served at a time");
    }
}
