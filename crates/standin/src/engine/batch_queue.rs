//! The running batch, and the streams that wait for a place in it.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::VmLoad;

/// The order of waiting streams: by priority, then by arrival.
type WaitKey = (u32, u64);

/// The running batch, and the streams that wait for a place in it.
pub(crate) struct BatchQueue {
    capacity: u32,
    queue_capacity: u32,
    state: RefCell<QueueState>,
}

struct QueueState {
    running: u32,
    waiting: BTreeMap<WaitKey, flume::Sender<()>>,
    arrivals: u64,

    /// The load after each change. Invariant: never empty, in order of time.
    history: VecDeque<(Instant, VmLoad)>,
}

impl BatchQueue {
    /// An empty batch.
    pub(crate) fn new(now: Instant, capacity: u32, queue_capacity: u32) -> Self {
        let idle = VmLoad { capacity, ..Default::default() };
        let state = QueueState {
            running: 0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            history: VecDeque::from([(now, idle)]),
        };
        Self { capacity, queue_capacity, state: RefCell::new(state) }
    }

    /// Takes a place in the batch or the queue, or none if both are full.
    pub(crate) fn enter(self: &Rc<Self>, priority: u32) -> Option<BatchPlace> {
        let mut state = self.state.borrow_mut();
        if state.running >= self.capacity && state.queued() >= self.queue_capacity {
            return None;
        }
        let key = (priority, state.arrivals);
        state.arrivals += 1;
        let (grant, granted) = flume::bounded(1);
        state.waiting.insert(key, grant);
        state.admit(self.capacity);
        Some(BatchPlace { queue: self.clone(), key, granted })
    }

    /// The load as it was `lag` ago.
    pub(crate) fn load(&self, now: Instant, lag: Duration) -> VmLoad {
        let mut state = self.state.borrow_mut();
        while state.history.len() > 1 && state.history[1].0 + lag <= now {
            state.history.pop_front();
        }
        let (since, load) = state.history[0];
        VmLoad { age: lag.min(now.saturating_duration_since(since)), ..load }
    }

    fn leave(&self, key: WaitKey) {
        let mut state = self.state.borrow_mut();
        if state.waiting.remove(&key).is_none() {
            state.running -= 1;
        }
        state.admit(self.capacity);
    }
}

impl QueueState {
    fn queued(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn admit(&mut self, capacity: u32) {
        while self.running < capacity {
            let Some((_, grant)) = self.waiting.pop_first() else {
                break;
            };
            self.running += 1;
            // A place whose receiver is gone is about to leave, and is counted until then.
            let _ = grant.try_send(());
        }
        let load =
            VmLoad { running: self.running, queued: self.queued(), capacity, ..VmLoad::default() };
        self.history.push_back((Instant::now(), load));
    }
}

/// A place in the batch or the queue, held until dropped.
pub(crate) struct BatchPlace {
    queue: Rc<BatchQueue>,
    key: WaitKey,
    granted: flume::Receiver<()>,
}

impl BatchPlace {
    /// Completes once the place is in the batch.
    pub(crate) async fn admitted(&self) {
        // The sender lives in the queue until it has sent.
        let _ = self.granted.recv_async().await;
    }
}

impl Drop for BatchPlace {
    fn drop(&mut self) {
        self.queue.leave(self.key);
    }
}
