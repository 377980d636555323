//! Forming of groups while this node holds the fleet's lease.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_control::{LeaseKeeper, RowKeys};
use comfreyturn_policy::{
    EarlierOrders, FleetOrder, FleetPlanner, FleetPlannerSettings, FleetView, HeldLease,
    StaleCause, is_standby_group,
};
use comfreyturn_ports::{FleetAction, OrderOutcome, TableResult};
use comfreyturn_types::{
    EngineSpec, FencingNumber, FleetServer, Incarnation, LeaseScope, ModelName, NodeId, ServiceName,
};
use futures_util::future::{Either, select};

use crate::{
    Gateway,
    gateway_metrics::count_order,
    group_rows::{GroupRows, RowChanges},
    node_snapshot::age_ms,
    server_prober::ServerProber,
};

/// The scope of the fleet's lease.
const FLEET_SCOPE: &str = "fleet";

/// Least pause between two log lines on the state of a service.
const SUMMARY_PERIOD: Duration = Duration::from_secs(1);

/// Forms groups while this node holds the fleet's lease.
pub struct FleetLoop {
    pub(crate) gateway: Rc<Gateway>,
    lease: Rc<LeaseKeeper>,
    rows: GroupRows,
    plans: RefCell<FleetPlans>,
}

/// State kept between planning rounds.
#[derive(Default)]
pub(crate) struct FleetPlans {
    /// The fencing number of the lease under which the planners act.
    fencing: FencingNumber,

    /// Whether groups of an earlier lease holder were restored.
    restored: bool,

    /// What is known of the orders of earlier lease holders.
    earlier: Option<EarlierOrders>,
    planners: HashMap<ServiceName, FleetPlanner>,

    /// When the state of each service was last logged.
    summary_at: HashMap<ServiceName, Instant>,

    /// The work of each model, in requests in flight.
    pub(crate) work: HashMap<ModelName, f64>,

    /// Whether `work` holds measured values; else it holds the declared shares.
    pub(crate) was_measured: bool,
}

impl FleetPlans {
    /// The planner of a service.
    fn planner(
        &mut self,
        service: &ServiceName,
        settings: FleetPlannerSettings,
    ) -> &mut FleetPlanner {
        let Self { fencing, earlier, planners, .. } = self;
        planners.entry(service.clone()).or_insert_with(|| {
            let planner = FleetPlanner::new(fencing.0, settings);
            match *earlier {
                Some(earlier) => planner.after(earlier),
                None => planner,
            }
        })
    }
}

