//! A drill brings back the entry of a server that is leaving. The nodes, which it had told so, have
//! forgotten it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    End, Scene,
    http::{Channel, Headers, Request, respond},
    nodes::await_ready,
    servers::{Server, Start},
};

/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2000);

/// For how long the leaving server says so before its entry is removed.
const NOTICE: Duration = Duration::from_millis(1000);

/// How long the leaving server goes on serving after that.
const SERVES_ON: Duration = Duration::from_secs(9);

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(1000);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-fetch","host":"site.example","prefix":"/fetch/",
"kind":"non_idempotent","timeoutMs":1500,"sloMs":150,"priority":2,"service":"app","maxAttempts":2,"public":false}],
"services":[{"name":"app","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}"#;

/// A request: the node that it was sent to, and when.
type Sent = Arc<Mutex<HashMap<String, (SocketAddr, Instant)>>>;

pub fn run(scene: &Scene) -> std::io::Result<End> {
    let Scene { store, world, record, .. } = scene;
    store.put("op", "config", Some(CONFIG));
    let leaves = Arc::new(AtomicBool::new(false));
    // Requests that reached the leaving server once it said that it leaves.
    let reached: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let mut servers = Vec::new();
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
        let (leaves, reached) = (leaves.clone(), reached.clone());
        servers.push(Server::start(
            world,
            start,
            Arc::new(move |server: &Arc<Server>, request: &Request, stream| {
                let attempt = request.header("attempt-id").unwrap_or("").to_owned();
                let is_leaving = server.id() == "p-01" && leaves.load(Ordering::SeqCst);
                if is_leaving {
                    reached.lock().unwrap().push((attempt.clone(), Instant::now()));
                }
                server.world.record.line(format!("{} runs {attempt}", server.id()));
                thread::sleep(Duration::from_millis(30));
                let mut headers = vec![
                    ("Attempt-Id", attempt.clone()),
                    ("Response-Signature", format!("s.{attempt}.{}", server.id())),
                ];
                if is_leaving {
                    headers.push(("Server-Leaving", "1".to_owned()));
                }
                respond(stream, 200, &headers, &[b'a'; 800])?;
                Ok(true)
            }),
        )?);
    }
    let nodes = scene.start_nodes(3)?;
    if !await_ready(&nodes, Duration::from_secs(20)) {
        return Ok(End::NotRun("the nodes aren't ready".to_owned()));
    }
    record.say("nodes are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Sent = Arc::default();
    // When a node first passed on an answer that says so.
    let told: Arc<Mutex<HashMap<SocketAddr, Instant>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..6 {
        let front = nodes[number % 3].front;
        let (stop, sent, told, record) = (stop.clone(), sent.clone(), told.clone(), record.clone());
        callers.push(thread::spawn(move || {
            let mut channel = Channel::default();
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("c{number}-{count}");
                let headers: Headers = [
                    ("Host", "site.example"),
                    ("Attempt-Id", &id),
                    ("Deadline-Ms", "1500"),
                    ("Authorization", "Bearer k1"),
                ]
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .to_vec();
                sent.lock().unwrap().insert(id.clone(), (front, Instant::now()));
                let target = format!("/fetch/{id}");
                let answer = channel.call(
                    front,
                    "POST",
                    &target,
                    &headers,
                    id.as_bytes(),
                    Duration::from_secs(2),
                );
                let says = answer.header("server-leaving").is_some();
                record.line(format!(
                    "{id} is answered {}{}",
                    answer.status,
                    if says { ", the server leaves" } else { "" }
                ));
                if says {
                    told.lock().unwrap().entry(front).or_insert_with(Instant::now);
                }
                thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));

    // The copy, in which the entry of the server is as always.
    let copy = store.copy();
    thread::sleep(Duration::from_millis(500));
    leaves.store(true, Ordering::SeqCst);
    record.say("p-01 leaves: all its answers say so");
    thread::sleep(NOTICE);
    // Some servers never report `draining`: their entry is removed, and they serve on for a while.
    servers[0].listed.store(false, Ordering::SeqCst);
    world.write_entry("p-01", None);
    let left_at = Instant::now();
    record.say("the entry of p-01 is removed");
    thread::sleep(Duration::from_millis(1500));
    if scene.trouble {
        store.go_away();
        record.say("the store is away");
        thread::sleep(AWAY);
        store.come_back(copy);
        let ids: Vec<String> = servers.iter().map(|server| server.id().to_owned()).collect();
        world.count_entries_anew(&ids);
        record.say("the store is back from a copy, as a new era");
        store.put("op", "config", Some(CONFIG));
    }
    thread::sleep(SERVES_ON.saturating_sub(left_at.elapsed()));
    servers[0].crash();
    record.say("p-01 has ended");
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(nodes);
    let (sent, told) = (sent.lock().unwrap(), told.lock().unwrap());
    record.say(format!(
        "{} of 3 nodes passed on an answer of p-01 that says that it leaves",
        told.len()
    ));
    let mut late: Vec<(String, f64)> = Vec::new();
    for (id, _) in reached.lock().unwrap().iter() {
        let Some((front, sent_at)) = sent.get(id) else { continue };
        let Some(told_at) = told.get(front) else { continue };
        let age = sent_at.saturating_duration_since(*told_at);
        if age > DRAIN {
            late.push((id.clone(), age.as_secs_f64()));
        }
    }
    if told.is_empty() {
        return Ok(End::NotRun("no node was told".to_owned()));
    }
    Ok(match (late.first(), late.len()) {
        (Some((id, age)), count) => End::Broken(format!(
            "DRAIN: {count} requests reached the leaving server; the first one, {id}, was sent {age:.2} s after \
             the same machine had passed on its notice"
        )),
        (None, _) => End::Held,
    })
}
