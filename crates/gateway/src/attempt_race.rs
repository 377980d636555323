//! Attempts of one request that run at the same time, while a server is silent.
//!
//! An attempt that runs is never given up for one that may fail: a silent server keeps its request
//! until another one has answered.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::ServerLife;
use futures_util::{
    future::{Either, Join, LocalBoxFuture, Ready, join, ready, select},
    stream::{FuturesUnordered, StreamExt as _},
};

use crate::{
    forward_attempt::{AttemptError, AttemptFailure},
    forward_run::{ForwardRun, STOP_CHECK_PERIOD},
};

/// Time between two checks whether the server of a pending request has stalled.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Time until the next look for a server, if none was available to go on with an answer.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Time until the next look for a server, if none was available beside a silent one. Each look counts as
/// an arrival in the measured load.
const CAPACITY_PAUSE: Duration = Duration::from_millis(250);

/// An answer of a server that failed is delivered this long before the request must end, if no better
/// one has come.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Shorter limits of silence count as this, so that waiting always takes time.
const LEAST_SILENCE: Duration = Duration::from_millis(50);

/// The server that an attempt waits for.
#[derive(Clone, Debug)]
struct AwaitedServer {
    life: ServerLife,

    /// Whether the attempt takes this node's own path.
    is_direct: bool,

    /// When the server was last heard, or the request was sent.
    since: Instant,
}

/// Tells how long the server of an attempt has been silent.
#[derive(Debug, Default)]
pub(crate) struct SilenceWatch {
    /// `None` while the attempt waits for something else, such as a place at a server.
    awaited: RefCell<Option<AwaitedServer>>,
}

impl SilenceWatch {
    /// The attempt waits for the server from now on.
    pub(crate) fn wait_for(&self, now: Instant, life: &ServerLife, is_direct: bool) {
        let awaited = AwaitedServer { life: life.clone(), is_direct, since: now };
        *self.awaited.borrow_mut() = Some(awaited);
    }

    /// The server was heard.
    pub(crate) fn heard(&self, now: Instant) {
        if let Some(awaited) = &mut *self.awaited.borrow_mut() {
            awaited.since = now;
        }
    }

    /// For how long the server has been silent; zero if the attempt waits for something else.
    fn silence(&self, now: Instant) -> Duration {
        let awaited = self.awaited.borrow();
        let since = awaited.as_ref().map_or(now, |awaited| awaited.since);
        now.saturating_duration_since(since)
    }

    /// The attempt waits for no server any more.
    pub(crate) fn clear(&self) {
        *self.awaited.borrow_mut() = None;
    }
}

/// A running attempt, which ends with what it yields for the caller.
pub(crate) type RunningAttempt<'a, T> = LocalBoxFuture<'a, Result<T, AttemptFailure>>;

/// Starts another attempt, whose server is watched.
pub(crate) type StartAttempt<'a, T> = &'a dyn Fn(Rc<SilenceWatch>) -> RunningAttempt<'a, T>;

/// When another attempt is made beside those that run.
enum NextAttempt {
    /// Once the server of the newest attempt has been silent for this time.
    AfterSilence(Rc<SilenceWatch>, Duration),

    /// At this time, if the budget for retries allows it, and the server of the newest attempt, if that
    /// one runs, is still silent.
    IfAllowed(Instant, Option<Rc<SilenceWatch>>),

    /// At this time. Its retry was taken from the budget.
    At(Instant),

    /// Never.
    Never,
}

/// Attempts of one request that run at the same time.
pub(crate) struct AttemptRace<'a, T> {
    run: &'a ForwardRun,
    start: StartAttempt<'a, T>,

    /// For how long the server of a new attempt may be silent until another one is made.
    limit: Duration,

    /// Whether the caller has received a part of the answer. Then it is worth waiting for a server.
    is_answering: bool,

    /// Attempts with their numbers.
    running: FuturesUnordered<Join<Ready<u32>, RunningAttempt<'a, T>>>,

    /// The number of the newest attempt.
    newest: u32,
    next: NextAttempt,

    /// The last failure, or the answer of a server that failed.
    failure: Option<AttemptFailure>,
}

