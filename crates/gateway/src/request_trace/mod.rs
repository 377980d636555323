//! Logs and metrics of one request.

mod outcomes;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_ports::Clock;
use comfreyturn_types::{ModelName, PromptPart, RequestId, RouteName, ServerLife, ServiceName};

use crate::{
    ForwardRequest,
    forward_attempt::{AttemptError, RetryRefusal},
    gateway_metrics::{AnswerLabels, count_attempt, count_resume, measure_prediction},
    gateway_state::GatewayState,
    node_snapshot::{age_ms, whole_ms},
};

/// Records the progress and the outcome of one request. Each outcome is one log line and one count;
/// a trace dropped without an outcome means that the caller left.
pub(crate) struct RequestTrace {
    state: Rc<GatewayState>,
    clock: Rc<dyn Clock>,
    request: RequestId,
    model: Option<ModelName>,
    shared_parts: Vec<PromptPart>,
    service: Option<ServiceName>,
    route: Option<RouteName>,
    labels: AnswerLabels,
    received_at: Instant,
    first_at: Cell<Option<Instant>>,

    /// When the last attempt started, and the predicted time to its first event.
    prediction: Cell<Option<(Instant, Duration)>>,

    /// When the last attempt started.
    attempted_at: Cell<Option<Instant>>,

    /// Number of attempts that reached a server.
    sent: Cell<u32>,

    /// The version of the configuration when the request came.
    config_version: Option<u64>,

    /// For how long the last silent server had sent nothing.
    silent_time: Cell<Option<Duration>>,

    /// Why no further attempt was made.
    retry_refusal: Cell<Option<RetryRefusal>>,

    /// The server of the last attempt.
    server: RefCell<Option<ServerLife>>,
    is_recorded: Cell<bool>,
}

impl RequestTrace {
    pub(crate) fn new(
        state: &Rc<GatewayState>,
        clock: &Rc<dyn Clock>,
        request: &ForwardRequest,
    ) -> Self {
        Self {
            state: state.clone(),
            clock: clock.clone(),
            request: request.id.clone(),
            model: request.model.clone(),
            shared_parts: request.shared_parts.clone(),
            service: None,
            route: None,
            labels: AnswerLabels::default(),
            received_at: request.received_at,
            first_at: Cell::new(None),
            prediction: Cell::new(None),
            attempted_at: Cell::new(None),
            sent: Cell::new(0),
            config_version: state.config.borrow().as_ref().map(|view| view.config.version),
            silent_time: Cell::new(None),
            retry_refusal: Cell::new(None),
            server: RefCell::default(),
            is_recorded: Cell::new(false),
        }
    }

    /// Records the service, route, customer and priority class of the request.
    pub(crate) fn routed(
        &mut self,
        service: &ServiceName,
        route: &RouteName,
        customer: String,
        class: Option<u8>,
    ) {
        self.service = Some(service.clone());
        self.route = Some(route.clone());
        let class = class.map_or_else(String::new, |class| class.to_string());
        self.labels = AnswerLabels { service: service.to_string(), customer, class };
    }

    // ---------------------------------------------------------------------------------------
    // Progress

    /// An attempt at a server starts, which makes `sent` of them.
    pub(crate) fn attempt_started(&self, life: &ServerLife, sent: u32) {
        self.sent.set(sent);
        self.attempted_at.set(Some(self.clock.now()));
        *self.server.borrow_mut() = Some(life.clone());
    }

    /// The first event of the attempt that starts now is predicted to arrive after `time`.
    pub(crate) fn predicted(&self, now: Instant, time: Option<Duration>) {
        self.prediction.set(time.map(|time| (now, time)));
    }

    /// A server was not reached, which leaves `sent` attempts.
    pub(crate) fn not_reached(&self, life: &ServerLife, sent: u32) {
        self.sent.set(sent);
        self.count_attempt("not-sent");
        log::info!(
            request:% = self.request,
            server:% = life,
            list_age_ms = age_ms(self.snapshot().list_age);
            "forward: server not reached."
        );
    }

    /// The server of the current attempt answers.
    pub(crate) fn answered(&self) {
        self.count_attempt("answered");
    }

