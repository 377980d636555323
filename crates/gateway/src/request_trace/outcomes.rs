//! Outcomes of requests.

use std::time::Duration;

use comfreyturn_types::ModelName;
use http::StatusCode;

use super::RequestTrace;
use crate::{
    DeniedReason, NotRunReason, UnknownReason,
    forward_attempt::AttemptError,
    node_snapshot::{age_ms, whole_ms},
};

impl RequestTrace {
    /// A server's answer was received completely.
    pub(crate) fn served(&self, status: StatusCode) {
        if !status.is_success() {
            self.prediction.set(None);
        }
        self.first_piece();
        self.labels.measure_whole(self.elapsed());
        self.record_time(status.is_success());
        self.end("served", "");
        let first = self.first_at.get().map(|at| at.saturating_duration_since(self.received_at));
        log::info!(
            request:% = self.request,
            service = self.labels.service,
            customer = self.labels.customer,
            server:% = self.server_text(),
            status = status.as_u16(),
            attempts = self.sent.get(),
            first_ms = age_ms(first),
            elapsed_ms = self.elapsed_ms();
            "forward: request served."
        );
    }

    /// The request was not run, and will not be.
    pub(crate) fn not_run(&self, reason: NotRunReason, retry_after: Duration) {
        self.end("not-run", reason.into());
        let snapshot = self.snapshot();
        let now = self.clock.now();
        let capacity = self.service.as_ref();
        let capacity =
            capacity.map(|service| self.state.capacity(now, service, self.model.as_ref()));
        let capacity = capacity.unwrap_or_default();
        log::info!(
            request:% = self.request,
            reason:% = reason,
            service = self.labels.service,
            customer = self.labels.customer,
            model = self.model.as_ref().map(ModelName::as_str),
            attempts = self.sent.get(),
            elapsed_ms = self.elapsed_ms(),
            retry_after_ms = whole_ms(retry_after),
            heads = capacity.heads,
            stalled = capacity.stalled,
            running = capacity.running,
            slots = capacity.slots,
            list_version:% = snapshot.list_version,
            list_age_ms = age_ms(snapshot.list_age),
            config_version = snapshot.config_version,
            config_age_ms = age_ms(snapshot.config_age),
            peers = snapshot.peers;
            "forward: request not run."
        );
    }

    /// The request is not allowed.
    pub(crate) fn denied(&self, reason: DeniedReason) {
        self.end("denied", reason.into());
        let snapshot = self.snapshot();
        log::info!(
            request:% = self.request,
            reason:% = reason,
            config_version = snapshot.config_version,
            config_age_ms = age_ms(snapshot.config_age);
            "forward: request denied."
        );
    }

    /// It is unknown whether the request ran.
    pub(crate) fn unknown(&self, reason: UnknownReason, cause: AttemptError) {
        self.record_time(false);
        self.end("unknown", reason.into());
        let snapshot = self.snapshot();
        log::warn!(
            request:% = self.request,
            reason:% = reason,
            cause:% = cause,
            service = self.labels.service,
            customer = self.labels.customer,
            server:% = self.server_text(),
            attempts = self.sent.get(),
            retry = self.retry_text(),
            silent_ms = age_ms(self.silent_time.get()),
            received_config = self.config_version,
            config_version = snapshot.config_version,
            is_leaving = self.state.leaving.get(),
            elapsed_ms = self.elapsed_ms();
            "forward: outcome unknown."
        );
    }

    /// The stream broke after the caller received a part of it.
    pub(crate) fn broken(&self, cause: AttemptError) {
        self.record_time(false);
        self.end("broken", cause.into());
        let snapshot = self.snapshot();
        log::warn!(
            request:% = self.request,
            cause:% = cause,
            service = self.labels.service,
            customer = self.labels.customer,
            server:% = self.server_text(),
            attempts = self.sent.get(),
            retry = self.retry_text(),
            silent_ms = age_ms(self.silent_time.get()),
            received_config = self.config_version,
            config_version = snapshot.config_version,
            is_leaving = self.state.leaving.get(),
            elapsed_ms = self.elapsed_ms();
            "forward: stream broken."
        );
    }

    /// Records how long the request took, for the decision whether another one can be done in time.
    pub(super) fn record_time(&self, is_served: bool) {
        let Some(route) = &self.route else { return };
        let (now, time) = (self.clock.now(), self.elapsed());
        let mut times = self.state.run_times.borrow_mut();
        if is_served {
            times.record(now, route, time);
        } else {
            times.record_unserved(now, route, time);
        }
    }

    pub(super) fn end(&self, outcome: &'static str, reason: &'static str) {
        self.is_recorded.set(true);
        self.labels.count_end(outcome, reason);
    }
}
