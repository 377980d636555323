//! Polling of the operators' configuration and of the list of servers.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_ports::FeedError;

use crate::{
    Gateway, KeptEntries,
    node_snapshot::{age_ms, whole_ms},
};

/// Calls to the platform per second that all members together make while their relays answer but
/// get nothing new from it. In an outage that all nodes see, the others would be in vain.
const MEMBER_CALLS_PER_S: f64 = 8.0;

/// A member waits for this time for the first answer of a relay before it calls the platform.
const RELAY_TRIAL_TIME: Duration = Duration::from_millis(500);

/// Pause between two checks whether the list of servers should be read.
const LIST_CHECK_PERIOD: Duration = Duration::from_millis(50);

impl Gateway {
    /// Polls the operators' configuration. Never returns.
    pub(crate) async fn follow_config(self: Rc<Self>) {
        let mut is_connected = true;
        loop {
            let wait = self.await_config_poll().await;
            let reading = self.ports.config_feed.next(wait).await;
            // Before the confirmation, so that a usable configuration implies known evacuations.
            if let Some(evacuation) = self.ports.config_feed.evacuation() {
                self.state.apply_evacuation_reading(self.ports.clock.now(), evacuation);
            }
            match reading {
                Ok(reading) => {
                    if !std::mem::replace(&mut is_connected, true) {
                        log::info!("config: store reached again.");
                    }
                    let now = self.ports.clock.now();
                    self.state.config_read_at.set(Some(now));
                    if let Some(config) = reading.config {
                        log::info!(
                            config_version = config.version,
                            routes = config.routes.len(),
                            customers = config.customers.as_ref().map(Vec::len);
                            "config: version in force."
                        );
                        self.state.apply_config(config);
                    }
                    if let Some(moment) = reading.proven_at {
                        self.state.confirm_config(now, moment);
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
                return state.settings.config_poll_timeout.min(state.settings.renewal_age());
            }
            let period = state.settings.heartbeat_period;
            ports.clock.sleep(period).await;
            let now = ports.clock.now();
            if state.lacks_config() || (state.needs_config(now) && self.may_call(period)) {
                return Duration::ZERO;
            }
        }
    }

    /// Whether this node should call the platform itself, if it may decide so once in each
    /// `period`: always, unless it is a member whose relay answers. Then a few of all members do.
    fn may_call(&self, period: Duration) -> bool {
        let Self { identity, state, .. } = self;
        let view = state.view.borrow();
        if view.roster.rank(&identity.node).is_some() {
            return state.joined_at.get().is_some();
        }
        if !view.hears_relay() {
            return state.was_running_for(self.ports.clock.now(), RELAY_TRIAL_TIME);
        }
        #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
        let nodes = (view.peers.len() + 1) as f64;
        rand::random::<f64>() < MEMBER_CALLS_PER_S * period.as_secs_f64() / nodes
    }

    /// Whether this node is a config watcher: one of the first relays, without those that the
    /// platform turns away.
    fn is_config_watcher(&self) -> bool {
        let Self { identity, ports, state } = self;
        let view = state.view.borrow();
        let Some(rank) = view.roster.rank(&identity.node) else { return false };
        let timeouts = state.settings.peer_timeouts;
        let readers = view.config_readers(ports.clock.now(), timeouts, rank);
        readers < state.settings.config_watchers && state.joined_at.get().is_some()
    }

    /// Polls the list of servers while this node has to. Never returns.
    pub(crate) async fn follow_servers(self: Rc<Self>) {
        let Self { ports, state, .. } = &*self;
        let mut outage_grace = OutageGrace::new(state.settings.outage_grace);
        loop {
            self.await_server_poll().await;
            let asked_at = ports.clock.now();
            let is_whole = outage_grace.is_expired(asked_at) || state.needs_whole_list.get();
            match ports.server_feed.next(is_whole).await {
                Ok(reading) => {
                    let now = ports.clock.now();
                    let list_age = state.list_age(now);
                    outage_grace.record_era(now, reading.version.era);
                    let kept = outage_grace.record_reading(now, list_age, reading.is_whole);
                    if reading.is_whole {
                        state.needs_whole_list.set(false);
                    }
                    state.apply_reading(now, reading, kept);
                    state.record_list_read(asked_at);
                }
                Err(error) => {
                    outage_grace.record_failure(ports.clock.now(), error);
                    ports.clock.sleep(state.settings.feed_retry_pause).await;
                }
            }
        }
    }

    /// Waits until this node should read the list of servers.
    async fn await_server_poll(&self) {
        let Self { ports, state, .. } = self;
        let settings = &state.settings;
        let waiting_since = ports.clock.now();
        // Nodes that have to read the list themselves at the same time don't do so together.
        let lone_pause = settings.lone_list_period.mul_f64(0.5 + rand::random::<f64>() / 2.0);
        loop {
            let now = ports.clock.now();
            let waited = now.saturating_duration_since(waiting_since);
            let rank = state.view.borrow().roster.rank(&self.identity.node);
            let is_reader = rank.is_some_and(|rank| rank < settings.list_readers);
            let pause = match state.list_age(now) {
                _ if state.forms_groups.get() => settings.planner_period,
                None => Duration::ZERO,
                _ if is_reader => settings.server_list_period,
                _ => lone_pause,
            };
            let has_joined = state.joined_at.get().is_some();
            let must_read = state.forms_groups.get() || state.needs_whole_list.get();
            let is_due = has_joined && waited >= pause && self.reads_list(now);
            if is_due && (must_read || self.may_call(LIST_CHECK_PERIOD)) {
                return;
            }
            ports.clock.sleep(LIST_CHECK_PERIOD).await;
        }
    }
}

/// Keeps what was known of servers for some time after the list couldn't be read, or was restored
/// from an older copy. Entries may have expired during the outage, and a copy lacks those written
/// since; live servers soon write theirs again.
#[derive(Debug)]
struct OutageGrace {
    grace: Duration,

    /// When the list became unreachable; `None` while it is reachable.
    outage_since: Option<Instant>,

    /// When missing servers stop being kept.
    grace_until: Option<Instant>,

    /// The era of the last reading.
    era: Option<u64>,

    /// Whether the list was restored from an older copy before the present grace time.
    is_restored: bool,
}

/// Entries of servers don't expire during an outage shorter than this.
const SHORT_OUTAGE: Duration = Duration::from_millis(1500);

impl OutageGrace {
    fn new(grace: Duration) -> Self {
        Self { grace, outage_since: None, grace_until: None, era: None, is_restored: false }
    }

    fn record_failure(&mut self, now: Instant, error: FeedError) {
        if self.outage_since.is_none() {
            log::warn!(cause:% = error; "servers: list not reached.");
            self.outage_since = Some(now);
        }
    }

    /// Records the era of a successful reading.
    fn record_era(&mut self, now: Instant, era: u64) {
        let known = self.era.replace(era);
        if known.is_some_and(|known| known != era) {
            self.is_restored = true;
            self.grace_until = Some(now + self.grace);
        }
    }

    /// Records a successful reading; returns what is kept of the list before it. `list_age` is the
    /// age of the list before it: a node that didn't read the list itself during the outage sees only
    /// that.
    fn record_reading(
        &mut self,
        now: Instant,
        list_age: Option<Duration>,
        is_whole: bool,
    ) -> KeptEntries {
        if let Some(since) = self.outage_since.take() {
            let outage = now.saturating_duration_since(since);
            log::info!(outage_ms = whole_ms(outage); "servers: list reached again.");
        }
        if list_age.is_some_and(|age| age >= SHORT_OUTAGE) {
            self.grace_until = Some(now + self.grace);
        }
        let keep_missing = self.grace_until.is_some_and(|until| now < until);
        if is_whole && !keep_missing {
            self.grace_until = None;
            self.is_restored = false;
        }
        // Changes of the new era are written in it; only a whole reading holds entries of the copy.
        let known = keep_missing && is_whole && self.is_restored;
        KeptEntries { missing: keep_missing, known }
    }

    /// Whether the grace time is over and the whole list must be read.
    fn is_expired(&self, now: Instant) -> bool {
        self.grace_until.is_some_and(|until| now >= until)
    }
}
