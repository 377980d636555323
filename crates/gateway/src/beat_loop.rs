//! What nodes tell each other several times a second.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{ConfigVouch, SuspectLedger};
use comfreyturn_proto::peer;
use comfreyturn_types::{Incarnation, NodeId, ServerLife, VmId};
use prost::Message;

use crate::{Gateway, PeerRecord};

/// Datagrams that are remembered by their number, so that others' words can be dated.
const SENT_MEMORY: usize = 32;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Deaths are told for this time, so that lost datagrams do not matter.
const DEATH_REPEAT_TIME: Duration = Duration::from_secs(2);

/// A node that is silent for this time is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(20);

/// Requests of a node that is silent for this time are not counted any more.
const LOAD_MEMORY: Duration = Duration::from_millis(1500);

/// A stall that another node tells does not count if the server was heard of here within this.
const FRESH_TIME: Duration = Duration::from_millis(250);

/// Tells other nodes what this one sees, and takes in what they tell.
pub struct BeatLoop {
    gateway: Rc<Gateway>,
    sequence: Cell<u64>,

    /// The latest datagrams that were sent: numbers, and when their content was put together.
    sent: RefCell<VecDeque<(u64, Instant)>>,
}

impl BeatLoop {
    /// A loop of a gateway.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway, sequence: Cell::new(0), sent: RefCell::default() }
    }

    /// Tells for ever.
    pub(crate) async fn send(self: Rc<Self>) {
        let ports = &self.gateway.ports;
        loop {
            let now = ports.clock.now();
            let beat = self.beat(now).encode_to_vec();
            self.note_sent(now);
            for (address, echo) in self.receivers() {
                // Messages one after the other are one message with the fields of both.
                ports.datagrams.send(address, [&beat[..], &echo].concat()).await;
            }
            self.forget(now);
            let state = &self.gateway.state;
            ports.clock.sleep(state.stretched(state.settings.beat_period)).await;
        }
    }

    /// Takes in what comes, for ever.
    pub(crate) async fn receive(self: Rc<Self>) {
        let ports = &self.gateway.ports;
        loop {
            match ports.datagrams.receive().await {
                Ok(bytes) => self.take(ports.clock.now(), &bytes),
                Err(error) => {
                    log::warn!(cause:% = error; "beats: nothing received.");
                    ports.clock.sleep(self.gateway.state.settings.beat_period).await;
                }
            }
        }
    }

    fn note_sent(&self, now: Instant) {
        let mut sent = self.sent.borrow_mut();
        sent.push_back((self.sequence.get(), now));
        if sent.len() > SENT_MEMORY {
            sent.pop_front();
        }
    }

    /// Where datagrams go, each with the echo of the receiver's newest one.
    fn receivers(&self) -> Vec<(SocketAddr, Vec<u8>)> {
        let peers = self.gateway.state.peers.borrow();
        let receiver = |peer: &PeerRecord| {
            let echo = peer.heard_at.map(|_| peer::BeatEcho {
                incarnation: peer.incarnation.0,
                sequence: peer.sequence,
            });
            let echo = peer::GatewayBeat { echo, ..peer::GatewayBeat::default() };
            (peer.peer_address, echo.encode_to_vec())
        };
        peers.all().map(receiver).collect()
    }

    /// What another node's word on the configuration is worth; nothing if it had not heard of this
    /// run lately.
    fn vouch(&self, beat: &peer::GatewayBeat) -> Option<ConfigVouch> {
        let echo = beat.echo?;
        if echo.incarnation != self.gateway.identity.incarnation.0 {
            return None;
        }
        let sent = self.sent.borrow();
        let (_, asked_at) = *sent.iter().find(|(sequence, _)| *sequence == echo.sequence)?;
        let age = Duration::from_millis(beat.config_age_ms.checked_sub(1)?);
        Some(ConfigVouch { version: beat.config_version, age, asked_at })
    }

    fn beat(&self, now: Instant) -> peer::GatewayBeat {
        let Gateway { identity, state, .. } = &*self.gateway;
        self.sequence.set(self.sequence.get() + 1);
        let own = state.loads.own().into_iter();
        let stalls = state.stalls.borrow().own_stalls(now, state.settings.stall_memory);
        let period = state.stretched(state.settings.beat_period);
        let refusals = state.update_refusals(period).into_iter();
        let deaths = state.deaths.borrow();
        let belief = state.belief(now);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate of requests is small and not negative"
        )]
        let milli = |rate: f64| (rate * 1000.0) as u64;
        peer::GatewayBeat {
            node: identity.node.to_string(),
            incarnation: identity.incarnation.0,
            sequence: self.sequence.get(),
            peer_address: identity.peer_address.to_string(),
            caller_address: identity.caller_address.to_string(),
            ready: self.gateway.is_ready(),
            leaving: state.leaving.get(),
            lease: state.lease.get(),
            has_traffic: state.has_traffic.get(),
            list_news: state.list_news.get(),
            config_version: belief.config_version.unwrap_or_default(),
            // Rounded up: the proof must not look younger than it is.
            config_age_ms: age_code(belief.config_age.map(|age| age + MILLISECOND)),
            echo: None,
            loads: own
                .map(|(life, running)| peer::ServerLoad {
                    server: Some(name(&life)),
                    running,
                    heard_age_ms: age_code(state.stalls.borrow().heard_age(now, &life)),
                })
                .collect(),
            stalls: stalls
                .iter()
                .map(|life| peer::ServerStall { server: Some(name(life)) })
                .collect(),
            refusals: refusals
                .map(|(model, rate)| peer::ModelRefusals {
                    model: model.to_string(),
                    rate_milli: milli(rate),
                })
                .collect(),
            deaths: deaths
                .iter()
                .map(|(_, fingerprint, death)| peer::RequestDeath {
                    fingerprint: *fingerprint,
                    death: *death,
                })
                .collect(),
        }
    }

    fn take(&self, now: Instant, bytes: &[u8]) {
        let Some((node, beat)) = decode(bytes) else {
            log::debug!("beats: datagram of {} bytes not understood.", bytes.len());
            return;
        };
        let Gateway { identity, state, .. } = &*self.gateway;
        if node == identity.node {
            return;
        }
        let Some(record) = record(now, &beat) else {
            log::debug!("beats: {node} names an address that is none.");
            return;
        };
        if !state.peers.borrow_mut().hear(node.clone(), record) {
            return;
        }
        state.hear_news(beat.list_news);
        state.hear_config(beat.config_version);
        if let Some(vouch) = self.vouch(&beat) {
            state.take_vouch(&vouch);
        }
        if beat.has_traffic {
            state.has_traffic.set(true);
        }
        let loads = beat.loads.iter().filter_map(|load| Some((life(load.server.as_ref()?), load)));
        let loads: HashMap<_, _> = loads.map(|(life, load)| (life, load.running)).collect();
        state.loads.take_peer(now, node, loads);
        let mut stalls = state.stalls.borrow_mut();
        for load in &beat.loads {
            let heard_at = heard_at(now, load.heard_age_ms);
            if let (Some(server), Some(heard_at)) = (&load.server, heard_at) {
                stalls.hear_elsewhere(heard_at, &life(server));
            }
        }
        for server in beat.stalls.iter().filter_map(|stall| stall.server.as_ref()) {
            stalls.stall_elsewhere(now, &life(server), FRESH_TIME);
        }
        let mut suspects = state.suspects.borrow_mut();
        for death in &beat.deaths {
            suspects.record_crash(now, death.fingerprint, death.death);
        }
    }

    fn forget(&self, now: Instant) {
        let state = &self.gateway.state;
        state.loads.forget_silent(now, state.stretched(LOAD_MEMORY));
        let limit = state.stretched(FORGET_TIME);
        state.peers.borrow_mut().forget_silent(now, limit);
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DEATH_REPEAT_TIME;
        state.deaths.borrow_mut().retain(|(at, _, _)| recent(at));
    }
}

