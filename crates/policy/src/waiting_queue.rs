//! The requests that wait for the same servers.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use comfreyturn_types::CustomerName;

use crate::{
    AdmitRefusal, ArrivalMeter, FreePlaces, PRIORITIES, PeersWaiting, ReleasedRequest,
    WaitingRequest, WaitingRoomSettings, WaitingTicket,
    kind_shares::KindShares,
    waiting_level::{RequestPosition, WaitingLevel},
};

/// A request that waits.
#[derive(Debug)]
struct QueuedRequest {
    request: WaitingRequest,
    arrived_at: Instant,
    is_late: bool,

    /// Requests that were before it when it arrived, and the number of releases before that.
    ahead: usize,
    released_before: u64,

    /// Its entry in `WaitingQueue::timers`.
    timer: Instant,
}

impl QueuedRequest {
    fn level(&self) -> usize {
        level_index(self.is_late, self.request.priority)
    }

    /// Its position in the level: by time limit, or by arrival if the newest go first.
    fn position(&self, ticket: WaitingTicket, newest_late: bool) -> RequestPosition {
        let by_arrival = self.is_late && newest_late;
        (if by_arrival { self.arrived_at } else { self.request.limit_at }, ticket)
    }

    /// When it must be looked at again.
    fn next_timer(&self, now: Instant, settings: &WaitingRoomSettings) -> Instant {
        let check = now + self.request.objective.div_f64(settings.checks_per_objective);
        let mut timer = check.max(now + LEAST_CHECK_PERIOD).min(self.request.ends_at());
        if !self.is_late {
            timer = timer.min(self.request.late_at());
        }
        timer
    }
}

/// Least pause between two checks of a waiting request.
const LEAST_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// A node that has more than its even part of the waiting requests takes this part of those before a
/// new one to be more.
const LENT_DIVISOR: usize = 2;

/// Periods within which other nodes learn of a place that this one leaves to them, and take it.
const TAKING_PERIODS: f64 = 3.0;

fn level_index(is_late: bool, priority: u8) -> usize {
    let priority = usize::from(priority.min(PRIORITIES - 1));
    if is_late { usize::from(PRIORITIES) + priority } else { priority }
}

/// The requests that wait for the same servers, those in time before the late ones.
#[derive(Debug)]
pub(crate) struct WaitingQueue {
    /// In time by priority, then late by priority.
    levels: Vec<WaitingLevel>,

    /// The number of releases when each level was last served.
    served: Vec<u64>,
    requests: HashMap<WaitingTicket, QueuedRequest>,

    /// When requests must be looked at again. Invariant: holds exactly the tickets in `requests`.
    timers: BTreeSet<(Instant, WaitingTicket)>,
    shares: KindShares,
    finishes: ArrivalMeter,
    releases: ArrivalMeter,
    late_releases: ArrivalMeter,
    released: u64,
    pub(crate) peers: PeersWaiting,
}

impl WaitingQueue {
    pub(crate) fn new(settings: &WaitingRoomSettings) -> Self {
        let levels = 2 * usize::from(PRIORITIES);
        let meter = ArrivalMeter::new(settings.averaging_time);
        Self {
            levels: (0..levels).map(|_| WaitingLevel::new()).collect(),
            served: vec![0; levels],
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            shares: KindShares::default(),
            finishes: meter,
            releases: meter,
            late_releases: meter,
            released: 0,
            peers: PeersWaiting::default(),
        }
    }

    #[inline]
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    fn late(&self) -> usize {
        self.levels.iter().skip(usize::from(PRIORITIES)).map(WaitingLevel::len).sum()
    }

    /// Whether a request that can still meet its objective waits.
    pub(crate) fn has_in_time(&self) -> bool {
        self.len() > self.late()
    }

    pub(crate) fn record_finish(&mut self, now: Instant) {
        self.finishes.record(now);
    }

    /// Requests of this node that finish per second.
    pub(crate) fn finish_rate(&self, now: Instant) -> f64 {
        self.finishes.rate(now)
    }

    pub(crate) fn record_arrival(&mut self, request: &WaitingRequest) {
        self.shares.record_arrival(&request.kind);
    }

    pub(crate) fn record_run(&mut self, request: &WaitingRequest) {
        self.shares.record_served(&request.kind);
    }

    // ---------------------------------------------------------------------------------------
    // Predictions

    /// The number of waiting requests, in which late ones count by the part of releases that is
    /// reserved for them.
    #[expect(clippy::cast_precision_loss, reason = "waiting requests are few")]
    pub(crate) fn weight(&self, settings: &WaitingRoomSettings) -> f64 {
        let late = self.late();
        (self.len() - late) as f64 + late as f64 * settings.reserved_share()
    }

