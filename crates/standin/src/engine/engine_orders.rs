//! How a model engine handles orders, loads weights and checks the members of its group.

use std::{rc::Rc, time::Duration};

use comfreyturn_ports::EngineOrder;
use comfreyturn_types::GroupAssignment;
use http::StatusCode;

use super::{
    engine_place::weights_of,
    engine_service::{EngineService, call_until_success},
};
use crate::{
    PlaceRecord,
    http_server::{HttpAnswer, empty_answer, json_answer, json_body, malformed_answer},
    run_records::run_time_ms,
};

/// Number of requests that a load of weights is split into, so that engines that load at the same
/// time share the weight store's rate evenly.
const WEIGHT_PARTS: u64 = 20;

impl EngineService {
    pub(super) fn order(self: &Rc<Self>, body: &[u8]) -> HttpAnswer {
        let Some(order) = json_body::<EngineOrder>(body) else {
            return malformed_answer();
        };
        let seen = self.place.borrow().fencing;
        if self.settings.checks_fencing && order.fencing < seen {
            self.journal.write(|records| records.fenced_orders += 1);
            let refusal = serde_json::json!({ "error": "fenced", "seen": seen });
            return json_answer(StatusCode::CONFLICT, &refusal);
        }
        self.place.borrow_mut().fencing = order.fencing;
        if self.place.borrow().assignment != order.assignment {
            self.apply_assignment(order);
        }
        empty_answer(StatusCode::NO_CONTENT)
    }

    fn apply_assignment(self: &Rc<Self>, order: EngineOrder) {
        drop(self.place_tasks.take());
        self.break_streams();
        let record = PlaceRecord {
            vm: self.settings.vm.clone(),
            at_ms: run_time_ms(),
            fencing: order.fencing,
            assignment: order.assignment.clone(),
        };
        self.journal.write(|records| records.places.push(record));
        self.set_assignment(order.assignment.clone());
        let Some(assignment) = order.assignment else {
            return;
        };
        let engine = self.clone();
        self.place_tasks.borrow_mut().spawn(async move { engine.load_and_check(assignment).await });
    }

    fn set_assignment(&self, assignment: Option<GroupAssignment>) {
        let mut place = self.place.borrow_mut();
        place.is_whole = false;
        place.assignment = assignment;
    }

    async fn load_and_check(&self, assignment: GroupAssignment) {
        let weights = weights_of(&assignment);
        if self.place.borrow().loaded.as_ref() != Some(&weights) {
            self.place.borrow_mut().loaded = None;
            self.load_weights().await;
            self.place.borrow_mut().loaded = Some(weights);
        }
        if assignment.members.first() != Some(&self.settings.vm) {
            return;
        }
        loop {
            self.check_members(&assignment).await;
            compio::time::sleep(self.settings.member_period).await;
        }
    }

    pub(super) async fn check_members(&self, assignment: &GroupAssignment) -> bool {
        let is_whole = self.members.is_whole(&self.settings, assignment).await;
        let was_whole = std::mem::replace(&mut self.place.borrow_mut().is_whole, is_whole);
        if was_whole && !is_whole {
            log::info!("engine: {} lost a member of {}.", self.settings.vm, assignment.group);
            self.break_streams();
        }
        is_whole
    }

    async fn load_weights(&self) {
        let Some(platform) = self.settings.platform else {
            return self.load_without_platform().await;
        };
        let part = serde_json::json!({ "bytes": self.settings.weight_bytes / WEIGHT_PARTS });
        for _ in 0..WEIGHT_PARTS {
            call_until_success(platform, "/weights", &part).await;
        }
    }

    async fn load_without_platform(&self) {
        let rate = self.settings.weight_bytes_per_second;
        if rate > 0 {
            let duration = Duration::from_secs_f64(self.settings.weight_bytes as f64 / rate as f64);
            compio::time::sleep(duration).await;
        }
    }
}
