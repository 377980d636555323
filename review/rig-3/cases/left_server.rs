//! The store comes back from an older copy, in which a server that is leaving is still ready.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    thread::spawn,
};

use crate::{
    cases::{BOUNDS, DRAIN_S, Verdict},
    client::{Answer, Directory, Request, send},
    nodes::{Node, NodeOptions, TempFolder},
    plain::{Arrivals, PlainOptions, PlainServer},
    store::Store,
    util::{new_id, now_s, record, sleep_ms, sleep_until, tell},
};

/// Requests a second, of all clients together.
const RATE: f64 = 60.0;

/// Seconds after the server began to leave.
const AWAY_AFTER: f64 = 4.0;
const BACK_AFTER: f64 = 5.0;

/// The copy was made so long before the server began to leave.
const COPY_LEAD: f64 = 1.0;

/// What the operator and the servers wrote is written again so long after the store is back.
const WRITTEN_AGAIN_AFTER: f64 = 1.5;

/// When the server ends.
const END_AFTER: f64 = 5.8;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r1","host":"app.example","prefix":"/appt/","kind":"non_idempotent","timeoutMs":3000,"sloMs":600,"priority":1,"service":"padron","maxAttempts":1,"public":false}],"services":[{"name":"padron","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key1"],"priority":1}]}"#;

pub fn play(has_trouble: bool) -> Verdict {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put_config(CONFIG);
    let arrivals = Arrivals::default();
    let options = PlainOptions {
        service: "padron",
        zone: "a",
        slots: 20,
        work_ms: 700,
        has_no_length: false,
    };
    let servers: Vec<_> =
        (0..3).map(|_| PlainServer::start(&store, &arrivals, &options, None)).collect();
    let options = NodeOptions { zone: "a", memory_mb: 260, is_first_start: true };
    let nodes: Vec<_> =
        (0..3).map(|number| Node::new(number, &folder, store.address, BOUNDS, &options)).collect();
    nodes.iter().for_each(|node| node.start());
    if !nodes.iter().all(|node| node.await_ready(15.0)) {
        return Verdict::NotRun("a node is not ready".to_owned());
    }
    sleep_ms(2000);
    let traffic = start_traffic(&nodes, 14.0);
    sleep_ms(4000);
    let leaving = &servers[0];
    let left_at = now_s();
    leaving.is_leaving.store(true, Ordering::SeqCst);
    leaving.is_listed.store(false, Ordering::SeqCst);
    store.drop_server(&leaving.id);
    record(&format!("server {}: leaves, its entry is removed", leaving.id));
    if has_trouble {
        sleep_until(left_at + AWAY_AFTER);
        store.go_away();
        sleep_until(left_at + BACK_AFTER);
        store.come_back_from(left_at - COPY_LEAD);
        let (store, id) = (store.clone(), leaving.id.clone());
        spawn(move || {
            sleep_until(left_at + BACK_AFTER + WRITTEN_AGAIN_AFTER);
            store.drop_server(&id);
            record("store: the removal is written again");
        });
    }
    sleep_until(left_at + END_AFTER);
    leaving.exit();
    let answers = traffic.finish();
    judge(&answers, &arrivals, &leaving.id)
}

/// A request, the node that it was sent to, and what came.
type Sent = (String, SocketAddr, Answer);

struct Traffic {
    threads: Vec<std::thread::JoinHandle<()>>,
    answers: Arc<Mutex<Vec<Sent>>>,
}

impl Traffic {
    fn finish(self) -> Vec<Sent> {
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut answers = self.answers.lock().unwrap().clone();
        answers.sort_by(|(_, _, one), (_, _, other)| one.sent_at.total_cmp(&other.sent_at));
        answers
    }
}

fn start_traffic(nodes: &[Arc<Node>], for_s: f64) -> Traffic {
    let directory = Arc::new(Directory::new(nodes, "a", 2.0));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let started_at = now_s();
    let threads = (0..(RATE * for_s) as usize).map(|number| {
        let (directory, answers) = (directory.clone(), answers.clone());
        spawn(move || {
            sleep_until(started_at + number as f64 / RATE);
            let request = Request {
                id: new_id(),
                method: "POST",
                path: "/appt/confirm".to_owned(),
                key: Some("key1".to_owned()),
                deadline_ms: 3000,
                fields: String::new(),
                body: Arc::new(format!("appointment {number}").into_bytes()),
            };
            let Some(address) = directory.pick() else { return };
            let answer = send(address, &request);
            answers.lock().unwrap().push((request.id, address, answer));
        })
    });
    Traffic { threads: threads.collect(), answers }
}

fn judge(answers: &[Sent], arrivals: &Arrivals, leaving: &str) -> Verdict {
    let mut passed_at: HashMap<SocketAddr, f64> = HashMap::new();
    for (_, node, answer) in answers {
        if answer.head.field("server-leaving").is_some() {
            let at = passed_at.entry(*node).or_insert(answer.head_at);
            *at = at.min(answer.head_at);
        }
    }
    let (mut late, mut lost, mut whole) = (0, 0, 0);
    for (id, node, answer) in answers {
        let found = arrivals.of(id);
        let at_leaving = found.iter().find(|arrival| arrival.server == leaving);
        let is_late = at_leaving.is_some()
            && passed_at.get(node).is_some_and(|at| answer.sent_at > at + DRAIN_S);
        whole += u32::from(answer.is_success());
        late += u32::from(is_late);
        lost += u32::from(is_late && !answer.is_success());
        record(&format!(
            "{id}: to {node}, sent at {:.3}, ended at {:.3}: {}{}{}",
            answer.sent_at,
            answer.ended_at,
            answer.summary(),
            if at_leaving.is_some() { ", at the leaving server" } else { "" },
            if is_late { ", TOO LATE" } else { "" },
        ));
    }
    tell(&format!(
        "{} requests, {whole} answered with success; {} nodes passed on an answer with \
         Server-Leaving; {late} requests reached the leaving server from such a node more than \
         drainMs later, {lost} of these were not answered with success",
        answers.len(),
        passed_at.len()
    ));
    if passed_at.is_empty() || whole < 100 {
        return Verdict::NotRun("the server's notice was not seen".to_owned());
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
