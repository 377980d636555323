//! Messages between nodes, and peers that answer incorrectly or not at all.

use std::{
    cell::{Cell, RefCell},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use comfreyturn_adapters::{ByteMeter, PeerClient, PeerServer, PeerSettings};
use comfreyturn_ports::{
    PeerAnswer, PeerError, PeerHandler, PeerIdentity, PeerLink, PeerNotice, PeerQuestion,
    PeerReply, PeerResult, RelayedReport, Step, UnchangedReports, WatchCursor, WatchUpdate,
};
use comfreyturn_proto::peer::{ConfigKnown, Envelope, HeartbeatAnswer, envelope::Body};
use comfreyturn_types::{
    ConfigChange, ConfigEntry, ConfigVersion, CustomerName, FencingNumber, GroupAssignment,
    GroupGeneration, Incarnation, RosterMember, VmLoad, VmPhase, VmReport,
};
use futures_util::future::join;
use prost::Message;

const ASK_TIMEOUT: Duration = Duration::from_millis(300);

fn identity(node: &str, incarnation: u64) -> PeerIdentity {
    PeerIdentity { cell: "c".into(), node: node.into(), incarnation: Incarnation(incarnation) }
}

fn member(address: SocketAddr) -> RosterMember {
    RosterMember {
        node: "b".into(),
        incarnation: Incarnation(2),
        vm: "vm-b".into(),
        failure_domain: "d".into(),
        peer_address: address,
        caller_address: address,
        operator_address: address,
    }
}

fn settings() -> PeerSettings {
    PeerSettings { ask_timeout: ASK_TIMEOUT, ..PeerSettings::default() }
}

fn client() -> PeerClient {
    PeerClient::new(identity("a", 1), Instant::now(), settings(), ByteMeter::default())
}

fn heartbeat() -> PeerQuestion {
    PeerQuestion::Heartbeat { config: ConfigVersion(4), cursor: WatchCursor { sequence: 9 } }
}

async fn ask(client: &PeerClient, address: SocketAddr) -> PeerResult<PeerReply> {
    client.ask(Step::PeerHeartbeat, &member(address), heartbeat()).await
}

/// Delays answers to fetches after odd versions, and answers immediately otherwise.
#[derive(Default)]
struct TestHandler {
    asked: RefCell<Vec<PeerQuestion>>,
    notices: RefCell<Vec<(PeerIdentity, PeerNotice)>>,
    answering: Cell<usize>,
    max_answering: Cell<usize>,
}

#[async_trait(?Send)]
impl PeerHandler for TestHandler {
    async fn answer(&self, _from: &PeerIdentity, question: PeerQuestion) -> PeerAnswer {
        self.answering.set(self.answering.get() + 1);
        self.max_answering.set(self.max_answering.get().max(self.answering.get()));
        let answer = match &question {
            PeerQuestion::Heartbeat { config, .. } => full_heartbeat(*config),
            PeerQuestion::ConfigPush { entries } => {
                PeerAnswer::ConfigKnown { config: entries.last().unwrap().version }
            }
            PeerQuestion::ConfigFetch { after } => {
                if after.0 % 2 == 1 {
                    compio::time::sleep(Duration::from_millis(100)).await;
                }
                PeerAnswer::ConfigEntries { entries: vec![entry(after.0 + 1)] }
            }
            PeerQuestion::ShareLoan { customer, number, wanted } => {
                PeerAnswer::ShareLoan { customer: customer.clone(), number: *number, lent: *wanted }
            }
        };
        self.answering.set(self.answering.get() - 1);
        self.asked.borrow_mut().push(question);
        answer
    }

    fn notice(&self, from: &PeerIdentity, notice: PeerNotice) {
        self.notices.borrow_mut().push((from.clone(), notice));
    }
}

fn entry(version: u64) -> ConfigEntry {
    ConfigEntry {
        version: ConfigVersion(version),
        operation: "op".into(),
        changes: vec![ConfigChange::SetVmDrained { vm: "vm-1".into(), drained: true }],
    }
}

fn full_heartbeat(config: ConfigVersion) -> PeerAnswer {
    let assignment = GroupAssignment {
        group: "g".into(),
        generation: GroupGeneration(3),
        service: "s".into(),
        model: "m".into(),
        version: "v".into(),
        adapters: vec!["x".into()],
        members: vec!["vm-1".into(), "vm-2".into()],
    };
    let load = VmLoad { running: 1, queued: 2, capacity: 3, age: Duration::from_millis(250) };
    let report = VmReport {
        vm: "vm-1".into(),
        incarnation: Incarnation(u64::MAX),
        phase: VmPhase::Ready,
        leaving: true,
        assignment: Some(assignment),
        fencing: Some(FencingNumber(0)),
        load,
    };
    let age = Duration::from_micros(1500);
    let lost = RelayedReport { vm: "vm-3".into(), report: None, age };
    let changed = vec![RelayedReport { vm: "vm-1".into(), report: Some(report), age }, lost];
    let unchanged = UnchangedReports { age, except: vec!["vm-4".into()] };
    let watch = WatchUpdate { cursor: WatchCursor { sequence: 11 }, changed, unchanged };
    PeerAnswer::Heartbeat { config, leaving: true, in_flight: 7, watch }
}

async fn serve(identity: PeerIdentity, settings: PeerSettings) -> (SocketAddr, Rc<TestHandler>) {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Rc::new(TestHandler::default());
    let meter = ByteMeter::default();
    let server = PeerServer::new(identity, Instant::now(), settings, meter, handler.clone());
    compio::runtime::spawn(server.serve(listener)).detach();
    (address, handler)
}

#[compio::test]
async fn question_and_answer_arrive_unchanged() {
    let (address, handler) = serve(identity("b", 2), settings()).await;
    let client = client();
    let reply = ask(&client, address).await.unwrap();
    assert_eq!(reply.from, identity("b", 2));
    let mut expected = full_heartbeat(ConfigVersion(4));
    if let PeerAnswer::Heartbeat { watch, .. } = &mut expected {
        // Ages are rounded up to whole milliseconds.
        let age = Duration::from_millis(2);
        watch.unchanged.age = age;
        watch.changed.iter_mut().for_each(|relayed| relayed.age = age);
    }
    assert_eq!(reply.answer, expected);
    assert_eq!(*handler.asked.borrow(), [heartbeat()]);
    let push = PeerQuestion::ConfigPush { entries: vec![entry(5), entry(6)] };
    let reply = client.ask(Step::ConfigPush, &member(address), push.clone()).await.unwrap();
    assert_eq!(reply.answer, PeerAnswer::ConfigKnown { config: ConfigVersion(6) });
    assert_eq!(handler.asked.borrow()[1], push);
    let (customer, number) = (CustomerName::from("north"), 3);
    let loan = PeerQuestion::ShareLoan { customer: customer.clone(), number, wanted: 0.25 };
    let reply = client.ask(Step::PeerHeartbeat, &member(address), loan.clone()).await.unwrap();
    assert_eq!(reply.answer, PeerAnswer::ShareLoan { customer, number, lent: 0.25 });
    assert_eq!(handler.asked.borrow()[2], loan);
}

#[compio::test]
async fn notices_arrive_with_their_sender() {
    let (address, handler) = serve(identity("b", 2), settings()).await;
    let client = client();
    let notices = [
        PeerNotice::VmLeaving { vm: "vm-1".into(), incarnation: Incarnation(8) },
        PeerNotice::VmLost { vm: "vm-2".into() },
        PeerNotice::NodeLeaving,
        PeerNotice::Suspect { fingerprint: 1, death: 2 },
        PeerNotice::SuspectCleared { fingerprint: 1 },
    ];
    for notice in &notices {
        client.notify(Step::WatchNotify, &member(address), notice.clone()).await.unwrap();
    }
    ask(&client, address).await.unwrap();
    let expected: Vec<_> = notices.into_iter().map(|notice| (identity("a", 1), notice)).collect();
    assert_eq!(*handler.notices.borrow(), expected);
}

#[compio::test]
async fn slow_answer_does_not_block_others() {
    let (address, handler) = serve(identity("b", 2), settings()).await;
    let client = client();
    let member = member(address);
    let fetch = |after| {
        let question = PeerQuestion::ConfigFetch { after: ConfigVersion(after) };
        let asking = client.ask(Step::ConfigFetch, &member, question);
        async { (asking.await.unwrap().answer, Instant::now()) }
    };
    let ((slow, slow_at), (quick, quick_at)) = join(fetch(1), fetch(2)).await;
    assert_eq!(slow, PeerAnswer::ConfigEntries { entries: vec![entry(2)] });
    assert_eq!(quick, PeerAnswer::ConfigEntries { entries: vec![entry(3)] });
    assert!(quick_at < slow_at);
    assert_eq!(handler.max_answering.get(), 2);
}

#[compio::test]
async fn concurrent_answers_are_bounded() {
    let bounded = PeerSettings { concurrent_answers: 2, ..settings() };
    let (address, handler) = serve(identity("b", 2), bounded).await;
    let patient = PeerSettings { ask_timeout: Duration::from_secs(5), ..settings() };
    let client = PeerClient::new(identity("a", 1), Instant::now(), patient, ByteMeter::default());
    let member = member(address);
    let question = PeerQuestion::ConfigFetch { after: ConfigVersion(1) };
    let asking = (0..6).map(|_| client.ask(Step::ConfigFetch, &member, question.clone()));
    let replies = futures_util::future::join_all(asking).await;
    assert!(replies.iter().all(Result::is_ok));
    assert_eq!(handler.max_answering.get(), 2);
}

#[compio::test]
async fn answer_of_another_incarnation() {
    let (address, _) = serve(identity("b", 3), settings()).await;
    assert_eq!(ask(&client(), address).await, Err(PeerError::OtherIncarnation));
    let (address, _) = serve(identity("c", 2), settings()).await;
    assert_eq!(ask(&client(), address).await, Err(PeerError::OtherIncarnation));
}

#[compio::test]
async fn server_drops_messages_of_another_cell() {
    let other = PeerIdentity { cell: "other".into(), ..identity("b", 2) };
    let (address, handler) = serve(other, settings()).await;
    assert_eq!(ask(&client(), address).await, Err(PeerError::Unreachable));
    assert!(handler.asked.borrow().is_empty());
}

#[compio::test]
async fn server_ends_a_connection_with_an_oversized_frame() {
    let small = PeerSettings { frame_limit: 64, ..settings() };
    let (address, handler) = serve(identity("b", 2), small).await;
    let push = PeerQuestion::ConfigPush { entries: vec![entry(5), entry(6)] };
    let asked = client().ask(Step::ConfigPush, &member(address), push).await;
    assert_eq!(asked, Err(PeerError::Unreachable));
    assert!(handler.asked.borrow().is_empty());
}

#[compio::test]
async fn client_refuses_to_send_an_oversized_frame() {
    let (address, _) = serve(identity("b", 2), settings()).await;
    let small = PeerSettings { frame_limit: 64, ..settings() };
    let client = PeerClient::new(identity("a", 1), Instant::now(), small, ByteMeter::default());
    let push = PeerQuestion::ConfigPush { entries: vec![entry(5), entry(6)] };
    let asked = client.ask(Step::ConfigPush, &member(address), push).await;
    assert_eq!(asked, Err(PeerError::Malformed));
}

/// A peer that computes its answer from the envelope received. `None` closes the connection.
fn scripted_peer(
    answer: impl Fn(usize, Envelope) -> Option<Envelope> + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            while let Some(envelope) = read_frame(&mut stream) {
                let Some(answer) = answer(connection, envelope) else { break };
                write_frame(&mut stream, &answer.encode_to_vec());
            }
        }
    });
    address
}

