//! Receiving of the datagrams of other nodes.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{AnswerReceiver, ConfigAttestation, SuspectLedger};
use comfreyturn_proto::peer;
use comfreyturn_types::NodeId;
use prost::Message;

use crate::{
    Gateway, HeartbeatLoop, ReportKind, ViewReport,
    beat_codec::{decode_age, decode_node, decode_report, decode_sender, decode_version},
    heartbeat_loop::RelayRequest,
    peer_table::{PeerProgress, PeerStatus},
};

/// A stall reported by another node is ignored if this node received data from the server within
/// this time.
const LOCAL_SEEN_MAX_AGE: Duration = Duration::from_millis(250);

impl HeartbeatLoop {
    /// Receives heartbeats and applies them. Never returns.
    pub(crate) async fn receive(self: Rc<Self>) {
        let ports = &self.gateway.ports;
        loop {
            match ports.datagrams.receive().await {
                Ok(bytes) => self.take(&bytes).await,
                Err(error) => {
                    log::warn!(cause:% = error; "heartbeats: receive failed.");
                    ports.clock.sleep(self.gateway.state.settings.heartbeat_period).await;
                }
            }
        }
    }

    async fn take(&self, bytes: &[u8]) {
        let now = self.gateway.ports.clock.now();
        let Some((node, beat)) = decode(bytes) else {
            log::debug!("heartbeats: malformed datagram of {} bytes.", bytes.len());
            return;
        };
        if node == self.gateway.identity.node {
            return;
        }
        let Some(status) = decode_sender(&beat) else {
            log::debug!("heartbeats: {node} sent an invalid address.");
            return;
        };
        let address = status.peer_address;
        if !self.apply(now, &node, status, &beat) {
            return;
        }
        match beat.kind() {
            peer::BeatKind::Member => self.send_digest(now, address, &beat).await,
            // A node that takes itself for a relay, because it knows few others, learns of the
            // relays from the digest.
            peer::BeatKind::Relay if !self.is_relay(&node) => {
                self.send_digest(now, address, &beat).await;
            }
            peer::BeatKind::Relay => {
                let position = beat.list_request.as_ref();
                let request = RelayRequest {
                    position: position.map(|request| self.log_position(request)),
                    unknown_nodes: beat.unknown_nodes.iter().copied().collect(),
                };
                self.requests.borrow_mut().insert(node, request);
            }
            peer::BeatKind::Digest => {}
        }
    }

    /// Applies a datagram; returns whether it is newer than the last one of its sender.
    fn apply(
        &self,
        now: Instant,
        node: &NodeId,
        status: PeerStatus,
        beat: &peer::GatewayBeat,
    ) -> bool {
        let state = &self.gateway.state;
        let progress = PeerProgress {
            sequence: beat.sequence,
            list_version: decode_version(beat.list_version.as_ref()),
            reads_config: beat.reads_config,
        };
        let mut view = state.view.borrow_mut();
        if !view.peers.record(now, node.clone(), status, progress) {
            return false;
        }
        let is_digest = beat.kind() == peer::BeatKind::Digest;
        let is_stray = is_digest && !view.choice.record_digest(now, node);
        drop(view);
        state.record_peer_config(beat.newest_config);
        // Before the attestation, so that a usable configuration implies known evacuations.
        state.apply_told_evacuation(now, node, beat.evacuated.as_ref());
        let echoed_at = self.echoed(beat).map(|(assembled_at, _)| assembled_at);
        if let Some(attestation) = attestation(beat, echoed_at) {
            state.apply_attestation(&attestation);
        }
        if beat.has_traffic {
            state.start_traffic(now);
        }
        self.apply_nodes(now, node, beat);
        if is_stray {
            return true;
        }
        self.apply_report(now, node, beat);
        // Changes for the list of this node's last process are not all that this one needs.
        let is_for_this_run =
            beat.echo.is_some_and(|echo| echo.incarnation == self.gateway.identity.incarnation.0);
        if let Some(changes) = beat.list_changes.as_ref().filter(|_| is_for_this_run) {
            let age = decode_age(beat.list_age_ms);
            let read_at = echoed_at.zip(age).and_then(|(at, age)| at.checked_sub(age));
            self.apply_changes(now, node, changes, read_at);
        }
        true
    }

