//! Model servers that carry out orders, and the list in which they report their groups. The store
//! keeps copies of the list and can be restored from one.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use comfreyturn_ports::{
    Clock, FeedError, FeedResult, FleetAction, FleetControl, FleetError, FleetResult, OrderOutcome,
    ReportedPlace, ServerChange, ServerFeed, ServerReading, ServerReport,
};
use comfreyturn_standin::fakes::{ManualClock, MemoryTable, TableCopy};
use comfreyturn_types::{
    FencingNumber, FleetServer, GroupId, GroupMembership, MemberPhase, ModelName, ServerLife,
    StoreVersion, VmId,
};

/// Time between two entries that a server writes.
const BEAT: Duration = Duration::from_millis(1200);

/// An entry that was not written for this long is removed.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3600);

const JOIN_TIME: Duration = Duration::from_millis(200);
const OPEN_TIME: Duration = Duration::from_millis(300);

/// How old a server's report of its own state is.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// A head that lost a member is broken after this time.
const STALL_TIME: Duration = Duration::from_secs(4);

const COPY_PERIOD: Duration = Duration::from_millis(100);
const CALL_TIME: Duration = Duration::from_millis(2);

/// An entry of another writer.
#[derive(Clone, Copy, Debug)]
pub enum SpoiltEntry {
    /// All but the group.
    WithoutGroup,

    /// Only what all entries have, without the start time.
    Basic,

    /// Nothing that can be read.
    Unreadable,
}

#[derive(Clone)]
struct ListRow {
    entry: FleetServer,
    version: u64,
    written_at: Duration,
}

/// What a copy of the store holds.
#[derive(Clone)]
struct StoreCopy {
    at: Duration,
    rows: BTreeMap<VmId, ListRow>,
    number: u64,
    table: TableCopy,
}

struct ModelServer {
    /// What it would write into the list now.
    entry: FleetServer,
    fencing: u64,
    newest_epoch: u64,
    ready_at: Option<Duration>,
    opens_at: Option<Duration>,
    stalled_since: Option<Duration>,
    beat_at: Duration,
    has_news: bool,
    reaches_store_at: Duration,
    ends_at: Option<Duration>,
    has_ended: bool,

    /// Earlier places, each with the time at which the server left it.
    past: Vec<(Duration, Option<GroupMembership>)>,
}

impl ModelServer {
    fn is_in(&self, group: &GroupId, epoch: u64) -> bool {
        let own = self.entry.membership.as_ref();
        !self.has_ended && own.is_some_and(|own| own.group == *group && own.epoch == epoch)
    }

    fn move_to(&mut self, now: Duration, place: Option<GroupMembership>) {
        let old = std::mem::replace(&mut self.entry.membership, place);
        self.past.push((now, old));
        (self.ready_at, self.opens_at, self.stalled_since) = (None, None, None);
        self.has_news = true;
    }

    fn set_phase(&mut self, phase: MemberPhase) {
        if let Some(own) = &mut self.entry.membership {
            own.phase = phase;
        }
        self.has_news = true;
    }

    fn phase(&self) -> Option<MemberPhase> {
        self.entry.membership.as_ref().map(|own| own.phase)
    }

    /// Where the server was `REPORT_LAG` ago.
    fn reported_place(&self, now: Duration) -> Option<GroupMembership> {
        let at = now.saturating_sub(REPORT_LAG);
        let earlier = self.past.iter().find(|(until, _)| *until > at);
        earlier.map_or(self.entry.membership.clone(), |(_, place)| place.clone())
    }
}

struct World {
    servers: Vec<ModelServer>,
    rows: BTreeMap<VmId, ListRow>,
    removed: BTreeMap<VmId, u64>,
    version: StoreVersion,
    away_until: Duration,
    copies: VecDeque<StoreCopy>,
    joins: u32,
    two: Vec<String>,
    ended_groups: Vec<String>,
}

/// Model servers and their list. Clones share them.
#[derive(Clone)]
pub struct ModelFleet {
    clock: ManualClock,
    table: MemoryTable,
    world: Rc<RefCell<World>>,
}

