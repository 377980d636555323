//! The faults of a test, and the state of its nodes.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use comfreyturn_ports::{Clock, Spawner, Step};
use comfreyturn_types::{Incarnation, NodeId};
use futures_executor::LocalPool;
use futures_util::future::LocalBoxFuture;

use super::{
    Fault, FaultEndpoint, FaultRule, FaultSettings, FiredFault, LocalSpawner, ManualClock,
    call_fate::{CallFate, LinkCut, RequestFate},
    manual_clock::TimerRank,
    node_gate::{NodeClock, NodeGate, NodePermit, NodeSpawner},
};

/// The state of a node.
#[derive(Default)]
struct NodeState {
    /// Rises with each death.
    life: u64,
    is_dead: bool,
    frozen_until: Duration,
    stood_still: Duration,
}

type RaceHook = Rc<dyn Fn() -> LocalBoxFuture<'static, ()>>;

/// The faults of a test, and the state of its nodes. Clones share them.
#[derive(Clone)]
pub struct FaultPlan {
    state: Rc<PlanState>,
}

struct PlanState {
    clock: ManualClock,
    spawner: LocalSpawner,
    settings: RefCell<FaultSettings>,
    rules: RefCell<Vec<FaultRule>>,
    reached: RefCell<BTreeMap<Step, u32>>,
    fired: RefCell<Vec<FiredFault>>,
    nodes: RefCell<BTreeMap<NodeId, NodeState>>,
    cuts: RefCell<Vec<LinkCut>>,
    table_down_until: Cell<Duration>,
    table_slow_until: Cell<Duration>,
    race: RefCell<Option<RaceHook>>,
    incarnations: Cell<u64>,
}

impl FaultPlan {
    /// A plan without faults.
    pub fn new(clock: &ManualClock, pool: &LocalPool, settings: FaultSettings) -> Self {
        let state = PlanState {
            clock: clock.clone(),
            spawner: LocalSpawner::new(pool),
            settings: RefCell::new(settings),
            rules: RefCell::default(),
            reached: RefCell::default(),
            fired: RefCell::default(),
            nodes: RefCell::default(),
            cuts: RefCell::default(),
            table_down_until: Cell::default(),
            table_slow_until: Cell::default(),
            race: RefCell::default(),
            incarnations: Cell::default(),
        };
        Self { state: Rc::new(state) }
    }

    // ------------------------------------------------------------------------------------------
    // For tests

    /// Adds a fault.
    pub fn inject(&self, rule: FaultRule) {
        self.state.rules.borrow_mut().push(rule);
    }

    /// Sets what runs at [`Fault::RacingOperator`].
    pub fn set_race_hook(&self, hook: impl Fn() -> LocalBoxFuture<'static, ()> + 'static) {
        *self.state.race.borrow_mut() = Some(Rc::new(hook));
    }

    /// Changes how long faults last.
    pub fn set_settings(&self, settings: FaultSettings) {
        *self.state.settings.borrow_mut() = settings;
    }

    /// How long faults last.
    pub fn settings(&self) -> FaultSettings {
        self.state.settings.borrow().clone()
    }

    /// The faults that happened, in order.
    pub fn fired(&self) -> Vec<FiredFault> {
        self.state.fired.borrow().clone()
    }

    /// How many calls reached a step.
    pub fn call_count(&self, step: Step) -> u32 {
        self.state.reached.borrow().get(&step).copied().unwrap_or(0)
    }

    /// Time as a node sees it.
    pub fn clock(&self, node: &NodeId) -> Rc<dyn Clock> {
        Rc::new(NodeClock { plan: self.clone(), node: node.clone() })
    }

    /// Starts tasks that stop when the node dies, and stand still with it.
    pub fn spawner(&self, node: &NodeId) -> Rc<dyn Spawner> {
        Rc::new(NodeSpawner { plan: self.clone(), node: node.clone() })
    }

