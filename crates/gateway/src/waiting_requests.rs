//! The requests that wait at this node for a free place at a server.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    AdmitDecision, AdmitRefusal, FreePlaces, Releases, WaitingKey, WaitingRequest, WaitingRoom,
    WaitingRoomSettings, WaitingTicket,
};
use comfreyturn_types::RouteName;

/// Weight of a new time in the moving average of a route.
const NEEDED_TIME_WEIGHT: f64 = 0.1;

/// How the waiting of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum WaitEnd {
    /// It is sent now.
    Released {
        /// Whether it can't meet its objective any more.
        is_late: bool,
    },

    /// It is refused.
    Refused(AdmitRefusal),

    /// The configuration no longer has the service.
    ServiceRemoved,

    /// The node stops.
    Stopped,
}

/// Wakes one task when something changed.
struct ChangeSignal<T> {
    value: Cell<Option<T>>,
    waker: Cell<Option<Waker>>,
}

impl<T> Default for ChangeSignal<T> {
    fn default() -> Self {
        Self { value: Cell::new(None), waker: Cell::new(None) }
    }
}

impl<T> ChangeSignal<T> {
    fn set(&self, value: T) {
        self.value.set(Some(value));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    async fn take(&self) -> T {
        poll_fn(|context| match self.value.take() {
            Some(value) => Poll::Ready(value),
            None => {
                self.waker.set(Some(context.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }
}

/// The task of a waiting request.
#[derive(Default)]
struct WaitingTask {
    end: ChangeSignal<WaitEnd>,

    /// Whether the request was released, and counts as unsent until its task goes on.
    is_released: Cell<bool>,
}

/// The requests that wait at this node for a free place at a server, and their tasks.
#[derive(Default)]
pub(crate) struct WaitingRequests {
    pub(crate) room: RefCell<WaitingRoom>,
    tasks: RefCell<HashMap<WaitingTicket, Rc<WaitingTask>>>,

    /// Requests that finished here since the last release.
    finished: RefCell<HashMap<WaitingKey, u32>>,

    /// Released requests that have not been sent yet.
    unsent: RefCell<HashMap<WaitingKey, u32>>,

    /// Set when something happens that concerns waiting requests.
    change: ChangeSignal<()>,

    /// Mean time from sending a request until its first event or its answer, in seconds.
    needed: RefCell<HashMap<RouteName, f64>>,
}

impl WaitingRequests {
    pub(crate) fn new(settings: WaitingRoomSettings) -> Self {
        Self { room: RefCell::new(WaitingRoom::new(settings)), ..Self::default() }
    }

    /// What requests wait for.
    pub(crate) fn keys(&self) -> Vec<WaitingKey> {
        self.room.borrow().waiting().map(|(key, _)| key.clone()).collect()
    }

    /// Whether requests wait for these servers.
    pub(crate) fn is_awaited(&self, key: &WaitingKey) -> bool {
        self.room.borrow().waiting_for(key) > 0
    }

    /// Whether a new request must not pass others that wait here.
    pub(crate) fn has_in_time(&self, key: &WaitingKey) -> bool {
        self.room.borrow().has_in_time(key)
    }

    /// Waits until a place is free for the request; refuses it if it would get none in time.
    pub(crate) async fn wait(
        &self,
        now: Instant,
        key: &WaitingKey,
        request: WaitingRequest,
    ) -> WaitEnd {
        let places = FreePlaces::default();
        let (decision, displaced) = self.room.borrow_mut().submit(now, key, request, places);
        for ticket in displaced {
            self.end(ticket, WaitEnd::Refused(AdmitRefusal::Full));
        }
        let ticket = match decision {
            AdmitDecision::Run => return WaitEnd::Released { is_late: false },
            AdmitDecision::Refuse(refusal) => return WaitEnd::Refused(refusal),
            AdmitDecision::Wait(ticket) => ticket,
        };
        let task = Rc::new(WaitingTask::default());
        self.tasks.borrow_mut().insert(ticket, task.clone());
        self.change.set(());
        let guard = WaitGuard { waiting: self, key, ticket, task };
        guard.task.end.take().await
    }

    fn end(&self, ticket: WaitingTicket, end: WaitEnd) {
        if let Some(task) = self.tasks.borrow_mut().remove(&ticket) {
            task.is_released.set(matches!(end, WaitEnd::Released { .. }));
            task.end.set(end);
        }
    }

    /// Releases requests into free places, and wakes those that leave the room.
    pub(crate) fn release(
        &self,
        now: Instant,
        key: &WaitingKey,
        free: FreePlaces,
        since: Duration,
    ) {
        let draw = rand::random();
        let Releases { run, refused } = self.room.borrow_mut().release(now, key, free, since, draw);
        let mut unsent = self.unsent.borrow_mut();
        for released in run {
            *unsent.entry(key.clone()).or_default() += 1;
            self.end(released.ticket, WaitEnd::Released { is_late: released.is_late });
        }
        drop(unsent);
        for (ticket, refusal) in refused {
            self.end(ticket, WaitEnd::Refused(refusal));
        }
    }

    /// Ends the waiting of all requests, because the node stops.
    pub(crate) fn stop(&self) {
        let tickets = self.room.borrow_mut().clear();
        tickets.into_iter().for_each(|ticket| self.end(ticket, WaitEnd::Stopped));
    }

    /// Ends the waiting of all requests for a service that the configuration no longer has.
    pub(crate) fn end_removed(&self, key: &WaitingKey) {
        let tickets = self.room.borrow_mut().clear_key(key);
        tickets.into_iter().for_each(|ticket| self.end(ticket, WaitEnd::ServiceRemoved));
    }

    /// Released requests that have not been sent yet.
    pub(crate) fn unsent(&self, key: &WaitingKey) -> u32 {
        self.unsent.borrow().get(key).copied().unwrap_or_default()
    }

    /// Records that a server answered a request of this node completely.
    pub(crate) fn record_finish(&self, now: Instant, key: &WaitingKey) {
        let mut room = self.room.borrow_mut();
        room.record_finish(now, key);
        if !room.is_empty() {
            *self.finished.borrow_mut().entry(key.clone()).or_default() += 1;
            self.change.set(());
        }
    }

    /// The requests that finished since the last call.
    pub(crate) fn take_finished(&self) -> HashMap<WaitingKey, u32> {
        std::mem::take(&mut *self.finished.borrow_mut())
    }

    /// Returns once something happens that concerns waiting requests.
    pub(crate) async fn changed(&self) {
        self.change.take().await;
    }

    /// Records the time from sending a request until its first event or its answer.
    pub(crate) fn record_needed(&self, route: &RouteName, time: Duration) {
        let mut needed = self.needed.borrow_mut();
        let time = time.as_secs_f64();
        match needed.get_mut(route) {
            Some(mean) => *mean += NEEDED_TIME_WEIGHT * (time - *mean),
            None => {
                needed.insert(route.clone(), time);
            }
        }
    }

    /// The mean of these times, at most `limit`.
    pub(crate) fn needed(&self, route: &RouteName, limit: Duration) -> Duration {
        let mean = self.needed.borrow().get(route).copied().unwrap_or_default();
        Duration::try_from_secs_f64(mean).unwrap_or(limit).min(limit)
    }
}

/// Withdraws a request whose caller left, and counts a released one as sent.
struct WaitGuard<'a> {
    waiting: &'a WaitingRequests,
    key: &'a WaitingKey,
    ticket: WaitingTicket,
    task: Rc<WaitingTask>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.waiting.tasks.borrow_mut().remove(&self.ticket).is_some() {
            self.waiting.room.borrow_mut().withdraw(self.ticket);
        } else if self.task.is_released.get() {
            // The place of a released request is its own until it is counted at its server, which
            // happens before this task yields.
            let mut unsent = self.waiting.unsent.borrow_mut();
            if let Some(count) = unsent.get_mut(self.key) {
                *count = count.saturating_sub(1);
                if *count == 0 {
                    unsent.remove(self.key);
                }
            }
        }
    }
}
