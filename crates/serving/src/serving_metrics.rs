//! Histograms and counters of requests. Labels are limited to configured names and enums, so that
//! the number of series is bounded.

use std::time::Duration;

use comfreyturn_types::CustomerName;

use comfreyturn_policy::PriorityClass;

use crate::Refusal;

const FIRST_TOKEN: &str = "comfreyturn_first_token_seconds";
const BETWEEN_TOKENS: &str = "comfreyturn_between_tokens_seconds";
const WHOLE_ANSWER: &str = "comfreyturn_whole_answer_seconds";
const ANSWERS: &str = "comfreyturn_answers_total";
const REFUSALS: &str = "comfreyturn_refusals_total";
const RETRIES: &str = "comfreyturn_retries_total";
const RESUMES: &str = "comfreyturn_resumes_total";
const CANCELS: &str = "comfreyturn_cancels_total";
const CRASHES: &str = "comfreyturn_suspect_deaths_total";

/// Metrics of the requests of one customer and class.
#[derive(Clone, Debug)]
pub(crate) struct ServingMetrics {
    customer: String,
    class: &'static str,
}

impl ServingMetrics {
    /// `customer` must be a configured one, so that the label stays bounded.
    pub(crate) fn new(customer: &CustomerName, class: PriorityClass) -> Self {
        Self { customer: customer.to_string(), class: class.into() }
    }

    pub(crate) fn first_token(&self, elapsed: Duration) {
        self.histogram(FIRST_TOKEN, elapsed);
    }

    pub(crate) fn between_tokens(&self, elapsed: Duration) {
        self.histogram(BETWEEN_TOKENS, elapsed);
    }

    pub(crate) fn whole_answer(&self, elapsed: Duration) {
        self.histogram(WHOLE_ANSWER, elapsed);
        self.count(ANSWERS);
    }

    pub(crate) fn refused(&self, refusal: &Refusal) {
        let reason: &'static str = refusal.reason.into();
        let outcome: &'static str = refusal.outcome.into();
        metrics::counter!(
            REFUSALS,
            "customer" => self.customer.clone(),
            "class" => self.class,
            "outcome" => outcome,
            "reason" => reason
        )
        .increment(1);
    }

    pub(crate) fn retried(&self) {
        self.count(RETRIES);
    }

    pub(crate) fn resumed(&self) {
        self.count(RESUMES);
    }

    pub(crate) fn cancelled(&self) {
        self.count(CANCELS);
    }

    pub(crate) fn crashed(&self) {
        self.count(CRASHES);
    }

    fn histogram(&self, name: &'static str, elapsed: Duration) {
        metrics::histogram!(name, "customer" => self.customer.clone(), "class" => self.class)
            .record(elapsed.as_secs_f64());
    }

    fn count(&self, name: &'static str) {
        metrics::counter!(name, "customer" => self.customer.clone(), "class" => self.class)
            .increment(1);
    }
}
