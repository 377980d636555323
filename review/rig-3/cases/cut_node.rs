//! Machines are partitioned from all servers, while clients, the store and the other machines reach them.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{JoinHandle, spawn},
};

use crate::{
    cases::{BOUNDS, STABLE_WINDOW_S, Verdict},
    client::{Answer, Channel, Directory, Request},
    cut::has_port,
    nodes::{Node, NodeOptions, TempFolder},
    plain::{Arrivals, PlainOptions, PlainServer},
    store::Store,
    util::{new_id, now_s, random_below, record, sleep_ms, sleep_until, tell},
};

/// Mean pause of a client between two requests, in milliseconds.
const PAUSE_MS: usize = 300;

/// Traffic before and after the cut, in seconds.
const CALM_S: f64 = 4.0;
const AFTER_S: f64 = 1.0;

/// Clients, of which every third keeps an answer of the directory three times as long.
const CLIENTS: usize = 45;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r1","host":"app.example","prefix":"/cert/","kind":"idempotent","timeoutMs":1500,"sloMs":300,"priority":1,"service":"padron","maxAttempts":2,"public":false},{"name":"r2","host":"app.example","prefix":"/appt/","kind":"non_idempotent","timeoutMs":1500,"sloMs":300,"priority":1,"service":"padron","maxAttempts":1,"public":false}],"services":[{"name":"padron","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key1"],"priority":1}]}"#;

type Sent = (String, SocketAddr, Answer);

/// Who is cut off, and what the servers are like.
pub struct Plot {
    pub nodes: usize,

    /// The first ones of the nodes.
    pub cut_nodes: usize,
    pub servers: usize,

    /// Whether answers end with their channel.
    pub has_no_length: bool,

    /// How long the cut lasts, in seconds.
    pub cut_s: f64,
}

pub fn play(has_trouble: bool, plot: &Plot) -> Verdict {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put_config(CONFIG);
    let arrivals = Arrivals::default();
    let options = PlainOptions {
        service: "padron",
        zone: "a",
        slots: 20,
        work_ms: 60,
        has_no_length: plot.has_no_length,
    };
    let is_cut = Arc::new(AtomicBool::new(false));
    let cut_pids: Arc<Mutex<Vec<u32>>> = Arc::default();
    let _servers: Vec<_> = (0..plot.servers)
        .map(|_| {
            let (is_cut, cut_pids) = (is_cut.clone(), cut_pids.clone());
            let check = move |port| {
                is_cut.load(Ordering::SeqCst) && {
                    let pids = cut_pids.lock().unwrap().clone();
                    pids.iter().any(|pid| has_port(*pid, port))
                }
            };
            PlainServer::start(&store, &arrivals, &options, Some(Box::new(check)))
        })
        .collect();
    let options = NodeOptions { zone: "a", memory_mb: 260, is_first_start: true };
    let nodes: Vec<_> = (0..plot.nodes)
        .map(|number| Node::new(number, &folder, store.address, BOUNDS, &options))
        .collect();
    nodes.iter().for_each(|node| node.start());
    if !nodes.iter().all(|node| node.await_ready(15.0)) {
        return Verdict::NotRun("a node is not ready".to_owned());
    }
    let cut_nodes = &nodes[..plot.cut_nodes];
    cut_pids.lock().unwrap().extend(cut_nodes.iter().filter_map(|node| node.pid()));
    sleep_ms(2000);
    let begun_at = now_s();
    let cut_at = begun_at + CALM_S;
    let threads = start_traffic(&nodes, begun_at, plot.cut_s);
    sleep_until(cut_at);
    if has_trouble {
        is_cut.store(true, Ordering::SeqCst);
        let names: Vec<&str> = cut_nodes.iter().map(|node| node.name.as_str()).collect();
        record(&format!("{} cut off from all servers", names.join(" and ")));
    }
    sleep_until(cut_at + plot.cut_s);
    is_cut.store(false, Ordering::SeqCst);
    let mut answers: Vec<Sent> = Vec::new();
    let (threads, sent) = threads;
    for thread in threads {
        let _ = thread.join();
    }
    answers.append(&mut sent.lock().unwrap());
    answers.sort_by(|(_, _, one), (_, _, other)| one.sent_at.total_cmp(&other.sent_at));
    let cut: Vec<SocketAddr> = cut_nodes.iter().map(|node| node.front).collect();
    judge(&answers, &arrivals, &cut, cut_at, plot.cut_s)
}