impl ModelFleet {
    pub fn new(clock: &ManualClock, table: &MemoryTable, servers: Vec<FleetServer>) -> Self {
        let world = World {
            servers: Vec::new(),
            rows: BTreeMap::new(),
            removed: BTreeMap::new(),
            version: StoreVersion { era: 0, number: 1 },
            away_until: Duration::ZERO,
            copies: VecDeque::new(),
            joins: 0,
            two: Vec::new(),
            ended_groups: Vec::new(),
        };
        let fleet = Self {
            clock: clock.clone(),
            table: table.clone(),
            world: Rc::new(RefCell::new(world)),
        };
        servers.into_iter().for_each(|server| fleet.add(server));
        fleet
    }

    /// Starts another server.
    pub fn add(&self, entry: FleetServer) {
        let now = self.clock.elapsed();
        let mut world = self.world.borrow_mut();
        let number = u32::try_from(world.servers.len()).unwrap();
        world.servers.push(ModelServer {
            entry,
            fencing: 0,
            newest_epoch: 0,
            ready_at: None,
            opens_at: None,
            stalled_since: None,
            beat_at: now + BEAT * (number * 7 % 12) / 12,
            has_news: true,
            reaches_store_at: Duration::ZERO,
            ends_at: None,
            has_ended: false,
            past: Vec::new(),
        });
    }

    /// The list and the orders as a node reaches them.
    pub fn for_node(&self, clock: Rc<dyn Clock>) -> Rc<NodeFleet> {
        Rc::new(NodeFleet { fleet: self.clone(), clock, read: Cell::new(None) })
    }

    /// Carries on with what is due by now.
    pub fn advance(&self) {
        let now = self.clock.elapsed();
        let mut world = self.world.borrow_mut();
        world.advance(now);
        if world.copies.back().is_none_or(|copy| now >= copy.at + COPY_PERIOD) {
            let copy = StoreCopy {
                at: now,
                rows: world.rows.clone(),
                number: world.version.number,
                table: self.table.copy(),
            };
            world.copies.push_back(copy);
        }
    }

    /// The list can't be reached for this long.
    pub fn take_list_away(&self, time: Duration) {
        self.world.borrow_mut().away_until = self.clock.elapsed() + time;
    }

    /// The store holds what it held that long ago, in a new era.
    pub fn restore(&self, age: Duration) {
        let now = self.clock.elapsed();
        let mut world = self.world.borrow_mut();
        let copies = world.copies.iter();
        let copy = copies.rev().find(|copy| copy.at + age <= now).unwrap_or(&world.copies[0]);
        let StoreCopy { mut rows, number, table, .. } = copy.clone();
        rows.values_mut().for_each(|row| row.written_at = now);
        world.rows = rows;
        world.removed.clear();
        world.version = StoreVersion { era: world.version.era + 1, number };
        world.copies.clear();
        self.table.restore(table);
    }

    /// Servers announce that they leave, one of each of the first open groups; returns how many.
    pub fn drain(&self, count: usize) -> usize {
        let ends_at = self.clock.elapsed() + Duration::from_millis(2300);
        let mut world = self.world.borrow_mut();
        let members = world.servers.iter_mut().filter(|server| {
            let own = server.entry.membership.as_ref();
            let is_member = own.is_some_and(|own| own.rank > 0 && own.phase == MemberPhase::Ready);
            is_member && !server.entry.leaving && !server.has_ended
        });
        members
            .take(count)
            .map(|server| {
                server.entry.leaving = true;
                server.ends_at = Some(ends_at);
                server.has_news = true;
            })
            .count()
    }

    /// A server ends without a word.
    pub fn crash(&self, number: usize) {
        if let Some(server) = self.world.borrow_mut().servers.get_mut(number) {
            server.ends_at = Some(Duration::ZERO);
        }
    }

    /// A server doesn't reach the store for this long.
    pub fn cut_from_store(&self, number: usize, time: Duration) {
        let until = self.clock.elapsed() + time;
        if let Some(server) = self.world.borrow_mut().servers.get_mut(number) {
            server.reaches_store_at = until;
        }
    }

