//! Which requests run at which place.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Request by its fingerprint, and a number that tells its marks apart.
type RunKey = (u64, u64);

/// The requests of this node that run at each place, by the number that its death would have.
#[derive(Default)]
pub(crate) struct RunningRequests {
    runs: RefCell<BTreeMap<u64, BTreeSet<RunKey>>>,
    next_serial: RefCell<u64>,
}

impl RunningRequests {
    /// A request runs at a place until the mark is dropped.
    pub(crate) fn enter(self: &Rc<Self>, crash: u64, fingerprint: u64) -> RunningGuard {
        let mut next = self.next_serial.borrow_mut();
        *next += 1;
        let key = (fingerprint, *next);
        self.runs.borrow_mut().entry(crash).or_default().insert(key);
        RunningGuard { runs: self.clone(), crash, key }
    }

    /// The requests that run at a place.
    pub(crate) fn at(&self, crash: u64) -> BTreeSet<u64> {
        let runs = self.runs.borrow();
        runs.get(&crash).into_iter().flatten().map(|(fingerprint, _)| *fingerprint).collect()
    }

    fn leave(&self, crash: u64, key: RunKey) {
        let mut runs = self.runs.borrow_mut();
        let Some(keys) = runs.get_mut(&crash) else {
            return;
        };
        keys.remove(&key);
        if keys.is_empty() {
            runs.remove(&crash);
        }
    }
}

/// A request that runs at a place.
pub(crate) struct RunningGuard {
    runs: Rc<RunningRequests>,
    crash: u64,
    key: RunKey,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.runs.leave(self.crash, self.key);
    }
}