fn read_frame(stream: &mut TcpStream) -> Option<Envelope> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut frame = vec![0; usize::try_from(u32::from_be_bytes(length)).unwrap()];
    stream.read_exact(&mut frame).ok()?;
    Envelope::decode(&frame[..]).ok()
}

fn write_frame(stream: &mut TcpStream, frame: &[u8]) {
    let length = u32::try_from(frame.len()).unwrap();
    let _ = stream.write_all(&length.to_be_bytes()).and_then(|()| stream.write_all(frame));
}

fn valid_answer(question: Envelope) -> Envelope {
    let body = Some(Body::HeartbeatAnswer(HeartbeatAnswer::default()));
    Envelope { node: "b".into(), incarnation: 2, body, ..question }
}

#[compio::test]
async fn valid_answer_is_accepted() {
    let address = scripted_peer(|_, question| Some(valid_answer(question)));
    assert!(ask(&client(), address).await.is_ok());
}

#[compio::test]
async fn answer_from_another_cell() {
    let address =
        scripted_peer(|_, question| Some(Envelope { cell: "z".into(), ..valid_answer(question) }));
    assert_eq!(ask(&client(), address).await, Err(PeerError::Malformed));
}

#[compio::test]
async fn answer_to_a_question_that_was_not_asked() {
    let address = scripted_peer(|_, question| {
        let number = question.number + 1;
        Some(Envelope { number, ..valid_answer(question) })
    });
    assert_eq!(ask(&client(), address).await, Err(PeerError::Malformed));
}

