//! Probing of servers that may have crashed, or whose place in a group isn't known.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::{FleetServer, ServerLife};
use futures_util::{
    future::{join, join_all},
    stream::{self, StreamExt as _},
};

use crate::{Gateway, node_snapshot::age_ms};

/// A server whose streams delivered data to any node within this time counts as alive, even if it
/// doesn't answer this node's probe.
const SEEN_MAX_AGE: Duration = Duration::from_millis(500);

/// Servers that are asked for their places at a time.
const ASKED_AT_ONCE: usize = 64;

/// Probes servers that may have crashed, or whose place in a group isn't known, while this node forms
/// groups.
pub(crate) struct ServerProber {
    gateway: Rc<Gateway>,

    /// Failed probes in a row, by server.
    failed_probes: RefCell<HashMap<ServerLife, u32>>,
}

impl ServerProber {
    pub(crate) fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway, failed_probes: RefCell::default() }
    }

    /// Probes suspect servers. Never returns.
    pub(crate) async fn run(self) {
        let Gateway { ports, state, .. } = &*self.gateway;
        loop {
            if state.forms_groups.get() && self.gateway.has_paths() {
                join(self.probe_suspects(), self.ask_places()).await;
            }
            ports.clock.sleep(state.settings.planner_period).await;
        }
    }

    async fn probe_suspects(&self) {
        let Gateway { ports, state, .. } = &*self.gateway;
        let suspects = self.suspects(ports.clock.now());
        let probes = suspects.into_iter().map(|server| async move {
            let responds = self.gateway.responds(&server).await;
            (server.life.clone(), responds)
        });
        let results = join_all(probes).await;
        if results.iter().any(|(_, responds)| *responds) {
            state.record_reached();
        }
        for (life, responds) in results {
            let seen = state.stalls.borrow().was_seen(ports.clock.now(), &life, SEEN_MAX_AGE);
            self.record_probe(life, responds || seen);
        }
    }

    /// Asks servers whose place isn't known. There may be many of them, so a missing answer doesn't
    /// count as a failed probe of a server that is no suspect.
    async fn ask_places(&self) {
        let Gateway { ports, state, .. } = &*self.gateway;
        let unknown: Vec<FleetServer> = {
            let servers = state.servers.borrow();
            let places = state.stale_places.borrow();
            let asked = places.to_ask(ports.clock.now()).filter_map(|life| servers.get(life));
            asked.filter(|server| !state.is_evacuated(server)).cloned().collect()
        };
        let asks = unknown.iter().map(|server| self.gateway.responds(server));
        let answers: Vec<bool> = stream::iter(asks).buffer_unordered(ASKED_AT_ONCE).collect().await;
        if !answers.is_empty() {
            let answered = answers.iter().filter(|answered| **answered).count();
            let unknown = state.stale_places.borrow().len();
            log::info!(asked = answers.len(), answered = answered, unknown = unknown; "fleet: servers asked for their places.");
        }
    }

    /// The servers to probe: members of groups whose head stalled, members that left the list, and
    /// lost servers, which may have recovered. Not those that asked this node to wait or are in
    /// evacuated failure domains.
    fn suspects(&self, now: Instant) -> Vec<FleetServer> {
        let state = &self.gateway.state;
        let stalled = state.stalls.borrow().stalled(now, state.settings.stall_retention);
        let servers = state.servers.borrow();
        let unlisted = state.unlisted.borrow();
        let dropped = || unlisted.values().map(|(_, server)| server);
        let mut suspects: HashSet<ServerLife> = state.lost.borrow().iter().cloned().collect();
        suspects.extend(unlisted.keys().cloned());
        for life in stalled {
            let group = servers.get(&life).and_then(|head| head.membership.as_ref());
            let Some(group) = group else { continue };
            let members = servers.all().chain(dropped()).filter(|server| {
                let membership = server.membership.as_ref();
                membership.is_some_and(|own| own.group == group.group && own.epoch == group.epoch)
            });
            suspects.extend(members.map(|server| server.life.clone()));
        }
        let find = |life: &ServerLife| {
            servers.get(life).or_else(|| unlisted.get(life).map(|(_, server)| server))
        };
        let waits = state.waits.borrow();
        let probed = suspects.iter().filter(|life| !waits.is_waiting(now, life));
        probed.filter_map(find).filter(|server| !state.is_evacuated(server)).cloned().collect()
    }

    fn record_probe(&self, life: ServerLife, is_alive: bool) {
        let state = &self.gateway.state;
        let mut failed_probes = self.failed_probes.borrow_mut();
        if is_alive {
            failed_probes.remove(&life);
            if state.lost.borrow_mut().remove(&life) {
                log::info!(server:% = life; "fleet: lost server answers again.");
            }
            return;
        }
        let count = failed_probes.entry(life.clone()).or_default();
        *count += 1;
        if *count >= state.settings.lost_probes && state.lost.borrow_mut().insert(life.clone()) {
            let last_seen =
                state.stalls.borrow().last_seen_age(self.gateway.ports.clock.now(), &life);
            log::warn!(server:% = life, probes = *count, heard_age_ms = age_ms(last_seen); "fleet: server counts as lost.");
        }
    }
}