    /// Applies what the sender tells of other nodes.
    fn apply_nodes(&self, now: Instant, sender: &NodeId, beat: &peer::GatewayBeat) {
        let Gateway { identity, state, .. } = &*self.gateway;
        let timeouts = state.settings.peer_timeouts;
        let mut view = state.view.borrow_mut();
        for (node, status) in beat.nodes.iter().filter_map(decode_node) {
            if node != identity.node {
                view.peers.record_relayed(now, node, status, timeouts);
            }
        }
        let tags: HashSet<u32> = beat.live_nodes.iter().copied().collect();
        let is_digest = beat.kind() == peer::BeatKind::Digest;
        if is_digest && !beat.lists_all_nodes {
            view.peers.refresh_live(now, timeouts);
        } else {
            view.peers.apply_live(now, &tags, beat.lists_all_nodes, timeouts);
        }
        let mut unknown = view.peers.unknown_tags(&tags);
        unknown.remove(&self.own_status().tag(&identity.node));
        view.unknown_nodes.insert(sender.clone(), unknown);
    }

    fn apply_report(&self, now: Instant, node: &NodeId, beat: &peer::GatewayBeat) {
        let state = &self.gateway.state;
        let servers = state.servers.borrow();
        let mut report = decode_report(now, beat, |tag| servers.by_tag(tag).cloned());
        drop(servers);
        let kind = match beat.kind() {
            peer::BeatKind::Relay => ReportKind::Relay,
            peer::BeatKind::Member => ReportKind::Member,
            peer::BeatKind::Digest => ReportKind::Upstream,
        };
        if kind == ReportKind::Upstream
            && let Some((_, own)) = self.echoed(beat)
        {
            report.subtract(&own);
        }
        state.record_told_refusals(now, &report.refusals);
        let mut stalls = state.stalls.borrow_mut();
        for (life, at) in &report.seen {
            stalls.record_peer_seen(*at, life);
        }
        for life in &report.stalls {
            stalls.record_peer_stall(now, life, LOCAL_SEEN_MAX_AGE);
        }
        for (life, statement) in &report.limits {
            state.record_told_limit(life, *statement);
        }
        for (life, statement) in &report.cold {
            state.record_cold_answer(life, *statement, AnswerReceiver::Other);
        }
        state.parts.borrow_mut().apply(&report.parts);
        // The holder knows its own orders; told back to it they seem to become younger.
        if !state.forms_groups.get() {
            let known = state.unanswered_join.get();
            state.unanswered_join.set(known.max(report.unanswered_join));
        }
        let mut suspects = state.suspects.borrow_mut();
        for (fingerprint, crash) in &report.crashes {
            suspects.record_crash(now, *fingerprint, *crash);
        }
        for (fingerprint, at) in &report.quarantined {
            suspects.record_quarantine(*at, *fingerprint);
        }
        state.view.borrow_mut().reports.record(now, node.clone(), kind, report);
        state.has_new_reports.set(true);
    }

    /// The round that a datagram echoes: when it was assembled, and its report. `None` if it
    /// doesn't echo a recent round of this incarnation, since it can't be dated then.
    fn echoed(&self, beat: &peer::GatewayBeat) -> Option<(Instant, Rc<ViewReport>)> {
        let echo = beat.echo?;
        if echo.incarnation != self.gateway.identity.incarnation.0 {
            return None;
        }
        let sent = self.sent.borrow();
        let round = sent.iter().find(|round| round.sequence == echo.sequence)?;
        Some((round.assembled_at, round.report.clone()))
    }
}

/// The attestation of the configuration in another node's datagram. `None` if it can't be dated.
fn attestation(beat: &peer::GatewayBeat, echoed_at: Option<Instant>) -> Option<ConfigAttestation> {
    let age = decode_age(beat.config_age_ms)?;
    Some(ConfigAttestation { version: beat.config_version, age, echo_sent_at: echoed_at? })
}

fn decode(bytes: &[u8]) -> Option<(NodeId, peer::GatewayBeat)> {
    let beat = peer::GatewayBeat::decode(bytes).ok()?;
    (!beat.node.is_empty()).then(|| (NodeId::from(beat.node.as_str()), beat))
}
