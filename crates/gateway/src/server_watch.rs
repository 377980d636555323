//! Asking servers that fell silent whether they live.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::{FleetServer, ServerLife};
use futures_util::future::{Either, join_all, select};

use crate::{Gateway, node_belief::age_ms};

/// A server that any node heard of within this time lives, whatever it answers to this node.
const HEARD_TIME: Duration = Duration::from_millis(500);

/// Asks servers that fell silent whether they live, while this node forms groups.
pub(crate) struct ServerWatch {
    gateway: Rc<Gateway>,

    /// Probes in a row that a server did not answer.
    silent: RefCell<HashMap<ServerLife, u32>>,
}

impl ServerWatch {
    pub(crate) fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway, silent: RefCell::default() }
    }

    /// Asks for ever.
    pub(crate) async fn run(self) {
        let Gateway { ports, state, .. } = &*self.gateway;
        loop {
            if state.plans.get() {
                self.probe_suspects().await;
            }
            ports.clock.sleep(state.settings.planner_period).await;
        }
    }

    async fn probe_suspects(&self) {
        let Gateway { ports, state, .. } = &*self.gateway;
        let suspects = self.suspects(ports.clock.now());
        let probes = suspects.into_iter().map(|server| async move {
            let limit = ports.clock.sleep(state.settings.probe_timeout);
            let answer = select(ports.fleet.probe(&server), limit).await;
            let answers = matches!(answer, Either::Left((Ok(()), _)));
            (server.life.clone(), answers)
        });
        for (life, answers) in join_all(probes).await {
            let heard = state.stalls.borrow().is_heard(ports.clock.now(), &life, HEARD_TIME);
            self.take_probe(life, answers || heard);
        }
    }

    /// The members of groups whose head fell silent, members that were dropped from the list, and
    /// servers that are lost, which may be back.
    fn suspects(&self, now: Instant) -> Vec<FleetServer> {
        let state = &self.gateway.state;
        let stalled = state.stalls.borrow().stalled(now, state.settings.stall_memory);
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
        suspects.iter().filter_map(find).cloned().collect()
    }

    fn take_probe(&self, life: ServerLife, lives: bool) {
        let state = &self.gateway.state;
        let mut silent = self.silent.borrow_mut();
        if lives {
            silent.remove(&life);
            if state.lost.borrow_mut().remove(&life) {
                log::info!(server:% = life; "fleet: lost server answers again.");
            }
            return;
        }
        let count = silent.entry(life.clone()).or_default();
        *count += 1;
        if *count >= state.settings.lost_probes && state.lost.borrow_mut().insert(life.clone()) {
            let heard = state.stalls.borrow().heard_age(self.gateway.ports.clock.now(), &life);
            log::warn!(server:% = life, probes = *count, heard_age_ms = age_ms(heard); "fleet: server counts as lost.");
        }
    }
}