#[compio::test]
async fn answer_to_an_earlier_question_is_ignored() {
    let address =
        scripted_peer(|_, question| Some(Envelope { number: 1, ..valid_answer(question) }));
    let client = client();
    assert!(ask(&client, address).await.is_ok());
    assert_eq!(ask(&client, address).await, Err(PeerError::Unreachable));
}

#[compio::test]
async fn answer_of_another_kind() {
    let address = scripted_peer(|_, question| {
        let body = Some(Body::ConfigKnown(ConfigKnown { config: 4 }));
        Some(Envelope { body, ..valid_answer(question) })
    });
    assert_eq!(ask(&client(), address).await, Err(PeerError::Malformed));
}

#[compio::test]
async fn oversized_answer() {
    let address = scripted_peer(|_, question| {
        Some(Envelope { node: "x".repeat(5 * 1024 * 1024), ..valid_answer(question) })
    });
    assert_eq!(ask(&client(), address).await, Err(PeerError::Unreachable));
}

#[compio::test]
async fn connection_refused() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let client = client();
    assert_eq!(ask(&client, address).await, Err(PeerError::Unreachable));
    let member = member(address);
    let notified = client.notify(Step::WatchNotify, &member, PeerNotice::NodeLeaving);
    assert_eq!(notified.await, Err(PeerError::Unreachable));
}

