//! Killed and paused nodes, and messages between nodes.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use comfreyturn_ports::{
    Clock, PeerAnswer, PeerError, PeerHandler, PeerIdentity, PeerNotice, PeerQuestion, Step,
    TableStore,
};
use comfreyturn_standin::fakes::{
    Fault, FaultEndpoint, FaultRule, MemoryPeers, MemoryTable, RunError, run_for, run_until,
};
use comfreyturn_types::{ConfigVersion, Incarnation, NodeId, RosterMember};

use crate::bench::TestBench;

fn identity(node: &str) -> PeerIdentity {
    PeerIdentity { cell: "c".into(), node: node.into(), incarnation: Incarnation(1) }
}

fn member(node: &str, incarnation: u64) -> RosterMember {
    let address = "127.0.0.1:1".parse().unwrap();
    RosterMember {
        node: node.into(),
        incarnation: Incarnation(incarnation),
        vm: node.into(),
        failure_domain: "a".into(),
        peer_address: address,
        caller_address: address,
        operator_address: address,
    }
}

/// Counts questions, and answers with the count.
#[derive(Default)]
struct CountingPeer {
    questions: Cell<u64>,
    notices: RefCell<Vec<PeerNotice>>,
}

#[async_trait(?Send)]
impl PeerHandler for CountingPeer {
    async fn answer(&self, _: &PeerIdentity, _: PeerQuestion) -> PeerAnswer {
        self.questions.set(self.questions.get() + 1);
        PeerAnswer::ConfigKnown { config: ConfigVersion(self.questions.get()) }
    }

    fn notice(&self, _: &PeerIdentity, notice: PeerNotice) {
        self.notices.borrow_mut().push(notice);
    }
}

fn start_peers(bench: &TestBench) -> (MemoryPeers, Rc<CountingPeer>) {
    let peers = MemoryPeers::new(&bench.plan);
    let peer = Rc::new(CountingPeer::default());
    peers.register(identity("node-2"), peer.clone());
    (peers, peer)
}

const QUESTION: PeerQuestion = PeerQuestion::ConfigFetch { after: ConfigVersion(0) };

#[test]
fn question_is_answered_by_the_named_incarnation_only() {
    let mut bench = TestBench::new();
    let (peers, _) = start_peers(&bench);
    let link = peers.link(&identity("node-1"));
    let (same, other, gone) = bench
        .run(async {
            let same = link.ask(Step::ConfigFetch, &member("node-2", 1), QUESTION).await;
            let other = link.ask(Step::ConfigFetch, &member("node-2", 2), QUESTION).await;
            let gone = link.ask(Step::ConfigFetch, &member("node-3", 1), QUESTION).await;
            (same, other, gone)
        })
        .unwrap();
    let reply = same.unwrap();
    assert_eq!(reply.from, identity("node-2"));
    assert_eq!(reply.answer, PeerAnswer::ConfigKnown { config: ConfigVersion(1) });
    assert_eq!(other, Err(PeerError::OtherIncarnation));
    assert_eq!(gone, Err(PeerError::Unreachable));
}

#[test]
fn question_deliveries_under_each_link_fault() {
    for (fault, delivered) in [
        (Fault::LostAnswer, 1),
        (Fault::CutOneWay, 0),
        (Fault::CutBothWays, 0),
        (Fault::DuplicateLate, 2),
    ] {
        let mut bench = TestBench::with_fault(Step::ConfigPush, fault);
        let (peers, peer) = start_peers(&bench);
        let link = peers.link(&identity("node-1"));
        let reply =
            bench.run(async { link.ask(Step::ConfigPush, &member("node-2", 1), QUESTION).await });
        assert_eq!(reply.unwrap().is_ok(), fault == Fault::DuplicateLate, "at {fault}");
        run_for(&bench.clock, &mut bench.pool, Duration::from_secs(10));
        assert_eq!(peer.questions.get(), delivered, "at {fault}");
    }
}

#[test]
fn cut_from_the_peer_loses_its_answers() {
    let mut bench = TestBench::new();
    let (peers, peer) = start_peers(&bench);
    let ends = ["node-2", "node-1"].map(|node| FaultEndpoint::Node(node.into()));
    let [from, to] = ends;
    bench.plan.cut(from, to, false, Duration::from_secs(60));
    let link = peers.link(&identity("node-1"));
    let reply =
        bench.run(async { link.ask(Step::ConfigPush, &member("node-2", 1), QUESTION).await });
    assert_eq!(reply, Ok(Err(PeerError::Unreachable)));
    assert_eq!(peer.questions.get(), 1);
}

