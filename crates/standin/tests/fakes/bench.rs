//! Clock, task pool and fault plan of a test.

use std::{future::Future, rc::Rc};

use comfreyturn_ports::{Clock, Step};
use comfreyturn_standin::fakes::{
    Fault, FaultPlan, FaultRule, FaultSettings, LocalPool, ManualClock, RunError, run_until,
};
use comfreyturn_types::NodeId;

pub struct TestBench {
    pub pool: LocalPool,
    pub clock: ManualClock,
    pub plan: FaultPlan,
    pub node: NodeId,
}

impl TestBench {
    pub fn new() -> Self {
        let pool = LocalPool::new();
        let clock = ManualClock::new();
        let plan = FaultPlan::new(&clock, &pool, FaultSettings::default());
        Self { pool, clock, plan, node: NodeId::from("node-1") }
    }

    pub fn with_fault(step: Step, fault: Fault) -> Self {
        let bench = Self::new();
        bench.plan.inject(FaultRule { step, occurrence: 1, node: None, fault });
        bench
    }

    pub fn node_clock(&self) -> Rc<dyn Clock> {
        self.plan.clock(&self.node)
    }

    /// Runs a future on the node.
    pub fn run<T>(&mut self, future: impl Future<Output = T>) -> Result<T, RunError> {
        let gated = self.plan.on_node(&self.node, future);
        run_until(&self.clock, &mut self.pool, gated)
    }
}
