//! What servers ask of this node: rate limits, of which it has a part, and waits. Each request, probe
//! and connection for another node is permitted here; orders are not.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyturn_policy::{AnswerReceiver, ColdStatement, LimitStatement, SendPermit};
use comfreyturn_ports::ServerNotice;
use comfreyturn_types::{ColdSpec, FleetServer, NodeId, ServerLife};

use crate::{
    Gateway, RefusalReport, gateway_metrics, gateway_state::GatewayState, node_snapshot::whole_ms,
};

/// A server that delivered data to no node within this time, and refuses requests, is not just full.
const HEARD_MAX_AGE: Duration = Duration::from_secs(1);

/// That a server takes requests again is told to other nodes for this time after its last data.
const ANSWERED_MAX_AGE: Duration = Duration::from_secs(2);

impl Gateway {
    /// Records what a server asked for when it began to answer a request that this node passed on for
    /// another one. The server speaks of the node whose connection it sees.
    pub fn record_tunnel_answer(&self, server: SocketAddr, notice: ServerNotice) {
        let Self { state, ports, .. } = self;
        let now = ports.clock.now();
        // When the request was sent is known to the node that it belongs to only.
        let lives = state.lives_at(server);
        lives.iter().for_each(|life| state.record_own_notice(now, life, now, notice));
    }
}

impl GatewayState {
    /// Records what a server asked of the nodes in the answer to a request that this one sent at
    /// `sent_at`.
    pub(crate) fn record_notice(
        &self,
        now: Instant,
        life: &ServerLife,
        sent_at: Instant,
        notice: ServerNotice,
    ) {
        if notice.rate_limit.is_some() || !notice.is_refusal {
            let statement = LimitStatement { rate: notice.rate_limit, at: now };
            self.record_limit(life, statement, AnswerReceiver::This);
        }
        self.record_own_notice(now, life, sent_at, notice);
    }

    /// Records what a server asked of this node alone, and whether it is leaving.
    fn record_own_notice(
        &self,
        now: Instant,
        life: &ServerLife,
        sent_at: Instant,
        notice: ServerNotice,
    ) {
        if notice.is_leaving && self.leaving_servers.borrow_mut().insert(life.clone()) {
            log::info!(server:% = life; "limits: server says that it is leaving.");
        }
        if let Some(left) = notice.cold_left {
            let statement = ColdStatement::new(now, left);
            self.record_cold_answer(life, statement, AnswerReceiver::This);
        }
        match notice.wait.filter(|wait| !wait.is_zero()) {
            Some(wait) => self.record_wait(now, life, wait),
            None if notice.is_refusal => {
                let heard = self.stalls.borrow().was_seen(now, life, HEARD_MAX_AGE);
                self.waits.borrow_mut().record_refusal(now, life, sent_at, heard);
            }
            None => self.waits.borrow_mut().record_answer(now, life),
        }
    }

    // ---------------------------------------------------------------------------------------
    // Refusals that nodes tell each other

    /// What this node tells others of servers that refuse requests without asking for a wait.
    pub(crate) fn own_refusals(&self, now: Instant) -> RefusalReport {
        let waits = self.waits.borrow();
        let stalls = self.stalls.borrow();
        let mut refused = waits.refusing(now);
        refused.retain(|life, _| !stalls.was_seen(now, life, HEARD_MAX_AGE));
        let mut answered = stalls.own_seen(now, ANSWERED_MAX_AGE);
        let told: HashSet<&ServerLife> = waits.told().collect();
        answered.retain(|life, _| told.contains(life));
        RefusalReport { refused, answered }
    }

    /// Records what another node tells of servers that refuse requests, or take them again.
    pub(crate) fn record_told_refusals(&self, now: Instant, report: &RefusalReport) {
        let mut stalls = self.stalls.borrow_mut();
        for (life, at) in &report.answered {
            stalls.record_peer_seen(*at, life);
        }
        let view = self.view.borrow();
        let others = view.peers.alive(now, self.settings.peer_timeouts).count();
        let mut waits = self.waits.borrow_mut();
        for (life, refused_at) in &report.refused {
            let was_heard = stalls.was_seen(now, life, HEARD_MAX_AGE)
                || stalls.seen_at(life).is_some_and(|seen_at| seen_at >= *refused_at);
            if !was_heard {
                let pause = waits.shared_pause(others + 1, rand::random());
                if waits.record_told_refusal(now, life, *refused_at, pause) {
                    log::info!(server:% = life; "limits: another node says that server refuses requests.");
                }
            }
        }
    }

