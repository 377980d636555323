//! Runs futures on a node: they pause while it is paused, and never run again once it is killed.

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
    /// The node runs.
    Run,
    /// The node is paused for this remaining time.
    Paused(Duration),
    /// The node was killed, or was restarted since the future was created.
    Dead,
}

/// Polls a future only while its node may run.
pub(crate) struct NodeGate<F> {
    plan: FaultPlan,
    node: NodeId,
    epoch: u64,
    rank: TimerRank,
    resume_timer: Option<ManualTimer>,
    future: F,
}

impl<F> NodeGate<F> {
    /// Binds a future to the current epoch of a node.
    pub(crate) fn new(plan: &FaultPlan, node: &NodeId, rank: TimerRank, future: F) -> Self {
        let epoch = plan.epoch(node);
        Self { plan: plan.clone(), node: node.clone(), epoch, rank, resume_timer: None, future }
    }
}

impl<F: Future + Unpin> Future for NodeGate<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        loop {
            match self.plan.permit(&self.node, self.epoch) {
                NodePermit::Run => return Pin::new(&mut self.future).poll(context),
                NodePermit::Dead => return Poll::Pending,
                NodePermit::Paused(left) => {
                    let mut resume_timer = self
                        .resume_timer
                        .take()
                        .unwrap_or_else(|| self.plan.manual_clock().timer(left, self.rank));
                    if Pin::new(&mut resume_timer).poll(context).is_pending() {
                        self.resume_timer = Some(resume_timer);
                        return Poll::Pending;
                    }
                }
            }
        }
    }
}

/// Spawns tasks on a node.
pub(crate) struct NodeSpawner {
    pub(crate) plan: FaultPlan,
    pub(crate) node: NodeId,
}

impl Spawner for NodeSpawner {
    fn spawn(&self, task: LocalBoxFuture<'static, ()>) {
        let gate = NodeGate::new(&self.plan, &self.node, TimerRank::Task, task);
        self.plan.pool_spawner().spawn(Box::pin(gate));
    }
}

/// The clock of a node. It lags behind by the total time of the node's pauses if
/// [`FaultSettings::pauses_clock`](super::FaultSettings::pauses_clock) is set.
#[derive(Clone)]
pub(crate) struct NodeClock {
    pub(crate) plan: FaultPlan,
    pub(crate) node: NodeId,
}

impl Clock for NodeClock {
    fn now(&self) -> Instant {
        self.plan.manual_clock().now() - self.plan.paused_time(&self.node)
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