/// Clients send a request from time to time, each over a channel that it keeps as long as that is open
/// and the directory names its address.
fn start_traffic(
    nodes: &[Arc<Node>],
    begun_at: f64,
    cut_s: f64,
) -> (Vec<JoinHandle<()>>, Arc<Mutex<Vec<Sent>>>) {
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let end_at = begun_at + CALM_S + cut_s + AFTER_S;
    let threads = (0..CLIENTS).map(|number| {
        let hold_s = if number % 3 == 0 { 6.0 } else { 2.0 };
        let directory = Directory::new(nodes, "a", hold_s);
        let sent = sent.clone();
        spawn(move || {
            let mut channel: Option<Channel> = None;
            while now_s() < end_at {
                sleep_ms(random_below(2 * PAUSE_MS) as u64);
                let is_kept = |kept: &Channel| kept.is_open && directory.names(kept.address);
                if !channel.as_ref().is_some_and(is_kept) {
                    channel = directory.pick().and_then(Channel::open);
                }
                let Some(channel) = channel.as_mut() else { continue };
                let request = request();
                let answer = channel.send(&request);
                sent.lock().unwrap().push((request.id, channel.address, answer));
            }
        })
    });
    (threads.collect(), sent)
}

/// Every third request is not idempotent.
fn request() -> Request {
    let id = new_id();
    let is_repeatable = random_below(3) > 0;
    Request {
        method: if is_repeatable { "GET" } else { "POST" },
        path: match is_repeatable {
            true => format!("/cert/{id}"),
            false => format!("/appt/{id}"),
        },
        id,
        key: Some("key1".to_owned()),
        deadline_ms: 3000,
        fields: String::new(),
        body: Arc::default(),
    }
}

fn judge(
    answers: &[Sent],
    arrivals: &Arrivals,
    cut: &[SocketAddr],
    cut_at: f64,
    cut_s: f64,
) -> Verdict {
    let (mut tries, mut served) = ([0_u32; 2], [0_u32; 2]);
    let (mut calm, mut calm_served, mut discarded) = (0, 0, 0);
    for (id, node, answer) in answers {
        let found = arrivals.of(id);
        let is_answered = found.iter().any(|arrival| arrival.is_answered);
        record(&format!(
            "{id}: to {node}{}, sent at {:.3}, ended at {:.3}: {}, at servers {} times, answered by \
             one: {is_answered}",
            if cut.contains(node) { " (cut)" } else { "" },
            answer.sent_at,
            answer.ended_at,
            answer.summary(),
            found.len()
        ));
        let success = u32::from(answer.is_success());
        if answer.sent_at < cut_at {
            calm += 1;
            calm_served += success;
        } else if (cut_at + STABLE_WINDOW_S..cut_at + cut_s).contains(&answer.sent_at) {
            let index = usize::from(cut.contains(node));
            tries[index] += 1;
            served[index] += success;
            discarded += u32::from(is_answered && success == 0);
        }
    }
    let failed_there = tries[1] - served[1];
    let all = tries[0] + tries[1];
    tell(&format!(
        "before the cut {calm_served} of {calm} served; from stableWindowMs after its begin to its \
         end: at the other machines {} of {} first tries served, at the cut ones {} of {}; {failed_there} \
         failed there, of {all} in all; {discarded} of the failed ones had been answered completely by \
         a server",
        served[0], tries[0], served[1], tries[1]
    ));
    if calm_served * 10 < calm * 9 || tries[0] < 50 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    let share = |index: usize| f64::from(served[index]) / f64::from(tries[index].max(1));
    let is_often = f64::from(failed_there) > 10.0 + f64::from(all) / 50.0;
    if share(1) < share(0) * 2.0 / 3.0 && is_often { Verdict::Broken } else { Verdict::Held }
}
