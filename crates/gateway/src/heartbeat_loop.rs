//! Heartbeats that nodes send each other several times a second.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{ConfigAttestation, SuspectLedger};
use comfreyturn_proto::peer;
use comfreyturn_types::{Incarnation, NodeId, ServerLife, VmId};
use prost::Message;

use crate::{Gateway, PeerRecord};

/// Number of sent datagrams whose send times are kept, so that an echo from another node can be
/// dated.
const SENT_HISTORY_LEN: usize = 32;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Each crash is reported for this time, so that lost datagrams don't matter.
const CRASH_REPEAT_TIME: Duration = Duration::from_secs(2);

/// A node without a heartbeat for this time is removed.
const PEER_RETENTION: Duration = Duration::from_secs(20);

/// Requests of a node without a heartbeat for this time are no longer counted.
const LOAD_RETENTION: Duration = Duration::from_millis(1500);

/// A stall reported by another node is ignored if this node received data from the server within
/// this time.
const LOCAL_SEEN_MAX_AGE: Duration = Duration::from_millis(250);

/// Sends this node's state to the other nodes and applies what they send.
pub struct HeartbeatLoop {
    gateway: Rc<Gateway>,
    sequence: Cell<u64>,

    /// The latest sent datagrams: their sequence numbers and when their content was assembled.
    sent: RefCell<VecDeque<(u64, Instant)>>,
}

