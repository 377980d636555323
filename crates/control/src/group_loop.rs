//! The holder of the planner's lease: plans groups and writes their rows.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use comfreyturn_policy::{
    EVIDENCE_LIFETIME, FirstFitPlanner, GroupPlanner, LeaseHold, PlannerAction, PlannerInput,
    PlannerVm, WantedService,
};
use comfreyturn_ports::{CommitOutcome, Step, TableError, TableResult};
use comfreyturn_types::{
    ConfigChange, GroupId, GroupPhase, GroupRecord, Incarnation, OperationId, ServiceBackend, VmId,
    VmOwner, VmRecord, VmRole,
};

use crate::{
    ApplyCommand, ChangePrecondition, NodeControl, group_store::GroupRows, quiet_watch::QuietWatch,
};

/// New groups that one round may form.
const MAX_NEW_GROUPS: usize = 64;

/// Counter of what the planner did, by action.
const PLANNER_ACTIONS: &str = "comfreyturn_planner_actions_total";

/// What the holder of the planner's lease remembers between rounds.
pub(crate) struct PlannerDesk {
    /// Decides on groups.
    pub(crate) planner: RefCell<Box<dyn GroupPlanner>>,

    /// The rows as last read.
    pub(crate) rows: RefCell<Rc<GroupRows>>,

    /// How long things have been as they are.
    pub(crate) quiet: RefCell<QuietWatch>,

    /// VMs to which an order is under way.
    pub(crate) ordering: RefCell<BTreeSet<VmId>>,

    step: Cell<Step>,
}

impl Default for PlannerDesk {
    fn default() -> Self {
        Self {
            planner: RefCell::new(Box::new(FirstFitPlanner::default())),
            rows: RefCell::default(),
            quiet: RefCell::default(),
            ordering: RefCell::default(),
            step: Cell::new(Step::GroupReadRows),
        }
    }
}

impl NodeControl {
    /// Keeps the planner's lease, unless this node is leaving or sees too little.
    pub(crate) async fn run_lease(self: Rc<Self>) {
        loop {
            let result =
                if self.may_plan() { self.lease.keep().await } else { self.lease.release().await };
            if let Err(error) = result {
                log::warn!("lease: not kept: {error}.");
            }
            self.ports.sleep(self.settings.lease_period).await;
        }
    }

    /// Plans and orders while the lease is held.
    pub(crate) async fn run_planner(self: Rc<Self>) {
        loop {
            if let Some(hold) = self.planner_hold() {
                self.remove_dead_member().await;
                if let Err(error) = self.plan_round(&hold).await {
                    log::warn!("planner: round ended: {error}.");
                }
            } else {
                *self.desk.quiet.borrow_mut() = QuietWatch::default();
            }
            self.ports.sleep(self.settings.planner_period).await;
        }
    }

    /// The planner's lease, while this node may act under it.
    pub(crate) fn planner_hold(&self) -> Option<LeaseHold> {
        self.lease.held(self.now()).filter(|_| self.may_plan())
    }

    /// Whether this node sees enough to plan: it stays, it knows the platform's list, its
    /// configuration is current, and it hears at least half of the living members.
    fn may_plan(&self) -> bool {
        let now = self.now();
        let state = self.log.state();
        let named = state.roster.current.contains(&self.member.node, self.member.incarnation);
        let listed = !self.table.borrow().records().is_empty();
        named && listed && !self.leaving.get() && self.is_fresh(now) && self.hears_half(now)
    }

    async fn plan_round(&self, hold: &LeaseHold) -> TableResult<()> {
        let rows = Rc::new(self.store_rows().await?);
        *self.desk.rows.borrow_mut() = Rc::clone(&rows);
        self.update_quiet(&rows);
        self.free_vms(hold, &rows).await?;
        self.carry_out_plan(hold, &rows).await?;
        self.order_vms(hold).await;
        Ok(())
    }

    pub(crate) async fn store_rows(&self) -> TableResult<GroupRows> {
        let rows = self.groups.load(self.desk.step.get()).await?;
        self.desk.step.set(Step::GroupReadRows);
        Ok(rows)
    }

    fn update_quiet(&self, rows: &GroupRows) {
        let active = rows.groups.values().map(|(_, record)| record);
        let active = active.filter(|record| record.phase == GroupPhase::Active);
        let mut quiet = self.desk.quiet.borrow_mut();
        let table = self.table.borrow();
        quiet.update(self.now(), &table, active.map(|record| &record.assignment));
    }

