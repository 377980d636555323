//! Sends questions and notices to other nodes.

use std::time::Instant;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use async_trait::async_trait;
use comfreyturn_ports::{
    PeerError, PeerIdentity, PeerLink, PeerNotice, PeerQuestion, PeerReply, PeerResult, Step,
};
use comfreyturn_proto::peer::{Envelope, envelope::Body};
use comfreyturn_types::RosterMember;

use crate::{
    ByteMeter, PeerSettings,
    peer_channel::PeerChannel,
    peer_envelope::{make_envelope, notice_body, question_body, read_answer, sender},
};

/// Client for other nodes, with one connection and one task for each of them.
pub struct PeerClient {
    identity: PeerIdentity,
    settings: PeerSettings,
    meter: ByteMeter,
    started_at: Instant,
    channels: RefCell<HashMap<SocketAddr, Rc<PeerChannel>>>,
}

impl PeerClient {
    /// Creates a client whose messages carry `identity`. `started_at` is when this node's process
    /// started, the same as for its [`PeerServer`](crate::PeerServer).
    pub fn new(
        identity: PeerIdentity,
        started_at: Instant,
        settings: PeerSettings,
        meter: ByteMeter,
    ) -> Self {
        Self { identity, settings, meter, started_at, channels: RefCell::default() }
    }

    /// Closes the connections to all other addresses.
    pub fn keep_only(&self, addresses: &[SocketAddr]) {
        self.channels.borrow_mut().retain(|address, _| addresses.contains(address));
    }

    fn channel(&self, address: SocketAddr) -> Rc<PeerChannel> {
        let mut channels = self.channels.borrow_mut();
        let channel = channels.entry(address).or_insert_with(|| {
            Rc::new(PeerChannel::start(address, self.settings, self.meter.clone()))
        });
        Rc::clone(channel)
    }

    fn make_envelope(&self, number: u64, body: Body) -> Envelope {
        make_envelope(&self.identity, self.started_at.elapsed(), number, body)
    }

    /// Checks the sender of an answer, and decodes it.
    fn read_reply(
        &self,
        peer: &RosterMember,
        question: &PeerQuestion,
        envelope: Envelope,
    ) -> PeerResult<PeerReply> {
        let from = sender(&envelope);
        if from.cell != self.identity.cell {
            return Err(PeerError::Malformed);
        }
        if from.node != peer.node || from.incarnation != peer.incarnation {
            return Err(PeerError::OtherIncarnation);
        }
        let uptime = Duration::from_millis(envelope.uptime_ms);
        let answer = read_answer(question, envelope.body).map_err(|error| {
            log::warn!("peers: malformed answer from {}: {error}.", peer.node);
            PeerError::Malformed
        })?;
        Ok(PeerReply { from, uptime, answer })
    }
}

#[async_trait(?Send)]
impl PeerLink for PeerClient {
    async fn ask(
        &self,
        _step: Step,
        peer: &RosterMember,
        question: PeerQuestion,
    ) -> PeerResult<PeerReply> {
        let body = question_body(&question).map_err(|_| PeerError::Malformed)?;
        let channel = self.channel(peer.peer_address);
        let asking =
            channel.ask(self.settings.ask_timeout, |number| self.make_envelope(number, body));
        let envelope = asking.await?;
        self.read_reply(peer, &question, envelope)
    }

    async fn notify(&self, _step: Step, peer: &RosterMember, notice: PeerNotice) -> PeerResult<()> {
        let envelope = self.make_envelope(NOTICE_NUMBER, notice_body(&notice));
        let channel = self.channel(peer.peer_address);
        channel.notify(self.settings.ask_timeout, envelope).await
    }
}

/// The number in the envelopes of notices, which no question has.
const NOTICE_NUMBER: u64 = 0;
