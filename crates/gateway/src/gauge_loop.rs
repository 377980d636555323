//! Gauges of a node's state and of the age of its data, and the use of its retry budgets.

use std::{rc::Rc, time::Duration};

use metrics::gauge;

use crate::{Gateway, node_snapshot::NodeSnapshot};

/// Pause between two updates of the gauges.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

impl Gateway {
    /// Updates the gauges. Never returns.
    pub(crate) async fn keep_gauges(self: Rc<Self>) {
        loop {
            self.ports.clock.sleep(GAUGE_PERIOD).await;
            self.set_snapshot();
            self.set_peers();
            self.set_groups();
            let now = self.ports.clock.now();
            self.state.retry_budgets.report(now, self.state.budget_basis(now));
        }
    }

    fn set_snapshot(&self) {
        let state = &self.state;
        let snapshot = state.snapshot(self.ports.clock.now());
        let NodeSnapshot { config_version, config_age, list_version, list_age, peers } = snapshot;
        gauge!("comfreyturn_requests_in_flight").set(count(state.in_flight.borrow().len()));
        gauge!("comfreyturn_fleet_lease_fencing_number").set(float(state.lease_fencing.get()));
        gauge!("comfreyturn_config_version").set(config_version.map_or(f64::NAN, float));
        gauge!("comfreyturn_config_age_seconds").set(seconds(config_age));
        gauge!("comfreyturn_server_list_version").set(float(list_version.number));
        gauge!("comfreyturn_store_era").set(float(list_version.era));
        gauge!("comfreyturn_server_list_age_seconds").set(seconds(list_age));
        gauge!("comfreyturn_servers_listed").set(count(state.servers.borrow().all().count()));
        gauge!("comfreyturn_servers_unlisted").set(count(state.unlisted.borrow().len()));
        gauge!("comfreyturn_paths_lost").set(if self.has_paths() { 0.0 } else { 1.0 });
        let stale = state.stale_places.borrow().len();
        gauge!("comfreyturn_servers_of_unknown_place").set(count(stale));
        gauge!("comfreyturn_servers_lost").set(count(state.lost.borrow().len()));
        let now = self.ports.clock.now();
        let quarantined = state.parts.borrow().quarantined(now);
        gauge!("comfreyturn_quarantined_parts").set(count(quarantined));
        gauge!("comfreyturn_suspect_requests").set(count(state.suspects.borrow().len()));
        gauge!("comfreyturn_servers_limited").set(count(state.limits.borrow().limited()));
        let domains = state.evacuation.borrow().len();
        gauge!("comfreyturn_evacuated_domains").set(count(domains));
        gauge!("comfreyturn_servers_evacuated").set(count(state.evacuated_servers()));
        gauge!("comfreyturn_servers_cold").set(count(state.count_cold(now)));
        gauge!("comfreyturn_servers_waiting").set(count(state.waits.borrow().waiting(now)));
        let room = state.waiting.room.borrow();
        gauge!("comfreyturn_requests_waiting").set(count(room.len()));
        gauge!("comfreyturn_waiting_bytes").set(count(room.bytes()));
        gauge!("comfreyturn_peers_heard").set(count(peers));
    }

    fn set_peers(&self) {
        let now = self.ports.clock.now();
        for (node, peer) in self.state.view.borrow().peers.named() {
            let age = peer.last_seen_at.map(|at| now.saturating_duration_since(at));
            gauge!("comfreyturn_peer_age_seconds", "node" => node.to_string()).set(seconds(age));
        }
    }

    fn set_groups(&self) {
        let view = self.state.config.borrow().clone();
        let Some(view) = view else { return };
        let now = self.ports.clock.now();
        for (name, service) in &view.config.services {
            for model in service.engine.iter().flat_map(|engine| &engine.models) {
                let capacity = self.state.capacity(now, name, Some(&model.name));
                let labels = [("service", name.to_string()), ("model", model.name.to_string())];
                gauge!("comfreyturn_groups_serving", &labels).set(count(capacity.heads));
                gauge!("comfreyturn_group_requests", &labels).set(f64::from(capacity.running));
                gauge!("comfreyturn_group_slots", &labels).set(f64::from(capacity.slots));
            }
        }
    }
}

/// An unknown age is reported as NaN.
fn seconds(age: Option<Duration>) -> f64 {
    age.map_or(f64::NAN, |age| age.as_secs_f64())
}

#[expect(clippy::cast_precision_loss, reason = "counts and versions are far below 2^52")]
fn float(number: u64) -> f64 {
    number as f64
}

fn count(number: usize) -> f64 {
    float(u64::try_from(number).unwrap_or(u64::MAX))
}