impl<'a, T> AttemptRace<'a, T> {
    /// A race that begins with a new attempt, of a request whose caller has received nothing.
    pub(crate) fn new(run: &'a ForwardRun, limit: Duration, start: StartAttempt<'a, T>) -> Self {
        let watch = Rc::new(SilenceWatch::default());
        let first = start(watch.clone());
        Self { is_answering: false, ..Self::resumed(run, limit, start, (first, watch), limit) }
    }

    /// A race that begins with an attempt whose answer the caller is receiving, and whose server may
    /// be silent for `pause`.
    pub(crate) fn resumed(
        run: &'a ForwardRun,
        limit: Duration,
        start: StartAttempt<'a, T>,
        current: (RunningAttempt<'a, T>, Rc<SilenceWatch>),
        pause: Duration,
    ) -> Self {
        let (attempt, watch) = current;
        let (limit, pause) = (limit.max(LEAST_SILENCE), pause.max(LEAST_SILENCE));
        let running = FuturesUnordered::new();
        running.push(join(ready(0), attempt));
        let next = NextAttempt::AfterSilence(watch, pause);
        Self { run, start, limit, is_answering: true, running, newest: 0, next, failure: None }
    }

    /// Runs until one attempt succeeds, which ends the others, or all have failed.
    ///
    /// # Errors
    ///
    /// The answer of a server that failed, else the failure of the last attempt.
    pub(crate) async fn run(mut self) -> Result<T, AttemptFailure> {
        loop {
            match self.step().await {
                Some((_, Ok(value))) => return Ok(value),
                Some((number, Err(failure))) => {
                    self.plan_after(number, &failure);
                    if !matches!(self.failure, Some(AttemptFailure::Answer(_))) {
                        self.failure = Some(failure);
                    }
                }
                None if self.must_answer() => {}
                None => self.add_if_allowed(),
            }
            let is_over = self.running.is_empty() && !matches!(self.next, NextAttempt::At(_));
            if (is_over || self.must_answer())
                && let Some(failure) = self.failure.take()
            {
                return Err(failure);
            }
        }
    }

    /// Whether there is an answer of a server that failed, and no time to wait for a better one.
    fn must_answer(&self) -> bool {
        let has_answer = matches!(self.failure, Some(AttemptFailure::Answer(_)));
        has_answer && self.run.now() + ANSWER_MARGIN >= self.run.ends_at()
    }

    /// Waits for the end of an attempt; `None` if something else is to be decided before.
    async fn step(&mut self) -> Option<(u32, Result<T, AttemptFailure>)> {
        let Self { run, running, next, failure, .. } = self;
        let next = async {
            match failure {
                Some(AttemptFailure::Answer(_)) => {
                    let last_time = std::pin::pin!(run.await_last_time());
                    select(std::pin::pin!(run.await_next(next)), last_time).await;
                }
                _ => run.await_next(next).await,
            }
        };
        let next = std::pin::pin!(next);
        if running.is_empty() {
            next.await;
            return None;
        }
        match select(running.next(), next).await {
            Either::Left((ended, _)) => ended,
            Either::Right(_) => None,
        }
    }

    /// Decides whether another attempt is made after one that failed.
    fn plan_after(&mut self, number: u32, failure: &AttemptFailure) {
        let is_newest = number == self.newest;
        if !is_newest && !self.running.is_empty() {
            return;
        }
        let is_started = self.is_answering || !self.running.is_empty();
        let may_look_again = is_started && self.run.has_attempt_left();
        match failure {
            AttemptFailure::Error(AttemptError::NotMade(reason))
                if may_look_again && reason.is_lack_of_capacity() =>
            {
                let pause = if self.is_answering { RESUME_PAUSE } else { CAPACITY_PAUSE };
                self.next = NextAttempt::At(self.run.now() + pause);
            }
            AttemptFailure::Error(AttemptError::NotMade(_) | AttemptError::OutOfTime) => {
                self.next = NextAttempt::Never;
            }
            _ if matches!(self.next, NextAttempt::At(_)) => {}
            _ if self.run.should_retry(failure) => self.add(),
            _ => self.next = self.ask_again(None),
        }
    }

    /// Makes another attempt beside those that run, if one is allowed.
    fn add_if_allowed(&mut self) {
        let now = self.run.now();
        let watch = match std::mem::replace(&mut self.next, NextAttempt::Never) {
            NextAttempt::Never => return,
            NextAttempt::At(_) => return self.add(),
            NextAttempt::AfterSilence(watch, _) => {
                if !self.run.has_attempt_left() {
                    return;
                }
                self.run.record_silence(&watch);
                Some(watch)
            }
            NextAttempt::IfAllowed(_, Some(watch)) if watch.silence(now) < self.limit => {
                self.next = NextAttempt::AfterSilence(watch, self.limit);
                return;
            }
            NextAttempt::IfAllowed(_, watch) => watch,
        };
        if self.run.take_retry() {
            self.add();
        } else {
            self.next = self.ask_again(watch);
        }
    }

    /// The budget for retries may allow another attempt later.
    fn ask_again(&self, watch: Option<Rc<SilenceWatch>>) -> NextAttempt {
        let is_possible = !self.running.is_empty() && self.run.has_attempt_left();
        if is_possible {
            NextAttempt::IfAllowed(self.run.now() + self.limit, watch)
        } else {
            NextAttempt::Never
        }
    }

    fn add(&mut self) {
        let watch = Rc::new(SilenceWatch::default());
        self.newest += 1;
        self.running.push(join(ready(self.newest), (self.start)(watch.clone())));
        self.next = NextAttempt::AfterSilence(watch, self.limit);
    }
}

impl ForwardRun {
    /// Waits until it is time for another attempt.
    async fn await_next(&self, next: &NextAttempt) {
        match next {
            NextAttempt::AfterSilence(watch, limit) => self.await_silence(watch, *limit).await,
            NextAttempt::IfAllowed(at, _) | NextAttempt::At(at) => {
                let pause = at.saturating_duration_since(self.now());
                self.ports.clock.sleep(pause).await;
            }
            NextAttempt::Never => std::future::pending().await,
        }
    }