    /// Another writer writes the entry of the head of an open group.
    pub fn spoil_entry_of_a_head(&self, spoilt: SpoiltEntry) -> bool {
        let now = self.clock.elapsed();
        let mut world = self.world.borrow_mut();
        let head = world.servers.iter().find(|server| server.phase() == Some(MemberPhase::Open));
        let Some(entry) = head.map(|server| server.entry.clone()) else { return false };
        match spoilt {
            SpoiltEntry::WithoutGroup => {
                world.write(now, FleetServer { membership: None, ..entry })
            }
            SpoiltEntry::Basic => {
                let life = ServerLife { born: 0, ..entry.life };
                let (fabric_domain, model, staged, membership) = (None, None, Vec::new(), None);
                let entry = FleetServer { life, fabric_domain, model, staged, membership, ..entry };
                world.write(now, entry);
            }
            SpoiltEntry::Unreadable => world.remove(entry.life.vm),
        }
        true
    }

    pub fn servers(&self) -> usize {
        self.world.borrow().servers.len()
    }

    /// Number of groups whose head is open.
    pub fn open_groups(&self) -> usize {
        let world = self.world.borrow();
        let is_open =
            |server: &&ModelServer| !server.has_ended && server.phase() == Some(MemberPhase::Open);
        world.servers.iter().filter(is_open).count()
    }

    /// Number of orders to join that servers took.
    pub fn joins(&self) -> u32 {
        self.world.borrow().joins
    }

    /// Orders to join that servers took while the head of their group was open.
    pub fn two(&self) -> Vec<String> {
        self.world.borrow().two.clone()
    }

    /// Orders that ended a group that was whole and open, none of whose members was leaving.
    pub fn take_ended_groups(&self) -> Vec<String> {
        std::mem::take(&mut self.world.borrow_mut().ended_groups)
    }
}

impl World {
    fn advance(&mut self, now: Duration) {
        self.advance_servers(now);
        self.break_heads(now);
        if now < self.away_until {
            return;
        }
        let due: Vec<FleetServer> = self
            .servers
            .iter_mut()
            .filter(|server| !server.has_ended && now >= server.reaches_store_at)
            .filter(|server| server.has_news || now >= server.beat_at)
            .map(|server| {
                server.has_news = false;
                server.beat_at = now + BEAT;
                server.entry.clone()
            })
            .collect();
        due.into_iter().for_each(|entry| self.write(now, entry));
        let silent = self.rows.iter().filter(|(_, row)| now >= row.written_at + ENTRY_LIFETIME);
        for vm in silent.map(|(vm, _)| vm.clone()).collect::<Vec<VmId>>() {
            self.remove(vm);
        }
    }

    /// Removes an entry, or makes it one that nodes take for none.
    fn remove(&mut self, vm: VmId) {
        self.rows.remove(&vm);
        self.version.number += 1;
        self.removed.insert(vm, self.version.number);
    }

    fn advance_servers(&mut self, now: Duration) {
        let is_away = now < self.away_until;
        for server in self.servers.iter_mut().filter(|server| !server.has_ended) {
            server.has_ended = server.ends_at.is_some_and(|at| now >= at);
            if server.ready_at.is_some_and(|at| now >= at) {
                server.ready_at = None;
                server.set_phase(MemberPhase::Ready);
            }
            if server.opens_at.is_some_and(|at| now >= at) {
                server.opens_at = None;
                server.set_phase(MemberPhase::Open);
            }
            // A change that can't be written is written with the next beat.
            if is_away || now < server.reaches_store_at {
                server.has_news = false;
                while server.beat_at <= now {
                    server.beat_at += BEAT;
                }
            }
        }
    }