    /// This node's part of the free places, if `more` requests join those that wait here.
    #[expect(clippy::cast_precision_loss, reason = "waiting requests are few")]
    pub(crate) fn part(&self, more: usize, settings: &WaitingRoomSettings) -> f64 {
        let own = self.weight(settings) + more as f64;
        let part = if own > 0.0 { own / (own + self.peers.requests) } else { 0.0 };
        part.min(self.peers.largest_part)
    }

    /// This node's part of the places that are free, `since` the last such release. Each node takes its
    /// part of the places that its own requests free at once, and leaves the rest of these to the
    /// others. So this one is due its part of those that were freed elsewhere.
    pub(crate) fn due(
        &self,
        now: Instant,
        free: u32,
        since: Duration,
        settings: &WaitingRoomSettings,
    ) -> f64 {
        let part = self.part(0, settings);
        let free = f64::from(free);
        if !self.peers.shares_finished {
            return if since.is_zero() { free } else { part * free };
        }
        let since = since.as_secs_f64();
        let freed_elsewhere = self.peers.finish_rate * since;
        let left_to_others = (1.0 - part) * self.finish_rate(now) * since * TAKING_PERIODS;
        (part * freed_elsewhere.max(free - left_to_others)).clamp(0.0, free)
    }

    /// Places per second that this node gets, if `more` requests join those that wait here.
    fn place_rate(&self, now: Instant, more: usize, settings: &WaitingRoomSettings) -> f64 {
        let finishes = self.finish_rate(now) + self.peers.finish_rate;
        (finishes * self.part(more, settings)).max(self.releases.rate(now))
    }

    /// Whether a request that has `ahead` others before it will probably be served in time for its
    /// caller.
    #[expect(clippy::cast_precision_loss, reason = "waiting requests are few")]
    fn is_likely(
        &self,
        now: Instant,
        request: &WaitingRequest,
        is_late: bool,
        ahead: usize,
        more: usize,
        settings: &WaitingRoomSettings,
    ) -> bool {
        let rate = self.place_rate(now, more, settings);
        let reserved = settings.reserved_share();
        let left = |end: Instant| end.saturating_duration_since(now).as_secs_f64();
        let in_time = left(request.late_at()) * rate * (1.0 - reserved);
        if !is_late && ahead as f64 + 1.0 <= in_time {
            return true;
        }
        let late_rate = (rate * reserved).max(self.late_releases.rate(now));
        let late = self.late() + more.max(usize::from(!is_late));
        late as f64 <= left(request.ends_at()) * late_rate
    }

    fn ahead(&self, request: &WaitingRequest) -> usize {
        let level = level_index(false, request.priority);
        let better: usize = self.levels.iter().take(level).map(WaitingLevel::len).sum();
        better + self.levels.get(level).map_or(0, |level| level.ahead(&request.customer))
    }

    /// Whether a request that arrives will probably be served if it waits.
    pub(crate) fn is_promising(
        &self,
        now: Instant,
        request: &WaitingRequest,
        settings: &WaitingRoomSettings,
    ) -> bool {
        let is_late = now >= request.late_at();
        let mut ahead = self.ahead(request);
        if self.part(1, settings) > self.peers.even_part {
            // Leaves room for requests of nodes with fewer of them.
            ahead += ahead / LENT_DIVISOR;
        }
        self.is_likely(now, request, is_late, ahead, 1, settings)
    }

    fn is_still_likely(
        &self,
        now: Instant,
        queued: &QueuedRequest,
        settings: &WaitingRoomSettings,
    ) -> bool {
        let level = level_index(false, queued.request.priority);
        let better: usize = self.levels.iter().take(level).map(WaitingLevel::len).sum();
        let served = usize::try_from(self.released - queued.released_before).unwrap_or(usize::MAX);
        let ahead = better.max(queued.ahead.saturating_sub(served));
        self.is_likely(now, &queued.request, queued.is_late, ahead, 0, settings)
    }

    // ---------------------------------------------------------------------------------------
    // Changes

    pub(crate) fn insert(
        &mut self,
        now: Instant,
        ticket: WaitingTicket,
        request: WaitingRequest,
        settings: &WaitingRoomSettings,
    ) {
        let mut queued = QueuedRequest {
            arrived_at: now,
            is_late: now >= request.late_at(),
            ahead: self.ahead(&request),
            released_before: self.released,
            timer: now,
            request,
        };
        queued.timer = queued.next_timer(now, settings);
        self.enqueue(ticket, queued, settings);
    }

