//! A member of a group is silent for a little more than a second, and goes on. Meanwhile its group is
//! dissolved, and the streams of callers that run there are cut off.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    End, Scene,
    http::{Channel, Headers, Request},
    nodes::await_ready,
    servers::{Handler, Phase, Server, Start, stream_handler},
    wait_until,
};

/// For how long the member is silent.
const SILENCE: Duration = Duration::from_millis(1400);

const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(50);

/// Callers of streams. Two of three call streams that may not be repeated, the third one such that may
/// be resumed.
const CALLERS: usize = 36;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-file","host":"site.example","prefix":"/file/",
"kind":"streaming","timeoutMs":8000,"sloMs":400,"priority":1,"service":"pool","maxAttempts":2,"public":false,
"sticky":true,"targetGapMs":300},{"name":"r-sum","host":"site.example","prefix":"/sum/","kind":"streaming",
"timeoutMs":6000,"sloMs":300,"priority":1,"service":"pool","maxAttempts":2,"public":false,"sticky":true,
"resumable":true,"targetGapMs":200}],"services":[{"name":"pool","healthPath":"/health","maxConns":368,
"protocol":"h1","tls":false,"engine":{"slots":17,"kvCapacity":1860000,"stride":5,
"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,"loadS":12.0,"warmS":1.1}],"loadsPerS":5.0,
"loads_at_once":7,"keeps":1,"far_x":2.5,"formMs":300.0}}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}"#;

/// A request of a caller, with what became of it.
struct Try {
    id: String,
    is_once: bool,

    /// On a channel that had served a request before.
    is_kept: bool,
    status: u16,
    is_whole: bool,
    ended_at: Instant,
}

pub fn run(scene: &Scene) -> std::io::Result<End> {
    let Scene { store, world, record, .. } = scene;
    store.put("op", "config", Some(CONFIG));
    // Requests that a server ran.
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let handler: Arc<Handler> = {
        let (ran, sound) = (ran.clone(), stream_handler(EVENTS, GAP));
        Arc::new(move |server: &Arc<Server>, request: &Request, stream| {
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            ran.lock().unwrap().push(attempt);
            sound(server, request, stream)
        })
    };
    for n in 1..=9 {
        let start = Start {
            id: format!("i-0{n}"),
            service: "pool".to_owned(),
            zone: "hn-a".to_owned(),
            domain: Some(if n <= 5 { "d1" } else { "d2" }.to_owned()),
            slots: 17,
            staged: Vec::new(),
            address: None,
        };
        Server::start(world, start, handler.clone())?;
    }
    let nodes = scene.start_nodes(3)?;
    if !await_ready(&nodes, Duration::from_secs(20)) {
        return Ok(End::NotRun("the nodes aren't ready".to_owned()));
    }
    let heads = || -> Vec<Arc<Server>> {
        let servers = world.servers.lock().unwrap().clone();
        let heads = servers.into_values().filter(|server| {
            server.group_state().is_some_and(|(group, _)| {
                group.phase == Phase::Open
                    && group.members.first().map(String::as_str) == Some(server.id())
            })
        });
        heads.collect()
    };
    if !wait_until(Duration::from_secs(30), || heads().len() >= 3) {
        return Ok(End::NotRun("the groups didn't open".to_owned()));
    }
    record.say(format!("nodes are ready, {} groups are open", heads().len()));
    world.has_traffic.store(true, Ordering::SeqCst);
    let stop = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let front = nodes[number % 3].front;
        let (stop, tries, record) = (stop.clone(), tries.clone(), record.clone());
        callers.push(thread::spawn(move || {
            let is_once = number / 3 % 3 != 2;
            let mut channel = Channel::default();
            let mut count = 0;
            thread::sleep(Duration::from_millis(80 * number as u64));
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("{}{number}-{count}", if is_once { "once" } else { "sum" });
                let prefix = format!("aa:40,{number}f{count}:360");
                let headers: Headers = [
                    ("Host", "site.example"),
                    ("Attempt-Id", &id),
                    ("Model", "m0"),
                    ("Token-Counts", "400,300"),
                    ("Prompt-Prefix", &prefix),
                    ("Deadline-Ms", if is_once { "8000" } else { "6000" }),
                    ("Authorization", "Bearer k1"),
                ]
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .to_vec();
                let target = format!("/{}/{id}", if is_once { "file" } else { "sum" });
                let limit = Duration::from_secs(9);
                let answer = channel.call(front, "POST", &target, &headers, id.as_bytes(), limit);
                let events = answer.text().matches("id: ").count();
                let end = if answer.complete { "whole" } else { "without its end" };
                record.line(format!(
                    "{id} is answered {} {end}, {events} events {}",
                    answer.status, answer.error
                ));
                let is_whole = answer.complete && events as u64 == EVENTS;
                tries.lock().unwrap().push(Try {
                    id,
                    is_once,
                    is_kept: channel.requests > 1,
                    status: answer.status,
                    is_whole,
                    ended_at: Instant::now(),
                });
                if !is_whole {
                    thread::sleep(Duration::from_millis(200));
                }
            }
        }));
    }
    // Until each caller's channel has served requests before.
    thread::sleep(Duration::from_secs(10));
    let head = heads().into_iter().max_by_key(|head| head.running.load(Ordering::SeqCst));
    let Some(head) = head else { return Ok(End::NotRun("no group is open".to_owned())) };
    let Some((group, _)) = head.group_state() else {
        return Ok(End::NotRun("no group is open".to_owned()));
    };
    let member = world.server(&group.members[1]);
    let Some(member) = member else { return Ok(End::NotRun("a member is missing".to_owned())) };
    let from = Instant::now();
    if scene.trouble {
        *member.silent_until.lock().unwrap() = Some(from + SILENCE);
        record.say(format!(
            "{}, a member of {} with the head {}, is silent for {SILENCE:?}; {} streams run there",
            member.id(),
            group.name,
            head.id(),
            head.running.load(Ordering::SeqCst)
        ));
    }
    thread::sleep(Duration::from_secs(5));
    let left = head.engine.lock().unwrap().group.as_ref().is_none_or(|own| own.name != group.name);
    if left {
        record.say(format!("the group {} has been dissolved", group.name));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(nodes);
    let (tries, ran) = (tries.lock().unwrap(), ran.lock().unwrap());
    let judged = tries.iter().filter(|t| t.ended_at >= from);
    let lost = judged.filter(|t| {
        t.is_once && t.is_kept && t.status != 503 && !t.is_whole && ran.contains(&t.id)
    });
    let lost: Vec<&str> = lost.map(|t| t.id.as_str()).collect();
    let early = tries.iter().filter(|t| t.ended_at < from && !t.is_whole).count();
    record.say(format!("{} streams, {early} not whole before, lost since: {lost:?}", tries.len()));
    Ok(if lost.len() > 3 {
        End::Broken(format!(
            "LOST: {} streams at a sound server, which may not be repeated, ended with a closed channel",
            lost.len()
        ))
    } else {
        End::Held
    })
}
