//! A server in trouble sends interim responses without end. The node that reads them stands still.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    End, Scene,
    http::{Channel, Headers, Request, once, respond},
    nodes::await_ready,
    servers::{Server, Start},
};

/// `timeoutMs` of the route, and the time after it within which a request must have an answer.
const TIMEOUT: Duration = Duration::from_millis(1500);
const SLACK: Duration = Duration::from_millis(500);

/// How long the node is watched after the server's trouble began.
const WATCHED: Duration = Duration::from_secs(20);

/// Bytes a second that the server sends: less than the link of a machine carries (1,000 Mbit/s).
const RATE: u64 = 115_000_000;

/// A small interim response.
const INTERIM: &str = "HTTP/1.1 103 \r\nA:\r\nB:\r\nC:\r\nD:\r\nE:\r\nF:\r\nG:\r\nH:\r\n\r\n";

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-poll","host":"site.example","prefix":"/poll/",
"kind":"idempotent","timeoutMs":1500,"sloMs":150,"priority":2,"service":"app","maxAttempts":2,"public":false}],
"services":[{"name":"app","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}"#;

/// A request: when it was sent, when its answer came, and its status.
#[derive(Clone, Copy, Debug)]
struct Try {
    sent_at: Instant,
    took: Duration,
    status: u16,
}

pub fn run(scene: &Scene) -> std::io::Result<End> {
    let Scene { store, world, record, .. } = scene;
    store.put("op", "config", Some(CONFIG));
    // Set once: the next request that reaches the first server gets no end of interim responses.
    let trouble = Arc::new(AtomicBool::new(false));
    let sent_bytes = Arc::new(AtomicU64::new(0));
    for n in 1..=3 {
        let start = Start {
            id: format!("p-0{n}"),
            service: "app".to_owned(),
            zone: ["hn-a", "hn-b", "hn-c"][n - 1].to_owned(),
            domain: None,
            slots: 6,
            staged: Vec::new(),
            address: None,
        };
        let (trouble, sent_bytes) = (trouble.clone(), sent_bytes.clone());
        Server::start(
            world,
            start,
            Arc::new(move |server: &Arc<Server>, request: &Request, stream| {
                let attempt = request.header("attempt-id").unwrap_or("").to_owned();
                server.world.record.line(format!("{} runs {attempt}", server.id()));
                if server.id() == "p-01" && trouble.swap(false, Ordering::SeqCst) {
                    server.world.record.say(format!("p-01 answers {attempt} without end"));
                    let began = Instant::now();
                    let piece = INTERIM.repeat(400);
                    // Until the caller closes.
                    while stream.write_all(piece.as_bytes()).is_ok() {
                        let sent = sent_bytes.fetch_add(piece.len() as u64, Ordering::SeqCst);
                        let due = Duration::from_secs_f64(sent as f64 / RATE as f64);
                        thread::sleep(due.saturating_sub(began.elapsed()));
                    }
                    let after = began.elapsed().as_secs_f64();
                    server
                        .world
                        .record
                        .say(format!("the caller of p-01 closed after {after:.1} s"));
                    return Ok(false);
                }
                thread::sleep(Duration::from_millis(30));
                let headers = [
                    ("Attempt-Id", attempt.clone()),
                    ("Response-Signature", format!("s.{attempt}")),
                ];
                respond(stream, 200, &headers, &[b'a'; 800])?;
                Ok(true)
            }),
        )?;
    }
    let nodes = scene.start_nodes(3)?;
    if !await_ready(&nodes, Duration::from_secs(20)) {
        return Ok(End::NotRun("the nodes aren't ready".to_owned()));
    }
    record.say("nodes are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<(SocketAddr, Try)>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..9 {
        let front = nodes[number % 3].front;
        let (stop, tries, record) = (stop.clone(), tries.clone(), record.clone());
        callers.push(thread::spawn(move || {
            let mut channel = Channel::default();
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("c{number}-{count}");
                let headers: Headers = [
                    ("Host", "site.example"),
                    ("Attempt-Id", &id),
                    ("Deadline-Ms", "4000"),
                    ("Authorization", "Bearer k1"),
                ]
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .to_vec();
                let sent_at = Instant::now();
                let target = format!("/poll/{id}");
                let answer =
                    channel.call(front, "GET", &target, &headers, b"", Duration::from_secs(4));
                let took = sent_at.elapsed();
                record.line(format!(
                    "{id} is answered {} after {took:?} {}",
                    answer.status, answer.error
                ));
                tries.lock().unwrap().push((front, Try { sent_at, took, status: answer.status }));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    trouble.store(scene.trouble, Ordering::SeqCst);
    let mut unready: Vec<u32> = vec![0; nodes.len()];
    while began.elapsed() < WATCHED {
        for (index, node) in nodes.iter().enumerate() {
            let limit = Duration::from_millis(900);
            let answer = once(node.ready, "GET", "/readiness", &Vec::new(), b"", limit);
            if answer.status == 0 {
                unready[index] += 1;
                record.line(format!(
                    "{} doesn't answer whether it is ready: {}",
                    node.name, answer.error
                ));
            }
        }
        thread::sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    record.say(format!("readiness checks without an answer, by node: {unready:?}"));
    record.say(format!(
        "{} MB of interim responses were sent",
        sent_bytes.load(Ordering::SeqCst) / 1_000_000
    ));
    drop(nodes);
    let tries = tries.lock().unwrap();
    // Still unanswered at the route's timeout, and half a second later.
    let open =
        tries.iter().filter(|(_, t)| t.sent_at >= began && (t.took >= TIMEOUT || t.status == 0));
    let late = open.clone().filter(|(_, t)| t.took >= TIMEOUT + SLACK || t.status == 0);
    let (open, late) = (open.count(), late.count());
    record.say(format!(
        "{open} requests had no answer at their route's timeout, {late} none half a second later"
    ));
    Ok(if late > 3 && late * 2 > open {
        End::Broken(format!(
            "CONFIG: of {open} requests that were unanswered at their route's timeoutMs, {late} had no answer half a \
             second later"
        ))
    } else {
        End::Held
    })
}
