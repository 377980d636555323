//! Forming groups, while this node holds the lease of the fleet.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_control::{LeaseKeeper, RowKeys};
use comfreyturn_policy::{FleetOrder, FleetPlanner, FleetView, LeaseHold};
use comfreyturn_ports::{OrderOutcome, TableResult};
use comfreyturn_types::{
    EngineSpec, FencingNumber, FleetServer, Incarnation, LeaseScope, ModelName, NodeId,
    PooledModel, ServiceName,
};
use futures_util::future::{Either, select};

use crate::{
    Gateway, gateway_metrics::count_order, group_rows::GroupRows, node_belief::age_ms,
    server_watch::ServerWatch,
};

/// What the lease covers.
const FLEET_SCOPE: &str = "fleet";

/// Pause between two log lines on the state of the fleet.
const SUMMARY_PERIOD: Duration = Duration::from_secs(1);

/// Weight of a new look in the average of work.
const WORK_WEIGHT: f64 = 0.05;

/// Time that a refused request would have been under way.
const REFUSED_WORK: f64 = 1.0;

/// Forms groups, while this node holds the lease of the fleet.
pub struct FleetLoop {
    gateway: Rc<Gateway>,
    lease: Rc<LeaseKeeper>,
    rows: GroupRows,
    parts: RefCell<FleetParts>,
}

/// What is kept from one look to the next.
#[derive(Default)]
struct FleetParts {
    /// The lease under which the planners act.
    fencing: FencingNumber,

    /// Whether earlier planners left groups.
    restored: bool,
    planners: HashMap<ServiceName, FleetPlanner>,

    /// When the state of each service was logged last.
    summary_at: HashMap<ServiceName, Instant>,
    work: HashMap<ModelName, f64>,

    /// Whether `work` was measured, or only declared.
    was_measured: bool,
}

