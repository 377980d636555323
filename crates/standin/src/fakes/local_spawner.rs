//! Runs tasks on virtual time.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Wake, Waker},
    time::Duration,
};

use comfreyturn_ports::Spawner;
use futures_executor::LocalPool;
use futures_util::{future::LocalBoxFuture, task::LocalSpawn};

use super::ManualClock;

/// Limit of the virtual time that [`run_until`] waits for a future.
pub const VIRTUAL_TIME_LIMIT: Duration = Duration::from_secs(3600);

/// Why a future did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum RunError {
    /// No task can run, and no timer is set.
    #[display("no task can run, and no timer is set")]
    Stalled,

    /// The limit of virtual time was reached.
    #[display("the limit of virtual time was reached")]
    TimeLimit,
}

/// Spawns tasks on a pool.
#[derive(Clone, Debug)]
pub struct LocalSpawner {
    spawner: futures_executor::LocalSpawner,
}

impl LocalSpawner {
    /// Spawns tasks on `pool`.
    pub fn new(pool: &LocalPool) -> Self {
        Self { spawner: pool.spawner() }
    }
}

impl Spawner for LocalSpawner {
    fn spawn(&self, task: LocalBoxFuture<'static, ()>) {
        if self.spawner.spawn_local_obj(task.into()).is_err() {
            log::debug!("fakes: cannot spawn a task, its pool was dropped.");
        }
    }
}

/// Runs tasks until a future completes. While no task can run, time advances to the next timer.
pub fn run_until<T>(
    clock: &ManualClock,
    pool: &mut LocalPool,
    future: impl Future<Output = T>,
) -> Result<T, RunError> {
    run_until_limit(clock, pool, VIRTUAL_TIME_LIMIT, future)
}

/// Runs tasks for a span of virtual time.
pub fn run_for(clock: &ManualClock, pool: &mut LocalPool, duration: Duration) {
    let timer = clock.timer(duration, super::manual_clock::TimerRank::Task);
    let ended = run_until_limit(clock, pool, duration, timer);
    debug_assert!(ended.is_ok(), "a timer within the limit fires");
}

/// Runs tasks until a future completes, at most for `limit` of virtual time.
pub fn run_until_limit<T>(
    clock: &ManualClock,
    pool: &mut LocalPool,
    limit: Duration,
    future: impl Future<Output = T>,
) -> Result<T, RunError> {
    let deadline = clock.elapsed() + limit;
    let flag = Arc::new(WakeFlag(AtomicBool::new(true)));
    let waker = Waker::from(flag.clone());
    let mut context = Context::from_waker(&waker);
    let mut future = pin!(future);
    loop {
        while flag.0.swap(false, Ordering::Relaxed) {
            if let Poll::Ready(output) = future.as_mut().poll(&mut context) {
                return Ok(output);
            }
        }
        pool.run_until_stalled();
        if flag.0.load(Ordering::Relaxed) {
            continue;
        }
        match clock.next_timer() {
            None => return Err(RunError::Stalled),
            Some(at) if at > deadline => return Err(RunError::TimeLimit),
            Some(_) => clock.advance_to_next_timer(),
        };
    }
}

/// Whether the future was woken.
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}
