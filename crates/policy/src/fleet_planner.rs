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

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{
    EngineSpec, FleetServer, GroupId, MemberPhase, ModelName, PooledModel, ServerLife, ServiceName,
    VmId,
};

use crate::{
    fleet_match::{DomainPool, best_pool, pool_servers},
    fleet_state::{ToldGroup, group_name, phase_of, told_groups},
    fleet_target::target_groups,
};

/// Settings of a [`FleetPlanner`].
#[derive(Clone, Copy, Debug)]
pub struct FleetPlannerSettings {
    /// Part of the servers that is kept out of groups, to replace members that are lost.
    pub spare_share: f64,

    /// An order that shows no effect is given again after this time.
    pub order_patience: Duration,

    /// A group that is not told whole by then, counted from its first order, is given up.
    pub form_patience: Duration,

    /// A group that an earlier planner ordered, and that is not whole, is given up after this.
    pub adopt_patience: Duration,

    /// A head that neither answers nor is listed is taken to be gone after this time.
    pub gone_head_wait: Duration,

    /// Loads that are under way at once before the first request, as a multiple of what runs at
    /// full speed. More keep the weight store busy without a pause.
    pub first_load_factor: f64,
}

impl Default for FleetPlannerSettings {
    fn default() -> Self {
        Self {
            spare_share: 0.2,
            order_patience: Duration::from_millis(500),
            form_patience: Duration::from_millis(2500),
            adopt_patience: Duration::from_millis(800),
            gone_head_wait: Duration::from_millis(300),
            first_load_factor: 2.0,
        }
    }
}

/// What the planner decides over.
#[derive(Clone, Debug)]
pub struct FleetView<'a> {
    /// The service.
    pub service: &'a ServiceName,

    /// How its servers run models.
    pub engine: &'a EngineSpec,

    /// All servers in the platform's list, and those that were dropped from it a short time ago,
    /// as they were last listed.
    pub servers: Vec<&'a FleetServer>,

    /// Servers that were dropped from the list. They take no new work; their groups live on as
    /// long as they answer.
    pub unlisted: &'a HashSet<ServerLife>,

    /// Servers that do not answer.
    pub lost: &'a HashSet<ServerLife>,

    /// Work of each model, in requests under way, or as shares before there are any.
    pub work: &'a HashMap<ModelName, f64>,

    /// Whether no request has come yet. Weights load fast then, and nobody waits for a group.
    pub before_traffic: bool,
}

/// An order to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// The server.
    pub life: ServerLife,

    /// What it is to do.
    pub action: FleetAction,
}

/// A group that was ordered, or found.
#[derive(Clone, Debug)]
struct PlannedGroup {
    epoch: u64,
    model: ModelName,

    /// By rank. Invariant: not empty.
    members: Vec<ServerLife>,

    /// When it was ordered or found.
    since: Instant,

    /// Found, not ordered: the members are those that told it.
    adopted: bool,

    /// Every member was ready at some time.
    was_ready: bool,

    /// Given up: its members go back once its head surely serves no more.
    dissolving: bool,

    /// The head said that it is not in the group any more.
    head_left: bool,
}

/// What the planner thinks of a group now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GroupHealth {
    /// Whole, the head serves.
    Serving,

    /// Whole, the head is ready to open.
    Ready,

    /// Members are on their way.
    Forming,

    /// Whole but for members that announced to leave.
    Shrinking,

    /// It will not serve any more.
    Failed,
}

/// Plans the groups of one service.
#[derive(Debug)]
pub struct FleetPlanner {
    settings: FleetPlannerSettings,

    /// Orders are numbered from the fencing number of the lease, so that epochs only rise.
    next_epoch: u64,

    groups: BTreeMap<GroupId, PlannedGroup>,

    /// Servers that load weights for no group, since when.
    staging: HashMap<ServerLife, (ModelName, Instant)>,

    /// When an order was given last.
    sent: HashMap<(ServerLife, FleetAction), Instant>,

    /// Since when a head cannot be asked.
    missing_heads: HashMap<ServerLife, Instant>,

    /// Starts of loads within the last second.
    load_starts: Vec<Instant>,
}

/// Epochs that one holder of the lease can use.
const EPOCHS_PER_LEASE: u64 = 1_000_000;

