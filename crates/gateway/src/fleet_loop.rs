//! Forming groups, while this node holds the lease of the fleet.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_control::{LeaseKeeper, RowKeys};
use comfreyturn_policy::{FleetOrder, FleetPlanner, FleetView};
use comfreyturn_ports::OrderOutcome;
use comfreyturn_types::{
    EngineSpec, FencingNumber, FleetServer, LeaseScope, ModelName, ServiceName,
};
use futures_util::future::{Either, select};

use crate::{Gateway, server_watch::ServerWatch};

/// What the lease covers.
const FLEET_SCOPE: &str = "fleet";

/// Weight of a new look in the average of work.
const WORK_WEIGHT: f64 = 0.08;

/// Time that a refused request would have been under way.
const REFUSED_WORK: f64 = 1.5;

/// Forms groups, while this node holds the lease of the fleet.
pub struct FleetLoop {
    gateway: Rc<Gateway>,
    lease: Rc<LeaseKeeper>,
    parts: RefCell<FleetParts>,
}

/// What is kept from one look to the next.
#[derive(Default)]
struct FleetParts {
    /// The lease under which the planners act.
    fencing: FencingNumber,
    planners: HashMap<ServiceName, FleetPlanner>,
    work: HashMap<ModelName, f64>,
}

impl FleetLoop {
    /// A loop of a gateway.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        let settings = &gateway.state.settings;
        let lease = LeaseKeeper::new(
            gateway.table(settings.lease_term.term / 2),
            settings.lease_term,
            &RowKeys::new(gateway.identity.cell.clone()),
            &LeaseScope::from(FLEET_SCOPE),
            (gateway.identity.node.clone(), gateway.identity.incarnation),
        );
        Self { lease: Rc::new(lease), parts: RefCell::default(), gateway }
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
                this.plan(hold.fencing);
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
            let holder_is_dead = state.settings.fencing_checked && self.holder_is_silent(now);
            let result = if state.leaving.get() {
                self.lease.release().await
            } else if holder_is_dead {
                self.lease.take_over().await
            } else {
                self.lease.keep().await
            };
            if let Err(error) = result {
                log::warn!("lease: not kept: {error}.");
            }
            ports.clock.sleep(self.lease_pause()).await;
        }
    }

    /// Whether the run that held the lease is not heard of any more. Only the first of the nodes
    /// that are heard of acts on it, so that they do not take the lease from each other.
    fn holder_is_silent(&self, now: Instant) -> bool {
        let Gateway { identity, state, .. } = &*self.gateway;
        let Some((holder, run)) = self.lease.holder() else { return false };
        if holder == identity.node {
            return run != identity.incarnation;
        }
        let peers = state.peers.borrow();
        let alive: Vec<_> = peers.alive(now, state.settings.holder_silence).collect();
        let heard = alive.iter().any(|(node, peer)| **node == holder && peer.incarnation == run);
        let first = alive.iter().all(|(node, _)| identity.node <= **node);
        !heard && first && !alive.is_empty()
    }

    fn lease_pause(&self) -> Duration {
        let Gateway { ports, state, .. } = &*self.gateway;
        let now = ports.clock.now();
        if self.lease.held(now).is_some() {
            return state.settings.lease_period;
        }
        let peers = state.peers.borrow();
        let held = peers.alive(now, state.settings.holder_silence).any(|(_, peer)| peer.lease > 0);
        if !held {
            return state.settings.lease_period / 2;
        }
        state.settings.lease_look_period
    }

    // ---------------------------------------------------------------------------------------
    // Plans

    fn plan(self: &Rc<Self>, fencing: FencingNumber) {
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
        if parts.fencing != fencing {
            *parts = FleetParts { fencing, ..FleetParts::default() };
        }
        self.update_work(&mut parts.work, name, engine);
        let work = parts.work.clone();
        let planner = parts
            .planners
            .entry(name.clone())
            .or_insert_with(|| FleetPlanner::new(fencing.0, state.settings.planner));
        let view = FleetView {
            service: name,
            engine,
            servers: servers
                .all()
                .chain(remembered.values().map(|(_, server)| server))
                .filter(|server| server.service == *name)
                .collect(),
            unlisted: &unlisted,
            lost: &lost,
            work: &work,
            before_traffic: !state.has_traffic.get(),
        };
        for order in planner.plan(now, &view) {
            let dropped = || remembered.get(&order.life).map(|(_, server)| server);
            if let Some(server) = servers.get(&order.life).or_else(dropped) {
                let task = self.clone().give_order(server.clone(), order, fencing);
                self.gateway.ports.spawner.spawn(Box::pin(task));
            }
        }
    }

    /// Work of each model, in requests under way; as declared before there are any.
    fn update_work(
        &self,
        work: &mut HashMap<ModelName, f64>,
        service: &ServiceName,
        engine: &EngineSpec,
    ) {
        let state = &self.gateway.state;
        if !state.has_traffic.get() {
            let declared = engine.models.iter();
            *work = declared.map(|model| (model.name.clone(), model.share * model.pace)).collect();
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
        let total: f64 = measured.values().sum();
        if total < 1.0 {
            return;
        }
        let declared: f64 = engine.models.iter().map(|model| model.share * model.pace).sum();
        for model in &engine.models {
            let now = measured.get(&model.name).copied().unwrap_or_default() / total;
            let first = model.share * model.pace / declared;
            let known = work.entry(model.name.clone()).or_insert(first);
            *known += WORK_WEIGHT * (now - *known);
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
        if let (Either::Left((Ok(_), _)), Some(planner)) =
            (&answer, self.parts.borrow_mut().planners.get_mut(&server.service))
        {
            planner.note_answer(&order);
        }
        let FleetOrder { life, action } = &order;
        match answer {
            Either::Left((Ok(OrderOutcome::Taken), _)) => {
                log::info!("fleet: {life} takes {action:?}.");
            }
            Either::Left((Ok(outcome), _)) => {
                log::warn!("fleet: {life} answers {outcome} to {action:?}.");
            }
            Either::Left((Err(_), _)) | Either::Right(_) => {
                log::warn!("fleet: {life} gives no answer to {action:?}.");
            }
        }
    }
}