    /// Ties a future to the present life of a node, as [`FaultPlan::spawner`] does with tasks.
    pub fn on_node<'a, T>(
        &self,
        node: &NodeId,
        future: impl Future<Output = T> + 'a,
    ) -> LocalBoxFuture<'a, T>
    where
        T: 'a,
    {
        Box::pin(NodeGate::new(self, node, TimerRank::Task, Box::pin(future)))
    }

    /// Whether the node runs or stands still, rather than being dead.
    pub fn is_alive(&self, node: &NodeId) -> bool {
        self.with_node(node, |state| !state.is_dead)
    }

    /// Ends the present life of a node: its tasks never run again.
    pub fn kill(&self, node: &NodeId) {
        self.with_node(node, |state| {
            state.is_dead = true;
            state.life += 1;
        });
    }

    /// Starts a new life of a node. Its tasks have to be started anew.
    pub fn restart(&self, node: &NodeId) {
        self.kill(node);
        self.with_node(node, |state| {
            state.is_dead = false;
            state.frozen_until = Duration::ZERO;
        });
    }

    /// Makes a node stand still, from now on.
    pub fn pause(&self, node: &NodeId, duration: Duration) {
        let until = self.elapsed() + duration;
        let stands_still = self.state.settings.borrow().pauses_clock;
        self.with_node(node, |state| {
            let added = until.saturating_sub(state.frozen_until.max(until - duration));
            state.frozen_until = state.frozen_until.max(until);
            if stands_still {
                state.stood_still += added;
            }
        });
    }

    /// Lets nothing go from one end to the other, from now on.
    pub fn cut(&self, from: FaultEndpoint, to: FaultEndpoint, both_ways: bool, duration: Duration) {
        let until = self.elapsed() + duration;
        self.state.cuts.borrow_mut().push(LinkCut { from, to, both_ways, until });
    }

    /// Lets the table service refuse all calls, from now on.
    pub fn take_table_down(&self, duration: Duration) {
        self.state.table_down_until.set(self.elapsed() + duration);
    }

    /// Takes back the faults that have not happened.
    pub fn clear_rules(&self) {
        self.state.rules.borrow_mut().clear();
    }

    /// Ends all outages and cuts. Frozen nodes stay frozen.
    pub fn heal(&self) {
        self.state.table_down_until.set(Duration::ZERO);
        self.state.table_slow_until.set(Duration::ZERO);
        self.state.cuts.borrow_mut().clear();
    }

    // ------------------------------------------------------------------------------------------
    // For fakes

    /// Lets a call pass: carries out the faults that are due, and says what becomes of the call.
    pub(crate) async fn pass(
        &self,
        step: Step,
        caller: &NodeId,
        target: &FaultEndpoint,
    ) -> CallFate {
        *self.state.reached.borrow_mut().entry(step).or_default() += 1;
        let mut fate =
            CallFate { request: RequestFate::Arrives, loses_answer: false, is_duplicate: false };
        for fault in self.take_due(step, caller) {
            self.carry_out(fault, caller, target, &mut fate).await;
        }
        let latency = self.state.settings.borrow().latency;
        self.state.clock.sleep(latency).await;
        self.apply_cuts(caller, target, &mut fate);
        fate
    }

    /// Waits as long as a caller does for an answer that does not come.
    pub(crate) async fn wait_in_vain(&self) {
        let timeout = self.state.settings.borrow().call_timeout;
        self.state.clock.sleep(timeout).await;
    }

    /// Completes once `duration` has passed for all.
    pub(crate) fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        self.state.clock.sleep(duration)
    }

    /// Whether the table service refuses calls now.
    pub(crate) fn is_table_down(&self) -> bool {
        self.elapsed() < self.state.table_down_until.get()
    }

    /// How late the table service answers now.
    pub(crate) fn table_delay(&self) -> Duration {
        let is_slow = self.elapsed() < self.state.table_slow_until.get();
        if is_slow { self.state.settings.borrow().slow_delay } else { Duration::ZERO }
    }

    /// Carries out an effect once more, later.
    pub(crate) fn repeat_late(&self, effect: impl FnOnce() + 'static) {
        let late = self.sleep(self.settings().duplicate_delay);
        self.run_task(async move {
            late.await;
            effect();
        });
    }

    /// Runs a task that belongs to no node.
    pub(crate) fn run_task(&self, task: impl Future<Output = ()> + 'static) {
        self.state.spawner.spawn(Box::pin(task));
    }

    /// Runs a message's handling on a node; a frozen node reads it when it wakes.
    pub(crate) fn deliver(&self, node: &NodeId, handling: LocalBoxFuture<'static, ()>) {
        let gate = NodeGate::new(self, node, TimerRank::Message, handling);
        self.state.spawner.spawn(Box::pin(gate));
    }

    /// A new incarnation, the same in each run of a test.
    pub(crate) fn next_incarnation(&self) -> Incarnation {
        let number = self.state.incarnations.get() + 1;
        self.state.incarnations.set(number);
        Incarnation(number)
    }

    pub(crate) fn manual_clock(&self) -> &ManualClock {
        &self.state.clock
    }

    pub(crate) fn spawner_of_all(&self) -> &LocalSpawner {
        &self.state.spawner
    }

    pub(crate) fn stood_still(&self, node: &NodeId) -> Duration {
        self.with_node(node, |state| state.stood_still)
    }

    pub(crate) fn life(&self, node: &NodeId) -> u64 {
        self.with_node(node, |state| state.life)
    }

    pub(crate) fn permit(&self, node: &NodeId, life: u64) -> NodePermit {
        let now = self.elapsed();
        self.with_node(node, |state| {
            if state.life != life || state.is_dead {
                return NodePermit::Dead;
            }
            match state.frozen_until.saturating_sub(now) {
                Duration::ZERO => NodePermit::Run,
                left => NodePermit::Frozen(left),
            }
        })
    }

    fn take_due(&self, step: Step, caller: &NodeId) -> Vec<Fault> {
        let mut due = Vec::new();
        self.state.rules.borrow_mut().retain_mut(|rule| {
            let counts = rule.step == step && rule.node.as_ref().is_none_or(|node| node == caller);
            if !counts {
                return true;
            }
            rule.occurrence = rule.occurrence.saturating_sub(1);
            if rule.occurrence == 0 {
                due.push(rule.fault);
            }
            rule.occurrence > 0
        });
        let at = self.elapsed();
        let fired = due.iter().map(|&fault| FiredFault { step, fault, node: caller.clone(), at });
        self.state.fired.borrow_mut().extend(fired);
        due
    }

    async fn carry_out(
        &self,
        fault: Fault,
        caller: &NodeId,
        target: &FaultEndpoint,
        fate: &mut CallFate,
    ) {
        let settings = self.settings();
        let caller_end = FaultEndpoint::Node(caller.clone());
        match fault {
            Fault::Kill => {
                self.kill(caller);
                std::future::pending::<()>().await;
            }
            Fault::FreezeAndWake => self.stand_still(caller, settings.pause).await,
            Fault::LeaseLapse => self.stand_still(caller, settings.lease_lapse).await,
            Fault::LostAnswer => fate.loses_answer = true,
            Fault::TableDown => self.take_table_down(settings.outage),
            Fault::TableSlow => {
                self.state.table_slow_until.set(self.elapsed() + settings.slow_period);
            }
            Fault::CutOneWay => self.cut(caller_end, target.clone(), false, settings.cut),
            Fault::CutBothWays => self.cut(caller_end, target.clone(), true, settings.cut),
            Fault::RacingOperator => self.race().await,
            Fault::DuplicateLate => fate.is_duplicate = true,
        }
    }

    async fn stand_still(&self, node: &NodeId, duration: Duration) {
        self.pause(node, duration);
        self.state.clock.sleep(duration).await;
    }

    async fn race(&self) {
        let hook = self.state.race.borrow().clone();
        if let Some(hook) = hook {
            hook().await;
        }
    }

    fn apply_cuts(&self, caller: &NodeId, target: &FaultEndpoint, fate: &mut CallFate) {
        let now = self.elapsed();
        let caller = FaultEndpoint::Node(caller.clone());
        let cuts = self.state.cuts.borrow();
        let forth = cuts.iter().any(|cut| cut.stops(now, &caller, target));
        let back = cuts.iter().any(|cut| cut.stops(now, target, &caller));
        match (forth, back) {
            (true, true) => fate.request = RequestFate::NotSent,
            (true, false) => fate.request = RequestFate::Vanishes,
            (false, true) => fate.loses_answer = true,
            (false, false) => {}
        }
    }

    fn elapsed(&self) -> Duration {
        self.state.clock.elapsed()
    }

    fn with_node<T>(&self, node: &NodeId, change: impl FnOnce(&mut NodeState) -> T) -> T {
        change(self.state.nodes.borrow_mut().entry(node.clone()).or_default())
    }
}