#[compio::test]
async fn reconnects_after_the_connection_broke() {
    let address =
        scripted_peer(|connection, question| (connection > 0).then(|| valid_answer(question)));
    let client = client();
    assert_eq!(ask(&client, address).await, Err(PeerError::Unreachable));
    assert!(ask(&client, address).await.is_ok());
}

#[compio::test]
async fn dropped_client_closes_its_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, closing) = flume::bounded(1);
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        while let Some(question) = read_frame(&mut stream) {
            write_frame(&mut stream, &valid_answer(question).encode_to_vec());
        }
        closed.send(()).unwrap();
    });
    let client = client();
    ask(&client, address).await.unwrap();
    drop(client);
    let closing = compio::time::timeout(Duration::from_secs(2), closing.recv_async()).await;
    assert!(closing.is_ok(), "the connection is still open");
}

#[compio::test]
async fn reconnects_when_a_peer_is_unresponsive() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = client();
    for _ in 0..2 {
        let asked_at = Instant::now();
        assert_eq!(ask(&client, address).await, Err(PeerError::Unreachable));
        assert!(asked_at.elapsed() >= ASK_TIMEOUT && asked_at.elapsed() < ASK_TIMEOUT * 3);
    }
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                while let Some(question) = read_frame(&mut stream) {
                    if connection > 0 {
                        write_frame(&mut stream, &valid_answer(question).encode_to_vec());
                    }
                }
            });
        }
    });
    compio::time::sleep(Duration::from_millis(50)).await;
    assert!(ask(&client, address).await.is_ok(), "the unresponsive connection is still in use");
}
