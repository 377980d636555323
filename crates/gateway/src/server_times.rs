//! Predicted times to the first event, and the measured pace of servers.

use std::time::{Duration, Instant};

use comfreyturn_policy::{
    FirstEventEstimate, HeadCandidate, RequestDemand, ServerLoad, TimeEstimator,
};
use comfreyturn_types::{FailureDomain, FleetServer, ModelName, ServerLife, ServiceSpec};

use crate::{forward_run::ForwardRun, gateway_state::GatewayState, load_tracker::ReadingGuard};

/// A read that takes less than this found data that had arrived before. Its time says how fast the
/// caller reads, not how fast the server writes.
const LEAST_WAIT: Duration = Duration::from_millis(1);

/// When events of a stream arrived, as far as it is known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventTimes {
    /// When the last event arrived, and the prompt tokens that its server had to read then. `None`
    /// if the event had arrived before it was read.
    last: Option<(Instant, u32)>,
}

impl EventTimes {
    /// Records an event that was waited for from `asked_at` until `now`. Returns the time since the
    /// event before and the larger number of unread tokens, if both are known.
    fn record(&mut self, asked_at: Instant, now: Instant, unread: u32) -> Option<(Duration, u32)> {
        let waited = now.saturating_duration_since(asked_at);
        let last = self.last;
        if waited < LEAST_WAIT {
            // The rest of a group of events that were sent at once keeps the time of the first one.
            self.last = last.filter(|(at, _)| now.saturating_duration_since(*at) < LEAST_WAIT);
            return None;
        }
        self.last = Some((now, unread));
        last.map(|(at, before)| (now.saturating_duration_since(at), before.max(unread)))
    }
}

impl GatewayState {
    /// The one-way delays from this node to some failure domains, looked up once for each.
    pub(crate) fn delays<'a>(
        &'a self,
        service: &'a ServiceSpec,
    ) -> impl FnMut(&FailureDomain) -> Duration + use<'a> {
        let times = service.engine.as_ref().and_then(|engine| engine.times.as_ref());
        let mut known: Vec<(FailureDomain, Duration)> = Vec::new();
        move |domain: &FailureDomain| {
            let Some(times) = times else { return Duration::ZERO };
            if let Some((_, delay)) = known.iter().find(|(known, _)| known == domain) {
                return *delay;
            }
            let delay = times.delay(&self.failure_domain, domain);
            known.push((domain.clone(), delay));
            delay
        }
    }

    /// Sets the predicted times of candidates, if the engine's timing is known.
    pub(crate) fn set_estimates(
        &self,
        now: Instant,
        service: &ServiceSpec,
        model: Option<&ModelName>,
        demand: &RequestDemand,
        candidates: &mut [HeadCandidate],
    ) {
        let Some(estimator) = estimator(service, model) else { return };
        for candidate in candidates {
            let load = ServerLoad {
                running: candidate.running,
                slots: candidate.slots,
                unread: f64::from(self.loads.unread(&candidate.life)),
                pace: self.pace(now, &candidate.life),
                distance: candidate.distance,
            };
            candidate.estimate = Some(estimator.estimate(&load, demand));
        }
    }

    /// Predicts the time to the first event of a request that is sent to a server now; `None` if the
    /// engine's timing is not known.
    pub(crate) fn predict_first_event(
        &self,
        now: Instant,
        service: &ServiceSpec,
        model: Option<&ModelName>,
        server: &FleetServer,
        demand: &RequestDemand,
    ) -> Option<FirstEventEstimate> {
        let estimator = estimator(service, model)?;
        let engine = service.engine.as_ref()?;
        let load = ServerLoad {
            running: self.loads.running(&server.life),
            slots: engine.slots.max(1),
            unread: f64::from(self.loads.unread(&server.life)),
            pace: self.pace(now, &server.life),
            distance: self.delays(service)(&server.failure_domain),
        };
        Some(estimator.estimate(&load, demand))
    }

    /// The measured pace of a server: the mean of what this node and the others measured, weighted
    /// by their requests there; 1 if nobody measured it lately.
    fn pace(&self, now: Instant, life: &ServerLife) -> f64 {
        let own = self.paces.borrow().pace(now, life);
        let others = self.others_paces.borrow().get(life).copied();
        match (own, others) {
            (Some(own), Some(others)) => {
                let (own_running, others_running) = self.loads.split_running(life);
                let weight = f64::from(own_running.max(1));
                let others_weight = f64::from(others_running.max(1));
                (own * weight + others * others_weight) / (weight + others_weight)
            }
            (own, others) => own.or(others).unwrap_or(1.0),
        }
    }
}

impl ForwardRun {
    /// What the request asks of a server.
    pub(crate) fn demand(&self) -> RequestDemand {
        RequestDemand {
            tokens: self.request.token_counts,
            is_whole: !self.route.kind.is_stream(),
            longest_pause: self.route.longest_pause,
        }
    }

    /// Records the predicted time of an attempt that starts now, and counts its prompt as unread
    /// until the guard is dropped. Does nothing if the engine's timing is not known.
    pub(crate) fn start_reading(&self, now: Instant, server: &FleetServer) -> Option<ReadingGuard> {
        let (model, demand) = (self.request.model.as_ref(), self.demand());
        let estimate = self.state.predict_first_event(now, &self.service, model, server, &demand);
        self.trace.predicted(now, estimate.map(|estimate| estimate.time));
        let tokens = estimator(&self.service, model)?.prompt_tokens(&demand);
        Some(self.state.loads.start_reading(&server.life, tokens))
    }

    /// Records that an event of a stream arrived that was waited for from `asked_at` until `now`.
    pub(crate) fn record_event_time(
        &self,
        times: &mut EventTimes,
        life: &ServerLife,
        asked_at: Instant,
        now: Instant,
    ) {
        let Some(engine) = self.service.engine.as_ref() else { return };
        let Some(estimator) = estimator(&self.service, self.request.model.as_ref()) else { return };
        let loads = &self.state.loads;
        if let Some((measured, unread)) = times.record(asked_at, now, loads.unread(life)) {
            let running = loads.running(life);
            let expected = estimator.event_pause(running, engine.slots, f64::from(unread));
            self.state.paces.borrow_mut().record(now, life, measured, expected);
        }
    }
}

/// The estimator of a model; `None` if the timing of the engine is not known.
fn estimator(service: &ServiceSpec, model: Option<&ModelName>) -> Option<TimeEstimator> {
    let engine = service.engine.as_ref()?;
    let times = engine.times.as_ref()?;
    let model = model.and_then(|name| engine.models.iter().find(|model| model.name == *name));
    Some(TimeEstimator::new(times, model.map_or(1.0, |model| model.pace)))
}