/// Times the load time after which a load that shows no effect is taken as lost.
const LOAD_PATIENCE: u32 = 5;

impl FleetPlanner {
    /// A planner that acts under a lease.
    pub fn new(fencing: u64, settings: FleetPlannerSettings) -> Self {
        Self {
            settings,
            next_epoch: fencing * EPOCHS_PER_LEASE + 1,
            groups: BTreeMap::new(),
            staging: HashMap::new(),
            sent: HashMap::new(),
            missing_heads: HashMap::new(),
            load_starts: Vec::new(),
        }
    }

    /// Decides the next orders.
    pub fn plan(&mut self, now: Instant, view: &FleetView<'_>) -> Vec<FleetOrder> {
        let servers: HashMap<&VmId, &FleetServer> =
            view.servers.iter().map(|server| (&server.life.vm, *server)).collect();
        self.forget_old(now, view);
        self.adopt_groups(now, view);
        let mut orders = Vec::new();
        let mut held = HashSet::new();
        let mut active: HashMap<ModelName, u32> = HashMap::new();
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in groups {
            self.tend_group(now, view, &servers, &group, &mut orders, &mut held, &mut active);
        }
        self.form_groups(now, view, &mut held, &mut active, &mut orders);
        self.stage_weights(now, view, &held, &active, &mut orders);
        orders.retain(|order| self.is_due(now, order));
        for order in &orders {
            self.sent.insert((order.life.clone(), order.action.clone()), now);
        }
        orders
    }

    /// Takes in that a server answered an order. Whatever the answer to an order to leave says, the
    /// server is not the group's head any more.
    pub fn note_answer(&mut self, order: &FleetOrder) {
        let FleetAction::Leave { group, .. } = &order.action else { return };
        if let Some(known) = self.groups.get_mut(group) {
            known.head_left |= known.members[0] == order.life;
        }
    }

    // ---------------------------------------------------------------------------------------
    // What is known

    fn forget_old(&mut self, now: Instant, view: &FleetView<'_>) {
        let patience = self.settings.order_patience;
        self.sent.retain(|_, at| now.saturating_duration_since(*at) < patience);
        let second = Duration::from_secs(1);
        self.load_starts.retain(|at| now.saturating_duration_since(*at) < second);
        let alive: HashMap<&ServerLife, &FleetServer> =
            view.servers.iter().map(|server| (&server.life, *server)).collect();
        let limit = |model: &ModelName| load_limit(view.engine, model);
        self.staging.retain(|life, (model, since)| {
            let waiting = alive.get(life).is_some_and(|server| !server.staged.contains(model));
            waiting && now.saturating_duration_since(*since) < limit(model)
        });
        let lost = view.lost;
        let unlisted = view.unlisted;
        self.missing_heads.retain(|life, _| {
            !alive.contains_key(life) || (lost.contains(life) && unlisted.contains(life))
        });
    }

    /// Takes in groups that an earlier planner ordered.
    fn adopt_groups(&mut self, now: Instant, view: &FleetView<'_>) {
        for told in told_groups(view.servers.iter().copied(), view.service, view.engine) {
            if self.groups.contains_key(&told.group) {
                continue;
            }
            self.next_epoch = self.next_epoch.max(told.epoch + 1);
            let members = told.members.iter().flatten();
            let members: Vec<ServerLife> = members.map(|server| server.life.clone()).collect();
            let group = PlannedGroup {
                epoch: told.epoch,
                model: told.model.name.clone(),
                members,
                since: now,
                adopted: true,
                was_ready: false,
                dissolving: false,
                head_left: false,
            };
            self.groups.insert(told.group.clone(), group);
        }
        let told = told_groups(view.servers.iter().copied(), view.service, view.engine);
        for told in &told {
            self.complete_adopted(told);
        }
        let names: HashSet<&GroupId> = told.iter().map(|told| &told.group).collect();
        let patience = self.settings.form_patience;
        self.groups.retain(|name, group| {
            let young = now.saturating_duration_since(group.since) < patience;
            names.contains(name) || (young && !group.dissolving)
        });
    }

