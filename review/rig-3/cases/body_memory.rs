//! Servers read slowly while clients send large bodies.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    thread::spawn,
};

use crate::{
    cases::{BOUNDS, Verdict},
    client::{Answer, Channel, Directory, Request},
    nodes::{Node, NodeOptions, TempFolder},
    plain::{Arrivals, PlainOptions, PlainServer},
    store::Store,
    util::{new_id, now_s, record, sleep_ms, sleep_until, tell},
};

/// The largest body that the configuration allows, in bytes.
const BODY_BYTES: usize = 4_194_304;

/// Requests a second, of all clients together.
const RATE: f64 = 24.0;

/// For how long clients send, in seconds.
const TRAFFIC_S: f64 = 12.0;

/// How long a slow server takes to read the largest body, in seconds.
const SLOW_READ_S: f64 = 5.0;

const MEMORY_MB: u64 = 260;
const SERVERS: usize = 10;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r1","host":"app.example","prefix":"/file/","kind":"non_idempotent","timeoutMs":8000,"sloMs":6000,"priority":1,"service":"files","maxAttempts":1,"public":false}],"services":[{"name":"files","healthPath":"/health","maxConns":378,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key1"],"priority":1}]}"#;

pub fn play(has_trouble: bool) -> Verdict {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put_config(CONFIG);
    let arrivals = Arrivals::default();
    let options =
        PlainOptions { service: "files", zone: "a", slots: 17, work_ms: 60, has_no_length: false };
    let servers: Vec<_> =
        (0..SERVERS).map(|_| PlainServer::start(&store, &arrivals, &options, None)).collect();
    let options = NodeOptions { zone: "a", memory_mb: MEMORY_MB, is_first_start: true };
    let nodes: Vec<_> =
        (0..2).map(|number| Node::new(number, &folder, store.address, BOUNDS, &options)).collect();
    nodes.iter().for_each(|node| node.start());
    if !nodes.iter().all(|node| node.await_ready(15.0)) {
        return Verdict::NotRun("a node is not ready".to_owned());
    }
    sleep_ms(2000);
    let killed = Arc::new(Mutex::new(Vec::new()));
    let peak = Arc::new(Mutex::new(0_u64));
    for node in &nodes {
        watch_memory(node.clone(), killed.clone(), peak.clone());
    }
    if has_trouble {
        let parts = (BODY_BYTES as f64) / (64.0 * 1024.0);
        let pause = (SLOW_READ_S / parts * 1e6) as u64;
        servers.iter().for_each(|server| server.read_pause_us.store(pause, Ordering::SeqCst));
        record("trouble: the servers read slowly from now on");
    }
    let answers = send_files(&nodes);
    let (mut lost, mut whole, mut other) = (0, 0, 0);
    for (id, answer) in &answers {
        let is_passed_on = !arrivals.of(id).is_empty();
        record(&format!(
            "{id}: sent at {:.3}, ended at {:.3}: {}, passed on: {is_passed_on}",
            answer.sent_at,
            answer.ended_at,
            answer.summary()
        ));
        match answer.status {
            0 if is_passed_on => lost += 1,
            200 if answer.is_whole => whole += 1,
            _ => other += 1,
        }
    }
    let peak = *peak.lock().unwrap() / 1_000_000;
    let killed = killed.lock().unwrap().clone();
    tell(&format!(
        "{} requests: {whole} answered with success, {lost} passed on to a server and their channel \
         closed without an answer, {other} others; most memory of a process: {peak} MB of \
         {MEMORY_MB}; processes that exceeded it: {killed:?}",
        answers.len()
    ));
    if whole + lost + other < 100 || (!has_trouble && whole < 100) {
        return Verdict::NotRun("too few requests".to_owned());
    }
    if lost > 3 { Verdict::Broken } else { Verdict::Held }
}

/// What the platform does: a process that exceeds its memory is killed, and started again after a short
/// delay.
fn watch_memory(node: Arc<Node>, killed: Arc<Mutex<Vec<String>>>, peak: Arc<Mutex<u64>>) {
    spawn(move || {
        loop {
            let memory = node.memory();
            let mut peak = peak.lock().unwrap();
            *peak = (*peak).max(memory);
            drop(peak);
            if memory > node.memory_mb * 1024 * 1024 {
                record(&format!("{}: {} MB, over its memory", node.name, memory / 1_000_000));
                node.kill();
                killed.lock().unwrap().push(format!("{} at {:.1} s", node.name, now_s()));
                sleep_ms(1000);
                node.start();
            }
            sleep_ms(10);
        }
    });
}

/// Clients send a small request and then, on the same channel, a file.
fn send_files(nodes: &[Arc<Node>]) -> Vec<(String, Answer)> {
    let directory = Arc::new(Directory::new(nodes, "a", 2.0));
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let started_at = now_s();
    let count = (RATE * TRAFFIC_S) as usize;
    let mut threads = Vec::new();
    for number in 0..count {
        let (directory, body, answers) = (directory.clone(), body.clone(), answers.clone());
        threads.push(spawn(move || {
            sleep_until(started_at + number as f64 / RATE);
            let request = |body: Arc<Vec<u8>>| Request {
                id: new_id(),
                method: "POST",
                path: "/file/new".to_owned(),
                key: Some("key1".to_owned()),
                deadline_ms: 8000,
                fields: String::new(),
                body,
            };
            let Some(address) = directory.pick() else { return };
            let Some(mut channel) = Channel::open(address) else { return };
            let first = channel.send(&request(Arc::new(vec![b'x'; 100])));
            if !first.is_success() || !channel.is_open {
                return;
            }
            let large = request(body);
            let answer = channel.send(&large);
            answers.lock().unwrap().push((large.id, answer));
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let mut answers = answers.lock().unwrap().clone();
    answers.sort_by(|(_, one), (_, other)| one.sent_at.total_cmp(&other.sent_at));
    answers
}