#[test]
fn killed_node_never_runs_again() {
    let mut bench = TestBench::with_fault(Step::LeaseRenew, Fault::Kill);
    let table = MemoryTable::new(&bench.plan).for_node(&bench.node);
    let ticks = Rc::new(Cell::new(0));
    let counted = ticks.clone();
    let clock = bench.node_clock();
    bench.plan.spawner(&bench.node).spawn(Box::pin(async move {
        loop {
            clock.sleep(Duration::from_secs(1)).await;
            counted.set(counted.get() + 1);
        }
    }));
    run_for(&bench.clock, &mut bench.pool, Duration::from_secs(5));
    let before = ticks.get();
    assert!(before >= 4);
    let renewed = bench.run(async { table.read(Step::LeaseRenew, &[]).await });
    assert_eq!(renewed, Err(RunError::Stalled));
    run_for(&bench.clock, &mut bench.pool, Duration::from_secs(5));
    assert_eq!(ticks.get(), before);
    assert!(!bench.plan.is_alive(&bench.node));
    bench.plan.restart(&bench.node);
    assert!(bench.plan.is_alive(&bench.node));
    run_for(&bench.clock, &mut bench.pool, Duration::from_secs(5));
    assert_eq!(ticks.get(), before);
}

#[test]
fn pause_stops_the_node_clock_as_set() {
    for (pauses_clock, seen) in [(true, 0), (false, 60)] {
        let mut bench = TestBench::with_fault(Step::LeaseRenew, Fault::FreezeAndWake);
        let settings =
            comfreyturn_standin::fakes::FaultSettings { pauses_clock, ..bench.plan.settings() };
        bench.plan.set_settings(settings);
        let table = MemoryTable::new(&bench.plan).for_node(&bench.node);
        let clock = bench.node_clock();
        let elapsed = bench
            .run(async {
                let before = clock.now();
                table.read(Step::LeaseRenew, &[]).await.unwrap();
                clock.now() - before
            })
            .unwrap();
        assert_eq!(elapsed.as_secs(), seen);
        assert!(bench.clock.elapsed() >= Duration::from_secs(60));
    }
}

#[test]
fn resumed_node_handles_queued_messages_first() {
    let mut bench = TestBench::new();
    let (peers, peer) = start_peers(&bench);
    let paused = NodeId::from("node-2");
    let clock = bench.plan.clock(&paused);
    let seen = Rc::new(Cell::new(None));
    let (noted, read) = (seen.clone(), peer.clone());
    bench.plan.spawner(&paused).spawn(Box::pin(async move {
        clock.sleep(Duration::from_secs(1)).await;
        noted.set(Some(read.notices.borrow().len()));
    }));
    bench.plan.pause(&paused, Duration::from_secs(60));
    let link = peers.link(&identity("node-1"));
    let (notified, reply) = bench
        .run(async {
            let notified =
                link.notify(Step::WatchNotify, &member("node-2", 1), PeerNotice::NodeLeaving).await;
            let reply = link.ask(Step::PeerHeartbeat, &member("node-2", 1), QUESTION).await;
            (notified, reply)
        })
        .unwrap();
    assert_eq!((notified, reply), (Ok(()), Err(PeerError::Unreachable)));
    assert_eq!((peer.questions.get(), seen.get()), (0, None));
    run_for(&bench.clock, &mut bench.pool, Duration::from_secs(70));
    assert_eq!(peer.questions.get(), 1);
    assert_eq!(seen.get(), Some(1));
}

#[test]
fn time_advances_only_while_no_task_can_run() {
    let mut bench = TestBench::new();
    let clock = bench.clock.clone();
    let long = Duration::from_secs(4000);
    let over = run_until(&bench.clock, &mut bench.pool, clock.sleep(long));
    assert_eq!(over, Err(RunError::TimeLimit));
    let never = run_until(&bench.clock, &mut bench.pool, std::future::pending::<()>());
    assert_eq!(never, Err(RunError::Stalled));
    let before = bench.clock.elapsed();
    run_until(&bench.clock, &mut bench.pool, clock.sleep(Duration::from_secs(7))).unwrap();
    assert_eq!(bench.clock.elapsed() - before, Duration::from_secs(7));
}

#[test]
fn rule_counts_occurrences_of_its_node() {
    let mut bench = TestBench::new();
    bench.plan.inject(FaultRule {
        step: Step::LeaseRead,
        occurrence: 2,
        node: Some("node-1".into()),
        fault: Fault::LostAnswer,
    });
    let tables = MemoryTable::new(&bench.plan);
    let own: Rc<dyn TableStore> = tables.for_node(&bench.node);
    let other = tables.for_node(&"node-9".into());
    let results = bench
        .run(async {
            let mut results = Vec::new();
            for table in [&own, &other, &other, &own, &own] {
                results.push(table.read(Step::LeaseRead, &[]).await.is_ok());
            }
            results
        })
        .unwrap();
    assert_eq!(results, [true, true, true, false, true]);
}
