//! Stopping of a node after a stop signal.

use std::time::{Duration, Instant};

use comfreyturn_policy::{ShutdownSettings, ShutdownTerm};
use comfreyturn_types::RouteName;

use crate::{
    ForwardRequest, Gateway, InFlightGuard, gateway_state::GatewayState, in_flight::InFlightWork,
    node_snapshot::whole_ms,
};

/// Interval between checks whether requests are still in flight.
const DRAIN_PERIOD: Duration = Duration::from_millis(50);

/// The most log lines on work that is cut when the node ends.
const CUT_LOG_LIMIT: usize = 20;

impl Gateway {
    /// Announces the shutdown, still answers new requests while callers may use a cached address,
    /// then calls `close`, refuses new requests, and returns when none is in flight or the process
    /// would have been killed.
    pub async fn shut_down(
        &self,
        stopped_at: Instant,
        settings: &ShutdownSettings,
        close: impl FnOnce(),
    ) {
        let clock = &self.ports.clock;
        let term = ShutdownTerm::new(stopped_at, settings);
        // Whoever learns of the signal late may still have time to write the last answers.
        let latest_end = clock.now() + settings.grace;
        self.state.shutdown.set(Some(term));
        self.announce_leaving();
        clock.sleep(term.closes_at.saturating_duration_since(clock.now())).await;
        self.refuse_new();
        close();
        // Connections learn of the end only once this task waits.
        clock.sleep(DRAIN_PERIOD).await;
        while self.in_flight() > 0 && clock.now() < latest_end {
            clock.sleep(DRAIN_PERIOD).await;
        }
        self.log_cut(clock.now());
        clock.sleep(DRAIN_PERIOD).await;
    }

    /// Keeps the node from ending while a caller's connection is in use.
    pub fn hold_connection(&self) -> InFlightGuard {
        InFlightGuard::start(&self.state, self.ports.clock.now(), InFlightWork::Connection)
    }

    /// Logs the work that ends with the node, the oldest first.
    fn log_cut(&self, now: Instant) {
        let in_flight = self.state.in_flight.borrow();
        for (work, age) in in_flight.oldest(now).take(CUT_LOG_LIMIT) {
            log::warn!(work:% = work, age_ms = whole_ms(age); "gateway: work is cut.");
        }
        log::info!(cut = in_flight.len(); "gateway: ends.");
    }
}

impl GatewayState {
    /// Whether a new request of a route, whose caller waits for `left` more, can be answered before
    /// the node ends.
    pub(crate) fn can_take(&self, now: Instant, route: &RouteName, left: Duration) -> bool {
        let Some(term) = self.shutdown.get() else { return true };
        term.admits(now, self.needed_time(now, route, left))
    }

    /// Whether a request that has not begun to run can be answered before the node ends.
    pub(crate) fn can_finish(&self, now: Instant, route: &RouteName, left: Duration) -> bool {
        let Some(term) = self.shutdown.get() else { return true };
        term.can_finish(now, self.needed_time(now, route, left))
    }

    /// How long a request may take, as far as this node can tell; at most `left`.
    fn needed_time(&self, now: Instant, route: &RouteName, left: Duration) -> Duration {
        let running = self.in_flight.borrow().oldest_age(now, route);
        self.run_times.borrow().needed(now, route, running, left)
    }

    /// Logs a request that arrives after the stop signal.
    pub(crate) fn log_late_request(
        &self,
        now: Instant,
        request: &ForwardRequest,
        route: &RouteName,
        left: Duration,
    ) {
        let Some(term) = self.shutdown.get() else { return };
        log::info!(
            request:% = request.id,
            route:% = route,
            since_stop_ms = whole_ms(now.saturating_duration_since(term.stopped_at)),
            left_ms = whole_ms(term.time_left(now)),
            needed_ms = whole_ms(self.needed_time(now, route, left));
            "gateway: request arrived while leaving."
        );
    }
}