    /// A found group may be told by its members one after the other.
    fn complete_adopted(&mut self, told: &ToldGroup<'_>) {
        let Some(group) = self.groups.get_mut(&told.group) else { return };
        if group.adopted && !group.was_ready {
            let members = told.members.iter().flatten();
            group.members = members.map(|server| server.life.clone()).collect();
        }
    }

    // ---------------------------------------------------------------------------------------
    // Groups that are there

    #[expect(clippy::too_many_arguments, reason = "the parts of one plan under way")]
    fn tend_group(
        &mut self,
        now: Instant,
        view: &FleetView<'_>,
        servers: &HashMap<&VmId, &FleetServer>,
        name: &GroupId,
        orders: &mut Vec<FleetOrder>,
        held: &mut HashSet<ServerLife>,
        active: &mut HashMap<ModelName, u32>,
    ) {
        let Some(group) = self.groups.get(name).cloned() else { return };
        let health = self.health(now, view, servers, name, &group);
        if let Some(known) = self.groups.get_mut(name) {
            known.was_ready |= matches!(health, GroupHealth::Serving | GroupHealth::Ready);
            known.dissolving |= health == GroupHealth::Failed;
        }
        if health == GroupHealth::Failed || group.dissolving {
            self.dissolve(now, view, servers, name, &group, orders, held);
            return;
        }
        held.extend(group.members.iter().cloned());
        match health {
            GroupHealth::Ready => {
                let action = FleetAction::Open { group: name.clone(), epoch: group.epoch };
                orders.push(FleetOrder { life: group.members[0].clone(), action });
            }
            GroupHealth::Forming => self.repeat_joins(servers, name, &group, orders),
            GroupHealth::Shrinking => {
                let action = FleetAction::Close { group: name.clone(), epoch: group.epoch };
                orders.push(FleetOrder { life: group.members[0].clone(), action });
                return;
            }
            GroupHealth::Serving | GroupHealth::Failed => {}
        }
        *active.entry(group.model.clone()).or_default() += 1;
    }

    fn health(
        &self,
        now: Instant,
        view: &FleetView<'_>,
        servers: &HashMap<&VmId, &FleetServer>,
        name: &GroupId,
        group: &PlannedGroup,
    ) -> GroupHealth {
        let size = pooled(view.engine, &group.model).map_or(0, |model| model.group_size as usize);
        let age = now.saturating_duration_since(group.since);
        if group.members.len() != size {
            let waits = group.adopted && age < self.settings.adopt_patience;
            return if waits { GroupHealth::Forming } else { GroupHealth::Failed };
        }
        let mut phases = Vec::with_capacity(size);
        let mut leaving = false;
        for (rank, life) in group.members.iter().enumerate() {
            let server = servers.get(&life.vm).filter(|server| server.life == *life);
            let Some(server) = server else { return GroupHealth::Failed };
            let is_gone_head = rank == 0 && view.unlisted.contains(life);
            if view.lost.contains(life) || is_gone_head {
                return GroupHealth::Failed;
            }
            leaving |= server.leaving;
            phases.push(place_phase(server, name, group.epoch));
        }
        if leaving {
            let serves = matches!(phases[0], Some(MemberPhase::Open | MemberPhase::Closing));
            return if serves { GroupHealth::Shrinking } else { GroupHealth::Failed };
        }
        self.settled_health(view, group, &phases, age)
    }

    /// The health of a group whose members are all there and mean to stay.
    fn settled_health(
        &self,
        view: &FleetView<'_>,
        group: &PlannedGroup,
        phases: &[Option<MemberPhase>],
        age: Duration,
    ) -> GroupHealth {
        let told = phases.iter().all(Option::is_some);
        if !told {
            let young = !group.adopted && !group.was_ready && age < self.settings.form_patience;
            return if young { GroupHealth::Forming } else { GroupHealth::Failed };
        }
        if phases.contains(&Some(MemberPhase::Joining)) {
            let late = age > load_limit(view.engine, &group.model);
            return if late { GroupHealth::Failed } else { GroupHealth::Forming };
        }
        match phases[0] {
            Some(MemberPhase::Open) => GroupHealth::Serving,
            Some(MemberPhase::Ready) => GroupHealth::Ready,
            Some(MemberPhase::Closing) => GroupHealth::Shrinking,
            _ => GroupHealth::Failed,
        }
    }