    /// Waits until the caller must get an answer.
    async fn await_last_time(&self) {
        loop {
            let left = self.ends_at().saturating_duration_since(self.now());
            if left <= ANSWER_MARGIN {
                return;
            }
            let pause = (left - ANSWER_MARGIN).min(STOP_CHECK_PERIOD);
            self.ports.clock.sleep(pause).await;
        }
    }

    /// Waits until a server was silent for `limit`, or for less if it counts as stalled.
    async fn await_silence(&self, watch: &SilenceWatch, limit: Duration) {
        loop {
            let now = self.now();
            let mut pause = limit.min(STALL_CHECK_PERIOD);
            if let Some(awaited) = &*watch.awaited.borrow() {
                let silent = now.saturating_duration_since(awaited.since);
                let is_stalled =
                    silent >= STALL_CHECK_PERIOD && self.is_stalled(now, &awaited.life);
                if silent >= limit || is_stalled {
                    return;
                }
                pause = pause.min(limit - silent);
            }
            self.ports.clock.sleep(pause).await;
        }
    }

    /// Records that the server of an attempt is silent.
    fn record_silence(&self, watch: &SilenceWatch) {
        let Some(AwaitedServer { life, is_direct, since }) = watch.awaited.borrow().clone() else {
            return;
        };
        let now = self.now();
        self.trace.silent(&life, now.saturating_duration_since(since));
        if is_direct {
            self.state.record_unreached(now, &life);
        }
        self.record_stall(&life);
    }

    fn is_stalled(&self, now: Instant, life: &ServerLife) -> bool {
        let retention = self.state.settings.stall_retention;
        let lost = self.state.lost.borrow().contains(life);
        lost || self.state.stalls.borrow().is_stalled(now, life, retention)
    }
}
