//! Which requests run at which place.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Request by its fingerprint, and a number that tells its marks apart.
type RunMark = (u64, u64);

/// The requests of this node that run at each place, by the number that its death would have.
#[derive(Default)]
pub(crate) struct PlaceRuns {
    runs: RefCell<BTreeMap<u64, BTreeSet<RunMark>>>,
    next_mark: RefCell<u64>,
}

impl PlaceRuns {
    /// A request runs at a place until the mark is dropped.
    pub(crate) fn enter(self: &Rc<Self>, death: u64, fingerprint: u64) -> PlaceMark {
        let mut next = self.next_mark.borrow_mut();
        *next += 1;
        let mark = (fingerprint, *next);
        self.runs.borrow_mut().entry(death).or_default().insert(mark);
        PlaceMark { runs: self.clone(), death, mark }
    }

    /// The requests that run at a place.
    pub(crate) fn at(&self, death: u64) -> BTreeSet<u64> {
        let runs = self.runs.borrow();
        runs.get(&death).into_iter().flatten().map(|(fingerprint, _)| *fingerprint).collect()
    }

    fn leave(&self, death: u64, mark: RunMark) {
        let mut runs = self.runs.borrow_mut();
        let Some(marks) = runs.get_mut(&death) else {
            return;
        };
        marks.remove(&mark);
        if marks.is_empty() {
            runs.remove(&death);
        }
    }
}

/// A request that runs at a place.
pub(crate) struct PlaceMark {
    runs: Rc<PlaceRuns>,
    death: u64,
    mark: RunMark,
}

impl Drop for PlaceMark {
    fn drop(&mut self) {
        self.runs.leave(self.death, self.mark);
    }
}
