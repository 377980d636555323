//! No case: model servers, nodes and the store are disturbed at random for ten minutes, while TWO and
//! PARTIAL are checked at the servers.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::spawn,
};

use crate::{
    cases::{BOUNDS, Verdict},
    client::{Directory, Request, send},
    engine::{EngineOptions, Fleet},
    nodes::{Node, NodeOptions, TempFolder},
    store::Store,
    util::{new_id, now_s, random_below, record, signal, sleep_ms, tell},
};

const SERVERS: usize = 14;
const CALLERS: usize = 24;
const LENGTH_S: f64 = 600.0;

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r1","host":"app.example","prefix":"/ask/","kind":"streaming","timeoutMs":6000,"sloMs":500,"priority":1,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":300}],"services":[{"name":"llm","healthPath":"/health","maxConns":378,"protocol":"h1","tls":false,"engine":{"slots":4,"kvCapacity":1860000,"tokenKvBytes":96256,"linkMbps":400000.0,"stride":5,"models":[{"name":"m1","size":2,"share":0.5,"pace":1.0,"loadS":2.0,"warmS":0.5},{"name":"m2","size":3,"share":0.5,"pace":1.0,"loadS":2.0,"warmS":0.5}],"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":5.0,"loads_at_once":7,"usual":{"prompt":979,"answer":154},"keeps":1,"far_x":2.5,"formMs":300.0}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key1"],"priority":1}]}"#;

pub fn play() -> Verdict {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put_config(CONFIG);
    let options = EngineOptions {
        service: "llm",
        slots: 4,
        load_s: 2.0,
        warm_s: 0.5,
        events: 20,
        gap_ms: 40,
        has_no_length: false,
        crash_part: None,
    };
    let fleet = Fleet::start(&store, SERVERS, options);
    fleet.keep_restarting();
    let options = NodeOptions { zone: "a", memory_mb: 260, is_first_start: true };
    let nodes: Vec<_> =
        (0..3).map(|number| Node::new(number, &folder, store.address, BOUNDS, &options)).collect();
    nodes.iter().for_each(|node| node.start());
    if !nodes.iter().all(|node| node.await_ready(15.0)) {
        return Verdict::NotRun("a node is not ready".to_owned());
    }
    sleep_ms(5000);
    let stop = Arc::new(AtomicBool::new(false));
    let first_share = Arc::new(AtomicUsize::new(50));
    let counts: Arc<Mutex<HashMap<u16, u32>>> = Arc::default();
    for _ in 0..CALLERS {
        let directory = Directory::new(&nodes, "a", 2.0);
        let (stop, first_share, counts) = (stop.clone(), first_share.clone(), counts.clone());
        spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(random_below(600) as u64);
                let is_first = random_below(100) < first_share.load(Ordering::SeqCst);
                if let Some(status) = ask(&directory, if is_first { "m1" } else { "m2" }) {
                    *counts.lock().unwrap().entry(status).or_default() += 1;
                }
            }
        });
    }
    let end = now_s() + LENGTH_S;
    while now_s() < end {
        sleep_ms(300 + random_below(2500) as u64);
        disturb(&nodes, &fleet, &store, &first_share);
    }
    stop.store(true, Ordering::SeqCst);
    let violations = fleet.violations.lock().unwrap().clone();
    violations.iter().for_each(|text| tell(text));
    tell(&format!(
        "{} violations, answers by status: {:?}",
        violations.len(),
        counts.lock().unwrap()
    ));
    if violations.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn ask(directory: &Directory, model: &str) -> Option<u16> {
    let own_part = new_id();
    let request = Request {
        id: new_id(),
        method: "POST",
        path: "/ask/1".to_owned(),
        key: Some("key1".to_owned()),
        deadline_ms: 6000,
        fields: format!(
            "Model: {model}\r\nToken-Counts: 690,80\r\nPrompt-Prefix: 5c1e07a2:40,{}:200\r\n",
            &own_part[..8]
        ),
        body: Arc::new(own_part.into_bytes()),
    };
    Some(send(directory.pick()?, &request).status)
}

fn disturb(nodes: &[Arc<Node>], fleet: &Arc<Fleet>, store: &Store, first_share: &AtomicUsize) {
    let node = nodes[random_below(nodes.len())].clone();
    let server = random_below(SERVERS);
    match random_below(10) {
        0 => {
            node.kill();
            sleep_ms(500);
            node.start();
        }
        1 => {
            let Some(pid) = node.pid() else { return };
            record(&format!("{}: stands still", node.name));
            signal(pid, SIGSTOP);
            spawn(move || {
                sleep_ms(500 + random_below(4000) as u64);
                signal(pid, SIGCONT);
            });
        }
        2 => {
            store.go_away();
            sleep_ms(random_below(3000) as u64);
            store.come_back();
        }
        3 | 4 => {
            record(&format!("server {server}: crashes"));
            fleet.crash(server);
        }
        5 => {
            record(&format!("server {server}: cut off from the store"));
            fleet.cut.lock().unwrap().insert(server);
            let fleet = fleet.clone();
            spawn(move || {
                sleep_ms(2000 + random_below(8000) as u64);
                fleet.cut.lock().unwrap().remove(&server);
            });
        }
        6 => {
            record("some orders are carried out late from now on");
            fleet.late_percent.store(35, Ordering::SeqCst);
            let fleet = fleet.clone();
            spawn(move || {
                sleep_ms(5500);
                fleet.late_percent.store(0, Ordering::SeqCst);
            });
        }
        7 => first_share.store(10 + random_below(80), Ordering::SeqCst),
        _ => {
            store.go_away();
            sleep_ms(random_below(1500) as u64);
            store.come_back_from(now_s() - 0.2 - random_below(8) as f64);
        }
    }
}
