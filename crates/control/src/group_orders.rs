//! Orders to engines, until their reports equal the rows.

use std::rc::Rc;

use comfreyturn_policy::HeldLease;
use comfreyturn_ports::{EngineError, EngineOrder, Step};
use comfreyturn_types::{GroupAssignment, VmRecord, VmRole};

use crate::{NodeControl, group_store::GroupRows, quiet_watch::stands_before};

/// An order that is due.
struct DueOrder {
    step: Step,
    record: VmRecord,
    assignment: Option<GroupAssignment>,
}

impl NodeControl {
    /// Orders all VMs whose reports differ from the rows, each at most once at a time.
    pub(crate) async fn order_vms(&self, hold: &HeldLease) {
        let Ok(rows) = self.store_rows().await else { return };
        *self.desk.rows.borrow_mut() = Rc::new(rows.clone());
        let Some(control) = self.this.upgrade() else { return };
        for due in self.due_orders(&rows) {
            if !self.desk.ordering.borrow_mut().insert(due.record.vm.clone()) {
                continue;
            }
            let control = Rc::clone(&control);
            let hold = *hold;
            self.spawn(async move {
                control.send_order(&hold, &due).await;
                control.desk.ordering.borrow_mut().remove(&due.record.vm);
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
        let held = evidence.report.as_ref()?.assignment.as_ref();
        let place = rows.place(&record.vm);
        if held == place {
            return None;
        }
        let step = if place.is_some() { Step::GroupOrder } else { Step::GroupRelease };
        let admitted = place.is_none_or(|place| {
            stands_before(held, place) || self.desk.quiet.borrow().admits_newcomers(place)
        });
        let due = DueOrder { step, record: record.clone(), assignment: place.cloned() };
        admitted.then_some(due)
    }

    /// Sends an order, unless the lease lapsed meanwhile.
    async fn send_order(&self, hold: &HeldLease, due: &DueOrder) {
        let held = self.planner_hold();
        if held.map(|held| held.fencing) != Some(hold.fencing) {
            return;
        }
        let order = EngineOrder { fencing: hold.fencing, assignment: due.assignment.clone() };
        let vm = &due.record.vm;
        match self.ports.order(due.step, &due.record, &order).await {
            Ok(()) => self.probe(vm).await,
            Err(EngineError::Fenced { seen }) => {
                log::warn!("planner: {vm} refused an order: it has seen number {seen}.");
                self.lease.note_fenced(seen);
            }
            Err(error) => log::debug!("planner: order to {vm} failed: {error}."),
        }
    }
}
