//! Servers that asked this node to wait, or refuse again and again.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::ServerLife;

/// Settings of [`ServerWaits`].
#[derive(Clone, Copy, Debug)]
pub struct WaitSettings {
    /// A server that asks for more is left alone for this time, so that no value shuts it out for
    /// good.
    pub longest: Duration,

    /// Pause between two requests to a server whose wait is over, until it answers one.
    pub trial_pause: Duration,

    /// A server that refused two requests in a row, and asked for no wait, is left alone for this
    /// time; for [`Self::pause_factor`] times as long after each further one.
    pub first_pause: Duration,

    /// By how much that time grows.
    pub pause_factor: u32,

    /// The longest such time.
    pub longest_pause: Duration,

    /// Mean time between two trials of a server of which nodes tell each other that it refuses
    /// requests, all nodes together.
    pub shared_trial_period: Duration,

    /// A refusal is told to other nodes for this time.
    pub news_time: Duration,
}

impl Default for WaitSettings {
    fn default() -> Self {
        Self {
            longest: Duration::from_secs(60),
            trial_pause: Duration::from_millis(200),
            first_pause: Duration::from_millis(100),
            pause_factor: 4,
            longest_pause: Duration::from_secs(15),
            shared_trial_period: Duration::from_millis(500),
            news_time: Duration::from_secs(2),
        }
    }
}

/// A refusal of a server that no node heard of counts as one after so many.
const UNHEARD_REFUSALS: u32 = 3;

/// Other nodes are told of a server that refused so many requests in a row, while no node heard of
/// it. News from another node count as one.
const TOLD_REFUSALS: u32 = 2;

/// Why one server is left alone, and for how long.
#[derive(Clone, Copy, Debug)]
struct ServerWait {
    /// The end of the wait that the server asked for.
    asked_until: Instant,

    /// The end of the pause after refusals that asked for nothing.
    paused_until: Instant,

    /// Requests in a row that it refused without asking for a wait.
    refusals: u32,

    /// The same, while no node heard of it.
    unheard_refusals: u32,

    /// When it last refused one, at this node or, by what others tell, at another one.
    refused_at: Instant,

    /// When it last refused one at this node that counted.
    counted_at: Option<Instant>,

    /// When the last request was sent to it; `None` if none was since it last refused one.
    tried_at: Option<Instant>,
}

impl ServerWait {
    fn new(now: Instant) -> Self {
        Self {
            asked_until: now,
            paused_until: now,
            refusals: 0,
            unheard_refusals: 0,
            refused_at: now,
            counted_at: None,
            tried_at: None,
        }
    }

    /// When the server may get the next request.
    fn until(&self) -> Instant {
        self.asked_until.max(self.paused_until)
    }
}

/// Servers that asked this node to wait, by lifetime: a server that restarted asked for nothing.
///
/// What a server asks binds the node that got the answer, and no other one. After the wait a server
/// gets one request at a time until it answers one, since all nodes that it turned away would come
/// back together.
#[derive(Debug, Default)]
pub struct ServerWaits {
    settings: WaitSettings,
    waits: HashMap<ServerLife, ServerWait>,

    /// Servers of which another node told that they refuse requests, and when it last did.
    told: HashMap<ServerLife, Instant>,
}

impl ServerWaits {
    /// Creates waits of no server.
    pub fn new(settings: WaitSettings) -> Self {
        Self { settings, waits: HashMap::new(), told: HashMap::new() }
    }

    /// Records that a server refused a request and asked this node to wait. A wait that ends later
    /// stays in force.
    pub fn record_wait(&mut self, now: Instant, life: &ServerLife, wait: Duration) {
        let asked_until = now + wait.min(self.settings.longest);
        let wait = self.refused(now, life);
        wait.asked_until = wait.asked_until.max(asked_until);
    }

    /// Records that a server refused a request, sent at `sent_at`, and asked for no wait. It looks
    /// idle, so it would get most requests, and refuse them as well: after some in a row it is left
    /// alone for a while, and sooner if no node `heard` of it lately, since all of them would have to
    /// find that out. Requests that were under way together count once: a server that is full for a
    /// moment refuses all of them.
    pub fn record_refusal(
        &mut self,
        now: Instant,
        life: &ServerLife,
        sent_at: Instant,
        heard: bool,
    ) {
        let WaitSettings { first_pause, pause_factor, longest_pause, .. } = self.settings;
        if let Some(wait) = self.waits.get_mut(life)
            && wait.counted_at.is_some_and(|counted_at| sent_at < counted_at)
        {
            wait.refused_at = now;
            return;
        }
        let last_refused_at = self.waits.get(life).map_or(now, |wait| wait.refused_at);
        let wait = self.refused(now, life);
        wait.counted_at = Some(now);
        let age = now.saturating_duration_since(last_refused_at);
        if age > longest_pause * 2 {
            wait.refusals = 0;
            wait.unheard_refusals = 0;
        }
        wait.unheard_refusals = if heard { 0 } else { wait.unheard_refusals.saturating_add(1) };
        let refusals = if heard { wait.refusals } else { wait.refusals.max(UNHEARD_REFUSALS) };
        let pause = match refusals.checked_sub(1) {
            Some(steps) => first_pause.saturating_mul(pause_factor.saturating_pow(steps)),
            None => Duration::ZERO,
        };
        wait.refusals = refusals.saturating_add(1);
        wait.paused_until = wait.paused_until.max(now + pause.min(longest_pause));
    }

