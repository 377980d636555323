//! Which servers form which groups, and what is ordered of them next.
//!
//! The planner looks at what the servers tell, compares it with the groups that ought to be, and
//! orders the next steps. It plans by level: whatever was lost on the way, the next look finds the
//! difference again. What it remembers (who was ordered into a group, since when a head is
//! missing) only spares it waiting; a new holder of the lease starts from what the servers tell.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_ports::{FleetAction, OrderOutcome};
use comfreyturn_types::{
    FleetGroupRecord, FleetServer, GroupId, MemberPhase, MemberRecord, ModelName, PooledModel,
    ServerLife, ServiceName,
};

use crate::{
    FleetOrder, FleetPlannerSettings, FleetView,
    fleet_match::{DomainPool, GroupLack, best_pool},
    fleet_plan::FleetPlan,
    fleet_state::{ReportedGroup, group_model, group_name, reported_groups},
    fleet_target::{demanded_groups, target_groups},
    planned_group::{GroupHealth, PlanScene, PlannedGroup, load_limit, place_phase},
};

/// Plans the groups of one service.
#[derive(Debug)]
pub struct FleetPlanner {
    settings: FleetPlannerSettings,

    /// Orders are numbered from the fencing number of the lease, so that epochs only rise.
    next_epoch: u64,

    groups: BTreeMap<GroupId, PlannedGroup>,

    /// Servers that load weights for no group, since when.
    pub(crate) staging: HashMap<ServerLife, (ModelName, Instant)>,

    /// Groups that are dissolved and whose rows still stand.
    obsolete: Vec<GroupId>,

    /// When an order was given last.
    sent: HashMap<(ServerLife, FleetAction), Instant>,

    /// Since when a head cannot be asked.
    missing_heads: HashMap<ServerLife, Instant>,

    /// Starts of loads within the last second.
    pub(crate) load_starts: Vec<Instant>,

    /// What the last plan came to, without its orders.
    pub(crate) last: FleetPlan,
}

/// Epochs that one holder of the lease can use.
const EPOCHS_PER_LEASE: u64 = 1_000_000;

impl FleetPlanner {
    /// A planner that acts under a lease.
    pub fn new(fencing: u64, settings: FleetPlannerSettings) -> Self {
        Self {
            settings,
            next_epoch: fencing * EPOCHS_PER_LEASE + 1,
            groups: BTreeMap::new(),
            staging: HashMap::new(),
            obsolete: Vec::new(),
            sent: HashMap::new(),
            missing_heads: HashMap::new(),
            load_starts: Vec::new(),
            last: FleetPlan::default(),
        }
    }

    /// Decides the next orders.
    pub fn plan(&mut self, now: Instant, view: &FleetView<'_>) -> Vec<FleetOrder> {
        let scene = PlanScene::new(view);
        self.forget_old(now, &scene);
        self.match_reported_groups(now, &scene);
        let mut plan = FleetPlan::default();
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in groups {
            self.tend_group(now, &scene, &group, &mut plan);
        }
        self.form_groups(now, view, &mut plan);
        self.stage_weights(now, view, &mut plan);
        let mut orders = std::mem::take(&mut plan.orders);
        self.last = plan;
        orders.retain(|order| self.is_due(now, order));
        for order in &orders {
            self.sent.insert((order.life.clone(), order.action.clone()), now);
        }
        orders
    }

    /// Takes in that a server answered an order. An answer that does not refuse an order to leave
    /// proves that the server is not the group's head any more.
    pub fn record_outcome(&mut self, order: &FleetOrder, outcome: OrderOutcome) {
        let FleetAction::Leave { group, .. } = &order.action else { return };
        let left = outcome != OrderOutcome::Outdated;
        if let Some(known) = self.groups.get_mut(group) {
            known.head_left |= left && known.record.head().life == order.life;
        }
    }

    // ---------------------------------------------------------------------------------------
    // Rows

    /// Takes in the groups that earlier planners ordered and that were not dissolved.
    pub fn restore(&mut self, now: Instant, records: Vec<FleetGroupRecord>) {
        for record in records {
            let group = PlannedGroup { was_ready: true, ..PlannedGroup::new(record, now, true) };
            self.groups.insert(group.record.group.clone(), group);
        }
    }

    /// Rows to write and rows to remove. No server is ordered into a group before its row stands.
    pub fn row_changes(&self) -> (Vec<FleetGroupRecord>, Vec<GroupId>) {
        let unsaved = self.groups.values().filter(|group| !group.is_saved);
        (unsaved.map(|group| group.record.clone()).collect(), self.obsolete.clone())
    }

