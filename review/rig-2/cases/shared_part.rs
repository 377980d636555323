//! A part of prompts crashes servers while no sound request comes. The part that all prompts share is
//! taken for a cause as well, and the sound requests that come then are refused.

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    End, Scene,
    http::{Answer, Channel, Headers, Request},
    nodes::await_ready,
    servers::{Handler, Phase, Server, Start, World, stream_handler},
    wait_until,
};

/// `stableWindowMs`.
const STABLE: Duration = Duration::from_millis(3000);

/// A crashed server is back after this time.
const DOWN: Duration = Duration::from_millis(3000);

/// How long each crowd lasts, and the time without one before the requests that crash servers.
const CROWD: Duration = Duration::from_secs(8);
const LULL: Duration = Duration::from_secs(3);

/// Pause between two requests that crash servers.
const PAUSE: Duration = Duration::from_secs(1);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"site.example","prefix":"/draft/",
"kind":"streaming","timeoutMs":8000,"sloMs":400,"priority":1,"service":"pool","maxAttempts":2,"public":false,
"sticky":true,"resumable":true,"targetGapMs":300}],"services":[{"name":"pool","healthPath":"/health",
"maxConns":368,"protocol":"h1","tls":false,"engine":{"slots":17,"kvCapacity":1860000,"stride":5,
"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,"loadS":12.0,"warmS":1.1}],"loadsPerS":5.0,
"loads_at_once":7,"keeps":1,"far_x":2.5,"formMs":300.0}}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}"#;

/// What the model servers of this case know.
struct Pool {
    world: Arc<World>,

    /// Requests that began to run.
    begun: Mutex<HashSet<String>>,
    crashes: Mutex<Vec<Instant>>,
    next_id: AtomicU32,
}

pub fn run(scene: &Scene) -> std::io::Result<End> {
    let Scene { store, world, record, .. } = scene;
    store.put("op", "config", Some(CONFIG));
    let pool = Arc::new(Pool {
        world: world.clone(),
        begun: Mutex::default(),
        crashes: Mutex::default(),
        next_id: AtomicU32::new(10),
    });
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
        Server::start(world, start, pool.handler())?;
    }
    let nodes = scene.start_nodes(3)?;
    if !await_ready(&nodes, Duration::from_secs(20)) {
        return Ok(End::NotRun("the nodes aren't ready".to_owned()));
    }
    if !wait_until(Duration::from_secs(30), || pool.open_heads() >= 3) {
        return Ok(End::NotRun("the groups didn't open".to_owned()));
    }
    record.say(format!("nodes are ready, {} groups are open", pool.open_heads()));
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    world.has_traffic.store(true, Ordering::SeqCst);

    let before = crowd(scene, &pool, &fronts, "before", CROWD);
    record.say(format!("first crowd: {} of {} sound requests began to run", before.0, before.1));
    thread::sleep(LULL);
    // Requests with a part that crashes each server that begins to write an answer on it.
    let stop = Arc::new(AtomicBool::new(false));
    let (halt, bad_front, bad_record, trouble) =
        (stop.clone(), fronts.clone(), record.clone(), scene.trouble);
    let sender = thread::spawn(move || {
        let mut count = 0;
        while !halt.load(Ordering::SeqCst) {
            if trouble {
                count += 1;
                let id = format!("bad-{count}");
                let prefix = format!("aa:40,bad:200,e{count}:200");
                let answer = ask(&mut Channel::default(), bad_front[count % 3], &id, &prefix);
                bad_record.line(format!("{id} is answered {} {}", answer.status, answer.error));
            }
            thread::sleep(PAUSE);
        }
    });
    // The servers are back, and it is long enough after the last crash.
    thread::sleep(PAUSE * 5);
    let settled = || {
        let last = pool.crashes.lock().unwrap().last().copied();
        last.is_none_or(|at| at.elapsed() > STABLE * 2) && pool.open_heads() >= 3
    };
    let has_settled = wait_until(Duration::from_secs(40), settled);
    let crashes = pool.crashes.lock().unwrap().len();
    record.say(format!("{crashes} servers crashed, {} groups are open", pool.open_heads()));
    let after = crowd(scene, &pool, &fronts, "after", CROWD);
    record.say(format!("second crowd: {} of {} sound requests began to run", after.0, after.1));
    stop.store(true, Ordering::SeqCst);
    let _ = sender.join();
    drop(nodes);
    if !has_settled || before.1 < 20 || after.1 < 20 || before.0 * 2 < before.1 {
        return Ok(End::NotRun(
            "the groups weren't open, or too few requests were sent".to_owned(),
        ));
    }
    let share = |(begun, all): (usize, usize)| begun as f64 / all as f64;
    Ok(if share(after) < share(before) / 2.0 {
        End::Broken(format!(
            "LOST: {} of {} sound requests began at the first attempt, {} of {} before",
            after.0, after.1, before.0, before.1
        ))
    } else {
        End::Held
    })
}

