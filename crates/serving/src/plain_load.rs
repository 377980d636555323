//! Calls in progress at plain backend servers.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use comfreyturn_types::VmId;

/// Counts the calls that this node has in progress at each plain backend server.
#[derive(Default)]
pub(crate) struct PlainLoad {
    /// One shared mark for each backend server; its references are the calls.
    marks: RefCell<BTreeMap<VmId, Rc<VmId>>>,
}

impl PlainLoad {
    /// Counts one more until the mark is dropped.
    pub(crate) fn enter(&self, vm: &VmId) -> Rc<VmId> {
        let mut marks = self.marks.borrow_mut();
        marks.retain(|_, mark| Rc::strong_count(mark) > 1);
        marks.entry(vm.clone()).or_insert_with(|| Rc::new(vm.clone())).clone()
    }

    pub(crate) fn count(&self, vm: &VmId) -> usize {
        self.marks.borrow().get(vm).map_or(0, |mark| Rc::strong_count(mark) - 1)
    }
}
