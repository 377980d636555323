//! Requests of this node that are running, by target.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Fingerprint of a request, and a serial that distinguishes its attempts.
type RunKey = (u64, u64);

/// The requests of this node that run at each target, by the id that a crash of the target would
/// have.
#[derive(Default)]
pub(crate) struct RunningRequests {
    runs: RefCell<BTreeMap<u64, BTreeSet<RunKey>>>,
    next_serial: RefCell<u64>,
}

impl RunningRequests {
    /// Lists a request as running at a target until the guard is dropped.
    pub(crate) fn enter(self: &Rc<Self>, crash: u64, fingerprint: u64) -> RunningGuard {
        let mut next = self.next_serial.borrow_mut();
        *next += 1;
        let key = (fingerprint, *next);
        self.runs.borrow_mut().entry(crash).or_default().insert(key);
        RunningGuard { runs: self.clone(), crash, key }
    }

    /// Fingerprints of the requests that run at a target.
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

/// Lists a request as running at a target until dropped.
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