    /// Heads that lost a member stand still, and are broken later.
    fn break_heads(&mut self, now: Duration) {
        for number in 0..self.servers.len() {
            let head = &self.servers[number];
            let serves = matches!(head.phase(), Some(MemberPhase::Open | MemberPhase::Closing));
            let Some(own) = head.entry.membership.clone().filter(|_| serves) else { continue };
            if self.is_whole(&own) {
                self.servers[number].stalled_since = None;
                continue;
            }
            let since = *self.servers[number].stalled_since.get_or_insert(now);
            if now >= since + STALL_TIME {
                self.servers[number].set_phase(MemberPhase::Broken);
            }
        }
    }

    fn is_whole(&self, place: &GroupMembership) -> bool {
        let members = self.servers.iter().filter(|server| server.is_in(&place.group, place.epoch));
        let size = if place.group.as_str().starts_with("large") { 4 } else { 2 };
        members.count() == size
    }

    fn write(&mut self, now: Duration, entry: FleetServer) {
        let vm = entry.life.vm.clone();
        let old = self.rows.get(&vm);
        let is_same = old.is_some_and(|old| old.entry == entry && self.version.era == 0);
        let version = match old {
            Some(old) if is_same => old.version,
            _ => {
                self.version.number += 1;
                self.version.number
            }
        };
        self.removed.remove(&vm);
        self.rows.insert(vm, ListRow { entry, version, written_at: now });
    }

    fn position(&self, life: &ServerLife) -> Option<usize> {
        let is_meant = |server: &ModelServer| !server.has_ended && server.entry.life == *life;
        self.servers.iter().position(is_meant)
    }

    /// The phase of the head of a group.
    fn head_phase(&self, place: &GroupMembership) -> Option<MemberPhase> {
        let mut members =
            self.servers.iter().filter(|server| server.is_in(&place.group, place.epoch));
        let head = members
            .find(|server| server.entry.membership.as_ref().is_some_and(|own| own.rank == 0));
        head.and_then(ModelServer::phase)
    }

    fn order(
        &mut self,
        now: Duration,
        number: usize,
        action: &FleetAction,
        fencing: u64,
    ) -> OrderOutcome {
        if fencing < self.servers[number].fencing {
            return OrderOutcome::Outdated;
        }
        self.servers[number].fencing = fencing;
        match action {
            FleetAction::Join { group, epoch, model, members } => {
                self.join(now, number, group, *epoch, model, members)
            }
            FleetAction::Stage { model } => {
                let server = &mut self.servers[number];
                server.entry.staged = vec![model.clone()];
                server.has_news = true;
                OrderOutcome::Taken
            }
            FleetAction::Open { group, epoch }
            | FleetAction::Close { group, epoch }
            | FleetAction::Leave { group, epoch } => {
                self.order_in_group(now, number, action, group, *epoch)
            }
        }
    }

    fn order_in_group(
        &mut self,
        now: Duration,
        number: usize,
        action: &FleetAction,
        group: &GroupId,
        epoch: u64,
    ) -> OrderOutcome {
        if !self.servers[number].is_in(group, epoch) {
            return OrderOutcome::Unfit;
        }
        let phase = self.servers[number].phase();
        if phase == Some(MemberPhase::Open) {
            self.record_ended(now, number, action, group, epoch);
        }
        let server = &mut self.servers[number];
        match (action, phase) {
            (FleetAction::Leave { .. }, _) => server.move_to(now, None),
            (FleetAction::Open { .. }, Some(MemberPhase::Ready)) => {
                server.opens_at = Some(now + OPEN_TIME);
            }
            (FleetAction::Close { .. }, Some(MemberPhase::Open)) => {
                server.set_phase(MemberPhase::Ready);
            }
            _ => return OrderOutcome::Unfit,
        }
        OrderOutcome::Taken
    }

    /// Records an order that ends a group that serves and could go on.
    fn record_ended(
        &mut self,
        now: Duration,
        number: usize,
        action: &FleetAction,
        group: &GroupId,
        epoch: u64,
    ) {
        let members: Vec<&ModelServer> =
            self.servers.iter().filter(|server| server.is_in(group, epoch)).collect();
        let Some(own) = self.servers[number].entry.membership.as_ref() else { return };
        let is_sound = self.is_whole(own) && members.iter().all(|server| !server.entry.leaving);
        if is_sound && !matches!(action, FleetAction::Open { .. }) {
            self.ended_groups.push(format!("{} ms: {group} {action}", now.as_millis()));
        }
    }

