//! Reports and orders of backend servers in memory.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use async_trait::async_trait;
use comfreyturn_ports::{EngineControl, EngineError, EngineOrder, EngineResult, Step};
use comfreyturn_types::{
    FencingNumber, GroupAssignment, Incarnation, NodeId, VmId, VmLoad, VmPhase, VmRecord, VmReport,
};

use super::{FaultEndpoint, FaultPlan, call_fate::RequestFate};
use crate::PlaceRecord;

/// How a backend server in memory behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryEngineSettings {
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,

    /// Time from an order to readiness.
    pub loading: Duration,
}

impl Default for MemoryEngineSettings {
    fn default() -> Self {
        Self { checks_fencing: true, loading: Duration::from_secs(10) }
    }
}

/// The state of a backend server.
struct MemoryEngine {
    settings: MemoryEngineSettings,
    incarnation: Incarnation,
    is_alive: bool,
    leaving: bool,
    fencing: FencingNumber,
    assignment: Option<GroupAssignment>,
    ready_at: Duration,
    load: VmLoad,
}

impl MemoryEngine {
    fn phase(&self, now: Duration) -> VmPhase {
        match self.assignment {
            None => VmPhase::Idle,
            Some(_) if now < self.ready_at => VmPhase::Loading,
            Some(_) => VmPhase::Ready,
        }
    }

    fn report(&self, now: Duration, vm: &VmId) -> VmReport {
        VmReport {
            vm: vm.clone(),
            incarnation: self.incarnation,
            phase: self.phase(now),
            leaving: self.leaving,
            assignment: self.assignment.clone(),
            fencing: self.settings.checks_fencing.then_some(self.fencing),
            load: self.load,
        }
    }
}

/// Model engines in memory. Clones share them.
#[derive(Clone)]
pub struct MemoryEngines {
    plan: FaultPlan,
    engines: Rc<RefCell<BTreeMap<VmId, MemoryEngine>>>,
    orders: Rc<RefCell<Vec<(VmId, EngineOrder)>>>,
    places: Rc<RefCell<Vec<PlaceRecord>>>,
}

impl MemoryEngines {
    /// No engines yet.
    pub fn new(plan: &FaultPlan) -> Self {
        Self {
            plan: plan.clone(),
            engines: Rc::default(),
            orders: Rc::default(),
            places: Rc::default(),
        }
    }

    /// Starts an idle engine on a VM, in place of an earlier one.
    pub fn start(&self, vm: &VmId, settings: MemoryEngineSettings) {
        let engine = MemoryEngine {
            settings,
            incarnation: self.plan.next_incarnation(),
            is_alive: true,
            leaving: false,
            fencing: FencingNumber::default(),
            assignment: None,
            ready_at: Duration::ZERO,
            load: VmLoad::default(),
        };
        self.engines.borrow_mut().insert(vm.clone(), engine);
    }

    /// Ends an engine (`false`), or lets it come back as if nothing had happened (`true`).
    pub fn set_alive(&self, vm: &VmId, is_alive: bool) {
        self.with_engine(vm, |engine| engine.is_alive = is_alive);
    }

    /// Lets an engine report that it is leaving.
    pub fn set_leaving(&self, vm: &VmId) {
        self.with_engine(vm, |engine| engine.leaving = true);
    }

    /// Sets the load that an engine reports.
    pub fn set_load(&self, vm: &VmId, load: VmLoad) {
        self.with_engine(vm, |engine| engine.load = load);
    }

    /// The report of an engine, past all faults. None if there is no live engine.
    pub fn report(&self, vm: &VmId) -> Option<VmReport> {
        let now = self.plan.manual_clock().elapsed();
        let engines = self.engines.borrow();
        let engine = engines.get(vm).filter(|engine| engine.is_alive)?;
        Some(engine.report(now, vm))
    }

    /// All orders that arrived, in order, also those that were refused.
    pub fn orders(&self) -> Vec<(VmId, EngineOrder)> {
        self.orders.borrow().clone()
    }

    /// All changes of place, in order.
    pub fn places(&self) -> Vec<PlaceRecord> {
        self.places.borrow().clone()
    }

    /// The engines as a node calls them.
    pub fn for_node(&self, node: &NodeId) -> Rc<dyn EngineControl> {
        Rc::new(NodeEngines { engines: self.clone(), node: node.clone() })
    }

    /// Gives an order, past all faults.
    pub fn order(&self, vm: &VmId, order: &EngineOrder) -> EngineResult<()> {
        let clock = self.plan.manual_clock();
        let mut engines = self.engines.borrow_mut();
        let engine = engines.get_mut(vm).filter(|engine| engine.is_alive);
        let engine = engine.ok_or(EngineError::Unreachable)?;
        self.orders.borrow_mut().push((vm.clone(), order.clone()));
        if engine.settings.checks_fencing && order.fencing < engine.fencing {
            return Err(EngineError::Fenced { seen: engine.fencing });
        }
        engine.fencing = order.fencing;
        if engine.assignment == order.assignment {
            return Ok(());
        }
        engine.assignment = order.assignment.clone();
        engine.ready_at = clock.elapsed() + engine.settings.loading;
        self.places.borrow_mut().push(PlaceRecord {
            vm: vm.clone(),
            at_ms: clock.elapsed_ms(),
            fencing: order.fencing,
            assignment: order.assignment.clone(),
        });
        Ok(())
    }

    fn with_engine(&self, vm: &VmId, change: impl FnOnce(&mut MemoryEngine)) {
        if let Some(engine) = self.engines.borrow_mut().get_mut(vm) {
            change(engine);
        }
    }
}

/// The engines as a node calls them.
struct NodeEngines {
    engines: MemoryEngines,
    node: NodeId,
}

impl NodeEngines {
    async fn call<T>(
        &self,
        step: Step,
        vm: &VmId,
        effect: impl Fn(&MemoryEngines) -> EngineResult<T> + 'static,
    ) -> EngineResult<T> {
        let plan = &self.engines.plan;
        let fate = plan.pass(step, &self.node, &FaultEndpoint::Vm(vm.clone())).await;
        match fate.request {
            RequestFate::Arrives => {}
            RequestFate::NotSent => return Err(EngineError::Unreachable),
            RequestFate::Vanishes => {
                plan.wait_in_vain().await;
                return Err(EngineError::NoAnswer);
            }
        }
        let result = effect(&self.engines);
        if fate.is_duplicate {
            let engines = self.engines.clone();
            plan.repeat_late(move || drop(effect(&engines)));
        }
        if fate.loses_answer {
            plan.wait_in_vain().await;
            return Err(EngineError::NoAnswer);
        }
        result
    }
}

#[async_trait(?Send)]
impl EngineControl for NodeEngines {
    async fn report(&self, step: Step, record: &VmRecord) -> EngineResult<VmReport> {
        let vm = record.vm.clone();
        let ask =
            move |engines: &MemoryEngines| engines.report(&vm).ok_or(EngineError::Unreachable);
        self.call(step, &record.vm, ask).await
    }

    async fn order(&self, step: Step, record: &VmRecord, order: &EngineOrder) -> EngineResult<()> {
        let (vm, order) = (record.vm.clone(), order.clone());
        self.call(step, &record.vm, move |engines| engines.order(&vm, &order)).await
    }
}
