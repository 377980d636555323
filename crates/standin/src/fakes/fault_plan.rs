//! The faults that a test injects, and the state of its nodes.

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
    call_outcome::{CallOutcome, LinkCut, RequestDelivery},
    manual_clock::TimerRank,
    node_gate::{NodeClock, NodeGate, NodePermit, NodeSpawner},
};

/// The state of a node.
#[derive(Default)]
struct NodeState {
    /// Incremented on each kill. Tasks of an earlier epoch never run again.
    epoch: u64,
    is_dead: bool,
    paused_until: Duration,
    paused_time: Duration,
}

type RaceHook = Rc<dyn Fn() -> LocalBoxFuture<'static, ()>>;

/// The faults that a test injects, and the state of its nodes. Clones share both.
#[derive(Clone)]
pub struct FaultPlan {
    state: Rc<PlanState>,
}

struct PlanState {
    clock: ManualClock,
    spawner: LocalSpawner,
    settings: RefCell<FaultSettings>,
    rules: RefCell<Vec<FaultRule>>,
    call_counts: RefCell<BTreeMap<Step, u32>>,
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
            call_counts: RefCell::default(),
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

    /// Adds a rule. Its fault is injected once, at the call that the rule names.
    pub fn inject(&self, rule: FaultRule) {
        self.state.rules.borrow_mut().push(rule);
    }

    /// Sets the closure whose future runs at [`Fault::RacingOperator`].
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

    /// The faults that were injected so far, in order.
    pub fn fired(&self) -> Vec<FiredFault> {
        self.state.fired.borrow().clone()
    }

    /// The number of calls at a step so far.
    pub fn call_count(&self, step: Step) -> u32 {
        self.state.call_counts.borrow().get(&step).copied().unwrap_or(0)
    }

    /// The clock of a node, which may stop while the node is paused.
    pub fn clock(&self, node: &NodeId) -> Rc<dyn Clock> {
        Rc::new(NodeClock { plan: self.clone(), node: node.clone() })
    }

    /// A spawner whose tasks pause while the node is paused, and never run again once it is killed.
    pub fn spawner(&self, node: &NodeId) -> Rc<dyn Spawner> {
        Rc::new(NodeSpawner { plan: self.clone(), node: node.clone() })
    }

    /// Runs a future on a node: it never completes once the node is killed, and pauses while the
    /// node is paused, like the tasks of [`FaultPlan::spawner`].
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

    /// Whether the node runs or is paused, rather than killed.
    pub fn is_alive(&self, node: &NodeId) -> bool {
        self.with_node(node, |state| !state.is_dead)
    }

    /// Kills a node: its tasks never run again.
    pub fn kill(&self, node: &NodeId) {
        self.with_node(node, |state| {
            state.is_dead = true;
            state.epoch += 1;
        });
    }

    /// Restarts a node. Its tasks must be spawned again.
    pub fn restart(&self, node: &NodeId) {
        self.kill(node);
        self.with_node(node, |state| {
            state.is_dead = false;
            state.paused_until = Duration::ZERO;
        });
    }

    /// Pauses a node from now on.
    pub fn pause(&self, node: &NodeId, duration: Duration) {
        let until = self.elapsed() + duration;
        let pauses_clock = self.state.settings.borrow().pauses_clock;
        self.with_node(node, |state| {
            let added = until.saturating_sub(state.paused_until.max(until - duration));
            state.paused_until = state.paused_until.max(until);
            if pauses_clock {
                state.paused_time += added;
            }
        });
    }

    /// Drops everything sent from one endpoint to the other from now on, and with `both_ways` also
    /// in the opposite direction.
    pub fn cut(&self, from: FaultEndpoint, to: FaultEndpoint, both_ways: bool, duration: Duration) {
        let until = self.elapsed() + duration;
        self.state.cuts.borrow_mut().push(LinkCut { from, to, both_ways, until });
    }

    /// Makes the table service refuse all calls, from now on.
    pub fn take_table_down(&self, duration: Duration) {
        self.state.table_down_until.set(self.elapsed() + duration);
    }

    /// Removes the rules whose fault has not been injected yet.
    pub fn clear_rules(&self) {
        self.state.rules.borrow_mut().clear();
    }

    /// Ends all outages and cuts. Paused nodes stay paused.
    pub fn heal(&self) {
        self.state.table_down_until.set(Duration::ZERO);
        self.state.table_slow_until.set(Duration::ZERO);
        self.state.cuts.borrow_mut().clear();
    }

    // ------------------------------------------------------------------------------------------
    // For fakes

    /// Counts a call, injects the faults that are due and returns their effect on the call.
    pub(crate) async fn begin_call(
        &self,
        step: Step,
        caller: &NodeId,
        target: &FaultEndpoint,
    ) -> CallOutcome {
        *self.state.call_counts.borrow_mut().entry(step).or_default() += 1;
        let mut outcome = CallOutcome {
            request: RequestDelivery::Delivered,
            loses_answer: false,
            is_duplicate: false,
        };
        for fault in self.take_due(step, caller) {
            self.apply_fault(fault, caller, target, &mut outcome).await;
        }
        let latency = self.state.settings.borrow().latency;
        self.state.clock.sleep(latency).await;
        self.apply_cuts(caller, target, &mut outcome);
        outcome
    }