    // ---------------------------------------------------------------------------------------
    // Permits

    fn record_wait(&self, now: Instant, life: &ServerLife, wait: Duration) {
        gateway_metrics::count_requested_wait();
        log::info!(server:% = life, wait_ms = whole_ms(wait); "limits: server asks to wait.");
        self.waits.borrow_mut().record_wait(now, life, wait);
        self.refresh_loads();
        // Without the request that was turned away.
        let running = self.loads.running(life).saturating_sub(1);
        self.rooms.borrow_mut().record_refusal(now, life, running, wait);
    }

    /// Whether this node may open a connection for another node to a server now.
    pub(crate) fn permits_tunnel(&self, now: Instant, server: SocketAddr) -> bool {
        let lives = self.lives_at(server);
        let servers = self.servers.borrow();
        let mut listed = lives.iter().filter_map(|life| servers.get(life));
        if listed.any(|server| self.is_evacuated(server)) {
            return false;
        }
        let cold: Vec<_> =
            lives.iter().filter_map(|life| Some((life, self.cold_spec(life)?))).collect();
        let mut waits = self.waits.borrow_mut();
        let leaving = self.leaving_servers.borrow();
        let is_permitted =
            lives.iter().all(|life| waits.permits(now, life) && !leaving.contains(life))
                && cold.iter().all(|(life, spec)| self.cold_permit(now, life, *spec).is_sendable());
        if is_permitted {
            lives.iter().for_each(|life| waits.record_send(now, life));
            cold.iter().for_each(|(life, spec)| self.record_cold_send(now, life, *spec));
        }
        is_permitted && !lives.is_empty()
    }

    /// Records what another node says that a server stated.
    pub(crate) fn record_told_limit(&self, life: &ServerLife, statement: LimitStatement) {
        self.record_limit(life, statement, AnswerReceiver::Other);
    }

    fn record_limit(&self, life: &ServerLife, statement: LimitStatement, receiver: AnswerReceiver) {
        if self.limits.borrow_mut().record(life, statement, receiver) {
            log_limit(life, statement, receiver.into());
        }
    }

    /// Records which nodes share the limits.
    pub(crate) fn update_senders(&self, now: Instant, own: &NodeId) {
        let view = self.view.borrow();
        let others = view.peers.alive(now, self.settings.peer_timeouts).map(|(node, _)| node);
        self.senders.borrow_mut().update(now, own, others);
        let known = view.peers.named().map(|(node, _)| node);
        self.all_senders.borrow_mut().update(now, own, known);
    }

    /// Whether this node may send a request to a server now, as far as the server asked for less.
    pub(crate) fn send_permit(
        &self,
        now: Instant,
        life: &ServerLife,
        cold: Option<ColdSpec>,
    ) -> SendPermit {
        let heard_at = self.stalls.borrow().seen_at(life);
        let mut waits = self.waits.borrow_mut();
        if let Some(heard_at) = heard_at {
            waits.record_heard(now, life, heard_at);
        }
        if !waits.permits(now, life) {
            return SendPermit::Waiting;
        }
        let cold = cold.map_or(SendPermit::Unlimited, |spec| self.cold_permit(now, life, spec));
        let Some(limit) = self.limits.borrow().limit(life) else { return cold };
        if !self.was_running_for(now, self.settings.sender_settling_time) {
            return SendPermit::Withheld;
        }
        let senders = self.senders.borrow();
        let stated = self.quotas.borrow_mut().permit(now, life, limit, &senders, rand::random());
        // A server that is limited and cold gets only what both allow.
        if stated == SendPermit::Quota && cold != SendPermit::Unlimited { cold } else { stated }
    }

    /// Records that this node sends a request to a server.
    pub(crate) fn record_send(&self, now: Instant, server: &FleetServer) {
        self.waits.borrow_mut().record_send(now, &server.life);
        if let Some(spec) = self.cold_spec(&server.life) {
            self.record_cold_send(now, &server.life, spec);
        }
        if self.limits.borrow().limit(&server.life).is_some() {
            self.quotas.borrow_mut().record_send(now, &server.life);
            gateway_metrics::count_limited_send(&server.service);
        }
    }
}

fn log_limit(life: &ServerLife, statement: LimitStatement, receiver: &str) {
    match statement.rate {
        Some(rate) => log::info!(
            server:% = life, per_second = rate.per_second(), received_by = receiver;
            "limits: server states a rate limit."
        ),
        None => log::info!(
            server:% = life, received_by = receiver;
            "limits: server has no rate limit any more."
        ),
    }
}
