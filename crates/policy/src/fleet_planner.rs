//! Plans which servers form which groups, and the next orders to them.
//!
//! The planner compares the state that the servers report with the desired groups and orders the
//! next steps. It is level-triggered: if an order or a reply is lost, the next plan finds the same
//! difference again. Its own state (which servers were ordered into a group, since when a head has
//! been unreachable) only shortens waits; a new holder of the lease starts from the rows and what
//! the servers report.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_ports::{FleetAction, OrderOutcome};
use comfreyturn_types::{
    FleetGroupRecord, FleetServer, GroupId, MemberRecord, ModelName, ServerLife, ServiceName,
};

use crate::{
    FleetOrder, FleetPlannerSettings, FleetView,
    fleet_conversion::GroupConversion,
    fleet_plan::FleetPlan,
    fleet_standby::{StandbyOrder, is_standby_group},
    fleet_state::{ReportedGroup, group_model, reported_groups},
    late_orders::{EarlierOrders, LateOrders},
    left_groups::LeftGroups,
    planned_group::{FleetIndex, GroupHealth, PlannedGroup, load_timeout},
};

/// Plans the groups of one service.
#[derive(Debug)]
pub struct FleetPlanner {
    pub(crate) settings: FleetPlannerSettings,

    /// Epochs are numbered from the fencing number of the lease, so that they only rise.
    pub(crate) next_epoch: u64,

    /// Higher epochs in the list of servers are not followed.
    last_believed_epoch: u64,

    pub(crate) groups: BTreeMap<GroupId, PlannedGroup>,

    /// Servers that are loading weights, with the model and the start of the load.
    pub(crate) staging: HashMap<ServerLife, (ModelName, Instant)>,

    /// Dissolved groups whose rows are still stored.
    obsolete: Vec<GroupId>,

    /// Groups that servers confirmed to have left.
    pub(crate) left: LeftGroups,

    /// Orders that were not answered.
    pub(crate) late_orders: LateOrders,

    /// What is known of the orders of earlier planners.
    pub(crate) earlier: Option<EarlierOrders>,

    /// When each order was last sent.
    sent: HashMap<(ServerLife, FleetAction), Instant>,

    /// Heads that are neither listed nor reachable, and since when.
    pub(crate) unreachable_heads: HashMap<ServerLife, Instant>,

    /// Starts of loads within the last second.
    pub(crate) load_starts: Vec<Instant>,

    /// Groups that wait for servers that other groups give up.
    pub(crate) conversions: Vec<GroupConversion>,

    /// Standby groups that spares were ordered to join.
    pub(crate) standbys: HashMap<ServerLife, StandbyOrder>,

    /// The last plan, without its orders.
    pub(crate) last_plan: FleetPlan,
}

/// Number of epochs that one holder of the lease can use.
const EPOCHS_PER_LEASE: u64 = 1_000_000;

/// Epochs of so many later leases are believed: a store that starts anew counts leases anew, while
/// servers keep their epochs. No planner gave out a higher one.
const BELIEVED_LEASES: u64 = 1_000_000;

impl FleetPlanner {
    /// A planner that acts under a lease.
    pub fn new(fencing: u64, settings: FleetPlannerSettings) -> Self {
        Self {
            settings,
            next_epoch: fencing * EPOCHS_PER_LEASE + 1,
            last_believed_epoch: (fencing + BELIEVED_LEASES) * EPOCHS_PER_LEASE,
            groups: BTreeMap::new(),
            staging: HashMap::new(),
            obsolete: Vec::new(),
            left: LeftGroups::default(),
            late_orders: LateOrders::default(),
            earlier: None,
            sent: HashMap::new(),
            unreachable_heads: HashMap::new(),
            load_starts: Vec::new(),
            conversions: Vec::new(),
            standbys: HashMap::new(),
            last_plan: FleetPlan::default(),
        }
    }

    /// The same after earlier planners, of whose orders this is known.
    pub fn after(self, earlier: EarlierOrders) -> Self {
        Self { earlier: Some(earlier), ..self }
    }

    /// When a head was last ordered to join a group without an answer, by this planner or an earlier
    /// one, if that order may still be carried out.
    pub fn unanswered_join(&self, now: Instant) -> Option<Instant> {
        let earlier = self.earlier.and_then(|earlier| earlier.unanswered_join);
        let last = self.late_orders.unanswered_join(now).max(earlier);
        last.filter(|at| now.saturating_duration_since(*at) < self.settings.late_order_time)
    }