    /// Gives the join again to members that do not tell it.
    fn repeat_joins(
        &self,
        servers: &HashMap<&VmId, &FleetServer>,
        name: &GroupId,
        group: &PlannedGroup,
        orders: &mut Vec<FleetOrder>,
    ) {
        if group.adopted {
            return;
        }
        let action = join_action(name, group);
        for life in &group.members {
            let server = servers.get(&life.vm);
            let told = server.and_then(|server| place_phase(server, name, group.epoch));
            if told.is_none() {
                orders.push(FleetOrder { life: life.clone(), action: action.clone() });
            }
        }
    }

    /// Ends a group. Its members are held until its head surely serves no more: a member that
    /// joins elsewhere before that would be in two groups.
    #[expect(clippy::too_many_arguments, reason = "the parts of one plan under way")]
    fn dissolve(
        &mut self,
        now: Instant,
        view: &FleetView<'_>,
        servers: &HashMap<&VmId, &FleetServer>,
        name: &GroupId,
        group: &PlannedGroup,
        orders: &mut Vec<FleetOrder>,
        held: &mut HashSet<ServerLife>,
    ) {
        let head = &group.members[0];
        let server = servers.get(&head.vm).filter(|server| server.life == *head);
        let phase = server.and_then(|server| place_phase(server, name, group.epoch));
        let serves = matches!(phase, Some(MemberPhase::Open | MemberPhase::Closing));
        if serves && !group.head_left {
            let action = FleetAction::Leave { group: name.clone(), epoch: group.epoch };
            orders.push(FleetOrder { life: head.clone(), action });
        }
        let listed = server.is_some() && !view.unlisted.contains(head);
        let answers = server.is_some() && !view.lost.contains(head);
        // A head that is listed and does not answer may be cut off from this node alone.
        let safe = group.head_left
            || (listed && !serves)
            || (!listed && !answers && self.is_gone(now, head));
        if !safe {
            held.extend(group.members.iter().cloned());
        }
    }

    /// Whether a head has been neither listed nor heard of for long enough.
    fn is_gone(&mut self, now: Instant, head: &ServerLife) -> bool {
        let since = *self.missing_heads.entry(head.clone()).or_insert(now);
        now.saturating_duration_since(since) >= self.settings.gone_head_wait
    }

    // ---------------------------------------------------------------------------------------
    // New groups

    fn form_groups(
        &mut self,
        now: Instant,
        view: &FleetView<'_>,
        held: &mut HashSet<ServerLife>,
        active: &mut HashMap<ModelName, u32>,
        orders: &mut Vec<FleetOrder>,
    ) {
        let usable = view.servers.iter().filter(|server| is_usable(view, server)).count();
        let targets = target_groups(view.engine, view.work, usable, self.settings.spare_share);
        loop {
            let pools = self.pools(view, held);
            let loading = self.loading(view);
            let Some((model, members)) = self.next_group(view, &targets, active, &pools, loading)
            else {
                return;
            };
            let name = group_name(&model.name, self.next_epoch);
            let group = PlannedGroup {
                epoch: self.next_epoch,
                model: model.name.clone(),
                members: members.iter().map(|server| server.life.clone()).collect(),
                since: now,
                adopted: false,
                was_ready: false,
                dissolving: false,
                head_left: false,
            };
            self.next_epoch += 1;
            let action = join_action(&name, &group);
            for server in &members {
                held.insert(server.life.clone());
                if !server.staged.contains(&model.name) {
                    self.staging.insert(server.life.clone(), (model.name.clone(), now));
                    self.load_starts.push(now);
                }
                orders.push(FleetOrder { life: server.life.clone(), action: action.clone() });
            }
            *active.entry(model.name.clone()).or_default() += 1;
            self.groups.insert(name, group);
        }
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
        for model in by_need(view, active) {
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

    /// Free servers by fabric domain.
    fn pools<'a>(&self, view: &FleetView<'a>, held: &HashSet<ServerLife>) -> Vec<DomainPool<'a>> {
        let free = view.servers.iter().copied().filter(|server| {
            is_usable(view, server)
                && !held.contains(&server.life)
                && !self.staging.contains_key(&server.life)
        });
        pool_servers(free)
    }

