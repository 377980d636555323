//! Choice of the server for a request.

use std::time::{Duration, Instant};

use comfreyturn_policy::{ArrivalMeter, HeadCandidate};
use comfreyturn_types::{FleetServer, ModelName, ServerLife, ServiceSpec};

use crate::{NotRunReason, gateway_state::GatewayState};

/// Averaging time of the arrival meters.
const ARRIVAL_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Time from the sending of a heartbeat until its counts are used.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(10);

impl GatewayState {
    /// Picks the server for a request, except those in `tried`. An urgent request, such as one that
    /// resumes a stream, is sent to the best server even if that one is full.
    pub(crate) fn pick(
        &self,
        now: Instant,
        service: &ServiceSpec,
        model: Option<&ModelName>,
        tried: &[ServerLife],
        urgent: bool,
    ) -> Result<FleetServer, NotRunReason> {
        let mut candidates = self.candidates(service, model);
        let retention = self.settings.stall_retention;
        let stalls = self.stalls.borrow();
        candidates.retain(|head| {
            !tried.contains(&head.life) && !stalls.is_stalled(now, &head.life, retention)
        });
        if candidates.is_empty() {
            return Err(NotRunReason::NoServer);
        }
        let unreported = self.unreported_requests(now, service, model);
        let picked = self.picker.pick(&candidates, unreported, rand::random(), urgent);
        let servers = self.servers.borrow();
        let head = picked.and_then(|picked| servers.get(&picked.life)).cloned();
        head.ok_or(NotRunReason::NoRoom)
    }

    /// Estimates the requests that other nodes have sent since they last reported their counts,
    /// assuming that they receive requests at the same rate as this node. Records an arrival here.
    fn unreported_requests(
        &self,
        now: Instant,
        service: &ServiceSpec,
        model: Option<&ModelName>,
    ) -> f64 {
        let mut arrivals = self.arrivals.borrow_mut();
        let meter = arrivals
            .entry((service.name.clone(), model.cloned()))
            .or_insert_with(|| ArrivalMeter::new(ARRIVAL_AVERAGING_TIME));
        meter.record(now);
        let timeout = self.scale_by_peers(self.settings.peer_timeout);
        let peers = self.peers.borrow().alive(now, timeout).count();
        let age = self.scale_by_peers(self.settings.heartbeat_period) / 2 + HEARTBEAT_DELAY;
        #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
        let elsewhere = meter.rate(now) * peers as f64;
        elsewhere * age.as_secs_f64()
    }

    /// The servers of a plain service, or the heads of the groups that serve a model.
    pub(crate) fn candidates(
        &self,
        service: &ServiceSpec,
        model: Option<&ModelName>,
    ) -> Vec<HeadCandidate> {
        let mut servers = self.servers.borrow_mut();
        let candidate = |head: &FleetServer, slots: u32| HeadCandidate {
            life: head.life.clone(),
            running: self.loads.running(&head.life),
            slots: slots.max(1),
            distance: Duration::ZERO,
        };
        let Some(engine) = &service.engine else {
            return servers.plain(&service.name).map(|head| candidate(head, head.slots)).collect();
        };
        let groups = servers.serving_groups(&service.name, engine);
        let serving = groups.iter().filter(|group| {
            model.is_none_or(|model| group.model.name == *model)
                && !self.has_lost(group.members.iter().flatten().copied())
        });
        serving.filter_map(|group| Some(candidate(group.head()?, engine.slots))).collect()
    }
}