    /// Frees VMs that the rows name but no active group needs, once they are gone or have been
    /// idle for the quiet period; then forgets groups that hold none.
    async fn free_vms(&self, hold: &LeaseHold, rows: &GroupRows) -> TableResult<()> {
        for vm in rows.owners.keys() {
            if rows.place(vm).is_none() && self.may_free(vm) {
                let outcome = self.groups.free_vm(self.lease.check(hold), rows, vm).await;
                self.settle("free", vm.as_str(), outcome)?;
            }
        }
        for (group, (_, record)) in &rows.groups {
            if record.phase == GroupPhase::Retiring && !rows.holds_vms(group) {
                let outcome = self.groups.delete_group(self.lease.check(hold), rows, group).await;
                self.settle("delete", group.as_str(), outcome)?;
            }
        }
        Ok(())
    }

    fn may_free(&self, vm: &VmId) -> bool {
        let quiet = EVIDENCE_LIFETIME + self.settings.order_lifetime;
        let idle = self.desk.quiet.borrow().is_idle(self.now(), vm, quiet);
        idle || self.is_vm_gone(vm)
    }

    async fn carry_out_plan(&self, hold: &LeaseHold, rows: &GroupRows) -> TableResult<()> {
        let input = self.planner_input(rows);
        let actions = self.desk.planner.borrow_mut().plan(&input);
        for action in actions {
            if self.planner_hold().as_ref().map(|held| held.fencing) != Some(hold.fencing) {
                return Ok(());
            }
            self.carry_out(hold, rows, action).await?;
        }
        Ok(())
    }

    async fn carry_out(
        &self,
        hold: &LeaseHold,
        rows: &GroupRows,
        action: PlannerAction,
    ) -> TableResult<()> {
        let lease = self.lease.check(hold);
        match action {
            PlannerAction::Form { assignment, fabric_domain } => {
                let name = assignment.group.clone();
                let phase = GroupPhase::Active;
                let record = GroupRecord { assignment, fabric_domain, phase };
                let outcome = self.groups.put_group(lease, rows, &record).await;
                self.settle("form", name.as_str(), outcome)
            }
            PlannerAction::Reassign { assignment } => {
                let Some((_, record)) = rows.groups.get(&assignment.group) else { return Ok(()) };
                let name = assignment.group.clone();
                let record = GroupRecord { assignment, ..record.clone() };
                let outcome = self.groups.put_group(lease, rows, &record).await;
                self.settle("reassign", name.as_str(), outcome)
            }
            PlannerAction::Retire { group } => {
                let Some((_, record)) = rows.groups.get(&group) else { return Ok(()) };
                let record = GroupRecord { phase: GroupPhase::Retiring, ..record.clone() };
                let outcome = self.groups.put_record(lease, rows, &record).await;
                self.settle("retire", group.as_str(), outcome)
            }
        }
    }

    /// Ends a write. After a lost answer the round ends, and the next one starts by reading back
    /// all rows.
    fn settle(
        &self,
        verb: &'static str,
        subject: &str,
        outcome: TableResult<CommitOutcome>,
    ) -> TableResult<()> {
        match outcome {
            Ok(CommitOutcome::Committed) => {
                log::info!("planner: {verb} {subject}.");
                metrics::counter!(PLANNER_ACTIONS, "action" => verb).increment(1);
                Ok(())
            }
            Ok(CommitOutcome::Conflict(keys)) => {
                log::warn!("planner: {verb} {subject} refused: {keys:?} changed.");
                self.lease.forget();
                Err(TableError::NoAnswer)
            }
            Err(error) => {
                self.desk.step.set(Step::GroupReadBack);
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
        let quiet = self.desk.quiet.borrow();
        let vm = &record.vm;
        let owner = rows.owner(vm);
        let leaving = table.is_leaving(vm);
        let drained = self.log.state().drained_vms.contains(vm);
        let idle = quiet.is_idle(now, vm, EVIDENCE_LIFETIME + self.settings.order_lifetime);
        let free = owner == VmOwner::default();
        PlannerVm {
            record: record.clone(),
            owner,
            report: table.evidence(vm).and_then(|evidence| evidence.report.clone()),
            silent_for: quiet.silent_for(now, vm),
            leaving,
            drained,
            available: free && idle && !leaving && !drained,
        }
    }

    /// Takes one member off the roster whose VM is gone from the platform's list.
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
            Ok(_) => log::info!("roster: {node} taken off, as its VM is gone."),
            Err(error) => log::debug!("roster: {node} not taken off yet: {error}."),
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

/// Draws a name that no group ever had.
fn new_group_name() -> GroupId {
    GroupId::from(format!("g-{}", Incarnation::random()))
}
