//! Plans groups and writes their rows while this node holds the planner's lease.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use comfreyturn_policy::{
    EVIDENCE_LIFETIME, FirstFitPlanner, GroupPlanner, HeldLease, PlannerAction, PlannerInput,
    PlannerVm, WantedService,
};
use comfreyturn_ports::{CommitOutcome, Step, TableError, TableResult};
use comfreyturn_types::{
    ConfigChange, GroupId, GroupPhase, GroupRecord, Incarnation, OperationId, ServiceBackend, VmId,
    VmOwner, VmRecord, VmRole,
};

use crate::{
    ApplyCommand, ChangePrecondition, NodeControl, group_store::GroupRows,
    quiescence_tracker::QuiescenceTracker,
};

/// How many new groups one round may form.
const MAX_NEW_GROUPS: usize = 64;

/// Counter of the planner's completed actions, by action.
const PLANNER_ACTIONS: &str = "comfreyturn_planner_actions_total";

/// State that the holder of the planner's lease keeps between rounds.
pub(crate) struct PlannerState {
    /// Decides which groups to form, reassign and retire.
    pub(crate) planner: RefCell<Box<dyn GroupPlanner>>,

    /// The rows when they were last read.
    pub(crate) rows: RefCell<Rc<GroupRows>>,

    /// How long VMs have been idle and groups free of members in an earlier generation.
    pub(crate) quiescence: RefCell<QuiescenceTracker>,

    /// VMs to which an order is in flight.
    pub(crate) pending_orders: RefCell<BTreeSet<VmId>>,

    /// The step of the next read of the rows: [`Step::GroupReadBack`] after a failed write.
    read_step: Cell<Step>,
}

impl Default for PlannerState {
    fn default() -> Self {
        Self {
            planner: RefCell::new(Box::new(FirstFitPlanner::default())),
            rows: RefCell::default(),
            quiescence: RefCell::default(),
            pending_orders: RefCell::default(),
            read_step: Cell::new(Step::GroupReadRows),
        }
    }
}

impl NodeControl {
    /// Keeps the planner's lease while [`Self::may_plan`] allows it, and releases it otherwise.
    pub(crate) async fn run_lease(self: Rc<Self>) {
        loop {
            let result =
                if self.may_plan() { self.lease.keep().await } else { self.lease.release().await };
            if let Err(error) = result {
                log::warn!("lease: renewal or release failed: {error}.");
            }
            self.ports.sleep(self.settings.lease_period).await;
        }
    }

    /// Plans groups and sends orders while the lease is held.
    pub(crate) async fn run_planner(self: Rc<Self>) {
        loop {
            if let Some(lease) = self.planner_lease() {
                self.remove_dead_member().await;
                if let Err(error) = self.plan_round(&lease).await {
                    log::warn!("planner: round aborted: {error}.");
                }
            } else {
                *self.planner_state.quiescence.borrow_mut() = QuiescenceTracker::default();
            }
            self.ports.sleep(self.settings.planner_period).await;
        }
    }

    /// The planner's lease, while this node may act under it.
    pub(crate) fn planner_lease(&self) -> Option<HeldLease> {
        self.lease.held(self.now()).filter(|_| self.may_plan())
    }

    /// Whether this node has enough information to plan: it is in the roster and not leaving, has
    /// read the platform's list, has a fresh configuration, and reaches half of the living members.
    fn may_plan(&self) -> bool {
        let now = self.now();
        let state = self.log.state();
        let in_roster = state.roster.current.contains(&self.member.node, self.member.incarnation);
        let listed = !self.table.borrow().records().is_empty();
        in_roster && listed && !self.leaving.get() && self.is_fresh(now) && self.reaches_half(now)
    }

    async fn plan_round(&self, lease: &HeldLease) -> TableResult<()> {
        let rows = Rc::new(self.load_rows().await?);
        *self.planner_state.rows.borrow_mut() = Rc::clone(&rows);
        self.update_quiescence(&rows);
        self.free_vms(lease, &rows).await?;
        self.execute_plan(lease, &rows).await?;
        self.order_vms(lease).await;
        Ok(())
    }

