//! Choice of the server for a request.

use std::time::{Duration, Instant};

use comfreyturn_policy::{ArrivalMeter, HeadCandidate, RequestDemand, SendPermit};
use comfreyturn_types::{FleetServer, ModelName, ServerLife, ServiceSpec};

use crate::{NotRunReason, gateway_state::GatewayState};

/// Averaging time of the arrival meters.
const ARRIVAL_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Mean age of the counts of another node that sends them directly, in periods of heartbeats.
const DIRECT_PERIODS: f64 = 0.5;

/// Mean age of the counts of a node that come over its relay and this node's: three times half a
/// period.
const RELAYED_PERIODS: f64 = 1.5;

/// Time from the sending of a heartbeat until its counts are used.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(10);

/// Why some servers are no candidates for a request.
#[derive(Clone, Copy, Debug, Default)]
struct Withheld {
    /// This node has used its part of a server's rate limit.
    by_limit: bool,

    /// A server is cold, and this node has used its part of what it tolerates.
    by_cold: bool,

    /// A server asked this node to wait.
    by_wait: bool,
}

impl Withheld {
    /// Why no server takes a request; `all` if none is a candidate.
    fn reason(self, all: bool) -> NotRunReason {
        match self {
            Self { by_wait: true, by_limit: false, by_cold: false } if all => {
                NotRunReason::ServersWait
            }
            Self { by_limit: true, .. } => NotRunReason::RateLimited,
            Self { by_cold: true, .. } => NotRunReason::ServersCold,
            Self { .. } => NotRunReason::NoRoom,
        }
    }
}

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
        demand: &RequestDemand,
    ) -> Result<FleetServer, NotRunReason> {
        self.refresh_loads();
        let mut candidates = self.candidates(service, model);
        if candidates.is_empty() && !self.heads(service, model, true).is_empty() {
            return Err(NotRunReason::Evacuated);
        }
        let retention = self.settings.stall_retention;
        let stalls = self.stalls.borrow();
        candidates.retain(|head| {
            !tried.contains(&head.life) && !stalls.is_stalled(now, &head.life, retention)
        });
        if candidates.is_empty() {
            return Err(NotRunReason::NoServer);
        }
        let rooms = self.rooms.borrow();
        // A server that turned requests away when it was full does not queue any.
        candidates.retain(|head| {
            rooms.room(now, &head.life).is_none_or(|room| head.running < room || urgent)
        });
        let mut withheld = Withheld::default();
        candidates.retain_mut(|head| match self.send_permit(now, &head.life, service.cold) {
            SendPermit::Unlimited | SendPermit::ColdQuota => true,
            SendPermit::Quota => {
                head.has_quota = true;
                true
            }
            SendPermit::Withheld => {
                withheld.by_limit = true;
                false
            }
            SendPermit::ColdWithheld => {
                withheld.by_cold = true;
                false
            }
            SendPermit::Waiting => {
                withheld.by_wait = true;
                false
            }
        });
        let reason = withheld.reason(candidates.is_empty());
        self.set_estimates(now, service, model, demand, &mut candidates);
        let unreported = self.unreported_requests(now, service, model);
        let picked = self.picker.pick(&candidates, unreported, rand::random(), urgent);
        let servers = self.servers.borrow();
        let head = picked.and_then(|picked| servers.get(&picked.life)).cloned();
        head.ok_or(reason)
    }

    /// Time until the first server that could take a request, and asked this node to wait, wants one
    /// again.
    pub(crate) fn first_wait_end(
        &self,
        now: Instant,
        service: &ServiceSpec,
        model: Option<&ModelName>,
    ) -> Duration {
        let waits = self.waits.borrow();
        let candidates = self.candidates(service, model);
        let ends = candidates.iter().map(|head| waits.time_to_next(now, &head.life));
        ends.min().unwrap_or_default()
    }

    /// Estimates the requests that other nodes have sent and this node doesn't know of yet. For a
    /// model it goes by their reports, for a plain service it assumes that they receive requests at
    /// the same rate as this node. Records an arrival here.
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
        let view = self.view.borrow();
        let peers = view.peers.alive(now, self.settings.peer_timeouts).count();
        #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
        let elsewhere = match model {
            Some(model) => view.arrival_rate(model),
            None => meter.rate(now) * peers as f64,
        };
        let is_direct = peers < self.settings.relays.direct_limit;
        let hops = if is_direct { DIRECT_PERIODS } else { RELAYED_PERIODS };
        let age = self.settings.heartbeat_period.mul_f64(hops) + HEARTBEAT_DELAY;
        elsewhere * age.as_secs_f64()
    }

    /// The servers of a plain service, or the heads of the groups that serve a model. Not those in
    /// evacuated failure domains, nor groups with a member there.
    pub(crate) fn candidates(
        &self,
        service: &ServiceSpec,
        model: Option<&ModelName>,
    ) -> Vec<HeadCandidate> {
        self.heads(service, model, false)
    }

    /// The servers of a plain service, or the heads of the groups that serve a model: with
    /// `evacuated` those to which nothing new may be sent because of an evacuation, else the others.
    fn heads(
        &self,
        service: &ServiceSpec,
        model: Option<&ModelName>,
        evacuated: bool,
    ) -> Vec<HeadCandidate> {
        let mut servers = self.servers.borrow_mut();
        let mut delay = self.delays(service);
        let mut candidate = |head: &FleetServer, slots: u32| HeadCandidate {
            life: head.life.clone(),
            running: self.loads.running(&head.life),
            slots: slots.max(1),
            distance: delay(&head.failure_domain),
            has_quota: false,
            estimate: None,
        };
        let leaving = self.leaving_servers.borrow();
        let stays = |head: &&FleetServer| !leaving.contains(&head.life);
        let Some(engine) = &service.engine else {
            let plain = servers.plain(&service.name).filter(stays);
            let plain = plain.filter(|head| self.is_evacuated(head) == evacuated);
            return plain.map(|head| candidate(head, head.slots)).collect();
        };
        let groups = servers.serving_groups(&service.name, engine);
        let serving = groups.iter().filter(|group| {
            model.is_none_or(|model| group.model.name == *model)
                && !self.has_lost(group.members.iter().flatten().copied())
        });
        let unlisted = self.groups_with_evacuated_unlisted();
        let serving = serving.filter(|group| {
            let is_evacuated = group.members.iter().flatten().any(|m| self.is_evacuated(m))
                || unlisted.contains(&(group.group.clone(), group.epoch));
            is_evacuated == evacuated
        });
        let heads = serving.filter_map(|group| group.head()).filter(stays);
        heads.map(|head| candidate(head, engine.slots)).collect()
    }
}
