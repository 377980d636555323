//! Sends orders to engines until their reports match the rows.

use std::rc::Rc;

use comfreyturn_policy::HeldLease;
use comfreyturn_ports::{EngineError, EngineOrder, Step};
use comfreyturn_types::{GroupAssignment, VmRecord, VmRole};

use crate::{NodeControl, group_store::GroupRows, quiescence_tracker::is_earlier_generation};

/// An order that is due.
struct DueOrder {
    step: Step,
    record: VmRecord,
    assignment: Option<GroupAssignment>,
}

impl NodeControl {
    /// Sends an order to each VM whose report differs from the rows. At most one order to a VM is
    /// in flight.
    pub(crate) async fn order_vms(&self, lease: &HeldLease) {
        let Ok(rows) = self.load_rows().await else { return };
        *self.planner_state.rows.borrow_mut() = Rc::new(rows.clone());
        let Some(control) = self.weak_self.upgrade() else { return };
        for due in self.due_orders(&rows) {
            if !self.planner_state.pending_orders.borrow_mut().insert(due.record.vm.clone()) {
                continue;
            }
            let control = Rc::clone(&control);
            let lease = *lease;
            self.spawn(async move {
                control.send_order(&lease, &due).await;
                control.planner_state.pending_orders.borrow_mut().remove(&due.record.vm);
            });
        }
    }

    fn due_orders(&self, rows: &GroupRows) -> Vec<DueOrder> {
        let table = self.table.borrow();
        let engines = table.records().values();
        let engines = engines.filter(|record| matches!(record.role, VmRole::Engine { .. }));
        engines.filter_map(|record| self.due_order(rows, record)).collect()
    }

    fn due_order(&self, rows: &GroupRows, record: &VmRecord) -> Option<DueOrder> {
        let table = self.table.borrow();
        let evidence = table.evidence(&record.vm)?;
        let reported = evidence.report.as_ref()?.assignment.as_ref();
        let recorded = rows.recorded_assignment(&record.vm);
        if reported == recorded {
            return None;
        }
        let step = if recorded.is_some() { Step::GroupOrder } else { Step::GroupRelease };
        let admitted = recorded.is_none_or(|recorded| {
            is_earlier_generation(reported, recorded)
                || self.planner_state.quiescence.borrow().admits_new_members(recorded)
        });
        let due = DueOrder { step, record: record.clone(), assignment: recorded.cloned() };
        admitted.then_some(due)
    }

    /// Sends an order, unless the lease has lapsed since the order was created.
    async fn send_order(&self, lease: &HeldLease, due: &DueOrder) {
        let current = self.planner_lease();
        if current.map(|current| current.fencing) != Some(lease.fencing) {
            return;
        }
        let order = EngineOrder { fencing: lease.fencing, assignment: due.assignment.clone() };
        let vm = &due.record.vm;
        match self.ports.order(due.step, &due.record, &order).await {
            Ok(()) => self.probe(vm).await,
            Err(EngineError::Fenced { seen }) => {
                log::warn!("planner: {vm} refused an order: it has seen fencing number {seen}.");
                self.lease.record_fenced(seen);
            }
            Err(error) => log::debug!("planner: order to {vm} failed: {error}."),
        }
    }
}
