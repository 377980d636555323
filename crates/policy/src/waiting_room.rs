//! Requests that wait for a free place at a server, or are refused because they would not get one.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use comfreyturn_types::CustomerName;

use crate::{
    AdmitDecision, AdmitRefusal, FreePlaces, PeersWaiting, Releases, WaitingKey, WaitingRequest,
    WaitingTicket, waiting_queue::WaitingQueue,
};

/// Settings of a [`WaitingRoom`].
#[derive(Clone, Copy, Debug)]
pub struct WaitingRoomSettings {
    /// Most waiting requests; with zero, none waits.
    pub max_requests: usize,

    /// Most memory that waiting requests occupy, in bytes.
    pub max_bytes: usize,

    /// Late requests run only at servers that run at most this part of their slots.
    pub late_slot_share: f64,

    /// One of this many releases is for the requests that were passed over for longest, late ones
    /// included.
    pub reserved_period: u32,

    /// Whether the newest of a customer's late requests goes first, else the one with the earliest
    /// limit.
    pub newest_late: bool,

    /// How often the prospects of a waiting request are checked within its objective.
    pub checks_per_objective: f64,

    /// Averaging time of the rates at which places become free.
    pub averaging_time: Duration,
}

impl WaitingRoomSettings {
    /// The part of releases for requests that were passed over.
    pub(crate) fn reserved_share(&self) -> f64 {
        1.0 / f64::from(self.reserved_period.max(1))
    }
}

impl Default for WaitingRoomSettings {
    fn default() -> Self {
        Self {
            max_requests: 1000,
            max_bytes: 16 * 1024 * 1024,
            late_slot_share: 0.9,
            reserved_period: 16,
            newest_late: true,
            checks_per_objective: 8.0,
            averaging_time: Duration::from_secs(1),
        }
    }
}

type Customer = Option<CustomerName>;

/// Requests that wait at one node for a free place at a server.
///
/// A request that probably gets no place before its caller gives up is refused when it arrives, or
/// when its prospects change. Requests that can meet their objective go before late ones; see
/// [`WaitingRoom::release`].
#[derive(Debug, Default)]
pub struct WaitingRoom {
    settings: WaitingRoomSettings,
    queues: HashMap<WaitingKey, WaitingQueue>,

    /// The queue of each waiting request.
    tickets: HashMap<WaitingTicket, WaitingKey>,
    next_ticket: u64,

    /// Bytes of all waiting requests. Invariant: at most `max_bytes`.
    bytes: usize,

    /// Number of waiting requests of each customer. Invariant: none is zero.
    counts: HashMap<Customer, usize>,

    /// The customers in `counts` by number.
    by_count: BTreeSet<(usize, Customer)>,
}