    fn join(
        &mut self,
        now: Duration,
        number: usize,
        group: &GroupId,
        epoch: u64,
        model: &ModelName,
        members: &[VmId],
    ) -> OrderOutcome {
        if epoch < self.servers[number].newest_epoch {
            return OrderOutcome::Outdated;
        }
        if self.servers[number].is_in(group, epoch) {
            return OrderOutcome::Taken;
        }
        let life = self.servers[number].entry.life.clone();
        if let Some(own) = self.servers[number].entry.membership.clone() {
            let phase = self.head_phase(&own);
            if matches!(phase, Some(MemberPhase::Open | MemberPhase::Closing)) {
                let text =
                    format!("{} ms: {life} of {} joined {group}", now.as_millis(), own.group);
                self.two.push(text);
            }
        }
        self.joins += 1;
        let rank = members.iter().position(|vm| *vm == life.vm).unwrap_or_default();
        let server = &mut self.servers[number];
        server.newest_epoch = epoch;
        server.entry.model = Some(model.clone());
        server.move_to(
            now,
            Some(GroupMembership {
                group: group.clone(),
                epoch,
                rank: u32::try_from(rank).unwrap(),
                phase: MemberPhase::Joining,
            }),
        );
        server.ready_at = Some(now + JOIN_TIME);
        OrderOutcome::Taken
    }
}

/// The fleet as one node reaches it.
pub struct NodeFleet {
    fleet: ModelFleet,
    clock: Rc<dyn Clock>,

    /// The version up to which this node read the list.
    read: Cell<Option<StoreVersion>>,
}

#[async_trait(?Send)]
impl ServerFeed for NodeFleet {
    async fn next(&self, whole: bool) -> FeedResult<ServerReading> {
        self.clock.sleep(CALL_TIME).await;
        self.fleet.advance();
        let world = self.fleet.world.borrow();
        if self.fleet.clock.elapsed() < world.away_until {
            return Err(FeedError::Unreachable);
        }
        let version = world.version;
        let read = self.read.replace(Some(version)).filter(|read| read.era == version.era);
        let after = read.filter(|_| !whole).map(|read| read.number);
        let is_new = |number: u64| after.is_none_or(|after| number > after);
        let rows = world.rows.values().filter(|row| is_new(row.version));
        let listed = rows.map(|row| ServerChange::Listed(Box::new(row.entry.clone())));
        let removed = world.removed.iter().filter(|(_, number)| is_new(**number));
        let dropped = removed.map(|(vm, _)| ServerChange::Dropped(vm.clone()));
        let changes = listed.chain(dropped.filter(|_| after.is_some())).collect();
        Ok(ServerReading { is_whole: after.is_none(), version, changes })
    }
}

#[async_trait(?Send)]
impl FleetControl for NodeFleet {
    async fn order(
        &self,
        server: &FleetServer,
        action: &FleetAction,
        fencing: FencingNumber,
    ) -> FleetResult<OrderOutcome> {
        self.clock.sleep(CALL_TIME).await;
        self.fleet.advance();
        let now = self.fleet.clock.elapsed();
        let mut world = self.fleet.world.borrow_mut();
        let number = world.position(&server.life).ok_or(FleetError)?;
        Ok(world.order(now, number, action, fencing.0))
    }

    async fn probe(&self, server: &FleetServer) -> FleetResult<ServerReport> {
        self.clock.sleep(CALL_TIME).await;
        self.fleet.advance();
        let world = self.fleet.world.borrow();
        let number = world.position(&server.life).ok_or(FleetError)?;
        let place = world.servers[number].reported_place(self.fleet.clock.elapsed());
        let place = place.map_or(ReportedPlace::Free, ReportedPlace::Member);
        Ok(ServerReport { place, ..ServerReport::default() })
    }
}
