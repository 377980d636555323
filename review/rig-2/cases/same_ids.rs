//! A loss of power takes the nodes and the model servers of a domain. The servers start again under
//! their ids, and for long no group of them is formed.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    End, Scene,
    http::{Channel, Headers},
    nodes::await_ready,
    servers::{Phase, Server, Start, stream_handler},
    wait_until,
};

/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// The nodes are back after this time, and the servers.
const NODES_DOWN: Duration = Duration::from_millis(1300);
const SERVERS_DOWN: Duration = Duration::from_millis(3000);

/// For how long requests are counted once the time to recover is over.
const COUNTED: Duration = Duration::from_secs(6);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"site.example","prefix":"/draft/",
"kind":"streaming","timeoutMs":8000,"sloMs":400,"priority":1,"service":"pool","maxAttempts":2,"public":false,
"sticky":true,"resumable":true,"targetGapMs":300}],"services":[{"name":"pool","healthPath":"/health",
"maxConns":368,"protocol":"h1","tls":false,"engine":{"slots":17,"kvCapacity":1860000,"stride":5,
"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,"loadS":12.0,"warmS":1.1}],"loadsPerS":5.0,
"loads_at_once":7,"keeps":1,"far_x":2.5,"formMs":300.0}}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}"#;

pub fn run(scene: &Scene) -> std::io::Result<End> {
    let Scene { store, world, record, .. } = scene;
    store.put("op", "config", Some(CONFIG));
    let handler = stream_handler(10, Duration::from_millis(40));
    let start = |n: usize| Start {
        id: format!("i-0{n}"),
        service: "pool".to_owned(),
        zone: "hn-a".to_owned(),
        domain: Some("d1".to_owned()),
        slots: 17,
        staged: Vec::new(),
        address: None,
    };
    for n in 1..=6 {
        Server::start(world, start(n), handler.clone())?;
    }
    let mut nodes = scene.start_nodes(3)?;
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
    let tries: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let number = Arc::new(AtomicU32::new(0));
    let mut callers = Vec::new();
    for caller in 0..6 {
        let front = nodes[caller % 3].front;
        let (stop, tries, number) = (stop.clone(), tries.clone(), number.clone());
        let record = record.clone();
        callers.push(thread::spawn(move || {
            let mut channel = Channel::default();
            while !stop.load(Ordering::SeqCst) {
                let id = format!("c{caller}-{}", number.fetch_add(1, Ordering::SeqCst));
                let headers: Headers = [
                    ("Host", "site.example"),
                    ("Attempt-Id", &id),
                    ("Model", "m0"),
                    ("Token-Counts", "400,50"),
                    ("Prompt-Prefix", &format!("aa:40,f{id}:360")),
                    ("Deadline-Ms", "8000"),
                    ("Authorization", "Bearer k1"),
                ]
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .to_vec();
                let sent_at = Instant::now();
                let answer = channel.call(
                    front,
                    "POST",
                    "/draft/1",
                    &headers,
                    id.as_bytes(),
                    Duration::from_secs(8),
                );
                let served = answer.status == 200 && answer.complete;
                record.line(format!("{id} is answered {} {}", answer.status, answer.error));
                tries.lock().unwrap().push((sent_at, served));
                thread::sleep(Duration::from_millis(if served { 50 } else { 200 }));
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    let fault_at = Instant::now();
    if scene.trouble {
        record.say("power is lost: all nodes and all model servers stop");
        for node in &mut nodes {
            node.kill();
        }
        let servers: Vec<Arc<Server>> = world.servers.lock().unwrap().values().cloned().collect();
        servers.iter().for_each(|server| server.crash());
        thread::sleep(NODES_DOWN.saturating_sub(fault_at.elapsed()));
        for node in &mut nodes {
            node.write_settings(false)?;
            node.run()?;
        }
        record.say("the nodes are back");
        thread::sleep(SERVERS_DOWN.saturating_sub(fault_at.elapsed()));
        for old in &servers {
            let again = Start {
                address: Some(old.addr),
                // A host keeps its weights across restarts.
                staged: old.engine.lock().unwrap().staged.clone(),
                ..old.start.clone()
            };
            Server::start(world, again, handler.clone())?;
        }
        record.say("the servers are back under their ids");
    }
    let counted_from = fault_at + SERVERS_DOWN + RECOVERY;
    let counted_until = counted_from + COUNTED;
    thread::sleep(counted_until.saturating_duration_since(Instant::now()));
    thread::sleep(Duration::from_millis(500));
    let first = || wait_until(Duration::from_secs(15), open);
    if scene.trouble && first() {
        record.say(format!(
            "groups are open {:.1} s after the servers came back",
            (fault_at.elapsed() - SERVERS_DOWN).as_secs_f64()
        ));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(nodes);
    let tries = tries.lock().unwrap();
    let share = |from: Instant, until: Instant| {
        let all = tries.iter().filter(|(at, _)| *at >= from && *at < until);
        (all.clone().filter(|(_, served)| *served).count(), all.count())
    };
    let before = share(fault_at - Duration::from_secs(5), fault_at);
    let after = share(counted_from, counted_until);
    record.say(format!("before the fault {} of {} were served", before.0, before.1));
    record.say(format!(
        "from {RECOVERY:?} after all were back {} of {} were served",
        after.0, after.1
    ));
    if before.0 * 4 < before.1 || after.1 < 20 {
        return Ok(End::NotRun("too few requests".to_owned()));
    }
    Ok(if after.0 * 4 < after.1 {
        End::Broken(format!(
            "RECOVER: {} of {} requests served later than recoveryS after the machines were back, {} of {} before",
            after.0, after.1, before.0, before.1
        ))
    } else {
        End::Held
    })
}
