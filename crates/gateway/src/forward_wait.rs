//! Choice of a request's server, for which it may have to wait.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{DEFAULT_PRIORITY, WaitingKey, WaitingRequest};
use comfreyturn_ports::Clock;
use comfreyturn_types::FleetServer;

use crate::{
    NotRunReason, config_view::LEAST_PRIORITY, forward_attempt::AttemptError,
    forward_run::ForwardRun, gateway_metrics::count_wait, gateway_state::GatewayState,
    node_snapshot::whole_ms, waiting_requests::WaitEnd,
};

/// Callers give up a stream without a first event after the longest of this time, a multiple of the
/// objective, and a multiple of the longest pause.
const ABANDON_TIME: Duration = Duration::from_secs(2);
const ABANDON_OBJECTIVES: u32 = 4;
const ABANDON_PAUSES: u32 = 8;

/// The time that a request needs counts as at most the objective divided by this. The measured times
/// include waits at servers, which become shorter as requests wait here.
const NEEDED_OBJECTIVE_DIVISOR: u32 = 2;

/// Records when an answered request leaves its server.
pub(crate) struct FinishGuard {
    state: Rc<GatewayState>,
    clock: Rc<dyn Clock>,
    key: WaitingKey,
}

impl Drop for FinishGuard {
    fn drop(&mut self) {
        self.state.waiting.record_finish(self.clock.now(), &self.key);
    }
}

impl ForwardRun {
    /// Picks a server for the next attempt. If none has a free place, waits for one if the request
    /// may wait. Requests that arrive do not pass those that wait.
    pub(crate) async fn choose(&self, urgent: bool) -> Result<FleetServer, AttemptError> {
        let key = self.waiting_key();
        let may_wait = !urgent && self.may_wait();
        let mut is_released = false;
        loop {
            let now = self.now();
            self.check_sendable(now)?;
            let must_wait = may_wait && !is_released && self.state.waiting.has_in_time(&key);
            if !must_wait {
                let model = self.request.model.as_ref();
                let demand = self.demand();
                let tried = self.progress.tried.borrow().clone();
                match self.state.pick(now, &self.service, model, &tried, urgent, &demand) {
                    Ok(server) => return Ok(server),
                    Err(NotRunReason::NoRoom) if may_wait => {}
                    Err(reason) => return Err(AttemptError::NotMade(reason)),
                }
            }
            self.await_place(now, &key).await.map_err(AttemptError::NotMade)?;
            is_released = true;
        }
    }

    /// Waits until a place is free.
    async fn await_place(&self, now: Instant, key: &WaitingKey) -> Result<(), NotRunReason> {
        let request = self.waiting_request();
        if !self.state.waiting.is_awaited(key) {
            self.state.update_peers_waiting_for(now, key);
        }
        let end = self.state.waiting.wait(now, key, request).await;
        let waited = self.now().saturating_duration_since(now);
        let text: &'static str = match end {
            WaitEnd::Refused(refusal) => refusal.into(),
            WaitEnd::Released { .. } | WaitEnd::ServiceRemoved | WaitEnd::Stopped => end.into(),
        };
        count_wait(&self.service.name, text, waited);
        let result = match end {
            WaitEnd::Released { is_late } => {
                self.progress.is_late.set(is_late);
                Ok(())
            }
            WaitEnd::Refused(_) if waited.is_zero() => Err(NotRunReason::NoRoom),
            WaitEnd::Refused(_) => Err(NotRunReason::WaitEnded),
            WaitEnd::ServiceRemoved => Err(NotRunReason::NoServer),
            WaitEnd::Stopped => Err(NotRunReason::Leaving),
        };
        log::debug!(
            request:% = self.request.id,
            end = text,
            late = self.progress.is_late.get(),
            waited_ms = whole_ms(waited);
            "forward: request waited."
        );
        result
    }

    /// Whether the request waits if there is no free place: only where the configuration states an
    /// objective, and not if its caller resumes a stream.
    fn may_wait(&self) -> bool {
        let is_enabled = self.state.settings.waiting.max_requests > 0;
        let has_objective = self.route.objective < self.route.timeout;
        is_enabled && has_objective && self.request.resume_after.is_none()
    }

    fn waiting_key(&self) -> WaitingKey {
        WaitingKey { service: self.service.name.clone(), model: self.request.model.clone() }
    }

    fn waiting_request(&self) -> WaitingRequest {
        let route = &self.route;
        let objective = route.objective;
        let received_at = self.request.received_at;
        let mut limit_at = self.ends_at();
        if route.kind.is_stream() {
            let pause = route.longest_pause.unwrap_or_default();
            let patience = ABANDON_TIME
                .max(objective.saturating_mul(ABANDON_OBJECTIVES))
                .max(pause.saturating_mul(ABANDON_PAUSES));
            limit_at = limit_at.min(received_at + patience);
        }
        let most = objective / NEEDED_OBJECTIVE_DIVISOR;
        WaitingRequest {
            kind: route.name.clone(),
            customer: self.customer.clone(),
            priority: self.priority.unwrap_or(DEFAULT_PRIORITY),
            objective,
            objective_at: received_at + objective,
            limit_at,
            needed: self.state.waiting.needed(&route.name, most),
            bytes: self.request.body.len() + self.request.target.len(),
        }
    }

    /// The priority at the server. A late request is less urgent than those in time.
    pub(crate) fn sent_priority(&self) -> Option<u8> {
        let is_late = self.progress.is_late.get();
        self.priority.map(|priority| if is_late { LEAST_PRIORITY } else { priority })
    }

    pub(crate) fn finish_guard(&self) -> FinishGuard {
        let (state, clock) = (self.state.clone(), self.ports.clock.clone());
        FinishGuard { state, clock, key: self.waiting_key() }
    }
}
