//! The way between nodes in memory.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use comfreyturn_ports::{
    PeerAnswer, PeerError, PeerHandler, PeerIdentity, PeerLink, PeerNotice, PeerQuestion,
    PeerReply, PeerResult, Step,
};
use comfreyturn_types::{NodeId, RosterMember};
use futures_util::{FutureExt, select_biased};

use super::{
    FaultEndpoint, FaultPlan,
    call_fate::{CallFate, RequestFate},
};

/// The way between nodes in memory. Clones share the nodes.
#[derive(Clone)]
pub struct MemoryPeers {
    plan: FaultPlan,
    seats: Rc<RefCell<BTreeMap<NodeId, PeerSeat>>>,
}

/// A node that listens.
#[derive(Clone)]
struct PeerSeat {
    identity: PeerIdentity,
    started: Instant,
    handler: Rc<dyn PeerHandler>,
}

impl MemoryPeers {
    /// No node listens yet.
    pub fn new(plan: &FaultPlan) -> Self {
        Self { plan: plan.clone(), seats: Rc::default() }
    }

    /// Lets a node listen, in place of its earlier incarnation. Killing the node ends it.
    pub fn register(&self, identity: PeerIdentity, handler: Rc<dyn PeerHandler>) {
        let started = self.plan.clock(&identity.node).now();
        let node = identity.node.clone();
        self.seats.borrow_mut().insert(node, PeerSeat { identity, started, handler });
    }

    /// Lets a node listen no more.
    pub fn remove(&self, node: &NodeId) {
        self.seats.borrow_mut().remove(node);
    }

    /// The way from one node to the others.
    pub fn link(&self, from: &PeerIdentity) -> Rc<dyn PeerLink> {
        Rc::new(NodeLink { peers: self.clone(), from: from.clone() })
    }

    fn seat(&self, from: &PeerIdentity, peer: &RosterMember) -> PeerResult<PeerSeat> {
        if !self.plan.is_alive(&peer.node) {
            return Err(PeerError::Unreachable);
        }
        let seat = self.seats.borrow().get(&peer.node).cloned();
        let seat = seat.ok_or(PeerError::Unreachable)?;
        if seat.identity.cell != from.cell {
            return Err(PeerError::Unreachable);
        }
        if seat.identity.incarnation != peer.incarnation {
            return Err(PeerError::OtherIncarnation);
        }
        Ok(seat)
    }
}

/// The way from one node to the others.
#[derive(Clone)]
struct NodeLink {
    peers: MemoryPeers,
    from: PeerIdentity,
}

impl NodeLink {
    async fn pass(&self, step: Step, peer: &RosterMember) -> CallFate {
        let target = FaultEndpoint::Node(peer.node.clone());
        self.peers.plan.pass(step, &self.from.node, &target).await
    }

    /// Hands a question to a node. The answer comes once the node has run.
    fn put(
        &self,
        seat: &PeerSeat,
        question: PeerQuestion,
    ) -> flume::Receiver<(PeerAnswer, Duration)> {
        let (sender, receiver) = flume::bounded(1);
        let clock = self.peers.plan.clock(&seat.identity.node);
        let seat = seat.clone();
        let from = self.from.clone();
        let node = seat.identity.node.clone();
        let handling = async move {
            let answer = seat.handler.answer(&from, question).await;
            let uptime = clock.now().saturating_duration_since(seat.started);
            // The asker may have given up.
            let _ = sender.send((answer, uptime));
        };
        self.peers.plan.deliver(&node, Box::pin(handling));
        receiver
    }

    /// Hands a notice to a node.
    fn tell(&self, seat: &PeerSeat, notice: PeerNotice) {
        let seat = seat.clone();
        let from = self.from.clone();
        let node = seat.identity.node.clone();
        let handling = async move { seat.handler.notice(&from, notice) };
        self.peers.plan.deliver(&node, Box::pin(handling));
    }

    async fn unreachable<T>(&self) -> PeerResult<T> {
        self.peers.plan.wait_in_vain().await;
        Err(PeerError::Unreachable)
    }
}

#[async_trait(?Send)]
impl PeerLink for NodeLink {
    async fn ask(
        &self,
        step: Step,
        peer: &RosterMember,
        question: PeerQuestion,
    ) -> PeerResult<PeerReply> {
        let fate = self.pass(step, peer).await;
        if fate.request != RequestFate::Arrives {
            return self.unreachable().await;
        }
        let seat = self.peers.seat(&self.from, peer)?;
        if fate.is_duplicate {
            let (link, seat, question) = (self.clone(), seat.clone(), question.clone());
            self.peers.plan.repeat_late(move || drop(link.put(&seat, question)));
        }
        let answered = self.put(&seat, question);
        if fate.loses_answer {
            return self.unreachable().await;
        }
        let mut timeout = Box::pin(self.peers.plan.wait_in_vain()).fuse();
        let answered = select_biased! {
            answered = answered.recv_async().fuse() => answered,
            () = timeout => return Err(PeerError::Unreachable),
        };
        match answered {
            Ok((answer, uptime)) => Ok(PeerReply { from: seat.identity, uptime, answer }),
            Err(_) => Err(PeerError::Unreachable),
        }
    }

    async fn notify(&self, step: Step, peer: &RosterMember, notice: PeerNotice) -> PeerResult<()> {
        let fate = self.pass(step, peer).await;
        if fate.request != RequestFate::Arrives {
            return self.unreachable().await;
        }
        let seat = self.peers.seat(&self.from, peer)?;
        if fate.is_duplicate {
            let (link, seat, notice) = (self.clone(), seat.clone(), notice.clone());
            self.peers.plan.repeat_late(move || link.tell(&seat, notice));
        }
        self.tell(&seat, notice);
        if fate.loses_answer {
            return self.unreachable().await;
        }
        Ok(())
    }
}