fn decode(bytes: &[u8]) -> Option<(NodeId, peer::GatewayBeat)> {
    let beat = peer::GatewayBeat::decode(bytes).ok()?;
    (!beat.node.is_empty()).then(|| (NodeId::from(beat.node.as_str()), beat))
}

fn record(now: Instant, beat: &peer::GatewayBeat) -> Option<PeerRecord> {
    let refusals = beat.refusals.iter();
    Some(PeerRecord {
        incarnation: Incarnation(beat.incarnation),
        peer_address: beat.peer_address.parse().ok()?,
        caller_address: Some(beat.caller_address.parse().ok()?),
        sequence: beat.sequence,
        heard_at: Some(now),
        ready: beat.ready && !beat.leaving,
        lease: beat.lease,
        has_traffic: beat.has_traffic,
        refusals: refusals
            .map(|refusal| (refusal.model.clone(), refusal.rate_milli as f64 / 1000.0))
            .collect(),
    })
}

/// An age as it is sent: in milliseconds plus one, zero for none.
fn age_code(age: Option<Duration>) -> u64 {
    age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1) + 1)
}

fn heard_at(now: Instant, code: u64) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(code.checked_sub(1)?))
}

fn name(life: &ServerLife) -> peer::ServerName {
    peer::ServerName { vm: life.vm.to_string(), born: life.born }
}

fn life(name: &peer::ServerName) -> ServerLife {
    ServerLife { vm: VmId::from(name.vm.as_str()), born: name.born }
}
