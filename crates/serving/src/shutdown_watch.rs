//! Which requests a node takes and runs once it is known when it ends.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{RunTimeSettings, RunTimes, ShutdownTerm};
use comfreyturn_types::ServiceName;

/// A request that runs: its service, and a number that rises with each one.
type RunKey = (ServiceName, u64);

/// When the node ends, and how long requests take. Without an end, every request fits.
pub(crate) struct ShutdownWatch {
    term: Cell<Option<ShutdownTerm>>,
    times: RefCell<RunTimes<ServiceName>>,

    /// When each running request was admitted; of a service, the oldest comes first.
    running: RefCell<BTreeMap<RunKey, Instant>>,

    next: Cell<u64>,
}

impl ShutdownWatch {
    /// A watch of a node whose end is not known.
    pub(crate) fn new(settings: RunTimeSettings) -> Rc<Self> {
        Rc::new(Self {
            term: Cell::default(),
            times: RefCell::new(RunTimes::new(settings)),
            running: RefCell::default(),
            next: Cell::default(),
        })
    }

    /// States when the node ends.
    pub(crate) fn end_by(&self, term: ShutdownTerm) {
        self.term.set(Some(term));
    }

    /// When the node ends, once that is known.
    pub(crate) fn term(&self) -> Option<ShutdownTerm> {
        self.term.get()
    }

    /// Whether a new request that its caller waits for until `deadline` can be answered before the
    /// node ends.
    pub(crate) fn can_take(&self, now: Instant, service: &ServiceName, deadline: Instant) -> bool {
        let Some(term) = self.term() else { return true };
        term.admits(now, self.needed_time(now, service, deadline))
    }

    /// Whether a request that has not begun to run can be answered before the node ends.
    pub(crate) fn can_finish(
        &self,
        now: Instant,
        service: &ServiceName,
        deadline: Instant,
    ) -> bool {
        let Some(term) = self.term() else { return true };
        term.can_finish(now, self.needed_time(now, service, deadline))
    }

    /// How long a request may take, as far as this node can tell.
    fn needed_time(&self, now: Instant, service: &ServiceName, deadline: Instant) -> Duration {
        let limit = deadline.saturating_duration_since(now);
        let running = self.oldest_age(now, service);
        self.times.borrow().needed(now, service, running, limit)
    }

    fn oldest_age(&self, now: Instant, service: &ServiceName) -> Duration {
        let running = self.running.borrow();
        let of_service = running.range((service.clone(), 0)..=(service.clone(), u64::MAX));
        let oldest = of_service.map(|(_, admitted_at)| *admitted_at).next();
        oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Lists a request as running until the guard is dropped.
    pub(crate) fn enter(self: &Rc<Self>, now: Instant, service: &ServiceName) -> RunTimer {
        let number = self.next.get();
        self.next.set(number + 1);
        let key = (service.clone(), number);
        self.running.borrow_mut().insert(key.clone(), now);
        RunTimer { watch: self.clone(), key, admitted_at: now }
    }
}

/// The time that a request runs, from its admission on.
pub(crate) struct RunTimer {
    watch: Rc<ShutdownWatch>,
    key: RunKey,
    admitted_at: Instant,
}

impl RunTimer {
    /// Records that the request was answered completely.
    pub(crate) fn record(&self, now: Instant) {
        let time = now.saturating_duration_since(self.admitted_at);
        self.watch.times.borrow_mut().record(now, &self.key.0, time);
    }
}

impl Drop for RunTimer {
    fn drop(&mut self) {
        self.watch.running.borrow_mut().remove(&self.key);
    }
}