impl WaitingRoom {
    /// Creates an empty room.
    pub fn new(settings: WaitingRoomSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Memory that waiting requests occupy, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What requests wait for, and how many.
    pub fn waiting(&self) -> impl Iterator<Item = (&WaitingKey, usize)> {
        let queues = self.queues.iter().map(|(key, queue)| (key, queue.len()));
        queues.filter(|(_, len)| *len > 0)
    }

    /// What requests wait for, and how many, for other nodes. Late ones count less, by the part of
    /// places that is reserved for them.
    pub fn weights(&self) -> impl Iterator<Item = (&WaitingKey, f64)> {
        let queues = self.queues.iter().filter(|(_, queue)| queue.len() > 0);
        queues.map(|(key, queue)| (key, queue.weight(&self.settings)))
    }

    /// The number of requests that wait for some servers.
    pub fn waiting_for(&self, key: &WaitingKey) -> usize {
        self.queues.get(key).map_or(0, WaitingQueue::len)
    }

    /// Whether requests that can still meet their objective wait for these servers. New ones must
    /// not pass them.
    pub fn has_in_time(&self, key: &WaitingKey) -> bool {
        self.queues.get(key).is_some_and(WaitingQueue::has_in_time)
    }

    /// Records that a server answered a request of this node completely.
    pub fn record_finish(&mut self, now: Instant, key: &WaitingKey) {
        self.queue(key).record_finish(now);
    }

    /// The requests of this node that finish per second.
    pub fn finish_rates(&self, now: Instant) -> impl Iterator<Item = (&WaitingKey, f64)> {
        self.queues.iter().map(move |(key, queue)| (key, queue.finish_rate(now)))
    }

    /// The requests of this node for some servers that finish per second.
    pub fn finish_rate(&self, now: Instant, key: &WaitingKey) -> f64 {
        self.queues.get(key).map_or(0.0, |queue| queue.finish_rate(now))
    }

    /// When [`Self::release`] must be called even if no place becomes free.
    pub fn next_timer(&self) -> Option<Instant> {
        self.queues.values().filter_map(WaitingQueue::next_timer).min()
    }

    /// Sets what is known of the other nodes.
    pub fn set_peers(&mut self, key: &WaitingKey, peers: PeersWaiting) {
        self.queue(key).peers = peers;
    }

    /// Decides on a request that arrives. It runs if a place is free and none that can meet its
    /// objective waits; it waits if it will probably get a place in time for its caller. If the
    /// room is full, others may be refused in its place; these are returned too.
    pub fn submit(
        &mut self,
        now: Instant,
        key: &WaitingKey,
        request: WaitingRequest,
        places: FreePlaces,
    ) -> (AdmitDecision, Vec<WaitingTicket>) {
        let settings = self.settings;
        let queue = self.queue(key);
        queue.record_arrival(&request);
        if places.all > 0 && !queue.has_in_time() {
            queue.record_run(&request);
            return (AdmitDecision::Run, Vec::new());
        }
        if now >= request.ends_at() {
            return (AdmitDecision::Refuse(AdmitRefusal::Expired), Vec::new());
        }
        if !queue.is_promising(now, &request, &settings) {
            return (AdmitDecision::Refuse(AdmitRefusal::Unlikely), Vec::new());
        }
        let Some(displaced) = self.make_room(&request) else {
            return (AdmitDecision::Refuse(AdmitRefusal::Full), Vec::new());
        };
        let ticket = WaitingTicket(self.next_ticket);
        self.next_ticket += 1;
        self.bytes += request.bytes;
        self.change_count(&request.customer, 1);
        self.tickets.insert(ticket, key.clone());
        self.queue(key).insert(now, ticket, request, &settings);
        (AdmitDecision::Wait(ticket), displaced)
    }

    /// Takes out the requests that run now and those that are refused now. `free` are the places
    /// free at the servers; this node takes its part of them, which is that of its waiting requests
    /// in those of all nodes. `since` is the time since the last release into all free places; zero if
    /// `free` are only those of requests that finished here. `draw` is a random number from 0 up to 1
    /// by which the part is rounded.
    ///
    /// Order: requests that can meet their objective, then late ones, which get spare places only.
    /// Within each class by priority, kinds far below their served share first, in fair shares of
    /// customers, and earliest limit first. One of `reserved_period` releases goes to the class and
    /// priority that was passed over for longest.
    pub fn release(
        &mut self,
        now: Instant,
        key: &WaitingKey,
        free: FreePlaces,
        since: Duration,
        draw: f64,
    ) -> Releases {
        let settings = self.settings;
        let Some(queue) = self.queues.get_mut(key) else { return Releases::default() };
        let mut releases = Releases::default();
        let refused = queue.advance(now, &settings);
        let places = FreePlaces {
            all: rounded(queue.due(now, free.all, since, &settings), draw),
            spare: rounded(queue.due(now, free.spare, since, &settings), draw),
        };
        let run = queue.release(now, places, &settings);
        for (ticket, refusal, request) in refused {
            self.forget(ticket, &request);
            releases.refused.push((ticket, refusal));
        }
        for (released, request) in run {
            self.forget(released.ticket, &request);
            releases.run.push(released);
        }
        releases
    }

    /// Removes a request whose caller left.
    pub fn withdraw(&mut self, ticket: WaitingTicket) {
        let settings = self.settings;
        let Some(key) = self.tickets.get(&ticket) else { return };
        let queue = self.queues.get_mut(key);
        if let Some(request) = queue.and_then(|queue| queue.remove(ticket, &settings)) {
            self.forget(ticket, &request);
        }
    }

    /// Removes all requests, because the node stops.
    pub fn clear(&mut self) -> Vec<WaitingTicket> {
        let tickets = self.queues.values().flat_map(WaitingQueue::tickets).collect();
        self.withdraw_all(tickets)
    }

    /// Removes all requests that wait for these servers, because there will be none.
    pub fn clear_key(&mut self, key: &WaitingKey) -> Vec<WaitingTicket> {
        let tickets = self.queues.get(key).into_iter().flat_map(WaitingQueue::tickets).collect();
        self.withdraw_all(tickets)
    }

    fn withdraw_all(&mut self, tickets: Vec<WaitingTicket>) -> Vec<WaitingTicket> {
        for ticket in &tickets {
            self.withdraw(*ticket);
        }
        tickets
    }

    fn queue(&mut self, key: &WaitingKey) -> &mut WaitingQueue {
        if !self.queues.contains_key(key) {
            self.queues.insert(key.clone(), WaitingQueue::new(&self.settings));
        }
        self.queues.entry(key.clone()).or_insert_with(|| WaitingQueue::new(&self.settings))
    }

    // ---------------------------------------------------------------------------------------
    // Bounds

    /// Makes room for a request by removing requests of the customers with the most; `None` if its
    /// own customer has the most.
    fn make_room(&mut self, request: &WaitingRequest) -> Option<Vec<WaitingTicket>> {
        let mut displaced = Vec::new();
        while self.tickets.len() >= self.settings.max_requests
            || self.bytes + request.bytes > self.settings.max_bytes
        {
            let (most, customer) = self.by_count.last()?.clone();
            let own = self.counts.get(&request.customer).copied().unwrap_or_default();
            if own + 1 >= most {
                return None;
            }
            let ticket = self.queues.values().find_map(|queue| queue.last_of(&customer))?;
            self.withdraw(ticket);
            displaced.push(ticket);
        }
        Some(displaced)
    }

    fn forget(&mut self, ticket: WaitingTicket, request: &WaitingRequest) {
        if self.tickets.remove(&ticket).is_some() {
            self.bytes -= request.bytes;
            self.change_count(&request.customer, -1);
        }
    }

    fn change_count(&mut self, customer: &Customer, change: isize) {
        let old = self.counts.get(customer).copied().unwrap_or_default();
        let new = old.saturating_add_signed(change);
        self.by_count.remove(&(old, customer.clone()));
        if new == 0 {
            self.counts.remove(customer);
        } else {
            self.counts.insert(customer.clone(), new);
            self.by_count.insert((new, customer.clone()));
        }
    }
}

/// Rounds down, or up with the probability of the fraction.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number of places is small and not negative"
)]
fn rounded(places: f64, draw: f64) -> u32 {
    (places + draw).floor() as u32
}
