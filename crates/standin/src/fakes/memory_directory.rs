//! In-memory list of the platform's VMs.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use async_trait::async_trait;
use comfreyturn_ports::{DirectoryError, DirectoryResult, Step, VmDirectory};
use comfreyturn_types::{NodeId, VmId, VmRecord};

use super::{FaultEndpoint, FaultPlan, call_outcome::RequestDelivery};

/// In-memory list of the platform's VMs. It is always current unless the test delays a change.
/// Clones share the list.
#[derive(Clone)]
pub struct MemoryDirectory {
    plan: FaultPlan,
    list: Rc<RefCell<BTreeMap<VmId, VmRecord>>>,
}

impl MemoryDirectory {
    /// A list of the given VMs.
    pub fn new(plan: &FaultPlan, records: impl IntoIterator<Item = VmRecord>) -> Self {
        let list = records.into_iter().map(|record| (record.vm.clone(), record)).collect();
        Self { plan: plan.clone(), list: Rc::new(RefCell::new(list)) }
    }

    /// Adds or replaces a VM.
    pub fn put(&self, record: VmRecord) {
        self.list.borrow_mut().insert(record.vm.clone(), record);
    }

    /// Removes a VM.
    pub fn remove(&self, vm: &VmId) {
        self.list.borrow_mut().remove(vm);
    }

    /// The list as a node reads it.
    pub fn for_node(&self, node: &NodeId) -> Rc<dyn VmDirectory> {
        Rc::new(NodeDirectory { directory: self.clone(), node: node.clone() })
    }
}

/// The list as a node reads it, with faults.
struct NodeDirectory {
    directory: MemoryDirectory,
    node: NodeId,
}

#[async_trait(?Send)]
impl VmDirectory for NodeDirectory {
    async fn list(&self, step: Step) -> DirectoryResult<Vec<VmRecord>> {
        let plan = &self.directory.plan;
        let outcome = plan.begin_call(step, &self.node, &FaultEndpoint::Directory).await;
        if outcome.request != RequestDelivery::Delivered || outcome.loses_answer {
            plan.wait_for_timeout().await;
            return Err(DirectoryError);
        }
        Ok(self.directory.list.borrow().values().cloned().collect())
    }
}
