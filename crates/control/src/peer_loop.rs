//! Heartbeats: one task for each peer.

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
    watch_log::{RelayedNews, RelayedReports},
};

/// How often new peers are looked for.
const PEER_SCAN_PERIOD: Duration = Duration::from_millis(200);

impl NodeControl {
    /// Starts a task for each member, and takes note of runs that a successor replaced.
    pub(crate) async fn run_peers(self: Rc<Self>) {
        loop {
            self.note_successors();
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

    /// Asks a peer each period until the roster no longer names it.
    async fn run_peer(self: Rc<Self>, member: RosterMember) {
        let run = (member.node.clone(), member.incarnation);
        let mut relayed = RelayedReports::default();
        let mut clock = PeerClock::new(self.now());
        while self.counts(&run) {
            self.ask_peer(&member, &mut relayed, &mut clock).await;
            self.ports.sleep(self.settings.heartbeat_period).await;
        }
        self.peers.borrow_mut().remove(&run);
    }

    async fn ask_peer(
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
            Err(error) => return self.note_peer_error(member, &error),
        };
        match clock.check(self.now(), asked_at, reply.uptime) {
            ClockVerdict::Even => {}
            ClockVerdict::OwnStoodStill => {
                log::warn!("watcher: clock stood still; all evidence dropped.");
                return self.drop_evidence();
            }
            ClockVerdict::PeerStoodStill => {
                log::warn!("watcher: clock of {} stood still.", member.node);
                *relayed = RelayedReports::default();
            }
        }
        let trusted = clock.trusts(self.now()).then_some(relayed);
        self.take_in_reply(member, asked_at, reply, trusted).await;
    }

    async fn take_in_reply(
        self: &Rc<Self>,
        member: &RosterMember,
        asked_at: Instant,
        reply: PeerReply,
        relayed: Option<&mut RelayedReports>,
    ) {
        let run = (member.node.clone(), member.incarnation);
        let from = (reply.from.node, reply.from.incarnation);
        let PeerAnswer::Heartbeat { config, leaving, in_flight, watch } = reply.answer else {
            log::warn!("peers: {} answered a heartbeat with something else.", member.node);
            return;
        };
        if from != run || reply.from.cell != self.cell {
            return;
        }
        self.gauge.borrow_mut().record_member(run.clone(), asked_at, config);
        self.record_known(run.clone(), config);
        if let Some(peer) = self.peers.borrow_mut().get_mut(&run) {
            peer.asked_at = Some(asked_at);
            peer.config = config;
            peer.leaving |= leaving;
            peer.in_flight = in_flight;
        }
        if let Some(relayed) = relayed {
            let news = relayed.take_in(asked_at, watch);
            self.take_in_news(news);
        }
        if config > self.log.version() {
            self.fetch_entries(member).await;
        }
    }

    /// Takes in relayed reports. That a watcher lost sight of a VM proves nothing; it is a reason
    /// to look for oneself.
    fn take_in_news(self: &Rc<Self>, news: RelayedNews) {
        let now = self.now();
        {
            let mut table = self.table.borrow_mut();
            for relayed in news.reports {
                table.observe(now, relayed.asked_at, &relayed.vm, Some(relayed.report));
            }
        }
        if !news.unseen.is_empty() {
            let control = Rc::clone(self);
            self.spawn(async move { control.probe_all(&news.unseen).await });
        }
    }

    /// Fetches the entries that a peer knows and this node does not.
    async fn fetch_entries(&self, member: &RosterMember) {
        let question = PeerQuestion::ConfigFetch { after: self.log.version() };
        match self.ports.exchange(Step::ConfigFetch, member, question).await {
            Ok(PeerAnswer::ConfigEntries { entries }) => self.append_entries(&entries),
            Ok(_) => log::warn!("config: {} answered a fetch with something else.", member.node),
            Err(error) => self.note_peer_error(member, &error),
        }
    }

    /// Takes note of an error that proves a run dead: another run answers at its address, which
    /// two processes cannot hold at once.
    pub(crate) fn note_peer_error(&self, member: &RosterMember, error: &PeerError) {
        if *error == PeerError::OtherIncarnation {
            let run = (member.node.clone(), member.incarnation);
            self.tally.borrow_mut().dead.insert(run);
        }
    }

    /// Takes note of runs that have a successor at the same address: one that the log names, or
    /// this node itself.
    fn note_successors(&self) {
        let state = self.log.state();
        let roster = &state.roster.current;
        let mut successors: Vec<&RosterMember> = roster.members.values().collect();
        if !self.was_named.get() {
            successors.push(&self.member);
        }
        let is_replaced = |old: &RosterMember| {
            successors.iter().any(|new| {
                new.node == old.node
                    && new.incarnation != old.incarnation
                    && new.peer_address == old.peer_address
            })
        };
        let own_turn = !self.was_named.get();
        let replaced: Vec<MemberRun> = self
            .counted_members()
            .into_iter()
            .filter(|old| own_turn || !roster.contains(&old.node, old.incarnation))
            .filter(is_replaced)
            .map(|old| (old.node, old.incarnation))
            .collect();
        self.tally.borrow_mut().dead.extend(replaced);
    }
}
