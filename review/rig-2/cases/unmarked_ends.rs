//! One machine is cut off from all servers and sends its requests through another one. Answers that
//! end with their channel never come to their end there.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    End, Scene,
    cut::owner_of,
    http::{Channel, Headers, Request, respond},
    nodes::await_ready,
    servers::{Phase, Server, Start},
    wait_until,
};

/// `stableWindowMs`.
const STABLE: Duration = Duration::from_millis(3000);

/// How long the machine is cut off.
const CUT: Duration = Duration::from_secs(10);

const EVENTS: u64 = 12;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"site.example","prefix":"/draft/",
"kind":"streaming","timeoutMs":8000,"sloMs":400,"priority":1,"service":"pool","maxAttempts":2,"public":false,
"sticky":true,"resumable":true,"targetGapMs":300},{"name":"r-fetch","host":"site.example","prefix":"/fetch/",
"kind":"non_idempotent","timeoutMs":1500,"sloMs":150,"priority":2,"service":"app","maxAttempts":2,"public":false}],
"services":[{"name":"pool","healthPath":"/health","maxConns":368,"protocol":"h1","tls":false,"engine":{"slots":17,
"kvCapacity":1860000,"stride":5,"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,"loadS":12.0,"warmS":1.1}],
"loadsPerS":5.0,"loads_at_once":7,"keeps":1,"far_x":2.5,"formMs":300.0}},
{"name":"app","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}"#;

/// A request of a caller, with what became of it.
#[derive(Clone, Debug)]
struct Try {
    id: String,
    is_cut_node: bool,
    is_stream: bool,

    /// On a channel that had served a request before.
    is_kept: bool,
    sent_at: Instant,
    status: u16,
    is_whole: bool,
}

pub fn run(scene: &Scene) -> std::io::Result<End> {
    let Scene { store, world, record, .. } = scene;
    store.put("op", "config", Some(CONFIG));
    // The ids of requests that a server ran to the end, with all bytes of the answer written.
    let finished: Arc<Mutex<Vec<String>>> = Arc::default();
    for (id, domain) in [
        ("i-01", "d1"),
        ("i-02", "d1"),
        ("i-03", "d1"),
        ("i-04", "d2"),
        ("i-05", "d2"),
        ("i-06", "d2"),
    ] {
        let start = Start {
            id: id.to_owned(),
            service: "pool".to_owned(),
            zone: if domain == "d1" { "hn-a" } else { "hn-b" }.to_owned(),
            domain: Some(domain.to_owned()),
            slots: 17,
            staged: Vec::new(),
            address: None,
        };
        let finished = finished.clone();
        Server::start(
            world,
            start,
            Arc::new(move |server: &Arc<Server>, request: &Request, stream| {
                let done = stream_without_length(server, request, stream)?;
                if done {
                    let id = request.header("attempt-id").unwrap_or("").to_owned();
                    finished.lock().unwrap().push(id);
                }
                // The end of the channel is the end of the answer.
                Ok(false)
            }),
        )?;
    }
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
        let finished = finished.clone();
        Server::start(
            world,
            start,
            Arc::new(move |server: &Arc<Server>, request: &Request, stream| {
                let attempt = request.header("attempt-id").unwrap_or("").to_owned();
                server.world.record.line(format!("{} runs {attempt}", server.id()));
                thread::sleep(Duration::from_millis(30));
                let head = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{attempt}\r\n\
                 Connection: close\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                stream.write_all(&[b'a'; 800])?;
                finished.lock().unwrap().push(attempt);
                Ok(false)
            }),
        )?;
    }
    let nodes = scene.start_nodes(3)?;
    if !await_ready(&nodes, Duration::from_secs(20)) {
        return Ok(End::NotRun("the nodes aren't ready".to_owned()));
    }
    let open = || {
        let servers = world.servers.lock().unwrap().clone();
        let heads = servers.values().filter(|server| {
            server.group_state().is_some_and(|(group, _)| {
                group.phase == Phase::Open
                    && group.members.first().map(String::as_str) == Some(server.id())
            })
        });
        heads.count() >= 2
    };
    if !wait_until(Duration::from_secs(30), open) {
        return Ok(End::NotRun("the groups didn't open".to_owned()));
    }
    record.say("nodes are ready, groups are open");
    world.has_traffic.store(true, Ordering::SeqCst);
    let stop = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..12 {
        let node = number % 3;
        let (front, stop, tries) = (nodes[node].front, stop.clone(), tries.clone());
        let record = record.clone();
        callers.push(thread::spawn(move || {
            call_again_and_again(number, node == 0, front, &stop, &tries, &record);
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let pids: Vec<u32> = nodes.iter().map(|node| node.pid()).collect();
    let unknown = Arc::new(AtomicU32::new(0));
    let from = Instant::now();
    if scene.trouble {
        let unknown = unknown.clone();
        *world.gate.lock().unwrap() = Some(Box::new(move |peer| match owner_of(peer, &pids) {
            Some(pid) => pid == pids[0],
            None => {
                unknown.fetch_add(1, Ordering::SeqCst);
                true
            }
        }));
        record.say(format!("{} is cut off from all servers", nodes[0].name));
    }
    thread::sleep(CUT);
    let until = Instant::now();
    *world.gate.lock().unwrap() = None;
    record.say("the cut has ended");
    let unknown = unknown.load(Ordering::SeqCst);
    record.say(format!("{unknown} connections were closed before it was known whose they were"));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(nodes);
    Ok(judge(scene, &tries.lock().unwrap(), &finished.lock().unwrap(), from, until))
}

fn judge(scene: &Scene, tries: &[Try], finished: &[String], from: Instant, until: Instant) -> End {
    let record = &scene.record;
    // From `stableWindowMs` after the cut began.
    let judged =
        |t: &&Try| t.sent_at >= from + STABLE && t.sent_at < until - Duration::from_secs(1);
    let share = |is_cut_node: bool| {
        let all: Vec<&Try> =
            tries.iter().filter(judged).filter(|t| t.is_cut_node == is_cut_node).collect();
        let served = all.iter().filter(|t| t.status == 200 && t.is_whole).count();
        (served, all.len())
    };
    let ((cut_served, cut_all), (other_served, other_all)) = (share(true), share(false));
    record.say(format!("at the cut machine {cut_served} of {cut_all} first tries were served"));
    record.say(format!("at the others {other_served} of {other_all} first tries were served"));
    // LOST: passed on to a sound server, which answered completely, and the channel closed instead.
    let lost = tries.iter().filter(judged).filter(|t| {
        t.is_stream && t.is_kept && t.status != 0 && !t.is_whole && finished.contains(&t.id)
    });
    let lost = lost.count();
    let replaced = tries.iter().filter(judged);
    let replaced =
        replaced.filter(|t| !t.is_stream && t.status == 502 && finished.contains(&t.id)).count();
    record.say(format!("{lost} streams of sound servers ended with a closed channel and no end"));
    record.say(format!("{replaced} answers of sound servers became 502"));
    let failed = cut_all - cut_served;
    let (cut_share, other_share) =
        (cut_served as f64 / cut_all.max(1) as f64, other_served as f64 / other_all.max(1) as f64);
    let recover =
        cut_share < other_share * 2.0 / 3.0 && failed as f64 > 10.0 + cut_all as f64 / 50.0;
    if cut_all < 20 || other_all < 20 {
        return End::NotRun("too few requests".to_owned());
    }
    if lost > 3 {
        let also = if recover { ", and RECOVER is broken too" } else { "" };
        return End::Broken(format!(
            "LOST: {lost} streams that sound servers answered completely ended with a closed channel{also}"
        ));
    }
    End::Held
}

/// Events without a length or chunks; the answer ends with its channel. Returns whether all events
/// were written.
fn stream_without_length(
    server: &Arc<Server>,
    request: &Request,
    stream: &mut std::net::TcpStream,
) -> std::io::Result<bool> {
    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
    let own = server.id().to_owned();
    let state = server.group_state();
    let state = state.filter(|(group, _)| group.members.first() == Some(&own));
    let Some((group, _)) = state else {
        server.misdirected(request, stream)?;
        return Ok(false);
    };
    if group.phase != Phase::Open {
        let headers = [("Attempt-Id", attempt), ("Not-Executed", "1".to_owned())];
        respond(stream, 503, &headers, b"")?;
        return Ok(false);
    }
    let first =
        request.header("last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0) + 1;
    server.world.record.line(format!("{own} runs {attempt} from event {first}"));
    thread::sleep(Duration::from_millis(60));
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{attempt}\r\n\
         Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in first..=EVENTS {
        thread::sleep(Duration::from_millis(40));
        stream.write_all(format!("id: {event}\ndata: {event}\n\n").as_bytes())?;
    }
    Ok(true)
}

fn call_again_and_again(
    number: usize,
    is_cut_node: bool,
    front: std::net::SocketAddr,
    stop: &AtomicBool,
    tries: &Mutex<Vec<Try>>,
    record: &crate::record::Record,
) {
    let mut channel = Channel::default();
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        // A short request and a stream in turn, on one channel as long as the node keeps it.
        let is_stream = count % 2 == 0;
        let id = format!("c{number}-{count}");
        let prefix = format!("aa:40,{number}f{count}:360");
        let mut headers: Vec<(&str, &str)> =
            vec![("Host", "site.example"), ("Attempt-Id", &id), ("Authorization", "Bearer k1")];
        let (target, limit) = if is_stream {
            headers.extend([
                ("Model", "m0"),
                ("Token-Counts", "400,60"),
                ("Prompt-Prefix", &prefix),
            ]);
            headers.push(("Deadline-Ms", "8000"));
            ("/draft/1", Duration::from_secs(8))
        } else {
            headers.push(("Deadline-Ms", "1500"));
            ("/fetch/1", Duration::from_millis(1500))
        };
        let headers: Headers =
            headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
        let sent_at = Instant::now();
        let answer = channel.call(front, "POST", target, &headers, id.as_bytes(), limit);
        let events = answer.text().matches("id: ").count();
        let end = if answer.complete { "whole" } else { "without its end" };
        record.line(format!(
            "{id} is answered {} {end}, {events} events {}",
            answer.status, answer.error
        ));
        tries.lock().unwrap().push(Try {
            id,
            is_cut_node,
            is_stream,
            is_kept: channel.requests > 1,
            sent_at,
            status: answer.status,
            is_whole: answer.complete
                && (!is_stream || answer.status != 200 || events as u64 == EVENTS),
        });
        thread::sleep(Duration::from_millis(150));
    }
}
