//! In-memory links between nodes.

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
    call_outcome::{CallOutcome, RequestDelivery},
};

/// In-memory links between nodes. Clones share the listeners.
#[derive(Clone)]
pub struct MemoryPeers {
    plan: FaultPlan,
    listeners: Rc<RefCell<BTreeMap<NodeId, PeerListener>>>,
}

/// The registered message handler of a node.
#[derive(Clone)]
struct PeerListener {
    identity: PeerIdentity,
    started: Instant,
    handler: Rc<dyn PeerHandler>,
}

impl MemoryPeers {
    /// Links without any listening node.
    pub fn new(plan: &FaultPlan) -> Self {
        Self { plan: plan.clone(), listeners: Rc::default() }
    }

    /// Registers a node's handler, replacing that of an earlier incarnation. A killed node is
    /// unreachable.
    pub fn register(&self, identity: PeerIdentity, handler: Rc<dyn PeerHandler>) {
        let started = self.plan.clock(&identity.node).now();
        let node = identity.node.clone();
        self.listeners.borrow_mut().insert(node, PeerListener { identity, started, handler });
    }

    /// Removes a node's handler.
    pub fn remove(&self, node: &NodeId) {
        self.listeners.borrow_mut().remove(node);
    }

    /// The link from one node to the others.
    pub fn link(&self, from: &PeerIdentity) -> Rc<dyn PeerLink> {
        Rc::new(NodeLink { peers: self.clone(), from: from.clone() })
    }

    fn listener(&self, from: &PeerIdentity, peer: &RosterMember) -> PeerResult<PeerListener> {
        if !self.plan.is_alive(&peer.node) {
            return Err(PeerError::Unreachable);
        }
        let listener = self.listeners.borrow().get(&peer.node).cloned();
        let listener = listener.ok_or(PeerError::Unreachable)?;
        if listener.identity.cell != from.cell {
            return Err(PeerError::Unreachable);
        }
        if listener.identity.incarnation != peer.incarnation {
            return Err(PeerError::OtherIncarnation);
        }
        Ok(listener)
    }
}

/// The link from one node to the others, with faults.
#[derive(Clone)]
struct NodeLink {
    peers: MemoryPeers,
    from: PeerIdentity,
}

impl NodeLink {
    async fn begin_call(&self, step: Step, peer: &RosterMember) -> CallOutcome {
        let target = FaultEndpoint::Node(peer.node.clone());
        self.peers.plan.begin_call(step, &self.from.node, &target).await
    }

    /// Delivers a question to a node. The answer arrives once the node has handled it.
    fn deliver_question(
        &self,
        listener: &PeerListener,
        question: PeerQuestion,
    ) -> flume::Receiver<(PeerAnswer, Duration)> {
        let (sender, receiver) = flume::bounded(1);
        let clock = self.peers.plan.clock(&listener.identity.node);
        let listener = listener.clone();
        let from = self.from.clone();
        let node = listener.identity.node.clone();
        let handling = async move {
            let answer = listener.handler.answer(&from, question).await;
            let uptime = clock.now().saturating_duration_since(listener.started);
            // Sending fails if the caller has given up.
            let _ = sender.send((answer, uptime));
        };
        self.peers.plan.deliver(&node, Box::pin(handling));
        receiver
    }

    /// Delivers a notice to a node.
    fn deliver_notice(&self, listener: &PeerListener, notice: PeerNotice) {
        let listener = listener.clone();
        let from = self.from.clone();
        let node = listener.identity.node.clone();
        let handling = async move { listener.handler.notice(&from, notice) };
        self.peers.plan.deliver(&node, Box::pin(handling));
    }

    async fn unreachable<T>(&self) -> PeerResult<T> {
        self.peers.plan.wait_for_timeout().await;
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
        let outcome = self.begin_call(step, peer).await;
        if outcome.request != RequestDelivery::Delivered {
            return self.unreachable().await;
        }
        let listener = self.peers.listener(&self.from, peer)?;
        if outcome.is_duplicate {
            let (link, listener, question) = (self.clone(), listener.clone(), question.clone());
            self.peers.plan.repeat_later(move || drop(link.deliver_question(&listener, question)));
        }
        let answered = self.deliver_question(&listener, question);
        if outcome.loses_answer {
            return self.unreachable().await;
        }
        let mut timeout = Box::pin(self.peers.plan.wait_for_timeout()).fuse();
        let answered = select_biased! {
            answered = answered.recv_async().fuse() => answered,
            () = timeout => return Err(PeerError::Unreachable),
        };
        match answered {
            Ok((answer, uptime)) => Ok(PeerReply { from: listener.identity, uptime, answer }),
            Err(_) => Err(PeerError::Unreachable),
        }
    }

    async fn notify(&self, step: Step, peer: &RosterMember, notice: PeerNotice) -> PeerResult<()> {
        let outcome = self.begin_call(step, peer).await;
        if outcome.request != RequestDelivery::Delivered {
            return self.unreachable().await;
        }
        let listener = self.peers.listener(&self.from, peer)?;
        if outcome.is_duplicate {
            let (link, listener, notice) = (self.clone(), listener.clone(), notice.clone());
            self.peers.plan.repeat_later(move || link.deliver_notice(&listener, notice));
        }
        self.deliver_notice(&listener, notice);
        if outcome.loses_answer {
            return self.unreachable().await;
        }
        Ok(())
    }
}
