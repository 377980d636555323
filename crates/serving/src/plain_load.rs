//! Calls in progress at plain backend servers.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use comfreyturn_types::VmId;

/// Counts the calls that this node has in progress at each plain backend server.
#[derive(Default)]
pub(crate) struct PlainLoad {
    /// One shared handle for each backend server; each further reference is a call in progress.
    handles: RefCell<BTreeMap<VmId, Rc<VmId>>>,
}

impl PlainLoad {
    /// Counts one more call until the returned handle is dropped.
    pub(crate) fn enter(&self, vm: &VmId) -> Rc<VmId> {
        let mut handles = self.handles.borrow_mut();
        handles.retain(|_, handle| Rc::strong_count(handle) > 1);
        handles.entry(vm.clone()).or_insert_with(|| Rc::new(vm.clone())).clone()
    }

    pub(crate) fn count(&self, vm: &VmId) -> usize {
        self.handles.borrow().get(vm).map_or(0, |handle| Rc::strong_count(handle) - 1)
    }
}
