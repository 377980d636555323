//! The rate limits that servers state.

use std::time::Instant;

use comfreyturn_policy::LimitStatement;
use comfreyturn_ports::ServerNotice;
use comfreyturn_types::{FleetServer, ServerLife};

use crate::{gateway_metrics, gateway_state::GatewayState};

impl GatewayState {
    /// Records what a server asked of the nodes in an answer to this one.
    pub(crate) fn record_notice(&self, now: Instant, life: &ServerLife, notice: ServerNotice) {
        let statement = LimitStatement { rate: notice.rate_limit, at: now };
        if self.limits.borrow_mut().record(life, statement) {
            log_limit(life, statement, "answer");
        }
    }

    /// Counts an attempt at a server, if that has a limit.
    pub(crate) fn count_limited_send(&self, server: &FleetServer) {
        if self.limits.borrow().limit(&server.life).is_some() {
            gateway_metrics::count_limited_send(&server.service);
        }
    }
}

fn log_limit(life: &ServerLife, statement: LimitStatement, source: &str) {
    match statement.rate {
        Some(rate) => log::info!(
            server:% = life, per_second = rate.per_second(), source = source;
            "limits: server states a rate limit."
        ),
        None => {
            log::info!(server:% = life, source = source; "limits: server has no rate limit any more.");
        }
    }
}
