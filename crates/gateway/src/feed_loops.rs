//! Polling of the operators' configuration and of the list of servers.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_ports::FeedError;

use crate::{
    Gateway,
    config_view::ConfigView,
    node_snapshot::{age_ms, whole_ms},
};

impl Gateway {
    /// Polls the operators' configuration. Never returns.
    pub(crate) async fn follow_config(self: Rc<Self>) {
        let mut is_connected = true;
        loop {
            let wait = self.await_config_poll().await;
            match self.ports.config_feed.next(wait).await {
                Ok(reading) => {
                    if !std::mem::replace(&mut is_connected, true) {
                        log::info!("config: store reached again.");
                    }
                    let mut confirmed = self.state.confirmed.get();
                    confirmed.confirm(reading.proven_at);
                    self.state.confirmed.set(confirmed);
                    if let Some(config) = reading.config {
                        log::info!(
                            config_version = config.version,
                            routes = config.routes.len(),
                            customers = config.customers.as_ref().map(Vec::len);
                            "config: version in force."
                        );
                        *self.state.config.borrow_mut() = Some(Rc::new(ConfigView::new(config)));
                    }
                }
                Err(error) => {
                    if std::mem::replace(&mut is_connected, false) {
                        let snapshot = self.state.snapshot(self.ports.clock.now());
                        log::warn!(
                            cause:% = error,
                            config_version = snapshot.config_version,
                            config_age_ms = age_ms(snapshot.config_age);
                            "config: store not reached."
                        );
                    }
                    self.ports.clock.sleep(self.state.settings.feed_retry_pause).await;
                }
            }
        }
    }

    /// Waits until this node should poll the configuration; returns how long the store may delay
    /// its answer while nothing changes.
    ///
    /// Config watchers poll all the time and attest the configuration to the other nodes. The other
    /// nodes poll only when a node reports a newer version or when no attestation was received for
    /// a while.
    async fn await_config_poll(&self) -> Duration {
        let Self { ports, state, .. } = self;
        loop {
            if self.is_config_watcher() {
                return state.settings.config_poll_timeout.min(state.settings.config_limit / 2);
            }
            if state.needs_config(ports.clock.now()) {
                return Duration::ZERO;
            }
            ports.clock.sleep(state.settings.heartbeat_period).await;
        }
    }

    /// Whether this node is a config watcher: one of the first live nodes in the order of their
    /// names.
    fn is_config_watcher(&self) -> bool {
        let Self { identity, ports, state } = self;
        let timeout = state.scale_by_peers(state.settings.peer_timeout);
        let peers = state.peers.borrow();
        let alive = peers.alive(ports.clock.now(), timeout);
        let earlier = alive.filter(|(node, _)| **node < identity.node).count();
        earlier < state.settings.config_watchers
    }

    /// Polls the list of servers. Never returns.
    pub(crate) async fn follow_servers(self: Rc<Self>) {
        let Self { ports, state, .. } = &*self;
        let mut outage_grace = OutageGrace::new(state.settings.outage_grace);
        loop {
            match ports.server_feed.next(outage_grace.is_expired(ports.clock.now())).await {
                Ok(reading) => {
                    let now = ports.clock.now();
                    let keep_missing = outage_grace.record_reading(now, reading.is_whole);
                    let version = reading.version;
                    let applied = state.servers.borrow_mut().apply(reading, keep_missing);
                    state.record_list_version(version, applied.has_changes);
                    state.record_dropped(now, applied.dropped);
                    state.record_list_read(now);
                    self.await_server_poll().await;
                }
                Err(error) => {
                    outage_grace.record_failure(ports.clock.now(), error);
                    ports.clock.sleep(state.settings.feed_retry_pause).await;
                }
            }
        }
    }

    /// Waits until the list should be read again: for the usual pause, or until another node
    /// reports a change. The holder of the fleet's lease reads often and reports changes to the
    /// other nodes.
    async fn await_server_poll(&self) {
        let Self { ports, state, .. } = self;
        let settings = &state.settings;
        let read_at = ports.clock.now();
        loop {
            ports.clock.sleep(settings.planner_period).await;
            let elapsed = ports.clock.now().saturating_duration_since(read_at);
            let is_due = |pause: Duration| elapsed >= state.scale_by_peers(pause);
            let has_changes = state.has_unread_changes() && is_due(settings.list_change_pause);
            if state.forms_groups.get() || has_changes || is_due(settings.server_list_period) {
                return;
            }
        }
    }
}

/// Keeps servers that are missing from the list for some time after an outage of the list: their
/// entries may have expired during the outage, and live servers soon register again.
#[derive(Debug)]
struct OutageGrace {
    grace: Duration,

    /// When the list became unreachable; `None` while it is reachable.
    outage_since: Option<Instant>,

    /// When missing servers stop being kept.
    grace_until: Option<Instant>,
}

/// Entries of servers don't expire during an outage shorter than this.
const SHORT_OUTAGE: Duration = Duration::from_millis(700);

impl OutageGrace {
    fn new(grace: Duration) -> Self {
        Self { grace, outage_since: None, grace_until: None }
    }

    fn record_failure(&mut self, now: Instant, error: FeedError) {
        if self.outage_since.is_none() {
            log::warn!(cause:% = error; "servers: list not reached.");
            self.outage_since = Some(now);
        }
    }

    /// Records a successful reading; returns whether servers missing from it are kept.
    fn record_reading(&mut self, now: Instant, is_whole: bool) -> bool {
        if let Some(since) = self.outage_since.take() {
            let outage = now.saturating_duration_since(since);
            log::info!(outage_ms = whole_ms(outage); "servers: list reached again.");
            if outage >= SHORT_OUTAGE {
                self.grace_until = Some(now + self.grace);
            }
        }
        let keep_missing = self.grace_until.is_some_and(|until| now < until);
        if is_whole && !keep_missing {
            self.grace_until = None;
        }
        keep_missing
    }

    /// Whether the grace time is over and the whole list must be read.
    fn is_expired(&self, now: Instant) -> bool {
        self.grace_until.is_some_and(|until| now >= until)
    }
}