    /// Takes in that row changes took effect.
    pub fn record_rows(&mut self, written: &[FleetGroupRecord], removed: &[GroupId]) {
        for record in written {
            if let Some(group) = self.groups.get_mut(&record.group) {
                group.is_saved = true;
            }
        }
        self.obsolete.retain(|group| !removed.contains(group));
    }

    // ---------------------------------------------------------------------------------------
    // What is known

    fn forget_old(&mut self, now: Instant, scene: &PlanScene<'_>) {
        let view = scene.view;
        let patience = self.settings.order_retry_interval;
        self.sent.retain(|_, at| now.saturating_duration_since(*at) < patience);
        let second = Duration::from_secs(1);
        self.load_starts.retain(|at| now.saturating_duration_since(*at) < second);
        let limit = |model: &ModelName| load_limit(view.engine, model);
        self.staging.retain(|life, (model, since)| {
            let waiting = scene.find(life).is_some_and(|server| !server.staged.contains(model));
            waiting && now.saturating_duration_since(*since) < limit(model)
        });
        self.missing_heads
            .retain(|life, _| scene.find(life).is_none() || !scene.is_reachable(life));
    }

    /// Takes in groups without a row, and forgets groups that nobody tells any more.
    ///
    /// The row of a group stands before its first order and goes when it is dissolved, so members
    /// that tell an unknown group missed the end of it.
    fn match_reported_groups(&mut self, now: Instant, scene: &PlanScene<'_>) {
        let view = scene.view;
        let told = reported_groups(view.servers.iter().copied(), view.service, view.engine);
        for told in &told {
            self.next_epoch = self.next_epoch.max(told.epoch + 1);
            if self.groups.contains_key(&told.group) || told.head().is_none() {
                continue;
            }
            let whole = told.members.iter().all(Option::is_some);
            let record = reported_record(view.service, told);
            let group =
                PlannedGroup { dissolving: !whole, ..PlannedGroup::new(record, now, !whole) };
            self.groups.insert(told.group.clone(), group);
        }
        let names: HashSet<&GroupId> = told.iter().map(|told| &told.group).collect();
        let patience = self.settings.form_timeout;
        let obsolete = &mut self.obsolete;
        self.groups.retain(|name, group| {
            let young = now.saturating_duration_since(group.since) < patience;
            let keep = names.contains(name) || (young && !group.dissolving);
            if !keep && group.is_saved {
                obsolete.push(name.clone());
            }
            keep
        });
    }

    // ---------------------------------------------------------------------------------------
    // Groups that are there

    /// Does what a group needs next, and notes which servers are bound to it.
    fn tend_group(
        &mut self,
        now: Instant,
        scene: &PlanScene<'_>,
        name: &GroupId,
        plan: &mut FleetPlan,
    ) {
        let Some(group) = self.groups.get_mut(name) else { return };
        let health = group.health(now, scene, &self.settings);
        group.was_ready |= matches!(health, GroupHealth::Serving | GroupHealth::Ready);
        group.dissolving |= health == GroupHealth::Failed;
        let group = group.clone();
        if group.dissolving {
            self.dissolve(now, scene, &group, plan);
            return;
        }
        plan.hold(&group);
        let (name, epoch) = (name.clone(), group.record.epoch);
        let head = &group.record.head().life;
        match health {
            GroupHealth::Ready if group.is_saved => {
                plan.order(head, FleetAction::Open { group: name, epoch });
            }
            GroupHealth::Forming if group.is_saved => {
                for life in group.untold_members(scene) {
                    plan.order(life, join_action(&group.record));
                }
            }
            GroupHealth::Shrinking => {
                plan.order(head, FleetAction::Close { group: name, epoch });
                return;
            }
            _ => {}
        }
        *plan.active.entry(group.record.model.clone()).or_default() += 1;
    }

    /// Ends a group. Its members are held until its head surely serves no more: a member that
    /// joins elsewhere before that would be in two groups.
    fn dissolve(
        &mut self,
        now: Instant,
        scene: &PlanScene<'_>,
        group: &PlannedGroup,
        plan: &mut FleetPlan,
    ) {
        let FleetGroupRecord { group: name, epoch, .. } = &group.record;
        let head = &group.record.head().life;
        let phase = scene.find(head).and_then(|server| place_phase(server, name, *epoch));
        let serves = matches!(phase, Some(MemberPhase::Open | MemberPhase::Closing));
        if serves && !group.head_left {
            plan.order(head, FleetAction::Leave { group: name.clone(), epoch: *epoch });
        }
        // A head that is listed and does not answer may be cut off from this node alone.
        let listed = scene.is_listed(head);
        let safe = group.head_left
            || (listed && !serves)
            || (!listed && !scene.is_reachable(head) && self.is_gone(now, head));
        if !safe {
            plan.hold(group);
        }
    }

