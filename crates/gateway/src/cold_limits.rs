//! Cold servers: which are, and this node's part of what they tolerate.

use std::time::{Duration, Instant};

use comfreyturn_policy::{
    AnswerReceiver, ColdCause, ColdStatement, FirstListing, KnownLimit, SendPermit,
};
use comfreyturn_types::{ColdSpec, ServerLife, ServiceName, StoreVersion};

use crate::{
    AppliedReading, gateway_metrics, gateway_state::GatewayState, node_snapshot::whole_ms,
};

/// A server that comes back into use counts as cold until a node receives data from it, but for no
/// longer than this after it stalled or dropped out of the list.
const RETURN_TIME: Duration = Duration::from_secs(10);

impl GatewayState {
    /// What it means that a server is listed for the first time now. Must be asked before the
    /// reading is applied.
    pub(crate) fn first_listing(&self) -> FirstListing {
        let had_list = self.list_version() != StoreVersion::default();
        if had_list && self.has_traffic.get() {
            FirstListing::DuringTraffic
        } else {
            FirstListing::Unknown
        }
    }

    /// Records what changed entries say.
    pub(crate) fn record_cold_entries(
        &self,
        now: Instant,
        first: FirstListing,
        applied: &AppliedReading,
    ) {
        let servers = self.servers.borrow();
        let mut cold = self.cold.borrow_mut();
        for server in &applied.dropped {
            cold.record_dropped(now, &server.life);
        }
        for server in applied.changed.iter().filter_map(|vm| servers.by_vm(vm)) {
            let Some(spec) = self.service_cold_spec(&server.service) else {
                cold.record_entry(now, &server.life, server.cold_left, first);
                continue;
            };
            let was_cold = cold.cause(now, &server.life, spec.start_time).is_some();
            cold.record_entry(now, &server.life, server.cold_left, first);
            let cause = cold.cause(now, &server.life, spec.start_time);
            if let Some(cause) = cause.filter(|_| !was_cold) {
                log_cold(&server.life, cause, None);
            }
        }
        cold.forget_dropped(now);
    }

    /// Records what a server said in an answer about how long it is cold.
    pub(crate) fn record_cold_answer(
        &self,
        life: &ServerLife,
        statement: ColdStatement,
        receiver: AnswerReceiver,
    ) {
        if self.cold_spec(life).is_none() {
            return;
        }
        if self.cold.borrow_mut().record_answer(life, statement, receiver) {
            let left = statement.until.saturating_duration_since(statement.at);
            log_cold(life, ColdCause::Answer, Some(left));
        }
    }

    /// What a server tolerates while it is cold; `None` if it never is, or is not listed.
    pub(crate) fn cold_spec(&self, life: &ServerLife) -> Option<ColdSpec> {
        let servers = self.servers.borrow();
        self.service_cold_spec(&servers.get(life)?.service)
    }

    fn service_cold_spec(&self, service: &ServiceName) -> Option<ColdSpec> {
        let view = self.config.borrow();
        view.as_ref()?.config.services.get(service)?.cold
    }

    /// Why a server is cold, if it is. One that comes back into use may have turned cold meanwhile,
    /// and looks empty to all nodes at once, so it counts as cold until a node hears from it.
    pub(crate) fn cold_cause(
        &self,
        now: Instant,
        life: &ServerLife,
        spec: ColdSpec,
    ) -> Option<ColdCause> {
        if !self.has_traffic.get() {
            return None;
        }
        let cold = self.cold.borrow();
        let known = cold.cause(now, life, spec.start_time);
        if known.is_some() {
            return known;
        }
        let stalls = self.stalls.borrow();
        let heard_at = stalls.seen_at(life);
        let returned_at =
            cold.returned_at(life).filter(|at| heard_at.is_none_or(|heard| heard < *at));
        let out_at = stalls.unheard_stall(life).max(returned_at)?;
        let is_recent = now.saturating_duration_since(out_at) < RETURN_TIME;
        is_recent.then_some(ColdCause::Return)
    }

    /// Whether this node may send a request to a server now, as far as that may be cold.
    pub(crate) fn cold_permit(
        &self,
        now: Instant,
        life: &ServerLife,
        spec: ColdSpec,
    ) -> SendPermit {
        if self.cold_cause(now, life, spec).is_none() {
            return SendPermit::Unlimited;
        }
        if !self.was_running_for(now, self.settings.sender_settling_time) {
            return SendPermit::ColdWithheld;
        }
        let limit = KnownLimit { rate: spec.rate, stated_at: now };
        let senders = self.all_senders.borrow();
        let mut quotas = self.cold_quotas.borrow_mut();
        match quotas.permit(now, life, limit, &senders, rand::random()) {
            SendPermit::Quota => SendPermit::ColdQuota,
            _ => SendPermit::ColdWithheld,
        }
    }

    /// Records that this node sends a request to a server, or opens a connection to it for another
    /// node.
    pub(crate) fn record_cold_send(&self, now: Instant, life: &ServerLife, spec: ColdSpec) {
        if let Some(cause) = self.cold_cause(now, life, spec) {
            self.cold_quotas.borrow_mut().record_send(now, life);
            gateway_metrics::count_cold_send(cause);
        }
    }

    /// The number of servers that are cold.
    pub(crate) fn count_cold(&self, now: Instant) -> usize {
        let servers = self.servers.borrow();
        let is_cold = |life: &ServerLife, service: &ServiceName| {
            let spec = self.service_cold_spec(service);
            spec.is_some_and(|spec| self.cold_cause(now, life, spec).is_some())
        };
        servers.all().filter(|server| is_cold(&server.life, &server.service)).count()
    }
}

fn log_cold(life: &ServerLife, cause: ColdCause, left: Option<Duration>) {
    let cause: &'static str = cause.into();
    log::info!(server:% = life, cause = cause, left_ms = left.map(whole_ms); "limits: server is cold.");
}