impl FleetLoop {
    /// A loop of a gateway.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        let settings = &gateway.state.settings;
        let table = gateway.table(settings.lease_term.term / 2);
        let keys = RowKeys::new(gateway.identity.cell.clone());
        let run = (gateway.identity.node.clone(), gateway.identity.incarnation);
        let scope = LeaseScope::from(FLEET_SCOPE);
        let lease = LeaseKeeper::new(table.clone(), settings.lease_term, &keys, &scope, run);
        let lease = Rc::new(lease);
        let rows = GroupRows::new(table, keys, lease.clone());
        Self { lease, rows, parts: RefCell::default(), gateway }
    }

    /// Keeps the lease and forms groups, for ever.
    pub(crate) async fn run(self) {
        let this = Rc::new(self);
        let clock = this.gateway.ports.clock.clone();
        let keeping = this.clone();
        this.gateway.ports.spawner.spawn(Box::pin(async move { keeping.keep_lease().await }));
        let watch = ServerWatch::new(this.gateway.clone());
        this.gateway.ports.spawner.spawn(Box::pin(watch.run()));
        loop {
            let state = &this.gateway.state;
            let held = this.lease.held(clock.now());
            state.lease.set(held.map_or(0, |hold| hold.fencing.0));
            state.plans.set(held.is_some());
            if let Some(hold) = held {
                this.plan(hold).await;
            }
            clock.sleep(state.settings.planner_period).await;
        }
    }

    // ---------------------------------------------------------------------------------------
    // The lease

    async fn keep_lease(self: Rc<Self>) {
        let Gateway { ports, state, .. } = &*self.gateway;
        loop {
            let now = ports.clock.now();
            let dead = self.silent_holder(now).filter(|_| state.settings.fencing_checked);
            let result = match dead {
                _ if state.leaving.get() => self.lease.release().await,
                Some(dead) => self.lease.take_over(&dead).await,
                None => self.lease.keep().await,
            };
            if let Err(error) = result {
                log::warn!(cause:% = error; "lease: not kept.");
            }
            self.await_lease_call().await;
        }
    }

    /// Waits until the lease is to be renewed or looked at. A look at another node's lease can
    /// wait for long, unless that node falls silent or gives the lease back.
    async fn await_lease_call(&self) {
        let Gateway { ports, state, .. } = &*self.gateway;
        let settings = &state.settings;
        let called_at = ports.clock.now();
        loop {
            ports.clock.sleep(settings.lease_period / 2).await;
            let now = ports.clock.now();
            let pause = match self.lease.held(now) {
                Some(_) => settings.lease_period,
                None if self.holder_is_heard(now) => state.stretched(settings.lease_look_period),
                None => Duration::ZERO,
            };
            if now.saturating_duration_since(called_at) >= pause {
                return;
            }
        }
    }

    /// The run that held the lease, if it is not heard of any more. Only the first of the nodes
    /// that are heard of acts on it, so that they do not take the lease from each other.
    fn silent_holder(&self, now: Instant) -> Option<(NodeId, Incarnation)> {
        let Gateway { identity, state, .. } = &*self.gateway;
        let (holder, run) = self.lease.holder()?;
        if holder == identity.node {
            return (run != identity.incarnation).then_some((holder, run));
        }
        let silence = state.stretched(state.settings.holder_silence);
        let peers = state.peers.borrow();
        let alive: Vec<_> = peers.alive(now, silence).collect();
        let heard = alive.iter().any(|(node, peer)| **node == holder && peer.incarnation == run);
        let first = alive.iter().all(|(node, _)| identity.node <= **node);
        let is_dead = !heard && first && !alive.is_empty();
        is_dead.then_some((holder, run))
    }

    /// Whether any node that is heard of holds the lease.
    fn holder_is_heard(&self, now: Instant) -> bool {
        let state = &self.gateway.state;
        let silence = state.stretched(state.settings.holder_silence);
        state.peers.borrow().alive(now, silence).any(|(_, peer)| peer.lease > 0)
    }

    // ---------------------------------------------------------------------------------------
    // Plans

    /// Plans each service, writes rows first, then gives orders.
    async fn plan(self: &Rc<Self>, hold: LeaseHold) {
        if let Err(error) = self.restore(hold.fencing).await {
            log::warn!(cause:% = error; "fleet: groups not read.");
            return;
        }
        let restored = self.parts.borrow().restored;
        if !self.gateway.state.list_is_settled(self.gateway.ports.clock.now(), restored) {
            return;
        }
        self.give_orders(hold.fencing);
        if self.save_rows(&hold).await {
            self.give_orders(hold.fencing);
        }
    }

    /// Reads the groups of earlier planners, once for each time that this node holds the lease.
    async fn restore(&self, fencing: FencingNumber) -> TableResult<()> {
        if self.parts.borrow().fencing == fencing {
            return Ok(());
        }
        let records = self.rows.load().await?;
        let now = self.gateway.ports.clock.now();
        let state = &self.gateway.state;
        log::info!(groups = records.len(), fencing = fencing.0; "fleet: takes over groups.");
        for record in &records {
            state.remember_members(now, record);
        }
        let restored = !records.is_empty();
        let mut parts = FleetParts { fencing, restored, ..FleetParts::default() };
        for record in records {
            let planner = parts.planners.entry(record.service.clone());
            let planner =
                planner.or_insert_with(|| FleetPlanner::new(fencing.0, state.settings.planner));
            planner.restore(now, vec![record]);
        }
        *self.parts.borrow_mut() = parts;
        Ok(())
    }

    /// Writes the rows that the plans changed; returns whether new groups may be ordered now.
    async fn save_rows(&self, hold: &LeaseHold) -> bool {
        let mut written = Vec::new();
        let mut removed = Vec::new();
        for planner in self.parts.borrow().planners.values() {
            let (unsaved, obsolete) = planner.row_changes();
            written.extend(unsaved);
            removed.extend(obsolete);
        }
        // Removals alone can wait for the next group.
        if written.is_empty() {
            return false;
        }
        if let Err(error) = self.rows.save(hold, &written, &removed).await {
            log::warn!(groups = written.len(), cause:% = error; "fleet: rows of groups not written.");
            return false;
        }
        for planner in self.parts.borrow_mut().planners.values_mut() {
            planner.record_rows(&written, &removed);
        }
        true
    }

    fn give_orders(self: &Rc<Self>, fencing: FencingNumber) {
        let state = &self.gateway.state;
        let Some(view) = state.config.borrow().clone() else { return };
        for (name, service) in &view.config.services {
            if let Some(engine) = &service.engine {
                self.plan_service(fencing, name, engine);
            }
        }
    }

    fn plan_service(
        self: &Rc<Self>,
        fencing: FencingNumber,
        name: &ServiceName,
        engine: &EngineSpec,
    ) {
        let state = &self.gateway.state;
        let now = self.gateway.ports.clock.now();
        let servers = state.servers.borrow();
        let lost = state.lost.borrow();
        let remembered = state.unlisted.borrow();
        let unlisted = remembered.keys().cloned().collect();
        let mut parts = self.parts.borrow_mut();
        self.update_work(&mut parts, name, engine);
        let work = parts.work.clone();
        let planner = parts
            .planners
            .entry(name.clone())
            .or_insert_with(|| FleetPlanner::new(fencing.0, state.settings.planner));
        let dropped = remembered.values().map(|(_, server)| server);
        let view = FleetView {
            service: name,
            engine,
            servers: servers.all().chain(dropped).filter(|s| s.service == *name).collect(),
            unlisted: &unlisted,
            lost: &lost,
            work: &work,
            before_traffic: !state.has_traffic.get(),
        };
        let orders = planner.plan(now, &view);
        let logged_at = parts.summary_at.get(name);
        if logged_at.is_none_or(|at| now.saturating_duration_since(*at) >= SUMMARY_PERIOD) {
            parts.summary_at.insert(name.clone(), now);
            let belief = state.belief(now);
            log::info!(
                service:% = name,
                fencing = fencing.0,
                plan = parts.planners[name].summary(&view),
                list_version = belief.list_version,
                list_age_ms = age_ms(belief.list_age);
                "fleet: state."
            );
        }
        for order in orders {
            let dropped = || remembered.get(&order.life).map(|(_, server)| server);
            if let Some(server) = servers.get(&order.life).or_else(dropped) {
                let task = self.clone().give_order(server.clone(), order, fencing);
                self.gateway.ports.spawner.spawn(Box::pin(task));
            }
        }
    }

    /// Work of each model, in requests under way; as declared before there are any.
    fn update_work(&self, parts: &mut FleetParts, service: &ServiceName, engine: &EngineSpec) {
        let state = &self.gateway.state;
        let FleetParts { work, was_measured, .. } = parts;
        if !state.has_traffic.get() {
            // Declared shares are shares of the servers' time.
            let share = |model: &PooledModel| model.share / f64::from(model.group_size);
            let declared = engine.models.iter();
            *work = declared.map(|model| (model.name.clone(), share(model))).collect();
            return;
        }
        let mut measured: HashMap<&ModelName, f64> = HashMap::new();
        let servers = state.servers.borrow();
        for group in servers.groups(service, engine) {
            let running = group.head().map_or(0, |head| state.loads.running(&head.life));
            *measured.entry(&group.model.name).or_default() += f64::from(running);
        }
        let peers = state.peers.borrow();
        for (model, rate) in peers.all().flat_map(|peer| &peer.refusals) {
            let known = engine.models.iter().find(|known| known.name.as_str() == model);
            if let Some(known) = known {
                *measured.entry(&known.name).or_default() += rate * REFUSED_WORK;
            }
        }
        for model in &engine.models {
            let now = measured.get(&model.name).copied().unwrap_or_default();
            match work.get_mut(&model.name).filter(|_| *was_measured) {
                Some(known) => *known += WORK_WEIGHT * (now - *known),
                None => {
                    work.insert(model.name.clone(), now);
                }
            }
        }
        *was_measured = true;
    }

    fn note_answer(&self, service: &ServiceName, order: &FleetOrder, outcome: OrderOutcome) {
        if let Some(planner) = self.parts.borrow_mut().planners.get_mut(service) {
            planner.record_outcome(order, outcome);
        }
        if outcome == OrderOutcome::Outdated {
            self.lease.forget();
        }
    }

    async fn give_order(
        self: Rc<Self>,
        server: FleetServer,
        order: FleetOrder,
        fencing: FencingNumber,
    ) {
        let Gateway { ports, state, .. } = &*self.gateway;
        let hold = self.lease.held(ports.clock.now());
        if hold.is_none_or(|hold| hold.fencing != fencing) {
            return;
        }
        let giving = ports.fleet.order(&server, &order.action, fencing);
        let answer = select(giving, ports.clock.sleep(state.settings.order_timeout)).await;
        if let Either::Left((Ok(outcome), _)) = &answer {
            self.note_answer(&server.service, &order, *outcome);
        }
        let FleetOrder { life, action } = &order;
        let outcome = match answer {
            Either::Left((Ok(outcome), _)) => Some(outcome),
            Either::Left((Err(_), _)) | Either::Right(_) => None,
        };
        count_order(action, outcome);
        let level = match outcome {
            Some(OrderOutcome::Taken) => log::Level::Info,
            _ => log::Level::Warn,
        };
        let answer: &str = outcome.map_or("no-answer", Into::into);
        log::log!(
            level,
            server:% = life,
            order:% = action,
            group = action.group().map(|(group, _)| group.as_str()),
            epoch = action.group().map(|(_, epoch)| epoch),
            outcome = answer,
            fencing = fencing.0;
            "fleet: order answered."
        );
    }
}