    /// Waits for the time after which a caller gives up on an answer.
    pub(crate) async fn wait_for_timeout(&self) {
        let timeout = self.state.settings.borrow().call_timeout;
        self.state.clock.sleep(timeout).await;
    }

    /// Completes after `duration` of virtual time, independent of any node's pauses.
    pub(crate) fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        self.state.clock.sleep(duration)
    }

    /// Whether the table service refuses calls now.
    pub(crate) fn is_table_down(&self) -> bool {
        self.elapsed() < self.state.table_down_until.get()
    }

    /// The delay that the table service currently adds to its answers.
    pub(crate) fn table_delay(&self) -> Duration {
        let is_slow = self.elapsed() < self.state.table_slow_until.get();
        if is_slow { self.state.settings.borrow().slow_delay } else { Duration::ZERO }
    }

    /// Applies an effect a second time after [`FaultSettings::duplicate_delay`].
    pub(crate) fn repeat_later(&self, effect: impl FnOnce() + 'static) {
        let delay = self.sleep(self.settings().duplicate_delay);
        self.run_task(async move {
            delay.await;
            effect();
        });
    }

    /// Runs a task that belongs to no node.
    pub(crate) fn run_task(&self, task: impl Future<Output = ()> + 'static) {
        self.state.spawner.spawn(Box::pin(task));
    }

    /// Runs the handler of a message on a node. A paused node handles it on resuming.
    pub(crate) fn deliver(&self, node: &NodeId, handling: LocalBoxFuture<'static, ()>) {
        let gate = NodeGate::new(self, node, TimerRank::Message, handling);
        self.state.spawner.spawn(Box::pin(gate));
    }

    /// The next incarnation. Numbers are sequential, so that each run of a test gets the same.
    pub(crate) fn next_incarnation(&self) -> Incarnation {
        let number = self.state.incarnations.get() + 1;
        self.state.incarnations.set(number);
        Incarnation(number)
    }

    pub(crate) fn manual_clock(&self) -> &ManualClock {
        &self.state.clock
    }

    pub(crate) fn pool_spawner(&self) -> &LocalSpawner {
        &self.state.spawner
    }

    pub(crate) fn paused_time(&self, node: &NodeId) -> Duration {
        self.with_node(node, |state| state.paused_time)
    }

    pub(crate) fn epoch(&self, node: &NodeId) -> u64 {
        self.with_node(node, |state| state.epoch)
    }

    pub(crate) fn permit(&self, node: &NodeId, epoch: u64) -> NodePermit {
        let now = self.elapsed();
        self.with_node(node, |state| {
            if state.epoch != epoch || state.is_dead {
                return NodePermit::Dead;
            }
            match state.paused_until.saturating_sub(now) {
                Duration::ZERO => NodePermit::Run,
                left => NodePermit::Paused(left),
            }
        })
    }

    fn take_due(&self, step: Step, caller: &NodeId) -> Vec<Fault> {
        let mut due = Vec::new();
        self.state.rules.borrow_mut().retain_mut(|rule| {
            let is_match =
                rule.step == step && rule.node.as_ref().is_none_or(|node| node == caller);
            if !is_match {
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

    async fn apply_fault(
        &self,
        fault: Fault,
        caller: &NodeId,
        target: &FaultEndpoint,
        outcome: &mut CallOutcome,
    ) {
        let settings = self.settings();
        let caller_end = FaultEndpoint::Node(caller.clone());
        match fault {
            Fault::Kill => {
                self.kill(caller);
                std::future::pending::<()>().await;
            }
            Fault::FreezeAndWake => self.pause_for(caller, settings.pause).await,
            Fault::LeaseLapse => self.pause_for(caller, settings.lease_lapse).await,
            Fault::LostAnswer => outcome.loses_answer = true,
            Fault::TableDown => self.take_table_down(settings.outage),
            Fault::TableSlow => {
                self.state.table_slow_until.set(self.elapsed() + settings.slow_period);
            }
            Fault::CutOneWay => self.cut(caller_end, target.clone(), false, settings.cut),
            Fault::CutBothWays => self.cut(caller_end, target.clone(), true, settings.cut),
            Fault::RacingOperator => self.race().await,
            Fault::DuplicateLate => outcome.is_duplicate = true,
        }
    }

    async fn pause_for(&self, node: &NodeId, duration: Duration) {
        self.pause(node, duration);
        self.state.clock.sleep(duration).await;
    }

    async fn race(&self) {
        let hook = self.state.race.borrow().clone();
        if let Some(hook) = hook {
            hook().await;
        }
    }

    fn apply_cuts(&self, caller: &NodeId, target: &FaultEndpoint, outcome: &mut CallOutcome) {
        let now = self.elapsed();
        let caller = FaultEndpoint::Node(caller.clone());
        let cuts = self.state.cuts.borrow();
        let forth = cuts.iter().any(|cut| cut.applies(now, &caller, target));
        let back = cuts.iter().any(|cut| cut.applies(now, target, &caller));
        match (forth, back) {
            (true, true) => outcome.request = RequestDelivery::NotSent,
            (true, false) => outcome.request = RequestDelivery::Lost,
            (false, true) => outcome.loses_answer = true,
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