    fn enqueue(
        &mut self,
        ticket: WaitingTicket,
        queued: QueuedRequest,
        settings: &WaitingRoomSettings,
    ) {
        let position = queued.position(ticket, settings.newest_late);
        if let Some(level) = self.levels.get_mut(queued.level()) {
            level.insert(&queued.request.kind, &queued.request.customer, position);
        }
        self.timers.insert((queued.timer, ticket));
        self.requests.insert(ticket, queued);
    }

    fn dequeue(
        &mut self,
        ticket: WaitingTicket,
        settings: &WaitingRoomSettings,
    ) -> Option<QueuedRequest> {
        let queued = self.requests.remove(&ticket)?;
        self.timers.remove(&(queued.timer, ticket));
        let position = queued.position(ticket, settings.newest_late);
        if let Some(level) = self.levels.get_mut(queued.level()) {
            level.remove(&queued.request.kind, &queued.request.customer, position);
        }
        Some(queued)
    }

    pub(crate) fn remove(
        &mut self,
        ticket: WaitingTicket,
        settings: &WaitingRoomSettings,
    ) -> Option<WaitingRequest> {
        self.dequeue(ticket, settings).map(|queued| queued.request)
    }

    /// The request of a customer that would be served last of its own.
    pub(crate) fn last_of(&self, customer: &Option<CustomerName>) -> Option<WaitingTicket> {
        self.levels.iter().rev().find_map(|level| level.last_of(customer))
    }

    /// When a request must be looked at again.
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    pub(crate) fn tickets(&self) -> impl Iterator<Item = WaitingTicket> {
        self.requests.keys().copied()
    }

    /// Moves requests that have become late, and returns those that are refused now.
    pub(crate) fn advance(
        &mut self,
        now: Instant,
        settings: &WaitingRoomSettings,
    ) -> Vec<(WaitingTicket, AdmitRefusal, WaitingRequest)> {
        let mut refused = Vec::new();
        while let Some((_, ticket)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            let Some(mut queued) = self.dequeue(ticket, settings) else { break };
            if now >= queued.request.ends_at() {
                refused.push((ticket, AdmitRefusal::Expired, queued.request));
                continue;
            }
            queued.is_late = now >= queued.request.late_at();
            queued.timer = queued.next_timer(now, settings);
            self.enqueue(ticket, queued, settings);
            let is_likely = self
                .requests
                .get(&ticket)
                .is_some_and(|queued| self.is_still_likely(now, queued, settings));
            if !is_likely && let Some(queued) = self.dequeue(ticket, settings) {
                refused.push((ticket, AdmitRefusal::Unlikely, queued.request));
            }
        }
        refused
    }

    /// Takes out the requests that run now in `places`, which are this node's.
    pub(crate) fn release(
        &mut self,
        now: Instant,
        places: FreePlaces,
        settings: &WaitingRoomSettings,
    ) -> Vec<(ReleasedRequest, WaitingRequest)> {
        let FreePlaces { mut all, mut spare } = places;
        let mut released = Vec::new();
        while all > 0 {
            let Some((ticket, level)) = self.next(spare > 0, settings) else { break };
            let Some(queued) = self.dequeue(ticket, settings) else { break };
            self.released += 1;
            if let Some(served) = self.served.get_mut(level) {
                *served = self.released;
            }
            if let Some(level) = self.levels.get_mut(level) {
                level.charge(&queued.request.customer);
            }
            self.shares.record_served(&queued.request.kind);
            self.releases.record(now);
            if queued.is_late {
                self.late_releases.record(now);
            }
            all -= 1;
            // Requests go to the least loaded servers, which have the spare places.
            spare = spare.saturating_sub(1);
            released.push((ReleasedRequest { ticket, is_late: queued.is_late }, queued.request));
        }
        released
    }

    /// The request that is served next, and its level. Some releases are reserved for the level
    /// that was not served for longest, so that none starves.
    fn next(
        &self,
        has_spare: bool,
        settings: &WaitingRoomSettings,
    ) -> Option<(WaitingTicket, usize)> {
        let period = u64::from(settings.reserved_period.max(1));
        let is_reserved = self.released % period == period - 1;
        let waiting = self.levels.iter().enumerate().filter(|(_, level)| level.len() > 0);
        let index = if is_reserved {
            waiting.map(|(index, _)| index).min_by_key(|index| self.served.get(*index))
        } else {
            let first_late = usize::from(PRIORITIES);
            waiting.map(|(index, _)| index).find(|index| has_spare || *index < first_late)
        }?;
        let newest = settings.newest_late && index >= usize::from(PRIORITIES);
        let level = self.levels.get(index)?;
        Some((level.next(|kind| self.shares.is_short(kind), newest)?, index))
    }
}
