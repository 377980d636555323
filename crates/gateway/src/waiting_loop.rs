//! Release of waiting requests into places that become free.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{FreePlaces, PeersWaiting, SendPermit, WaitingKey};
use comfreyturn_types::ServiceSpec;
use futures_util::future::{Either, select};

use crate::{Gateway, gateway_state::GatewayState};

/// Least pause between two checks of the time limits of waiting requests.
const LEAST_PAUSE: Duration = Duration::from_millis(5);

impl Gateway {
    /// Releases waiting requests: once in each period of heartbeats into the free places known by
    /// then, and in between into those of requests that finish here. Never returns.
    pub(crate) async fn release_waiting(self: Rc<Self>) {
        let Self { state, ports, .. } = &*self;
        let period = state.settings.heartbeat_period;
        let mut period_ends_at = ports.clock.now();
        loop {
            if state.waiting.room.borrow().is_empty() {
                state.waiting.changed().await;
                state.waiting.take_finished();
                let now = ports.clock.now();
                state.update_waiting_peers(now);
                period_ends_at = period_ends_at.max(now + period);
                continue;
            }
            let now = ports.clock.now();
            let timer = state.waiting.room.borrow().next_timer();
            let wake_at = timer.map_or(period_ends_at, |timer| timer.min(period_ends_at));
            let pause = wake_at.saturating_duration_since(now).max(LEAST_PAUSE);
            let changed = std::pin::pin!(state.waiting.changed());
            match select(changed, ports.clock.sleep(pause)).await {
                Either::Left(_) | Either::Right(_) => {}
            }
            let now = ports.clock.now();
            let mut since = Duration::ZERO;
            if now >= period_ends_at {
                since = period;
                period_ends_at = now + period;
                state.update_waiting_peers(now);
            }
            state.release_waiting(now, since);
        }
    }
}

impl GatewayState {
    /// Releases waiting requests into all free places, or, if `since` is zero, only into those of
    /// requests that finished here.
    fn release_waiting(&self, now: Instant, since: Duration) {
        let finished = self.waiting.take_finished();
        self.refresh_loads();
        let view = self.config.borrow().clone();
        let services = view.as_ref().map(|view| &view.config.services);
        for key in self.waiting.keys() {
            let Some(service) = services.and_then(|services| services.get(&key.service)) else {
                self.waiting.end_removed(&key);
                continue;
            };
            let mut free = self.free_places(now, service, &key);
            if since.is_zero() {
                let finished = finished.get(&key).copied().unwrap_or_default();
                free.all = free.all.min(finished);
                free.spare = free.spare.min(finished);
            }
            self.waiting.release(now, &key, free, since);
        }
    }

    /// Places free for requests that wait, at all servers that take them.
    fn free_places(&self, now: Instant, service: &ServiceSpec, key: &WaitingKey) -> FreePlaces {
        let retention = self.settings.stall_retention;
        let share = self.settings.waiting.late_slot_share;
        let mut free = FreePlaces::default();
        for head in self.candidates(service, key.model.as_ref()) {
            if self.stalls.borrow().is_stalled(now, &head.life, retention) {
                continue;
            }
            let places = |most: u32| most.saturating_sub(head.running);
            let mut all = places(self.picker.places(&head));
            if let Some(room) = self.rooms.borrow().room(now, &head.life) {
                all = all.min(places(room));
            }
            match self.send_permit(now, &head.life, service.cold) {
                SendPermit::Unlimited => {}
                SendPermit::Quota | SendPermit::ColdQuota => all = all.min(1),
                SendPermit::Withheld | SendPermit::ColdWithheld | SendPermit::Waiting => continue,
            }
            free.all += all;
            free.spare += all.min(places(part_of(head.slots, share)));
        }
        let unsent = self.waiting.unsent(key);
        FreePlaces {
            all: free.all.saturating_sub(unsent),
            spare: free.spare.saturating_sub(unsent),
        }
    }

    /// Applies what other nodes report about their waiting requests, for all servers that requests
    /// wait for here.
    fn update_waiting_peers(&self, now: Instant) {
        for key in self.waiting.keys() {
            self.update_peers_waiting_for(now, &key);
        }
    }

    /// Applies what other nodes report about the requests that wait for some servers.
    pub(crate) fn update_peers_waiting_for(&self, now: Instant, key: &WaitingKey) {
        let view = self.view.borrow();
        let heard = view.peers.alive(now, self.settings.peer_timeouts).count();
        #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
        let (heard, known) = (heard as f64, view.peers.len() as f64);
        let others = if heard > 0.0 { heard } else { known };
        let even = 1.0 / (others + 1.0);
        let mut room = self.waiting.room.borrow_mut();
        let peers = match &key.model {
            Some(model) => {
                let rate = view.waiting_rate(model);
                let largest_part = if heard > 0.0 { 1.0 } else { even };
                let (requests, finish_rate) = (rate.waiting, rate.finished);
                PeersWaiting {
                    requests,
                    finish_rate,
                    shares_finished: true,
                    even_part: even,
                    largest_part,
                }
            }
            // Heartbeats count by model only.
            None => PeersWaiting {
                requests: 0.0,
                finish_rate: room.finish_rate(now, key) * heard,
                shares_finished: false,
                even_part: even,
                largest_part: even,
            },
        };
        room.set_peers(key, peers);
    }
}

/// A part of a server's slots, rounded down, but at least one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number of slots is small and not negative"
)]
fn part_of(slots: u32, share: f64) -> u32 {
    ((f64::from(slots) * share).floor() as u32).max(1)
}
