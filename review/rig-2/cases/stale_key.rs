//! A machine that is added while the store is away in a drill takes the copy's config for the newest,
//! and serves a key that was taken away.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    End, Scene,
    http::{Answer, Headers, Request, once, respond},
    json::Json,
    nodes::{Node, await_ready},
    servers::{Server, Start},
    wait_until,
};

/// `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5000);

/// How much older than the drill the copy is.
const COPY_AGE: Duration = Duration::from_millis(3500);

/// For how long the store is away.
const AWAY: Duration = Duration::from_millis(2000);

/// After this time the operator, who sees the new era, has written the newest config again.
const REWRITE: Duration = Duration::from_millis(1500);

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-poll","host":"site.example","prefix":"/poll/",
"kind":"idempotent","timeoutMs":1500,"sloMs":150,"priority":2,"service":"app","maxAttempts":2,"public":false}}],
"services":[{{"name":"app","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"t1","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}

/// A request with the key that was taken away: its id, and when it was sent.
type Sent = Arc<Mutex<Vec<(String, Instant)>>>;

pub fn run(scene: &Scene) -> std::io::Result<End> {
    let Scene { store, world, record, .. } = scene;
    store.put("op", "config", Some(&config(7, "\"k-stays\",\"k-goes\"")));
    let ran: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let mut ids = Vec::new();
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
        ids.push(start.id.clone());
        let ran = ran.clone();
        Server::start(
            world,
            start,
            Arc::new(move |server: &Arc<Server>, request: &Request, stream| {
                let attempt = request.header("attempt-id").unwrap_or("").to_owned();
                ran.lock().unwrap().push((attempt.clone(), Instant::now()));
                let tenant = request.header("tenant").unwrap_or("").to_owned();
                server
                    .world
                    .record
                    .line(format!("{} runs {attempt} for tenant {tenant}", server.id()));
                thread::sleep(Duration::from_millis(30));
                let signature = ("Response-Signature", format!("s.{attempt}"));
                respond(stream, 200, &[("Attempt-Id", attempt), signature], &[b'a'; 800])?;
                Ok(true)
            }),
        )?;
    }
    let mut nodes = scene.start_nodes(3)?;
    if !await_ready(&nodes, Duration::from_secs(20)) {
        return Ok(End::NotRun("the nodes aren't ready".to_owned()));
    }
    record.say("nodes are ready");
    thread::sleep(Duration::from_secs(3));
    let early = ask(nodes[0].front, "e-1", "k-goes");
    if early.status != 200 {
        return Ok(End::NotRun(format!("the key isn't served at first: {}", early.status)));
    }

    // The copy of the store that the drill comes back from, then the change that takes the key away.
    let copy = store.copy();
    let copied_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    store.put("op", "config", Some(&config(12, "\"k-stays\"")));
    let acked_at = Instant::now();
    record.say("config 12 takes the key k-goes away, acknowledged");
    let gone = || ask(nodes[0].front, "e-2", "k-goes").status == 401;
    if !wait_until(Duration::from_secs(4), gone) {
        return Ok(End::NotRun("the config didn't come into force".to_owned()));
    }
    record.say("the key is refused with 401");
    thread::sleep(COPY_AGE.saturating_sub(copied_at.elapsed()));
    if scene.trouble {
        store.go_away();
        record.say("the store is away");
    }
    let away_at = Instant::now();
    thread::sleep(Duration::from_millis(300));
    // Planned work: a machine is added.
    nodes.push(Node::start(&scene.site, 4, "hn-a", false)?);
    record.say("a machine is added");
    thread::sleep(AWAY.saturating_sub(away_at.elapsed()));
    if scene.trouble {
        store.come_back(copy);
        world.count_entries_anew(&ids);
        record.say("the store is back from a copy, as a new era");
    }
    let back_at = Instant::now();

    // Callers near the new machine ask it where to connect, and use the address that it names.
    let sent: Sent = Arc::default();
    let fourth = &nodes[3];
    let (front, directory) = (fourth.front, fourth.directory);
    let mut rewritten = !scene.trouble;
    let mut count = 0;
    while back_at.elapsed() < Duration::from_secs(7) {
        if !rewritten && back_at.elapsed() >= REWRITE {
            store.put("op", "config", Some(&config(12, "\"k-stays\"")));
            record.say("the operator has written config 12 again");
            rewritten = true;
        }
        let headers: Headers = Vec::new();
        let target = "/resolve?name=site.example&region=hn&zone=hn-a";
        let named = once(directory, "GET", target, &headers, b"", Duration::from_secs(1));
        let addrs = Json::parse(&named.text()).map(|body| body.texts("addrs")).unwrap_or_default();
        if addrs.contains(&front.to_string()) {
            count += 1;
            let id = format!("late-{count}");
            sent.lock().unwrap().push((id.clone(), Instant::now()));
            let answer = ask(front, &id, "k-goes");
            let age = acked_at.elapsed().as_secs_f64();
            record.line(format!(
                "{id}, sent about {age:.2} s after the ack, is answered {}",
                answer.status
            ));
            let id = format!("sound-{count}");
            let answer = ask(front, &id, "k-stays");
            record.line(format!("{id} is answered {}", answer.status));
        }
        thread::sleep(Duration::from_millis(50));
    }
    drop(nodes);
    let ran = ran.lock().unwrap();
    let sent = sent.lock().unwrap();
    let late: Vec<&(String, Instant)> = sent
        .iter()
        .filter(|(_, at)| at.saturating_duration_since(acked_at) > REVOKE)
        .filter(|(id, _)| ran.iter().any(|(other, _)| other == id))
        .collect();
    record.say(format!("{} requests with the key were sent to the new machine", sent.len()));
    Ok(match (late.first(), late.last()) {
        (Some((_, first)), Some((_, last))) => End::Broken(format!(
            "CONFIG: {} requests ran with a key that was taken away, sent {:.2} to {:.2} s after the ack",
            late.len(),
            first.saturating_duration_since(acked_at).as_secs_f64(),
            last.saturating_duration_since(acked_at).as_secs_f64()
        )),
        _ => End::Held,
    })
}

fn ask(front: std::net::SocketAddr, id: &str, key: &str) -> Answer {
    let authorization = format!("Bearer {key}");
    let headers: Headers = [
        ("Host", "site.example"),
        ("Attempt-Id", id),
        ("Deadline-Ms", "1500"),
        ("Authorization", &authorization),
    ]
    .map(|(name, value)| (name.to_owned(), value.to_owned()))
    .to_vec();
    once(front, "GET", "/poll/1", &headers, b"", Duration::from_millis(1500))
}