impl HeartbeatLoop {
    /// Creates the loop of a gateway.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway, sequence: Cell::new(0), sent: RefCell::default() }
    }

    /// Sends heartbeats. Never returns.
    pub(crate) async fn send(self: Rc<Self>) {
        let ports = &self.gateway.ports;
        loop {
            let now = ports.clock.now();
            let heartbeat = self.heartbeat(now).encode_to_vec();
            self.record_sent(now);
            for (address, echo) in self.receivers() {
                // Concatenated protobuf messages decode as one message with the fields of both.
                ports.datagrams.send(address, [&heartbeat[..], &echo].concat()).await;
            }
            self.forget(now);
            let state = &self.gateway.state;
            ports.clock.sleep(state.scale_by_peers(state.settings.heartbeat_period)).await;
        }
    }

    /// Receives heartbeats and applies them. Never returns.
    pub(crate) async fn receive(self: Rc<Self>) {
        let ports = &self.gateway.ports;
        loop {
            match ports.datagrams.receive().await {
                Ok(bytes) => self.apply(ports.clock.now(), &bytes),
                Err(error) => {
                    log::warn!(cause:% = error; "heartbeats: receive failed.");
                    ports.clock.sleep(self.gateway.state.settings.heartbeat_period).await;
                }
            }
        }
    }

    fn record_sent(&self, now: Instant) {
        let mut sent = self.sent.borrow_mut();
        sent.push_back((self.sequence.get(), now));
        if sent.len() > SENT_HISTORY_LEN {
            sent.pop_front();
        }
    }

    /// The addresses of the other nodes, each with the encoded echo of that node's newest
    /// heartbeat.
    fn receivers(&self) -> Vec<(SocketAddr, Vec<u8>)> {
        let peers = self.gateway.state.peers.borrow();
        let receiver = |peer: &PeerRecord| {
            let echo = peer.last_seen_at.map(|_| peer::BeatEcho {
                incarnation: peer.incarnation.0,
                sequence: peer.sequence,
            });
            let echo = peer::GatewayBeat { echo, ..peer::GatewayBeat::default() };
            (peer.peer_address, echo.encode_to_vec())
        };
        peers.all().map(receiver).collect()
    }

    /// The attestation of the configuration in another node's heartbeat. `None` if the heartbeat
    /// doesn't echo a recent datagram of this incarnation, since it can't be dated then.
    fn attestation(&self, beat: &peer::GatewayBeat) -> Option<ConfigAttestation> {
        let echo = beat.echo?;
        if echo.incarnation != self.gateway.identity.incarnation.0 {
            return None;
        }
        let sent = self.sent.borrow();
        let (_, echo_sent_at) = *sent.iter().find(|(sequence, _)| *sequence == echo.sequence)?;
        let age = Duration::from_millis(beat.config_age_ms.checked_sub(1)?);
        Some(ConfigAttestation { version: beat.config_version, age, echo_sent_at })
    }

    fn heartbeat(&self, now: Instant) -> peer::GatewayBeat {
        let Gateway { identity, state, .. } = &*self.gateway;
        self.sequence.set(self.sequence.get() + 1);
        let own = state.loads.own().into_iter();
        let stalls = state.stalls.borrow().own_stalls(now, state.settings.stall_retention);
        let period = state.scale_by_peers(state.settings.heartbeat_period);
        let refusals = state.update_refusals(period).into_iter();
        let crashes = state.crashes.borrow();
        let snapshot = state.snapshot(now);
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
            lease: state.lease_fencing.get(),
            has_traffic: state.has_traffic.get(),
            list_news: state.list_change_version.get(),
            config_version: snapshot.config_version.unwrap_or_default(),
            // Rounded up, so that the confirmation never looks younger than it is.
            config_age_ms: encode_age(snapshot.config_age.map(|age| age + MILLISECOND)),
            echo: None,
            loads: own
                .map(|(life, running)| peer::ServerLoad {
                    server: Some(name(&life)),
                    running,
                    heard_age_ms: encode_age(state.stalls.borrow().last_seen_age(now, &life)),
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
            deaths: crashes
                .iter()
                .map(|(_, fingerprint, crash)| peer::RequestDeath {
                    fingerprint: *fingerprint,
                    death: *crash,
                })
                .collect(),
        }
    }

    fn apply(&self, now: Instant, bytes: &[u8]) {
        let Some((node, beat)) = decode(bytes) else {
            log::debug!("heartbeats: malformed datagram of {} bytes.", bytes.len());
            return;
        };
        let Gateway { identity, state, .. } = &*self.gateway;
        if node == identity.node {
            return;
        }
        let Some(record) = record(now, &beat) else {
            log::debug!("heartbeats: {node} sent an invalid address.");
            return;
        };
        if !state.peers.borrow_mut().record(node.clone(), record) {
            return;
        }
        state.record_peer_change(beat.list_news);
        state.record_peer_config(beat.config_version);
        if let Some(attestation) = self.attestation(&beat) {
            state.apply_attestation(&attestation);
        }
        if beat.has_traffic {
            state.has_traffic.set(true);
        }
        let loads = beat.loads.iter().filter_map(|load| Some((life(load.server.as_ref()?), load)));
        let loads: HashMap<_, _> = loads.map(|(life, load)| (life, load.running)).collect();
        state.loads.set_peer_loads(now, node, loads);
        let mut stalls = state.stalls.borrow_mut();
        for load in &beat.loads {
            let seen_at = seen_at(now, load.heard_age_ms);
            if let (Some(server), Some(seen_at)) = (&load.server, seen_at) {
                stalls.record_peer_seen(seen_at, &life(server));
            }
        }
        for server in beat.stalls.iter().filter_map(|stall| stall.server.as_ref()) {
            stalls.record_peer_stall(now, &life(server), LOCAL_SEEN_MAX_AGE);
        }
        let mut suspects = state.suspects.borrow_mut();
        for death in &beat.deaths {
            suspects.record_crash(now, death.fingerprint, death.death);
        }
    }

    fn forget(&self, now: Instant) {
        let state = &self.gateway.state;
        state.loads.forget_unresponsive(now, state.scale_by_peers(LOAD_RETENTION));
        let limit = state.scale_by_peers(PEER_RETENTION);
        state.peers.borrow_mut().forget_unresponsive(now, limit);
        let recent = |at: &Instant| now.saturating_duration_since(*at) < CRASH_REPEAT_TIME;
        state.crashes.borrow_mut().retain(|(at, _, _)| recent(at));
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
        last_seen_at: Some(now),
        ready: beat.ready && !beat.leaving,
        lease_fencing: beat.lease,
        has_traffic: beat.has_traffic,
        refusals: refusals
            .map(|refusal| (refusal.model.clone(), refusal.rate_milli as f64 / 1000.0))
            .collect(),
    })
}

/// Encodes an age: milliseconds plus one, or zero for `None`.
fn encode_age(age: Option<Duration>) -> u64 {
    age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1) + 1)
}

/// Decodes an age written by [`encode_age`] to a time.
fn seen_at(now: Instant, encoded_age: u64) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(encoded_age.checked_sub(1)?))
}

fn name(life: &ServerLife) -> peer::ServerName {
    peer::ServerName { vm: life.vm.to_string(), born: life.born }
}

fn life(name: &peer::ServerName) -> ServerLife {
    ServerLife { vm: VmId::from(name.vm.as_str()), born: name.born }
}
