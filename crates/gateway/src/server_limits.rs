//! The rate limits that servers state, and this node's part of them.

use std::time::Instant;

use comfreyturn_policy::{AnswerReceiver, LimitStatement, SendPermit};
use comfreyturn_ports::ServerNotice;
use comfreyturn_types::{FleetServer, NodeId, ServerLife};

use crate::{gateway_metrics, gateway_state::GatewayState, node_snapshot::whole_ms};

impl GatewayState {
    /// Records what a server asked of the nodes in an answer to this one.
    pub(crate) fn record_notice(&self, now: Instant, life: &ServerLife, notice: ServerNotice) {
        // A refusal that asks for a wait and names no limit says nothing about a limit.
        if notice.rate_limit.is_some() || notice.wait.is_none() {
            let statement = LimitStatement { rate: notice.rate_limit, at: now };
            self.record_limit(life, statement, AnswerReceiver::This);
        }
        if let Some(wait) = notice.wait {
            gateway_metrics::count_requested_wait();
            log::info!(server:% = life, wait_ms = whole_ms(wait); "limits: server asks to wait.");
        }
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
    }

    /// Whether this node may send a request to a server now, as far as the server's limit goes.
    pub(crate) fn send_permit(&self, now: Instant, life: &ServerLife) -> SendPermit {
        let Some(limit) = self.limits.borrow().limit(life) else { return SendPermit::Unlimited };
        if !self.was_running_for(now, self.settings.sender_settling_time) {
            return SendPermit::Withheld;
        }
        let senders = self.senders.borrow();
        self.quotas.borrow_mut().permit(now, life, limit, &senders, rand::random())
    }

    /// Records that this node sends a request to a server.
    pub(crate) fn record_send(&self, now: Instant, server: &FleetServer) {
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