    /// Decides the next orders.
    pub fn plan(&mut self, now: Instant, view: &FleetView<'_>) -> Vec<FleetOrder> {
        let index = FleetIndex::new(view);
        self.remove_expired(now, &index);
        self.match_reported_groups(now, &index);
        let mut plan = FleetPlan::default();
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in groups {
            self.plan_group(now, &index, &group, &mut plan);
        }
        self.release_orphans(&index, &mut plan);
        self.advance_conversions(now, &index, &mut plan);
        self.form_groups(now, view, &mut plan);
        self.start_conversions(now, &index, &mut plan);
        self.stage_weights(now, &index, &mut plan);
        self.warm_spares(now, view, &mut plan);
        let mut orders = std::mem::take(&mut plan.orders);
        self.last_plan = plan;
        orders.retain(|order| is_allowed(&index, order));
        orders.retain(|order| self.is_due(now, order));
        for order in &orders {
            self.sent.insert((order.life.clone(), order.action.clone()), now);
            self.late_orders.record_sent(now, order);
        }
        orders
    }

    /// Records a server's reply to an order. Unless it refuses the order as outdated, the reply to
    /// an order to leave proves that the server was out of the group then. A refusal tells nothing
    /// of other groups, so the caller must mark the server's place as stale.
    pub fn record_outcome(&mut self, now: Instant, order: &FleetOrder, outcome: OrderOutcome) {
        self.late_orders.record_answered(order);
        if let FleetAction::Leave { group, .. } = &order.action
            && outcome != OrderOutcome::Outdated
        {
            self.left.record(now, &order.life, group);
        }
    }

    // ---------------------------------------------------------------------------------------
    // Rows

    /// Adds the groups that earlier planners ordered and didn't dissolve. They count as having been
    /// ready, so one that a member doesn't report fails at once. Standby groups have no rows.
    pub fn restore(&mut self, now: Instant, records: Vec<FleetGroupRecord>) {
        for record in records.into_iter().filter(|record| !is_standby_group(&record.group)) {
            let group = PlannedGroup { was_ready: true, ..PlannedGroup::new(record, now, true) };
            self.groups.insert(group.record.group.clone(), group);
        }
    }

    /// Rows to write and rows to remove. No server is ordered to join a group before the group's
    /// row is written.
    pub fn row_changes(&self) -> (Vec<FleetGroupRecord>, Vec<GroupId>) {
        let unsaved = self.groups.values().filter(|group| !group.is_saved);
        (unsaved.map(|group| group.record.clone()).collect(), self.obsolete.clone())
    }

    /// Records that row changes were stored.
    pub fn record_rows(&mut self, written: &[FleetGroupRecord], removed: &[GroupId]) {
        for record in written {
            if let Some(group) = self.groups.get_mut(&record.group) {
                group.is_saved = true;
            }
        }
        self.obsolete.retain(|group| !removed.contains(group));
    }

    // ---------------------------------------------------------------------------------------
    // Known state

    fn remove_expired(&mut self, now: Instant, index: &FleetIndex<'_>) {
        let view = index.view;
        let retry_interval = self.settings.order_retry_interval;
        self.sent.retain(|_, at| now.saturating_duration_since(*at) < retry_interval);
        let second = Duration::from_secs(1);
        self.load_starts.retain(|at| now.saturating_duration_since(*at) < second);
        self.left.update(now, index);
        self.late_orders.forget(now, self.settings.late_order_time, index);
        let limit = |model: &ModelName| load_timeout(view.engine, model);
        self.staging.retain(|life, (model, since)| {
            let waiting = index.find(life).is_some_and(|server| !server.staged.contains(model));
            waiting && now.saturating_duration_since(*since) < limit(model)
        });
        self.unreachable_heads
            .retain(|life, _| index.find(life).is_none() || !index.is_reachable(life));
    }

    /// Adds reported groups that have no row, and removes groups that no server reports any more.
    ///
    /// The row of a group is written before its first order and removed when it is dissolved, so
    /// members that report an unknown group missed its dissolution. If every member still reports
    /// it, the group is kept and gets a row; otherwise it is dissolved. Groups in evacuated domains
    /// wait for the end of the evacuation, and those of stale places for the servers' answers.
    fn match_reported_groups(&mut self, now: Instant, index: &FleetIndex<'_>) {
        let view = index.view;
        let reported = reported_groups(view.servers.iter().copied(), view.service, view.engine);
        // Standby groups count as well: their members refuse older epochs too.
        let memberships = view.servers.iter().filter_map(|server| server.membership.as_ref());
        let epochs = memberships.map(|membership| membership.epoch);
        let newest = epochs.filter(|epoch| *epoch <= self.last_believed_epoch).max();
        self.next_epoch = self.next_epoch.max(newest.unwrap_or_default() + 1);
        for reported in &reported {
            if self.groups.contains_key(&reported.group) || reported.head().is_none() {
                continue;
            }
            let whole = reported.members.iter().all(Option::is_some);
            if reported.is_awaited(view) || (!whole && reported.is_evacuated(view)) {
                continue;
            }
            let record = reported_record(view.service, reported);
            let group =
                PlannedGroup { dissolving: !whole, ..PlannedGroup::new(record, now, !whole) };
            self.groups.insert(reported.group.clone(), group);
        }
        let names: HashSet<&GroupId> = reported.iter().map(|reported| &reported.group).collect();
        let may_return: HashSet<GroupId> = self
            .groups
            .values()
            .filter(|group| group.dissolving && self.may_return(now, index, group))
            .map(|group| group.record.group.clone())
            .collect();
        let form_timeout = self.settings.form_timeout;
        let obsolete = &mut self.obsolete;
        self.groups.retain(|name, group| {
            let is_recent = now.saturating_duration_since(group.since) < form_timeout;
            let keep = names.contains(name)
                || (is_recent && !group.dissolving)
                || may_return.contains(name)
                || group.is_evacuated(view)
                || group.is_awaited(view);
            if !keep && group.is_saved {
                obsolete.push(name.clone());
            }
            keep
        });
    }

