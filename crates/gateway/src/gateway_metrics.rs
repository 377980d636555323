//! Counters and histograms of a gateway. Label values are names from the configuration and enum
//! values, so their number is bounded.

use std::time::Duration;

use comfreyturn_policy::ColdCause;
use comfreyturn_ports::{FleetAction, OrderOutcome};
use comfreyturn_types::{RouteName, ServiceName};
use metrics::{counter, gauge, histogram};

const REQUESTS: &str = "comfreyturn_requests_total";
const ATTEMPTS: &str = "comfreyturn_attempts_total";
const LIMITED_SENDS: &str = "comfreyturn_limited_sends_total";
const COLD_SENDS: &str = "comfreyturn_cold_sends_total";
const REQUESTED_WAITS: &str = "comfreyturn_requested_waits_total";
const WAITS: &str = "comfreyturn_waits_total";
const WAIT_SECONDS: &str = "comfreyturn_wait_seconds";
const RESUMES: &str = "comfreyturn_resumes_total";
const RETRIES: &str = "comfreyturn_retries_total";
const RETRY_SLACK: &str = "comfreyturn_retry_slack";
const ORDERS: &str = "comfreyturn_orders_total";
const REGRESSED_ENTRIES: &str = "comfreyturn_regressed_entries_total";
const FIRST_PIECE: &str = "comfreyturn_first_piece_seconds";
const WHOLE_ANSWER: &str = "comfreyturn_whole_answer_seconds";
const PREDICTION_ERROR: &str = "comfreyturn_prediction_error_seconds";

/// Customers with a label value of their own; the others share [`OTHER_LABEL`].
pub(crate) const LABELLED_CUSTOMERS: usize = 50;

/// The label value of customers without one of their own.
pub(crate) const OTHER_LABEL: &str = "other";

/// Labels of the metrics of answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerLabels {
    pub(crate) service: String,
    pub(crate) customer: String,
    pub(crate) class: String,
}

impl AnswerLabels {
    /// Counts a finished request.
    pub(crate) fn count_end(&self, outcome: &'static str, reason: &'static str) {
        let Self { service, customer, class } = self.clone();
        counter!(
            REQUESTS,
            "service" => service,
            "customer" => customer,
            "class" => class,
            "outcome" => outcome,
            "reason" => reason
        )
        .increment(1);
    }

    /// Records the time to the first piece of an answer.
    pub(crate) fn measure_first(&self, elapsed: Duration) {
        self.measure(FIRST_PIECE, elapsed);
    }

    /// Records the time to the end of an answer.
    pub(crate) fn measure_whole(&self, elapsed: Duration) {
        self.measure(WHOLE_ANSWER, elapsed);
    }

    fn measure(&self, name: &'static str, elapsed: Duration) {
        let Self { service, customer, class } = self.clone();
        histogram!(name, "service" => service, "customer" => customer, "class" => class)
            .record(elapsed.as_secs_f64());
    }
}

/// Counts a finished attempt by how it ended.
pub(crate) fn count_attempt(service: &ServiceName, end: &'static str) {
    counter!(ATTEMPTS, "service" => service.to_string(), "end" => end).increment(1);
}

/// Records by how much the predicted time to the first event differs from the measured one.
pub(crate) fn measure_prediction(
    service: &ServiceName,
    route: &RouteName,
    predicted: Duration,
    measured: Duration,
) {
    let side = if measured > predicted { "later" } else { "earlier" };
    histogram!(
        PREDICTION_ERROR,
        "service" => service.to_string(),
        "route" => route.to_string(),
        "side" => side
    )
    .record(measured.abs_diff(predicted).as_secs_f64());
}

/// Counts an attempt at a server that stated a rate limit.
pub(crate) fn count_limited_send(service: &ServiceName) {
    counter!(LIMITED_SENDS, "service" => service.to_string()).increment(1);
}

/// Counts an attempt at a cold server, or a connection to one for another node.
pub(crate) fn count_cold_send(cause: ColdCause) {
    let cause: &'static str = cause.into();
    counter!(COLD_SENDS, "cause" => cause).increment(1);
}

/// Counts an answer of a server that asked this node to wait.
pub(crate) fn count_requested_wait() {
    counter!(REQUESTED_WAITS).increment(1);
}

/// Counts a request that found no free place, and how long it waited for one.
pub(crate) fn count_wait(service: &ServiceName, end: &'static str, waited: Duration) {
    counter!(WAITS, "service" => service.to_string(), "end" => end).increment(1);
    histogram!(WAIT_SECONDS, "service" => service.to_string(), "end" => end)
        .record(waited.as_secs_f64());
}

/// Counts a stream that was resumed at another server.
pub(crate) fn count_resume(service: &ServiceName) {
    counter!(RESUMES, "service" => service.to_string()).increment(1);
}

/// Counts a retry that was asked of the retry budget.
pub(crate) fn count_retry(service: &ServiceName, is_allowed: bool) {
    let result = if is_allowed { "taken" } else { "refused" };
    counter!(RETRIES, "service" => service.to_string(), "result" => result).increment(1);
}

/// Sets this node's part of the retries that all nodes may make in addition to a share of requests.
pub(crate) fn set_retry_slack(slack: f64) {
    gauge!(RETRY_SLACK).set(slack);
}

/// Counts an order; `None` means that the server didn't answer.
pub(crate) fn count_order(action: &FleetAction, outcome: Option<OrderOutcome>) {
    let action: &'static str = action.into();
    let outcome: &'static str = outcome.map_or("no-answer", Into::into);
    counter!(ORDERS, "action" => action, "outcome" => outcome).increment(1);
}

/// Counts entries of a restored list that show an older group than the entries before, or none.
pub(crate) fn count_regressed_entries(count: usize) {
    counter!(REGRESSED_ENTRIES).increment(u64::try_from(count).unwrap_or(u64::MAX));
}
