//! Sends heartbeats, with one task for each peer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::MemberRun;
use comfreyturn_ports::{PeerAnswer, PeerError, PeerQuestion, PeerReply, Step};
use comfreyturn_types::RosterMember;

use crate::{
    NodeControl,
    peer_clock::{ClockVerdict, PeerClock},
    peer_view::PeerView,
    watch_log::{RelayedChanges, RelayedReports},
};

/// How often the roster is checked for new peers.
const PEER_SCAN_PERIOD: Duration = Duration::from_millis(200);

impl NodeControl {
    /// Starts a task for each member, and records the runs that were replaced by later ones.
    pub(crate) async fn run_peers(self: Rc<Self>) {
        loop {
            self.record_replaced_runs();
            for member in self.counted_members() {
                self.start_peer(member);
            }
            self.ports.sleep(PEER_SCAN_PERIOD).await;
        }
    }

    fn start_peer(self: &Rc<Self>, member: RosterMember) {
        let run = (member.node.clone(), member.incarnation);
        if self.peers.borrow().contains_key(&run) {
            return;
        }
        self.peers.borrow_mut().insert(run, PeerView::new(member.clone()));
        let control = Rc::clone(self);
        self.spawn(async move { control.run_peer(member).await });
    }

    /// Sends heartbeats to a peer each period until the roster no longer contains it.
    async fn run_peer(self: Rc<Self>, member: RosterMember) {
        let run = (member.node.clone(), member.incarnation);
        let mut relayed = RelayedReports::default();
        let mut clock = PeerClock::new(self.now());
        while self.counts(&run) {
            self.send_heartbeat(&member, &mut relayed, &mut clock).await;
            self.ports.sleep(self.settings.heartbeat_period).await;
        }
        self.peers.borrow_mut().remove(&run);
    }

    async fn send_heartbeat(
        self: &Rc<Self>,
        member: &RosterMember,
        relayed: &mut RelayedReports,
        clock: &mut PeerClock,
    ) {
        let asked_at = self.now();
        let config = self.log.version();
        let question = PeerQuestion::Heartbeat { config, cursor: relayed.cursor };
        let reply = match self.ports.ask(Step::PeerHeartbeat, member, question).await {
            Ok(reply) => reply,
            Err(error) => return self.record_peer_error(member, &error),
        };
        match clock.check(self.now(), asked_at, reply.uptime) {
            ClockVerdict::BothRan => {}
            ClockVerdict::OwnPaused => {
                log::warn!("watcher: this process was paused; all evidence dropped.");
                return self.drop_evidence();
            }
            ClockVerdict::PeerPaused => {
                log::warn!("watcher: {} was paused.", member.node);
                *relayed = RelayedReports::default();
            }
        }
        let trusted = clock.trusts(self.now()).then_some(relayed);
        self.apply_reply(member, asked_at, reply, trusted).await;
    }

    async fn apply_reply(
        self: &Rc<Self>,
        member: &RosterMember,
        asked_at: Instant,
        reply: PeerReply,
        relayed: Option<&mut RelayedReports>,
    ) {
        let run = (member.node.clone(), member.incarnation);
        let from = (reply.from.node, reply.from.incarnation);
        let PeerAnswer::Heartbeat { config, leaving, in_flight, watch } = reply.answer else {
            log::warn!("peers: {} sent an unexpected answer to a heartbeat.", member.node);
            return;
        };
        if from != run || reply.from.cell != self.cell {
            return;
        }
        self.freshness.borrow_mut().record_member(run.clone(), asked_at, config);
        self.record_known(run.clone(), config);
        if let Some(peer) = self.peers.borrow_mut().get_mut(&run) {
            peer.asked_at = Some(asked_at);
            peer.config = config;
            peer.leaving |= leaving;
            peer.in_flight = in_flight;
        }
        if let Some(relayed) = relayed {
            let changes = relayed.apply(asked_at, watch);
            self.apply_relayed(changes);
        }
        if config > self.log.version() {
            self.fetch_entries(member).await;
        }
    }

    /// Records relayed reports. A watcher that no longer has a report of a VM does not prove that
    /// the VM is lost, so this node polls the VM itself.
    fn apply_relayed(self: &Rc<Self>, changes: RelayedChanges) {
        let now = self.now();
        {
            let mut table = self.table.borrow_mut();
            for relayed in changes.reports {
                table.observe(now, relayed.asked_at, &relayed.vm, Some(relayed.report));
            }
        }
        if !changes.unreported.is_empty() {
            let control = Rc::clone(self);
            self.spawn(async move { control.probe_all(&changes.unreported).await });
        }
    }

    /// Fetches the entries that a peer has and this node is missing.
    async fn fetch_entries(&self, member: &RosterMember) {
        let question = PeerQuestion::ConfigFetch { after: self.log.version() };
        match self.ports.exchange(Step::ConfigFetch, member, question).await {
            Ok(PeerAnswer::ConfigEntries { entries }) => self.append_entries(&entries),
            Ok(_) => {
                log::warn!("config: {} sent an unexpected answer to a config fetch.", member.node)
            }
            Err(error) => self.record_peer_error(member, &error),
        }
    }

    /// Records a run as dead if the error proves it: another run answers at its address, and two
    /// processes cannot be bound to the same address.
    pub(crate) fn record_peer_error(&self, member: &RosterMember, error: &PeerError) {
        if *error == PeerError::OtherIncarnation {
            let run = (member.node.clone(), member.incarnation);
            self.tally.borrow_mut().dead.insert(run);
        }
    }

    /// Records as dead the runs that were replaced by a later run at the same address: one in the
    /// roster, or this run itself while it has not joined yet.
    fn record_replaced_runs(&self) {
        let state = self.log.state();
        let roster = &state.roster.current;
        let mut successors: Vec<&RosterMember> = roster.members.values().collect();
        if !self.was_in_roster.get() {
            successors.push(&self.member);
        }
        let is_replaced = |old: &RosterMember| {
            successors.iter().any(|new| {
                new.node == old.node
                    && new.incarnation != old.incarnation
                    && new.peer_address == old.peer_address
            })
        };
        let not_joined = !self.was_in_roster.get();
        let replaced: Vec<MemberRun> = self
            .counted_members()
            .into_iter()
            .filter(|old| not_joined || !roster.contains(&old.node, old.incarnation))
            .filter(is_replaced)
            .map(|old| (old.node, old.incarnation))
            .collect();
        self.tally.borrow_mut().dead.extend(replaced);
    }
}