    /// Whether a head has been neither listed nor heard of for long enough.
    fn is_gone(&mut self, now: Instant, head: &ServerLife) -> bool {
        let since = *self.missing_heads.entry(head.clone()).or_insert(now);
        now.saturating_duration_since(since) >= self.settings.head_loss_timeout
    }

    // ---------------------------------------------------------------------------------------
    // New groups

    /// Decides on new groups. Their members are ordered in once their rows stand.
    fn form_groups(&mut self, now: Instant, view: &FleetView<'_>, plan: &mut FleetPlan) {
        let targets = self.targets(view);
        loop {
            let pools = self.pools(view, &plan.held);
            let loading = self.loading(view);
            let next = self.next_group(view, &targets, &plan.active, &pools, loading);
            let Some((model, members)) = next else { return };
            let record = FleetGroupRecord {
                group: group_name(&model.name, self.next_epoch),
                service: view.service.clone(),
                epoch: self.next_epoch,
                model: model.name.clone(),
                members: members.iter().map(|server| member_record(server)).collect(),
            };
            self.next_epoch += 1;
            for server in &members {
                if !server.staged.contains(&model.name) {
                    self.staging.insert(server.life.clone(), (model.name.clone(), now));
                    self.load_starts.push(now);
                }
            }
            let group = PlannedGroup::new(record, now, false);
            plan.hold(&group);
            *plan.active.entry(model.name.clone()).or_default() += 1;
            self.groups.insert(group.record.group.clone(), group);
        }
    }

    pub(crate) fn targets(&self, view: &FleetView<'_>) -> HashMap<ModelName, u32> {
        if !view.before_traffic {
            return demanded_groups(view.engine, view.work, self.settings.utilization);
        }
        let usable = view.servers.iter().filter(|server| is_usable(view, server)).count();
        target_groups(view.engine, view.work, usable, self.settings.spare_share)
    }

    /// The model that lacks groups most and can have one now, with its members.
    fn next_group<'a>(
        &self,
        view: &FleetView<'a>,
        targets: &HashMap<ModelName, u32>,
        active: &HashMap<ModelName, u32>,
        pools: &[DomainPool<'a>],
        loading: usize,
    ) -> Option<(&'a PooledModel, Vec<&'a FleetServer>)> {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number of loads"
        )]
        let limit =
            (f64::from(view.engine.loads_at_once) * self.settings.first_load_factor) as usize;
        let room = limit.saturating_sub(loading);
        let lack = GroupLack { view, targets, active };
        let mut models: Vec<&PooledModel> = view.engine.models.iter().collect();
        models.sort_by(|a, b| lack.need(&b.name).total_cmp(&lack.need(&a.name)));
        for model in models {
            let wanted = targets.get(&model.name).copied().unwrap_or_default();
            if active.get(&model.name).copied().unwrap_or_default() >= wanted {
                continue;
            }
            let Some(members) = best_pool(pools, model) else { continue };
            let loads = members.iter().filter(|server| !server.staged.contains(&model.name));
            let loads = loads.count();
            if loads == 0 || (view.before_traffic && loads <= room) {
                return Some((model, members));
            }
        }
        None
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

fn member_record(server: &FleetServer) -> MemberRecord {
    MemberRecord {
        life: server.life.clone(),
        address: server.address,
        failure_domain: server.failure_domain.clone(),
    }
}

/// The record of a group of which only its members tell.
fn reported_record(service: &ServiceName, told: &ReportedGroup<'_>) -> FleetGroupRecord {
    FleetGroupRecord {
        group: told.group.clone(),
        service: service.clone(),
        epoch: told.epoch,
        model: told.model.name.clone(),
        members: told.members.iter().flatten().map(|server| member_record(server)).collect(),
    }
}

pub(crate) fn is_usable(view: &FleetView<'_>, server: &FleetServer) -> bool {
    server.service == *view.service
        && !server.leaving
        && !view.unlisted.contains(&server.life)
        && !view.lost.contains(&server.life)
}

pub(crate) fn group_of<'a>(view: &FleetView<'a>, server: &FleetServer) -> Option<&'a ModelName> {
    let membership = server.membership.as_ref()?;
    group_model(view.engine, &membership.group).map(|model| &model.name)
}