    pub(crate) async fn load_rows(&self) -> TableResult<GroupRows> {
        let rows = self.groups.load(self.planner_state.read_step.get()).await?;
        self.planner_state.read_step.set(Step::GroupReadRows);
        Ok(rows)
    }

    fn update_quiescence(&self, rows: &GroupRows) {
        let active = rows.groups.values().map(|(_, record)| record);
        let active = active.filter(|record| record.phase == GroupPhase::Active);
        let mut quiescence = self.planner_state.quiescence.borrow_mut();
        let table = self.table.borrow();
        quiescence.update(self.now(), &table, active.map(|record| &record.assignment));
    }

    /// Deletes the rows of VMs that no active group needs, once they are gone or have been idle for
    /// long enough. Then deletes the rows of retiring groups that hold no VM.
    async fn free_vms(&self, lease: &HeldLease, rows: &GroupRows) -> TableResult<()> {
        for vm in rows.owners.keys() {
            if rows.recorded_assignment(vm).is_none() && self.may_free(vm) {
                let outcome = self.groups.free_vm(self.lease.check(lease), rows, vm).await;
                self.finish_write("free", vm.as_str(), outcome)?;
            }
        }
        for (group, (_, record)) in &rows.groups {
            if record.phase == GroupPhase::Retiring && !rows.holds_vms(group) {
                let outcome = self.groups.delete_group(self.lease.check(lease), rows, group).await;
                self.finish_write("delete", group.as_str(), outcome)?;
            }
        }
        Ok(())
    }

    fn may_free(&self, vm: &VmId) -> bool {
        let min_idle = EVIDENCE_LIFETIME + self.settings.order_lifetime;
        let idle = self.planner_state.quiescence.borrow().is_idle(self.now(), vm, min_idle);
        idle || self.is_vm_gone(vm)
    }

    async fn execute_plan(&self, lease: &HeldLease, rows: &GroupRows) -> TableResult<()> {
        let input = self.planner_input(rows);
        let actions = self.planner_state.planner.borrow_mut().plan(&input);
        for action in actions {
            if self.planner_lease().as_ref().map(|held| held.fencing) != Some(lease.fencing) {
                return Ok(());
            }
            self.execute_action(lease, rows, action).await?;
        }
        Ok(())
    }

    async fn execute_action(
        &self,
        lease: &HeldLease,
        rows: &GroupRows,
        action: PlannerAction,
    ) -> TableResult<()> {
        let check = self.lease.check(lease);
        match action {
            PlannerAction::Form { assignment, fabric_domain } => {
                let name = assignment.group.clone();
                let phase = GroupPhase::Active;
                let record = GroupRecord { assignment, fabric_domain, phase };
                let outcome = self.groups.put_group(check, rows, &record).await;
                self.finish_write("form", name.as_str(), outcome)
            }
            PlannerAction::Reassign { assignment } => {
                let Some((_, record)) = rows.groups.get(&assignment.group) else { return Ok(()) };
                let name = assignment.group.clone();
                let record = GroupRecord { assignment, ..record.clone() };
                let outcome = self.groups.put_group(check, rows, &record).await;
                self.finish_write("reassign", name.as_str(), outcome)
            }
            PlannerAction::Retire { group } => {
                let Some((_, record)) = rows.groups.get(&group) else { return Ok(()) };
                let record = GroupRecord { phase: GroupPhase::Retiring, ..record.clone() };
                let outcome = self.groups.put_record(check, rows, &record).await;
                self.finish_write("retire", group.as_str(), outcome)
            }
        }
    }

