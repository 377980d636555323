//! Heartbeats that nodes send each other several times a second.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_proto::peer;
use comfreyturn_types::NodeId;
use prost::Message;

use crate::{
    Gateway, LogPosition, ReportKind, ViewReport,
    beat_codec::{encode_age, encode_node, encode_report, encode_sender, encode_version},
    peer_table::PeerStatus,
};

/// Number of rounds whose send times and reports are kept, so that an echo from another node can
/// be dated, and so that this node's figures can be told from those of the others in a digest.
const SENT_HISTORY_LEN: usize = 32;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Each crash is reported for this time, so that lost datagrams don't matter.
const CRASH_REPEAT_TIME: Duration = Duration::from_secs(2);

/// A node without a sign of life for this time is removed.
const PEER_RETENTION: Duration = Duration::from_secs(20);

/// A digest is sent to several members for this time before it is assembled anew.
const DIGEST_REUSE_TIME: Duration = Duration::from_millis(40);

/// Descriptions of nodes in a datagram.
const NODES_PER_DATAGRAM: usize = 64;

/// A round of sent datagrams.
pub(crate) struct SentRound {
    pub(crate) sequence: u64,

    /// When the content was assembled.
    pub(crate) assembled_at: Instant,
    pub(crate) report: Rc<ViewReport>,
}

/// Sends this node's state to other nodes and applies what they send.
///
/// Relays send each other what they and their members report, once in each period. Each other node
/// is the member of one relay: it reports to it once in each period, and the relay answers with a
/// digest of all reports that it has. In a small fleet all nodes are relays.
pub struct HeartbeatLoop {
    pub(crate) gateway: Rc<Gateway>,
    sequence: Cell<u64>,

    /// The latest rounds, oldest first.
    pub(crate) sent: RefCell<VecDeque<SentRound>>,

    /// The encoded report of the latest digest, and when it was assembled.
    digest: RefCell<Option<(Instant, Vec<u8>)>>,

    /// What relays asked for; it is sent to them with the next round.
    pub(crate) requests: RefCell<HashMap<NodeId, RelayRequest>>,
}

/// What a relay asked for.
#[derive(Default)]
pub(crate) struct RelayRequest {
    /// The relay's position in the log of the list of servers.
    pub(crate) position: Option<LogPosition>,

    /// Tags of nodes that the relay doesn't know.
    pub(crate) unknown_nodes: HashSet<u32>,
}