    /// Records that a node received data from a server at `heard_at`. If that was after its last
    /// refusal, it takes requests again, and is left alone no longer than it asked for.
    pub fn record_heard(&mut self, now: Instant, life: &ServerLife, heard_at: Instant) {
        let Some(wait) = self.waits.get_mut(life) else { return };
        if heard_at > wait.refused_at {
            wait.paused_until = wait.paused_until.min(now);
            wait.unheard_refusals = 0;
        }
    }

    // ---------------------------------------------------------------------------------------
    // What nodes tell each other

    /// Servers that refused several requests in a row at this node while no node heard of them, and
    /// when they last did, if that is recent.
    pub fn refusing(&self, now: Instant) -> HashMap<ServerLife, Instant> {
        let refusing = self.waits.iter().filter_map(|(life, wait)| {
            let at = wait.counted_at.filter(|_| wait.unheard_refusals >= TOLD_REFUSALS)?;
            let is_recent = now.saturating_duration_since(at) < self.settings.news_time;
            is_recent.then(|| (life.clone(), at))
        });
        refusing.collect()
    }

    /// Records that a server refused requests of another node, last at `refused_at`. It is left
    /// alone for `pause`, unless it is already; see [`Self::shared_pause`]. Returns whether nothing
    /// was told of it lately.
    pub fn record_told_refusal(
        &mut self,
        now: Instant,
        life: &ServerLife,
        refused_at: Instant,
        pause: Duration,
    ) -> bool {
        let longest_pause = self.settings.longest_pause;
        let is_new = self.told.insert(life.clone(), now).is_none();
        let wait = self.waits.entry(life.clone()).or_insert(ServerWait::new(refused_at));
        wait.refused_at = wait.refused_at.max(refused_at);
        wait.unheard_refusals = wait.unheard_refusals.max(1);
        if wait.paused_until <= now {
            wait.paused_until = now + pause.min(longest_pause);
        }
        is_new
    }

    /// The time for which one of `nodes` leaves a server alone of which another one tells that it
    /// refuses requests; `random` is in [0, 1). Such times have no memory, so all nodes together
    /// try the server at the same mean rate whenever each of them began to wait.
    pub fn shared_pause(&self, nodes: usize, random: f64) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let mean = self.settings.shared_trial_period.saturating_mul(nodes);
        let factor = -(1.0 - random.clamp(0.0, 1.0)).max(f64::MIN_POSITIVE).ln();
        Duration::try_from_secs_f64(mean.as_secs_f64() * factor).unwrap_or(Duration::MAX)
    }

    /// Servers of which nodes told each other recently that they refuse requests. Some nodes may
    /// still leave them alone.
    pub fn told(&self) -> impl Iterator<Item = &ServerLife> {
        self.told.keys()
    }

    /// The wait of a server that refused a request now.
    fn refused(&mut self, now: Instant, life: &ServerLife) -> &mut ServerWait {
        let wait = self.waits.entry(life.clone()).or_insert(ServerWait::new(now));
        wait.refused_at = now;
        wait.tried_at = None;
        wait
    }

    /// Records that a server took a request of this node. That ends no wait that it asked for: it may
    /// be the answer to a request that was sent before.
    pub fn record_answer(&mut self, now: Instant, life: &ServerLife) {
        if self.waits.get(life).is_some_and(|wait| now >= wait.asked_until) {
            self.waits.remove(life);
        }
    }

    /// Records that this node sends a request to a server.
    pub fn record_send(&mut self, now: Instant, life: &ServerLife) {
        if let Some(wait) = self.waits.get_mut(life) {
            wait.tried_at = Some(now);
        }
    }

    /// Whether a server wants nothing from this node now.
    pub fn is_waiting(&self, now: Instant, life: &ServerLife) -> bool {
        self.waits.get(life).is_some_and(|wait| now < wait.until())
    }

    /// Whether this node may send a request to a server now, as far as its waits go.
    pub fn permits(&self, now: Instant, life: &ServerLife) -> bool {
        self.time_to_next(now, life).is_zero()
    }

    /// Time until this node may send a request to a server.
    pub fn time_to_next(&self, now: Instant, life: &ServerLife) -> Duration {
        let Some(wait) = self.waits.get(life) else { return Duration::ZERO };
        let tried_at = wait.tried_at.filter(|at| *at >= wait.until());
        let next_at = tried_at.map_or(wait.until(), |at| at + self.settings.trial_pause);
        next_at.saturating_duration_since(now)
    }

    /// The number of servers that want nothing from this node now.
    pub fn waiting(&self, now: Instant) -> usize {
        self.waits.values().filter(|wait| now < wait.until()).count()
    }

    /// Forgets news that no pause depends on any more.
    pub fn forget_told(&mut self, now: Instant) {
        let retention = self.settings.longest_pause + self.settings.news_time;
        self.told.retain(|_, at| now.saturating_duration_since(*at) < retention);
    }

    /// Forgets servers for which `keep` is false, once their wait is over: a server that drops out of
    /// the list may come back.
    pub fn retain(&mut self, now: Instant, keep: impl Fn(&ServerLife) -> bool) {
        self.waits.retain(|life, wait| now < wait.until() || keep(life));
        self.forget_told(now);
    }
}
