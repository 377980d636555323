//! What runs on a node, and therefore stops when the node dies or stands still.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use comfreyturn_ports::{Clock, Spawner};
use comfreyturn_types::NodeId;
use futures_util::future::LocalBoxFuture;

use super::{
    FaultPlan,
    manual_clock::{ManualTimer, TimerRank},
};

/// Whether a node may run.
pub(crate) enum NodePermit {
    /// It may.
    Run,
    /// It stands still for this long.
    Frozen(Duration),
    /// This life of it is over.
    Dead,
}

/// Polls a future only while its node may run.
pub(crate) struct NodeGate<F> {
    plan: FaultPlan,
    node: NodeId,
    life: u64,
    rank: TimerRank,
    thaw: Option<ManualTimer>,
    future: F,
}

impl<F> NodeGate<F> {
    /// Ties a future to the present life of a node.
    pub(crate) fn new(plan: &FaultPlan, node: &NodeId, rank: TimerRank, future: F) -> Self {
        let life = plan.life(node);
        Self { plan: plan.clone(), node: node.clone(), life, rank, thaw: None, future }
    }
}

impl<F: Future + Unpin> Future for NodeGate<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        loop {
            match self.plan.permit(&self.node, self.life) {
                NodePermit::Run => return Pin::new(&mut self.future).poll(context),
                NodePermit::Dead => return Poll::Pending,
                NodePermit::Frozen(left) => {
                    let mut thaw = self
                        .thaw
                        .take()
                        .unwrap_or_else(|| self.plan.manual_clock().timer(left, self.rank));
                    if Pin::new(&mut thaw).poll(context).is_pending() {
                        self.thaw = Some(thaw);
                        return Poll::Pending;
                    }
                }
            }
        }
    }
}

/// Starts tasks on a node.
pub(crate) struct NodeSpawner {
    pub(crate) plan: FaultPlan,
    pub(crate) node: NodeId,
}

impl Spawner for NodeSpawner {
    fn spawn(&self, task: LocalBoxFuture<'static, ()>) {
        let gate = NodeGate::new(&self.plan, &self.node, TimerRank::Task, task);
        self.plan.spawner_of_all().spawn(Box::pin(gate));
    }
}

/// Time as a node sees it.
#[derive(Clone)]
pub(crate) struct NodeClock {
    pub(crate) plan: FaultPlan,
    pub(crate) node: NodeId,
}

impl Clock for NodeClock {
    fn now(&self) -> Instant {
        self.plan.manual_clock().now() - self.plan.stood_still(&self.node)
    }

    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        let clock = self.clone();
        let deadline = self.now() + duration;
        Box::pin(async move {
            loop {
                let left = deadline.saturating_duration_since(clock.now());
                if left.is_zero() {
                    return;
                }
                clock.plan.manual_clock().sleep(left).await;
            }
        })
    }
}
