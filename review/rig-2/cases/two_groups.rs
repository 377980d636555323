//! Orders that are carried out late put a head back into a group that it left, and it joins another.

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
    json::Json,
    nodes::{Node, await_ready},
    servers::{Phase, Server, Start, stream_handler},
    wait_until,
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"site.example","prefix":"/draft/",
"kind":"streaming","timeoutMs":8000,"sloMs":400,"priority":1,"service":"pool","maxAttempts":2,"public":false,
"sticky":true,"resumable":true,"targetGapMs":300}],"services":[{"name":"pool","healthPath":"/health",
"maxConns":368,"protocol":"h1","tls":false,"engine":{"slots":17,"kvCapacity":1860000,"stride":5,
"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,"loadS":12.0,"warmS":1.1}],"loadsPerS":5.0,
"loads_at_once":7,"keeps":1,"far_x":2.5,"formMs":300.0}}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}"#;

/// Orders are carried out this much later at least, and at most.
const LATE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(12));

/// For how long the crashed server is down.
const DOWN: Duration = Duration::from_millis(4500);

/// Late orders to the head that the case is about.
#[derive(Default)]
struct LateOrders {
    /// The head, once it is known, and its group.
    head: Mutex<Option<(Arc<Server>, String, Vec<String>)>>,
    join: Mutex<Option<(Instant, Json)>>,
    open: Mutex<Option<(Instant, Json)>>,
}

pub fn run(scene: &Scene) -> std::io::Result<End> {
    let Scene { store, world, record, .. } = scene;
    store.put("op", "config", Some(CONFIG));
    let late = Arc::new(LateOrders::default());
    let start = |id: &str, domain: &str| Start {
        id: id.to_owned(),
        service: "pool".to_owned(),
        zone: "hn-a".to_owned(),
        domain: Some(domain.to_owned()),
        slots: 17,
        staged: Vec::new(),
        address: None,
    };
    let handler = stream_handler(20, Duration::from_millis(50));
    let mut servers = Vec::new();
    // Two servers in the first domain; the second one has a spare.
    for (id, domain) in
        [("i-01", "d1"), ("i-02", "d1"), ("i-03", "d2"), ("i-04", "d2"), ("i-05", "d2")]
    {
        let server = Server::start(world, start(id, domain), handler.clone())?;
        if scene.trouble && domain == "d1" {
            let late = late.clone();
            *server.order_hook.lock().unwrap() =
                Some(Arc::new(move |server, order| late.take(server, order)));
        }
        servers.push(server);
    }
    let nodes = scene.start_nodes(3)?;
    if !await_ready(&nodes, Duration::from_secs(20)) {
        return Ok(End::NotRun("the nodes aren't ready".to_owned()));
    }
    record.say("nodes are ready");
    let open_head = |domain: &str| {
        let servers = world.servers.lock().unwrap().clone();
        servers.into_values().find(|server| {
            server.start.domain.as_deref() == Some(domain)
                && server.group_state().is_some_and(|(group, _)| {
                    group.phase == Phase::Open
                        && group.members.first().map(String::as_str) == Some(server.id())
                })
        })
    };
    let both = || open_head("d1").is_some() && open_head("d2").is_some();
    if !wait_until(Duration::from_secs(30), both) {
        return Ok(End::NotRun("the groups didn't open".to_owned()));
    }
    record.say("groups are open");
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    let callers = callers(scene, &nodes, &stop, &served);
    world.has_traffic.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(700));

    let head = open_head("d1").expect("it was open");
    let (group, _) = head.group_state().expect("it has a group");
    let member = group.members[1].clone();
    record.say(format!("{} is the head of {}, {member} its member", head.id(), group.name));
    if scene.trouble {
        let crashed = world.server(&member).expect("it runs");
        let addr = crashed.addr;
        crashed.crash();
        let crashed_at = Instant::now();
        // The late orders are carried out after the order to leave, in the order in which they came.
        let left =
            wait_until(Duration::from_secs(4), || head.engine.lock().unwrap().group.is_none());
        record.say(format!("the head left its group: {left}"));
        if left {
            thread::sleep(Duration::from_millis(300));
            late.carry_out(&late.join, &head);
            thread::sleep(Duration::from_millis(400));
            late.carry_out(&late.open, &head);
        }
        thread::sleep(DOWN.saturating_sub(crashed_at.elapsed()));
        let again =
            Start { address: Some(addr), staged: vec!["m0".to_owned()], ..start("i-06", "d1") };
        servers.push(Server::start(world, again, handler.clone())?);
        record.say(format!("{member} is back as i-06"));
    }
    thread::sleep(Duration::from_secs(10));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    record.say(format!("{} streams were served", served.load(Ordering::SeqCst)));
    drop(nodes);
    let broken = world.broken.lock().unwrap().clone();
    Ok(match broken.first() {
        Some(text) => End::Broken(text.clone()),
        None => End::Held,
    })
}