    /// Servers that load weights now.
    fn loading(&self, view: &FleetView<'_>) -> usize {
        let joining = view.servers.iter().filter(|server| {
            let staged = group_of(view, server).is_none_or(|model| server.staged.contains(model));
            phase_of(server) == Some(MemberPhase::Joining)
                && !staged
                && !self.staging.contains_key(&server.life)
        });
        self.staging.len() + joining.count()
    }

    // ---------------------------------------------------------------------------------------
    // Weights ahead of need

    fn stage_weights(
        &mut self,
        now: Instant,
        view: &FleetView<'_>,
        held: &HashSet<ServerLife>,
        active: &HashMap<ModelName, u32>,
        orders: &mut Vec<FleetOrder>,
    ) {
        let usable = view.servers.iter().filter(|server| is_usable(view, server)).count();
        let targets = target_groups(view.engine, view.work, usable, self.settings.spare_share);
        let lacks = |(model, wanted): (&ModelName, &u32)| active.get(model).unwrap_or(&0) < wanted;
        if view.before_traffic && targets.iter().any(lacks) {
            return;
        }
        for pool in self.pools(view, held) {
            for (server, model) in pool.wanted_weights(view, &targets, active) {
                let starts = self.load_starts.len() as f64;
                let full = self.loading(view) >= view.engine.loads_at_once as usize;
                let fast = starts + 1.0 > view.engine.loads_per_second;
                if !view.before_traffic && (full || fast) {
                    return;
                }
                self.staging.insert(server.life.clone(), (model.clone(), now));
                self.load_starts.push(now);
                let action = FleetAction::Stage { model };
                orders.push(FleetOrder { life: server.life.clone(), action });
            }
        }
    }

    fn is_due(&self, now: Instant, order: &FleetOrder) -> bool {
        let sent = self.sent.get(&(order.life.clone(), order.action.clone()));
        sent.is_none_or(|at| now.saturating_duration_since(*at) >= self.settings.order_patience)
    }
}

// -------------------------------------------------------------------------------------------

/// Models, the one with the most work for each of its groups first.
pub(crate) fn by_need<'a>(
    view: &FleetView<'a>,
    active: &HashMap<ModelName, u32>,
) -> Vec<&'a PooledModel> {
    let need = |model: &PooledModel| {
        let work = view.work.get(&model.name).copied().unwrap_or_default();
        let groups = active.get(&model.name).copied().unwrap_or_default();
        if groups == 0 { f64::INFINITY } else { work / f64::from(groups) }
    };
    let mut models: Vec<&PooledModel> = view.engine.models.iter().collect();
    models.sort_by(|a, b| need(b).total_cmp(&need(a)));
    models
}

fn join_action(name: &GroupId, group: &PlannedGroup) -> FleetAction {
    FleetAction::Join {
        group: name.clone(),
        epoch: group.epoch,
        model: group.model.clone(),
        members: group.members.iter().map(|life| life.vm.clone()).collect(),
    }
}

fn pooled<'a>(engine: &'a EngineSpec, model: &ModelName) -> Option<&'a PooledModel> {
    engine.models.iter().find(|pooled| pooled.name == *model)
}

fn load_limit(engine: &EngineSpec, model: &ModelName) -> Duration {
    pooled(engine, model).map_or(Duration::ZERO, |model| model.load_time * LOAD_PATIENCE)
}

fn is_usable(view: &FleetView<'_>, server: &FleetServer) -> bool {
    server.service == *view.service
        && !server.leaving
        && !view.unlisted.contains(&server.life)
        && !view.lost.contains(&server.life)
}

/// The phase of a server in exactly this group and epoch.
fn place_phase(server: &FleetServer, group: &GroupId, epoch: u64) -> Option<MemberPhase> {
    let membership = server.membership.as_ref()?;
    let same = membership.group == *group && membership.epoch == epoch;
    same.then_some(membership.phase)
}

fn group_of<'a>(view: &FleetView<'a>, server: &FleetServer) -> Option<&'a ModelName> {
    let membership = server.membership.as_ref()?;
    crate::fleet_state::group_model(view.engine, &membership.group).map(|model| &model.name)
}