impl FleetLoop {
    /// Creates the loop of a gateway.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        let settings = &gateway.state.settings;
        let table = gateway.table(settings.lease_term.term / 2);
        let keys = RowKeys::new(gateway.identity.cell.clone());
        let holder = (gateway.identity.node.clone(), gateway.identity.incarnation);
        let scope = LeaseScope::from(FLEET_SCOPE);
        let lease = LeaseKeeper::new(table.clone(), settings.lease_term, &keys, &scope, holder);
        let lease = Rc::new(lease);
        let rows = GroupRows::new(table, keys, lease.clone());
        Self { lease, rows, plans: RefCell::default(), gateway }
    }

    /// Renews the lease and forms groups. Never returns.
    pub(crate) async fn run(self) {
        let this = Rc::new(self);
        let clock = this.gateway.ports.clock.clone();
        let keeper = this.clone();
        this.gateway.ports.spawner.spawn(Box::pin(async move { keeper.keep_lease().await }));
        let prober = ServerProber::new(this.gateway.clone());
        this.gateway.ports.spawner.spawn(Box::pin(prober.run()));
        loop {
            let state = &this.gateway.state;
            let held = this.lease.held(clock.now());
            state.lease_fencing.set(held.map_or(0, |lease| lease.fencing.0));
            state.forms_groups.set(held.is_some());
            if let Some(lease) = held {
                this.plan(lease).await;
            }
            clock.sleep(state.settings.planner_period).await;
        }
    }

    // ---------------------------------------------------------------------------------------
    // The lease

    async fn keep_lease(self: Rc<Self>) {
        let Gateway { ports, state, .. } = &*self.gateway;
        loop {
            self.await_lease_call().await;
            let now = ports.clock.now();
            let unresponsive =
                self.unresponsive_holder(now).filter(|_| state.settings.fencing_checked);
            let result = match unresponsive {
                _ if state.leaving.get() || !self.gateway.has_paths() => self.lease.release().await,
                Some(holder) => self.lease.take_over(&holder).await,
                None => self.lease.keep().await,
            };
            if let Err(error) = result {
                log::warn!(cause:% = error; "lease: request to the table service failed.");
                ports.clock.sleep(state.settings.feed_retry_pause).await;
            }
        }
    }

    /// Waits until the lease should be renewed or tried. While another live node holds it, only the
    /// first relays look at it, rarely; once no live node holds it, the relays try one after the
    /// other in the order of their rank.
    async fn await_lease_call(&self) {
        let Gateway { ports, state, .. } = &*self.gateway;
        let settings = &state.settings;
        let called_at = ports.clock.now();
        loop {
            ports.clock.sleep(settings.lease_period / 5).await;
            let now = ports.clock.now();
            let waited = now.saturating_duration_since(called_at);
            let is_due = match self.lease.held(now) {
                Some(_) => waited >= settings.lease_period,
                None => self.should_try_lease(now, waited),
            };
            if is_due {
                return;
            }
        }
    }

    /// Whether this node should try to acquire the lease, `waited` after the last try.
    fn should_try_lease(&self, now: Instant, waited: Duration) -> bool {
        let Gateway { identity, state, .. } = &*self.gateway;
        let settings = &state.settings;
        let may_hold = !state.leaving.get() && self.gateway.has_paths();
        if state.joined_at.get().is_none() || !may_hold {
            return false;
        }
        let mut view = state.view.borrow_mut();
        let Some(rank) = view.roster.rank(&identity.node) else { return false };
        if rank >= settings.lease_candidates {
            return false;
        }
        let Some(holderless) = view.holderless_time(now, settings.holder_timeout) else {
            return waited >= settings.lease_poll_period;
        };
        let delay = settings.lease_rank_delay * u32::try_from(rank).unwrap_or(u32::MAX);
        holderless >= delay && waited >= settings.lease_period / 2
    }

    /// The holder of the lease and its incarnation, if that process is unresponsive or is an
    /// earlier incarnation of this node.
    fn unresponsive_holder(&self, now: Instant) -> Option<(NodeId, Incarnation)> {
        let Gateway { identity, state, .. } = &*self.gateway;
        let (holder, incarnation) = self.lease.holder()?;
        if holder == identity.node {
            return (incarnation != identity.incarnation).then_some((holder, incarnation));
        }
        let view = state.view.borrow();
        let is_seen = view.peers.get(&holder).is_some_and(|record| {
            let same = record.status.incarnation == incarnation;
            same && record.was_seen(now, state.settings.holder_timeout)
        });
        // A node that hears no other one may be the one that is cut off.
        let hears_others = view.peers.alive(now, state.settings.peer_timeouts).next().is_some();
        (!is_seen && hears_others).then_some((holder, incarnation))
    }

    // ---------------------------------------------------------------------------------------
    // Planning

    /// Plans each service. The rows of new groups are written before their orders are sent.
    async fn plan(self: &Rc<Self>, lease: HeldLease) {
        if let Err(error) = self.restore(lease.fencing).await {
            log::warn!(cause:% = error; "fleet: groups not read.");
            return;
        }
        let restored = self.plans.borrow().restored;
        let state = &self.gateway.state;
        let is_settled = state.list_is_settled(self.gateway.ports.clock.now(), restored);
        // Rows of a later era than the list lack groups that the list still shows as forming.
        if !is_settled || self.rows.era() != state.list_version().era {
            return;
        }
        self.send_orders(lease.fencing);
        if self.save_rows(&lease).await {
            self.send_orders(lease.fencing);
        }
    }

    /// Reads the groups of earlier lease holders, once each time this node acquires the lease.
    async fn restore(&self, fencing: FencingNumber) -> TableResult<()> {
        if self.plans.borrow().fencing == fencing {
            return Ok(());
        }
        let records = self.rows.load().await?;
        let now = self.gateway.ports.clock.now();
        let state = &self.gateway.state;
        let snapshot = state.snapshot(now);
        log::info!(
            groups = records.len(),
            fencing = fencing.0,
            table_era = self.rows.era(),
            list_version:% = snapshot.list_version,
            list_age_ms = age_ms(snapshot.list_age),
            stale_places = state.stale_places.borrow().len();
            "fleet: groups restored."
        );
        state.add_unlisted_members(now, &records);
        let restored = !records.is_empty();
        let unanswered_join = state.unanswered_join.get();
        let earlier = Some(EarlierOrders { until: now, unanswered_join });
        let mut plans = FleetPlans { fencing, restored, earlier, ..FleetPlans::default() };
        for record in records {
            let service = record.service.clone();
            plans.planner(&service, state.settings.planner).restore(now, vec![record]);
        }
        *self.plans.borrow_mut() = plans;
        Ok(())
    }

    /// Writes the rows changed by the planners; returns whether orders for new groups may be sent.
    async fn save_rows(&self, lease: &HeldLease) -> bool {
        let mut changes = RowChanges::default();
        for planner in self.plans.borrow().planners.values() {
            let (unsaved, obsolete) = planner.row_changes();
            changes.written.extend(unsaved);
            changes.removed.extend(obsolete);
        }
        // Removals alone are written together with the next new group.
        if changes.written.is_empty() {
            return false;
        }
        for part in changes.into_parts() {
            if let Err(error) = self.rows.save(lease, &part).await {
                log::warn!(rows = part.len(), cause:% = error; "fleet: rows of groups not written.");
                return false;
            }
            for planner in self.plans.borrow_mut().planners.values_mut() {
                planner.record_rows(&part.written, &part.removed);
            }
        }
        true
    }

    fn send_orders(self: &Rc<Self>, fencing: FencingNumber) {
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
        let busy = state.loads.busy();
        let evacuated = state.evacuation.borrow();
        let stale = state.stale_places.borrow();
        let sightings = state.sightings.borrow();
        let unlisted_servers = state.unlisted.borrow();
        let unlisted = unlisted_servers.keys().cloned().collect();
        let mut plans = self.plans.borrow_mut();
        self.update_work(now, &mut plans, name, engine);
        let work = plans.work.clone();
        let is_work_measured = plans.was_measured;
        let planner = plans.planner(name, state.settings.planner);
        let dropped = unlisted_servers.values().map(|(_, server)| server);
        let view = FleetView {
            service: name,
            engine,
            servers: servers.all().chain(dropped).filter(|s| s.service == *name).collect(),
            unlisted: &unlisted,
            lost: &lost,
            busy: &busy,
            stale: &stale,
            sightings: &sightings,
            evacuated: &evacuated,
            work: &work,
            before_traffic: !state.has_traffic.get(),
            is_work_measured,
        };
        let orders = planner.plan(now, &view);
        let planners = plans.planners.values();
        let unanswered_joins = planners.filter_map(|planner| planner.unanswered_join(now));
        state.unanswered_join.set(unanswered_joins.max());
        let logged_at = plans.summary_at.get(name);
        if logged_at.is_none_or(|at| now.saturating_duration_since(*at) >= SUMMARY_PERIOD) {
            plans.summary_at.insert(name.clone(), now);
            let snapshot = state.snapshot(now);
            log::info!(
                service:% = name,
                fencing = fencing.0,
                plan = plans.planners[name].summary(&view),
                list_version:% = snapshot.list_version,
                list_age_ms = age_ms(snapshot.list_age);
                "fleet: state."
            );
        }
        for order in orders {
            let dropped = || unlisted_servers.get(&order.life).map(|(_, server)| server);
            if let Some(server) = servers.get(&order.life).or_else(dropped) {
                let task = self.clone().send_order(server.clone(), order, fencing);
                self.gateway.ports.spawner.spawn(Box::pin(task));
            }
        }
    }

    fn record_outcome(&self, service: &ServiceName, order: &FleetOrder, outcome: OrderOutcome) {
        self.record_place(order, outcome);
        if let Some(planner) = self.plans.borrow_mut().planners.get_mut(service) {
            planner.record_outcome(self.gateway.ports.clock.now(), order, outcome);
        }
        // An order into a standby group that arrives after one into a group says nothing of the lease.
        let is_standby = order.action.group().is_some_and(|(group, _)| is_standby_group(group));
        if outcome == OrderOutcome::Outdated && !is_standby {
            self.lease.forget();
        }
    }

    /// Records what the answer to an order to leave tells of the server's place. A refusal tells that
    /// the server isn't in the group that its entry names, and not where it is.
    fn record_place(&self, order: &FleetOrder, outcome: OrderOutcome) {
        let FleetAction::Leave { group, .. } = &order.action else { return };
        let now = self.gateway.ports.clock.now();
        let mut places = self.gateway.state.stale_places.borrow_mut();
        match outcome {
            OrderOutcome::Taken => places.record_left(&order.life, group),
            OrderOutcome::Unfit | OrderOutcome::WrongServer => {
                places.mark(now, &order.life, StaleCause::Contradicted);
            }
            OrderOutcome::Outdated => {}
        }
    }

    async fn send_order(
        self: Rc<Self>,
        server: FleetServer,
        order: FleetOrder,
        fencing: FencingNumber,
    ) {
        let Gateway { ports, state, .. } = &*self.gateway;
        let held = self.lease.held(ports.clock.now());
        if held.is_none_or(|lease| lease.fencing != fencing) {
            return;
        }
        let sending = ports.fleet.order(&server, &order.action, fencing);
        let answer = select(sending, ports.clock.sleep(state.settings.order_timeout)).await;
        if let Either::Left((Ok(outcome), _)) = &answer {
            self.record_outcome(&server.service, &order, *outcome);
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