impl Pool {
    fn open_heads(&self) -> usize {
        let servers = self.world.servers.lock().unwrap().clone();
        let heads = servers.values().filter(|server| {
            server.group_state().is_some_and(|(group, moves)| {
                moves
                    && group.phase == Phase::Open
                    && group.members.first().map(String::as_str) == Some(server.id())
            })
        });
        heads.count()
    }

    fn handler(self: &Arc<Self>) -> Arc<Handler> {
        let pool = self.clone();
        let sound = stream_handler(10, Duration::from_millis(40));
        Arc::new(move |server: &Arc<Server>, request: &Request, stream| {
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            let serves = server.group_state().is_some_and(|(group, _)| {
                group.phase == Phase::Open
                    && group.members.first().map(String::as_str) == Some(server.id())
            });
            if !serves {
                return sound(server, request, stream);
            }
            pool.begun.lock().unwrap().insert(attempt.clone());
            let prefix = request.header("prompt-prefix").unwrap_or("");
            if !prefix.split(',').any(|part| part.starts_with("bad:")) {
                return sound(server, request, stream);
            }
            thread::sleep(Duration::from_millis(40));
            pool.crash(server, &attempt);
            Ok(false)
        })
    }

    /// A server crashes, and is back after some seconds as a new one on the same host.
    fn crash(self: &Arc<Self>, server: &Arc<Server>, attempt: &str) {
        if !server.alive.load(Ordering::SeqCst) {
            return;
        }
        self.world.record.line(format!("{attempt} crashes {}", server.id()));
        server.crash();
        self.crashes.lock().unwrap().push(Instant::now());
        let again = Start {
            id: format!("i-{}", self.next_id.fetch_add(1, Ordering::SeqCst)),
            staged: server.engine.lock().unwrap().staged.clone(),
            ..server.start.clone()
        };
        let pool = self.clone();
        thread::spawn(move || {
            thread::sleep(DOWN);
            let _ = Server::start(&pool.world, again, pool.handler());
        });
    }
}

/// Sound requests of many callers; returns how many began to run, and how many were sent.
fn crowd(
    scene: &Scene,
    pool: &Arc<Pool>,
    fronts: &[std::net::SocketAddr],
    name: &str,
    length: Duration,
) -> (usize, usize) {
    let until = Instant::now() + length;
    let sent: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..6 {
        let front = fronts[number % fronts.len()];
        let (sent, record, name) = (sent.clone(), scene.record.clone(), name.to_owned());
        callers.push(thread::spawn(move || {
            let mut channel = Channel::default();
            let mut count = 0;
            while Instant::now() < until {
                count += 1;
                let id = format!("{name}-{number}-{count}");
                sent.lock().unwrap().push(id.clone());
                let prefix = format!("aa:40,d{number}f{count}:360");
                let answer = ask(&mut channel, front, &id, &prefix);
                record.line(format!("{id} is answered {} {}", answer.status, answer.error));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let begun = pool.begun.lock().unwrap();
    let sent = sent.lock().unwrap();
    (sent.iter().filter(|id| begun.contains(*id)).count(), sent.len())
}

fn ask(channel: &mut Channel, front: std::net::SocketAddr, id: &str, prefix: &str) -> Answer {
    let headers: Headers = [
        ("Host", "site.example"),
        ("Attempt-Id", id),
        ("Model", "m0"),
        ("Token-Counts", "400,50"),
        ("Prompt-Prefix", prefix),
        ("Deadline-Ms", "8000"),
        ("Authorization", "Bearer k1"),
    ]
    .map(|(name, value)| (name.to_owned(), value.to_owned()))
    .to_vec();
    let target = format!("/draft/{id}");
    channel.call(front, "POST", &target, &headers, id.as_bytes(), Duration::from_secs(8))
}
