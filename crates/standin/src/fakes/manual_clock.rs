//! A clock that advances only on request.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use comfreyturn_ports::Clock;
use futures_util::future::LocalBoxFuture;

/// Order of timers that are due at the same time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerRank {
    /// Messages queued for a paused node.
    Message,
    /// Everything else.
    Task,
}

/// Timers fire by time, then by rank, then in the order in which they were set.
type TimerKey = (Duration, TimerRank, u64);

/// A clock that advances only on request. Clones share the time.
#[derive(Clone)]
pub struct ManualClock {
    state: Rc<ClockState>,
}

struct ClockState {
    start: Instant,
    elapsed: Cell<Duration>,
    timers: RefCell<BTreeMap<TimerKey, Waker>>,
    timer_count: Cell<u64>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ManualClock {
    /// A clock at zero elapsed time.
    pub fn new() -> Self {
        let state = ClockState {
            start: Instant::now(),
            elapsed: Cell::default(),
            timers: RefCell::default(),
            timer_count: Cell::default(),
        };
        Self { state: Rc::new(state) }
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.state.elapsed.get()
    }

    /// Time since the start, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// When the next timer is due, as time since the start.
    pub fn next_timer(&self) -> Option<Duration> {
        self.state.timers.borrow().keys().next().map(|(at, ..)| *at)
    }

    /// Advances the time, and wakes the timers that become due.
    pub fn advance(&self, duration: Duration) {
        self.advance_to(self.elapsed() + duration);
    }

    /// Advances the time to the next timer. Returns false if there is none.
    pub fn advance_to_next_timer(&self) -> bool {
        let Some(at) = self.next_timer() else {
            return false;
        };
        self.advance_to(at);
        true
    }

    /// A timer for `duration`. Timers due at the same time fire in the order of `rank`.
    pub(crate) fn timer(&self, duration: Duration, rank: TimerRank) -> ManualTimer {
        let sequence = self.state.timer_count.get();
        self.state.timer_count.set(sequence + 1);
        ManualTimer { state: self.state.clone(), key: (self.elapsed() + duration, rank, sequence) }
    }

    fn advance_to(&self, at: Duration) {
        self.state.elapsed.set(at.max(self.elapsed()));
        while let Some(waker) = self.take_due() {
            waker.wake();
        }
    }

    fn take_due(&self) -> Option<Waker> {
        let mut timers = self.state.timers.borrow_mut();
        let first = timers.first_entry()?;
        (first.key().0 <= self.elapsed()).then(|| first.remove())
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.state.start + self.elapsed()
    }

    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        Box::pin(self.timer(duration, TimerRank::Task))
    }
}

/// Future that completes at a given time.
pub(crate) struct ManualTimer {
    state: Rc<ClockState>,
    key: TimerKey,
}

impl Future for ManualTimer {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.key.0 <= self.state.elapsed.get() {
            return Poll::Ready(());
        }
        self.state.timers.borrow_mut().insert(self.key, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for ManualTimer {
    fn drop(&mut self) {
        self.state.timers.borrow_mut().remove(&self.key);
    }
}