    // ---------------------------------------------------------------------------------------
    // Existing groups

    /// Orders the next step of a group, and marks the servers that belong to it as held.
    fn plan_group(
        &mut self,
        now: Instant,
        index: &FleetIndex<'_>,
        name: &GroupId,
        plan: &mut FleetPlan,
    ) {
        let Some(group) = self.groups.get_mut(name) else { return };
        if group.is_evacuated(index.view) {
            group.suspend(now);
            plan.hold(group);
            return;
        }
        if group.is_awaited(index.view) {
            plan.keep(group);
            return;
        }
        let health = group.health(now, index, &self.settings);
        let is_head_listed = index.is_listed(&group.record.head().life);
        group.head_was_seen |= is_head_listed && group.head_phase(index).is_some();
        group.was_ready |= matches!(health, GroupHealth::Serving | GroupHealth::Ready);
        group.update_dissolving(now, index, health, &self.settings);
        let group = group.clone();
        if group.dissolving {
            self.dissolve(now, index, &group, plan);
            return;
        }
        plan.hold(&group);
        let (name, epoch) = (name.clone(), group.record.epoch);
        let head = &group.record.head().life;
        match health {
            GroupHealth::Ready if group.is_saved => {
                self.mark_open_ordered(&name);
                plan.order(head, FleetAction::Open { group: name, epoch });
            }
            GroupHealth::Forming if group.is_saved => {
                for life in group.missing_members(index) {
                    plan.order(life, join_action(&group.record));
                }
            }
            GroupHealth::Serving if !group.yielding => {}
            GroupHealth::Serving | GroupHealth::Shrinking => {
                plan.order(head, FleetAction::Close { group: name, epoch });
                return;
            }
            _ => {}
        }
        *plan.active.entry(group.record.model.clone()).or_default() += 1;
    }

    fn mark_open_ordered(&mut self, name: &GroupId) {
        if let Some(group) = self.groups.get_mut(name) {
            group.may_be_open = true;
        }
    }

    fn is_due(&self, now: Instant, order: &FleetOrder) -> bool {
        let sent = self.sent.get(&(order.life.clone(), order.action.clone()));
        sent.is_none_or(|at| {
            now.saturating_duration_since(*at) >= self.settings.order_retry_interval
        })
    }
}

// -------------------------------------------------------------------------------------------

fn join_action(record: &FleetGroupRecord) -> FleetAction {
    FleetAction::Join {
        group: record.group.clone(),
        epoch: record.epoch,
        model: record.model.clone(),
        members: record.members.iter().map(|member| member.life.vm.clone()).collect(),
    }
}

pub(crate) fn member_record(server: &FleetServer) -> MemberRecord {
    MemberRecord {
        life: server.life.clone(),
        address: server.address,
        failure_domain: server.failure_domain.clone(),
    }
}

/// The record of a group that is known only from the reports of its members.
fn reported_record(service: &ServiceName, reported: &ReportedGroup<'_>) -> FleetGroupRecord {
    FleetGroupRecord {
        group: reported.group.clone(),
        service: service.clone(),
        epoch: reported.epoch,
        model: reported.model.name.clone(),
        members: reported.members.iter().flatten().map(|server| member_record(server)).collect(),
    }
}

pub(crate) fn is_usable(view: &FleetView<'_>, server: &FleetServer) -> bool {
    server.service == *view.service
        && !server.leaving
        && !view.unlisted.contains(&server.life)
        && !view.lost.contains(&server.life)
        && !view.stale.is_stale(&server.life)
        && !view.is_evacuated(server)
}

/// Whether an order may be sent: none to evacuated servers, and none to join a group to a server that
/// may be in another one.
fn is_allowed(index: &FleetIndex<'_>, order: &FleetOrder) -> bool {
    let FleetOrder { life, action } = order;
    let is_evacuated = index.find(life).is_some_and(|server| index.view.is_evacuated(server));
    let is_join = matches!(action, FleetAction::Join { .. });
    let may_be_elsewhere = is_join && index.view.stale.is_stale(life);
    !is_evacuated && !may_be_elsewhere
}

pub(crate) fn membership_model<'a>(
    view: &FleetView<'a>,
    server: &FleetServer,
) -> Option<&'a ModelName> {
    let membership = server.membership.as_ref()?;
    group_model(view.engine, &membership.group).map(|model| &model.name)
}
