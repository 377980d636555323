//! The running batch and the queue of streams that wait for a slot in it.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::VmLoad;

/// Sort key of waiting streams, lowest first: priority, then order of arrival.
type WaitKey = (u32, u64);

/// The running batch and the queue of streams that wait for a slot in it.
pub(crate) struct BatchQueue {
    capacity: u32,
    queue_capacity: u32,
    state: RefCell<QueueState>,
}

struct QueueState {
    running: u32,
    waiting: BTreeMap<WaitKey, flume::Sender<()>>,
    arrivals: u64,

    /// The load after each change, oldest first. Invariant: never empty.
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

    /// Takes a slot in the batch or the queue; `None` if both are full.
    pub(crate) fn enter(self: &Rc<Self>, priority: u32) -> Option<BatchSlot> {
        let mut state = self.state.borrow_mut();
        if state.running >= self.capacity && state.queued() >= self.queue_capacity {
            return None;
        }
        let key = (priority, state.arrivals);
        state.arrivals += 1;
        let (grant, granted) = flume::bounded(1);
        state.waiting.insert(key, grant);
        state.admit(self.capacity);
        Some(BatchSlot { queue: self.clone(), key, granted })
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
            // Fails if the slot is being dropped. It counts as running until its drop calls
            // `leave`.
            let _ = grant.try_send(());
        }
        let load =
            VmLoad { running: self.running, queued: self.queued(), capacity, ..VmLoad::default() };
        self.history.push_back((Instant::now(), load));
    }
}

/// A slot in the batch or the queue, released on drop.
pub(crate) struct BatchSlot {
    queue: Rc<BatchQueue>,
    key: WaitKey,
    granted: flume::Receiver<()>,
}

impl BatchSlot {
    /// Completes once the slot is in the batch.
    pub(crate) async fn admitted(&self) {
        // Cannot fail: the queue keeps the sender until it has sent.
        let _ = self.granted.recv_async().await;
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.queue.leave(self.key);
    }
}
