//! Counts requests in progress.

use std::{cell::Cell, rc::Rc};

/// Counts requests in progress.
#[derive(Clone, Default)]
pub(crate) struct InFlightCount {
    count: Rc<Cell<u32>>,
}

impl InFlightCount {
    /// Counts one more until the guard and all its clones are dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.count.set(self.count.get() + 1);
        InFlightGuard { _mark: Rc::new(InFlightMark { count: self.count.clone() }) }
    }

    pub(crate) fn count(&self) -> u32 {
        self.count.get()
    }
}

/// One request in progress.
#[derive(Clone)]
pub(crate) struct InFlightGuard {
    _mark: Rc<InFlightMark>,
}

struct InFlightMark {
    count: Rc<Cell<u32>>,
}

impl Drop for InFlightMark {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
