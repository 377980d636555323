//! Reports and orders of in-memory model engines.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use async_trait::async_trait;
use comfreyturn_ports::{EngineControl, EngineError, EngineOrder, EngineResult, Step};
use comfreyturn_types::{
    FencingNumber, GroupAssignment, Incarnation, NodeId, VmId, VmLoad, VmPhase, VmRecord, VmReport,
};

use super::{FaultEndpoint, FaultPlan, call_outcome::RequestDelivery};
use crate::PlaceRecord;

/// Behaviour of an in-memory model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryEngineSettings {
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,

    /// Time from an order until the engine is ready.
    pub loading: Duration,
}

impl Default for MemoryEngineSettings {
    fn default() -> Self {
        Self { checks_fencing: true, loading: Duration::from_secs(10) }
    }
}

/// The state of a model engine.
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

/// In-memory model engines, by VM. Clones share them.
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

    /// Starts an idle engine on a VM, replacing an earlier one.
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

    /// Makes an engine unreachable (`false`), or reachable again with unchanged state (`true`).
    pub fn set_alive(&self, vm: &VmId, is_alive: bool) {
        self.with_engine(vm, |engine| engine.is_alive = is_alive);
    }

    /// Makes an engine report that it is leaving.
    pub fn set_leaving(&self, vm: &VmId) {
        self.with_engine(vm, |engine| engine.leaving = true);
    }

    /// Sets the load that an engine reports.
    pub fn set_load(&self, vm: &VmId, load: VmLoad) {
        self.with_engine(vm, |engine| engine.load = load);
    }

    /// The report of an engine, without faults. `None` if there is no live engine.
    pub fn report(&self, vm: &VmId) -> Option<VmReport> {
        let now = self.plan.manual_clock().elapsed();
        let engines = self.engines.borrow();
        let engine = engines.get(vm).filter(|engine| engine.is_alive)?;
        Some(engine.report(now, vm))
    }

    /// All orders received, in order of arrival, including refused ones.
    pub fn orders(&self) -> Vec<(VmId, EngineOrder)> {
        self.orders.borrow().clone()
    }

    /// All changes of assignment, in order.
    pub fn places(&self) -> Vec<PlaceRecord> {
        self.places.borrow().clone()
    }

    /// The engines as a node calls them.
    pub fn for_node(&self, node: &NodeId) -> Rc<dyn EngineControl> {
        Rc::new(NodeEngines { engines: self.clone(), node: node.clone() })
    }

    /// Sends an order to an engine, without faults.
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

/// The engines as a node calls them, with faults.
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
        let outcome = plan.begin_call(step, &self.node, &FaultEndpoint::Vm(vm.clone())).await;
        match outcome.request {
            RequestDelivery::Delivered => {}
            RequestDelivery::NotSent => return Err(EngineError::Unreachable),
            RequestDelivery::Lost => {
                plan.wait_for_timeout().await;
                return Err(EngineError::NoAnswer);
            }
        }
        let result = effect(&self.engines);
        if outcome.is_duplicate {
            let engines = self.engines.clone();
            plan.repeat_later(move || drop(effect(&engines)));
        }
        if outcome.loses_answer {
            plan.wait_for_timeout().await;
            return Err(EngineError::NoAnswer);
        }
        result
    }
}

#[async_trait(?Send)]
impl EngineControl for NodeEngines {
    async fn report(&self, step: Step, record: &VmRecord) -> EngineResult<VmReport> {
        let vm = record.vm.clone();
        let read =
            move |engines: &MemoryEngines| engines.report(&vm).ok_or(EngineError::Unreachable);
        self.call(step, &record.vm, read).await
    }

    async fn order(&self, step: Step, record: &VmRecord, order: &EngineOrder) -> EngineResult<()> {
        let (vm, order) = (record.vm.clone(), order.clone());
        self.call(step, &record.vm, move |engines| engines.order(&vm, &order)).await
    }
}