impl LateOrders {
    /// Takes the first order to join, and to open, of the first head.
    fn take(&self, server: &Arc<Server>, order: &Json) -> bool {
        let op = order.text("op").unwrap_or_default();
        let slot = match op {
            "join" => &self.join,
            "open" => &self.open,
            _ => return false,
        };
        let mut head = self.head.lock().unwrap();
        let members = order.texts("members");
        if op == "join" && head.is_none() && members.len() == 2 && members[0] == server.id() {
            let group = order.text("group").unwrap_or_default().to_owned();
            *head = Some((server.clone(), group, members));
        }
        let is_mine = head.as_ref().is_some_and(|(own, group, _)| {
            Arc::ptr_eq(own, server) && order.text("group") == Some(group)
        });
        let mut slot = slot.lock().unwrap();
        if !is_mine || slot.is_some() {
            return false;
        }
        *slot = Some((Instant::now(), order.clone()));
        true
    }

    /// Carries an order out, if it is as late as the pages say.
    fn carry_out(&self, slot: &Mutex<Option<(Instant, Json)>>, head: &Arc<Server>) {
        let taken = slot.lock().unwrap().clone();
        let Some((at, order)) = taken else { return };
        thread::sleep(LATE.0.saturating_sub(at.elapsed()));
        let record = &head.world.record;
        if at.elapsed() > LATE.1 {
            record.say("an order would be too late");
            return;
        }
        let status = head.carry_out(&order);
        record.say(format!(
            "{} carries out {} of {} after {:.1} s: {status}",
            head.id(),
            order.text("op").unwrap_or_default(),
            order.text("group").unwrap_or_default(),
            at.elapsed().as_secs_f64()
        ));
    }
}

/// Callers of streams, some at each node.
fn callers(
    scene: &Scene,
    nodes: &[Node],
    stop: &Arc<AtomicBool>,
    served: &Arc<AtomicU32>,
) -> Vec<thread::JoinHandle<()>> {
    let mut callers = Vec::new();
    for number in 0..14 {
        let front = nodes[number % nodes.len()].front;
        let (stop, served, record) = (stop.clone(), served.clone(), scene.record.clone());
        callers.push(thread::spawn(move || {
            let mut channel = Channel::default();
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("c{number}-{count}");
                let headers: Headers = [
                    ("Host", "site.example"),
                    ("Attempt-Id", &id),
                    ("Model", "m0"),
                    ("Token-Counts", "400,100"),
                    ("Prompt-Prefix", &format!("aa:40,{number}f{count}:360")),
                    ("Deadline-Ms", "8000"),
                    ("Authorization", "Bearer k1"),
                ]
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .to_vec();
                let answer = channel.call(
                    front,
                    "POST",
                    "/draft/1",
                    &headers,
                    id.as_bytes(),
                    Duration::from_secs(8),
                );
                let end = if answer.complete { "whole" } else { "broken" };
                record.line(format!("{id} is answered {} {end} {}", answer.status, answer.error));
                if answer.status == 200 && answer.complete {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    thread::sleep(Duration::from_millis(100));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    callers
}