    /// A server didn't answer, or its answer broke off.
    pub(crate) fn failed(&self, life: &ServerLife, error: AttemptError) {
        self.count_attempt(error.into());
        let now = self.clock.now();
        let last_seen = self.state.stalls.borrow().last_seen_age(now, life);
        log::info!(
            request:% = self.request,
            server:% = life,
            attempt = self.sent.get(),
            cause:% = error,
            parts = self.parts_text(),
            heard_age_ms = age_ms(last_seen),
            elapsed_ms = self.elapsed_ms();
            "forward: server failed."
        );
    }

    /// A server has sent nothing for this time.
    pub(crate) fn silent(&self, life: &ServerLife, time: Duration) {
        self.silent_time.set(Some(time));
        self.count_attempt("silent");
        log::info!(
            request:% = self.request,
            server:% = life,
            attempt = self.sent.get(),
            silent_ms = whole_ms(time),
            elapsed_ms = self.elapsed_ms();
            "forward: server silent."
        );
    }

    /// A server whose answer the caller receives was heard. After a silence, it goes on.
    pub(crate) fn heard(&self, life: &ServerLife) {
        if self.server.borrow().as_ref() == Some(life) {
            return;
        }
        *self.server.borrow_mut() = Some(life.clone());
        self.attempted_at.set(None);
        self.prediction.set(None);
        log::info!(
            request:% = self.request,
            server:% = life,
            silent_ms = age_ms(self.silent_time.get()),
            elapsed_ms = self.elapsed_ms();
            "forward: silent server goes on."
        );
    }

    /// No further attempt is made.
    pub(crate) fn retry_refused(&self, refusal: RetryRefusal) {
        self.retry_refusal.set(Some(refusal));
    }

    /// The stream is resumed at the server of the last attempt, after the event with this id.
    pub(crate) fn resumed(&self, after: Option<&str>) {
        if let Some(service) = &self.service {
            count_resume(service);
        }
        log::info!(
            request:% = self.request,
            server:% = self.server_text(),
            attempt = self.sent.get(),
            after = after,
            elapsed_ms = self.elapsed_ms();
            "forward: stream resumed."
        );
    }

    /// The first piece of the answer was received.
    pub(crate) fn first_piece(&self) {
        if self.first_at.get().is_none() {
            let now = self.clock.now();
            self.first_at.set(Some(now));
            self.labels.measure_first(now.saturating_duration_since(self.received_at));
            self.measure_prediction(now);
            if let (Some(route), Some(at)) = (&self.route, self.attempted_at.get()) {
                let time = now.saturating_duration_since(at);
                self.state.waiting.record_needed(route, time);
            }
        }
    }

    /// Records by how much the predicted time of the attempt was wrong.
    fn measure_prediction(&self, now: Instant) {
        let Some((started_at, predicted)) = self.prediction.get() else { return };
        let measured = now.saturating_duration_since(started_at);
        if let (Some(service), Some(route)) = (&self.service, &self.route) {
            measure_prediction(service, route, predicted, measured);
        }
        log::debug!(
            request:% = self.request,
            server:% = self.server_text(),
            predicted_ms = whole_ms(predicted),
            measured_ms = whole_ms(measured);
            "forward: first event was predicted."
        );
    }

    // ---------------------------------------------------------------------------------------
    // What several lines say

    fn count_attempt(&self, end: &'static str) {
        if let Some(service) = &self.service {
            count_attempt(service, end);
        }
    }

    fn snapshot(&self) -> crate::node_snapshot::NodeSnapshot {
        self.state.snapshot(self.clock.now())
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.received_at)
    }

    fn elapsed_ms(&self) -> u64 {
        whole_ms(self.elapsed())
    }

    /// The shared parts of the prompt, separated by commas; `None` if there are none.
    fn parts_text(&self) -> Option<String> {
        let parts: Vec<String> = self.shared_parts.iter().map(PromptPart::to_string).collect();
        (!parts.is_empty()).then(|| parts.join(","))
    }

    /// Why no further attempt was made.
    fn retry_text(&self) -> Option<&'static str> {
        self.retry_refusal.get().map(Into::into)
    }

    fn server_text(&self) -> String {
        self.server.borrow().as_ref().map_or_else(String::new, ServerLife::to_string)
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if self.is_recorded.get() {
            return;
        }
        self.record_time(false);
        self.end("caller-left", "");
        log::info!(
            request:% = self.request,
            service = self.labels.service,
            server:% = self.server_text(),
            attempts = self.sent.get(),
            elapsed_ms = self.elapsed_ms();
            "forward: caller left."
        );
    }
}