impl HeartbeatLoop {
    /// Creates the loop of a gateway.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        Self {
            gateway,
            sequence: Cell::new(0),
            sent: RefCell::default(),
            digest: RefCell::default(),
            requests: RefCell::default(),
        }
    }

    // ---------------------------------------------------------------------------------------
    // Sending

    /// Sends heartbeats. Never returns.
    pub(crate) async fn send(self: Rc<Self>) {
        let ports = &self.gateway.ports;
        loop {
            let now = ports.clock.now();
            self.update_view(now);
            for (address, bytes) in self.round(now) {
                ports.datagrams.send(address, bytes).await;
            }
            ports.clock.sleep(self.period()).await;
        }
    }

    /// The pause until the next round.
    fn period(&self) -> Duration {
        let Gateway { identity, state, .. } = &*self.gateway;
        let settings = &state.settings;
        if self.is_relay(&identity.node) {
            settings.heartbeat_period
        } else {
            settings.member_period
        }
    }

    /// Forgets what is too old and chooses the relays anew.
    fn update_view(&self, now: Instant) {
        let state = &self.gateway.state;
        let settings = &state.settings;
        let member_retention = settings.peer_timeouts.relayed;
        state.view.borrow_mut().forget_unresponsive(
            now,
            settings.report_retention,
            member_retention,
            PEER_RETENTION,
        );
        self.gateway.update_roster(now);
        state.update_senders(now, &self.gateway.identity.node);
        state.update_rates(now, self.period());
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CRASH_REPEAT_TIME;
        state.crashes.borrow_mut().retain(|(at, _, _)| is_recent(at));
        state.parts.borrow_mut().forget_told(now);
        state.waits.borrow_mut().forget_told(now);
        state.end_kept_evacuations(now);
        state.refresh_loads();
    }

    /// The datagrams of one round, with their receivers.
    fn round(&self, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        let Gateway { identity, state, .. } = &*self.gateway;
        let mut report = state.own_report(now);
        report.merge(&state.view.borrow().reports.sum(&[ReportKind::Member]));
        let report = Rc::new(report);
        let sequence = self.next_sequence();
        let mut sent = self.sent.borrow_mut();
        sent.push_back(SentRound { sequence, assembled_at: now, report: report.clone() });
        if sent.len() > SENT_HISTORY_LEN {
            sent.pop_front();
        }
        drop(sent);
        let is_relay = self.is_relay(&identity.node);
        let mut beat = peer::GatewayBeat { sequence, ..self.header(now) };
        encode_report(now, &report, &mut beat);
        if is_relay { self.exchange(now, beat) } else { self.member_report(now, beat) }
    }

    /// The datagrams to all other relays.
    fn exchange(&self, now: Instant, mut beat: peer::GatewayBeat) -> Vec<(SocketAddr, Vec<u8>)> {
        let Gateway { identity, state, .. } = &*self.gateway;
        beat.kind = peer::BeatKind::Relay.into();
        self.add_members(now, &mut beat);
        let common = beat.encode_to_vec();
        let source = self.choose_list_source(now);
        let view = state.view.borrow();
        let relays = view.roster.relays().filter(|node| **node != identity.node);
        // A node that seems to have crashed may only be cut off, or this one may be.
        let probed = view.peers.random_dead(now, state.settings.peer_timeouts);
        let receivers =
            relays.chain(probed).filter_map(|node| Some((node.clone(), view.peers.get(node)?)));
        let receivers = receivers.map(|(node, record)| (node, record.status.peer_address));
        let receivers: Vec<_> = receivers.collect();
        drop(view);
        let mut requests = std::mem::take(&mut *self.requests.borrow_mut());
        let datagram = |(node, address): (NodeId, SocketAddr)| {
            let mut own = peer::GatewayBeat {
                echo: self.echo(&node),
                unknown_nodes: self.take_unknown(&node),
                ..Default::default()
            };
            if source.as_ref() == Some(&node) {
                own.list_request = Some(self.list_request(&node));
            }
            let request = requests.remove(&node).unwrap_or_default();
            own.nodes = self.describe(&request.unknown_nodes);
            let position = request.position.or_else(|| self.missed_position(&node));
            own.list_changes = position.map(|position| self.list_changes(position));
            // Concatenated protobuf messages decode as one message with the fields of both.
            (address, [&common[..], &own.encode_to_vec()].concat())
        };
        receivers.into_iter().map(datagram).collect()
    }

    /// The datagram to this node's relay.
    fn member_report(
        &self,
        now: Instant,
        mut beat: peer::GatewayBeat,
    ) -> Vec<(SocketAddr, Vec<u8>)> {
        let Gateway { identity, state, .. } = &*self.gateway;
        beat.kind = peer::BeatKind::Member.into();
        let has_members = state.view.borrow().has_members();
        if has_members {
            self.add_members(now, &mut beat);
        }
        let mut view = state.view.borrow_mut();
        let preference = view.roster.preference(&identity.node, &identity.failure_domain);
        let Some(relay) = view.choice.choose(now, &preference).cloned() else {
            return Vec::new();
        };
        let address = view.peers.get(&relay).map(|record| record.status.peer_address);
        drop(view);
        let Some(address) = address else { return Vec::new() };
        beat.echo = self.echo(&relay);
        beat.nodes_hash = self.live_hash(now);
        beat.unknown_nodes = self.take_unknown(&relay);
        beat.list_request = Some(self.list_request(&relay));
        vec![(address, beat.encode_to_vec())]
    }

    /// The fields that all datagrams have.
    fn header(&self, now: Instant) -> peer::GatewayBeat {
        let Gateway { identity, state, .. } = &*self.gateway;
        let snapshot = state.snapshot(now);
        let mut beat = peer::GatewayBeat {
            leaving: state.leaving.get(),
            has_traffic: state.has_traffic.get(),
            config_version: snapshot.config_version.unwrap_or_default(),
            // Rounded up, so that the confirmation never looks younger than it is.
            config_age_ms: encode_age(snapshot.config_age.map(|age| age + MILLISECOND)),
            newest_config: state.newest_config(),
            reads_config: state.reads_config(now),
            list_version: Some(encode_version(state.list_version())),
            list_age_ms: encode_age(snapshot.list_age.map(|age| age + MILLISECOND)),
            evacuated: state.encode_evacuation(now),
            ..Default::default()
        };
        encode_sender(&identity.node, &self.own_status(), &mut beat);
        beat
    }

    /// Adds the tags of this node's live members.
    fn add_members(&self, now: Instant, beat: &mut peer::GatewayBeat) {
        let state = &self.gateway.state;
        let timeouts = state.settings.peer_timeouts;
        let view = state.view.borrow();
        let members = view.reports.nodes(ReportKind::Member);
        let records = members.filter_map(|node| view.peers.get(node));
        let live = records.filter(|record| record.is_heard(now, timeouts.relayed));
        beat.live_nodes = live.map(|record| record.tag).collect();
    }

    /// The tags that a node sent and this one doesn't know.
    fn take_unknown(&self, node: &NodeId) -> Vec<u32> {
        let unknown = self.gateway.state.view.borrow_mut().unknown_nodes.remove(node);
        unknown.into_iter().flatten().take(NODES_PER_DATAGRAM).collect()
    }

    /// Descriptions of the nodes with some tags.
    fn describe(&self, tags: &HashSet<u32>) -> Vec<peer::NodeStatus> {
        let view = self.gateway.state.view.borrow();
        view.peers.with_tags(tags).map(|(node, status)| encode_node(node, status)).collect()
    }

    /// Whether a node is a relay, as far as this one knows.
    pub(crate) fn is_relay(&self, node: &NodeId) -> bool {
        self.gateway.state.view.borrow().roster.rank(node).is_some()
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    pub(crate) fn own_status(&self) -> PeerStatus {
        let Gateway { identity, state, .. } = &*self.gateway;
        PeerStatus {
            incarnation: identity.incarnation,
            peer_address: identity.peer_address,
            caller_address: identity.caller_address,
            failure_domain: identity.failure_domain.clone(),
            capacity: identity.capacity,
            ready: self.gateway.is_ready() && self.gateway.has_paths(),
            lease_fencing: state.lease_fencing.get(),
        }
    }

    /// The exclusive or of the tags of all live nodes, this one included.
    fn live_hash(&self, now: Instant) -> u32 {
        let Gateway { identity, state, .. } = &*self.gateway;
        let others = state.view.borrow().peers.live_hash(now, state.settings.peer_timeouts);
        others ^ self.own_status().tag(&identity.node)
    }

    pub(crate) fn echo(&self, node: &NodeId) -> Option<peer::BeatEcho> {
        let view = self.gateway.state.view.borrow();
        let record = view.peers.get(node).filter(|record| record.progress.sequence > 0)?;
        let incarnation = record.status.incarnation.0;
        Some(peer::BeatEcho { incarnation, sequence: record.progress.sequence })
    }

    // ---------------------------------------------------------------------------------------
    // Digests

    /// Answers a member's datagram, `request`, with a digest.
    pub(crate) async fn send_digest(
        &self,
        now: Instant,
        to: SocketAddr,
        request: &peer::GatewayBeat,
    ) {
        let Gateway { identity, state, .. } = &*self.gateway;
        let mut beat = peer::GatewayBeat {
            sequence: self.next_sequence(),
            kind: peer::BeatKind::Digest.into(),
            echo: Some(peer::BeatEcho {
                incarnation: request.incarnation,
                sequence: request.sequence,
            }),
            ..self.header(now)
        };
        beat.nodes_hash = self.live_hash(now);
        if beat.nodes_hash != request.nodes_hash {
            let timeouts = state.settings.peer_timeouts;
            let view = state.view.borrow();
            beat.lists_all_nodes = true;
            beat.live_nodes = view.peers.alive(now, timeouts).map(|(_, peer)| peer.tag).collect();
            beat.live_nodes.push(self.own_status().tag(&identity.node));
        }
        beat.nodes = self.describe(&request.unknown_nodes.iter().copied().collect());
        if let Some(request) = &request.list_request {
            beat.list_changes = Some(self.list_changes(self.log_position(request)));
        }
        let bytes = [beat.encode_to_vec(), self.digest_report(now)].concat();
        self.gateway.ports.datagrams.send(to, bytes).await;
    }

    /// The encoded report on the whole fleet.
    fn digest_report(&self, now: Instant) -> Vec<u8> {
        let state = &self.gateway.state;
        let mut digest = self.digest.borrow_mut();
        if let Some((at, bytes)) = &*digest
            && now.saturating_duration_since(*at) < DIGEST_REUSE_TIME
        {
            return bytes.clone();
        }
        let kinds = [ReportKind::Member, ReportKind::Relay, ReportKind::Upstream];
        let mut report = state.own_report(now);
        report.merge(&state.view.borrow().reports.sum(&kinds));
        let mut beat = peer::GatewayBeat::default();
        encode_report(now, &report, &mut beat);
        let bytes = beat.encode_to_vec();
        *digest = Some((now, bytes.clone()));
        bytes
    }
}