    /// Logs and counts the outcome of a write. Conflicts and errors abort the round. After a
    /// conflict the lease is no longer assumed to be held. After an error, such as a lost answer,
    /// the next round starts by reading back all rows.
    fn finish_write(
        &self,
        action: &'static str,
        subject: &str,
        outcome: TableResult<CommitOutcome>,
    ) -> TableResult<()> {
        match outcome {
            Ok(CommitOutcome::Committed) => {
                log::info!("planner: {action} {subject}.");
                metrics::counter!(PLANNER_ACTIONS, "action" => action).increment(1);
                Ok(())
            }
            Ok(CommitOutcome::Conflict(keys)) => {
                log::warn!("planner: {action} {subject} refused: {keys:?} changed.");
                self.lease.forget();
                Err(TableError::NoAnswer)
            }
            Err(error) => {
                self.planner_state.read_step.set(Step::GroupReadBack);
                Err(error)
            }
        }
    }

    fn planner_input(&self, rows: &GroupRows) -> PlannerInput {
        let now = self.now();
        let state = self.log.state();
        let table = self.table.borrow();
        let groups = rows.groups.iter().map(|(name, (_, record))| (name.clone(), record.clone()));
        let groups: std::collections::BTreeMap<_, _> = groups.collect();
        let whole =
            groups.values().filter(|record| table.defect(now, &record.assignment).is_none());
        let whole = whole.map(|record| record.assignment.group.clone()).collect();
        let engines = table.records().values();
        let engines = engines.filter(|record| matches!(record.role, VmRole::Engine { .. }));
        let vms = engines.map(|record| (record.vm.clone(), self.planner_vm(rows, record)));
        PlannerInput {
            now,
            services: wanted_services(&state),
            vms: vms.collect(),
            whole,
            groups,
            weights: state.planner_weights,
            new_names: (0..MAX_NEW_GROUPS).map(|_| new_group_name()).collect(),
        }
    }

    fn planner_vm(&self, rows: &GroupRows, record: &VmRecord) -> PlannerVm {
        let now = self.now();
        let table = self.table.borrow();
        let quiescence = self.planner_state.quiescence.borrow();
        let vm = &record.vm;
        let owner = rows.owner(vm);
        let leaving = table.is_leaving(vm);
        let drained = self.log.state().drained_vms.contains(vm);
        let idle = quiescence.is_idle(now, vm, EVIDENCE_LIFETIME + self.settings.order_lifetime);
        let free = owner == VmOwner::default();
        PlannerVm {
            record: record.clone(),
            owner,
            report: table.evidence(vm).and_then(|evidence| evidence.report.clone()),
            unresponsive_for: quiescence.last_seen_age(now, vm),
            leaving,
            drained,
            available: free && idle && !leaving && !drained,
        }
    }

    /// Removes one member from the roster whose VM is no longer on the platform's list.
    async fn remove_dead_member(&self) {
        let members = self.log.state().roster.current.members.clone();
        let own = &self.member.node;
        let gone = members.into_values().find(|m| m.node != *own && self.is_vm_gone(&m.vm));
        let Some(member) = gone else { return };
        let (node, incarnation) = (member.node, member.incarnation);
        let operation = OperationId::from(format!("remove-{node}-{incarnation}"));
        let change = ConfigChange::LeaveRoster { node: node.clone(), incarnation };
        let command = ApplyCommand {
            operation,
            expected: None,
            changes: vec![(ChangePrecondition::Any, change)],
            gone_nodes: BTreeSet::new(),
        };
        match self.apply(command).await {
            Ok(_) => log::info!("roster: {node} removed because its VM is gone."),
            Err(error) => log::debug!("roster: {node} not removed yet: {error}."),
        }
    }
}

fn wanted_services(state: &comfreyturn_policy::ConfigState) -> Vec<WantedService> {
    let mut services: Vec<WantedService> = state
        .services
        .values()
        .filter_map(|service| {
            let ServiceBackend::Model(backend) = &service.backend else { return None };
            let key = (backend.model.clone(), backend.version.clone());
            let version = state.model_versions.get(&key)?.clone();
            Some(WantedService { service: service.name.clone(), backend: backend.clone(), version })
        })
        .collect();
    services.sort_by_key(|wanted| wanted.backend.rank);
    services
}

/// Returns a random name that no group has had before.
fn new_group_name() -> GroupId {
    GroupId::from(format!("g-{}", Incarnation::random()))
}
