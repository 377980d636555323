//! A part of a prompt crashes servers; sound requests share its other parts.

use std::{
    sync::{Arc, Mutex},
    thread::{JoinHandle, spawn},
};

use crate::{
    cases::{BOUNDS, STABLE_WINDOW_S, Verdict},
    client::{Answer, Directory, Request, send},
    engine::{EngineOptions, Fleet},
    nodes::{Node, NodeOptions, TempFolder},
    store::Store,
    util::{new_id, now_s, record, sleep_ms, sleep_until, tell},
};

/// The part that crashes servers, and one that all prompts of the route share.
const CRASH_PART: &str = "dead5e11";
const SHARED_PART: &str = "5c1e07a2";

/// Sound requests a second, and such with the part that crashes servers.
const SOUND_RATE: f64 = 10.0;
const CRASH_RATE: f64 = 1.5;

/// How long only sound requests come, and then both, in seconds.
const CALM_S: f64 = 12.0;
const TROUBLE_S: f64 = 40.0;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r1","host":"app.example","prefix":"/ask/","kind":"streaming","timeoutMs":6000,"sloMs":500,"priority":1,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":300}],"services":[{"name":"llm","healthPath":"/health","maxConns":378,"protocol":"h1","tls":false,"engine":{"slots":17,"kvCapacity":1860000,"tokenKvBytes":96256,"linkMbps":400000.0,"stride":5,"models":[{"name":"m1","size":2,"share":1.0,"pace":1.0,"loadS":12.0,"warmS":1.1}],"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":5.0,"loads_at_once":7,"usual":{"prompt":979,"answer":154},"keeps":1,"far_x":2.5,"formMs":300.0}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key1"],"priority":1}]}"#;

/// What the sound requests and their answers are like.
pub struct Plot {
    pub servers: usize,

    /// Events of an answer, and the time between two of them.
    pub events: u32,
    pub gap_ms: u64,

    /// Whether answers end with their channel.
    pub has_no_length: bool,

    /// Whether all sound requests have the same body.
    pub is_one_body: bool,
}

struct Sent {
    id: String,
    is_sound: bool,
    answer: Answer,
}

pub fn play(has_trouble: bool, plot: &Plot) -> Verdict {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put_config(CONFIG);
    let options = EngineOptions {
        service: "llm",
        slots: 17,
        load_s: 12.0,
        warm_s: 1.1,
        events: plot.events,
        gap_ms: plot.gap_ms,
        has_no_length: plot.has_no_length,
        crash_part: has_trouble.then_some(CRASH_PART),
    };
    let fleet = Fleet::start(&store, plot.servers, options);
    fleet.keep_restarting();
    let options = NodeOptions { zone: "a", memory_mb: 260, is_first_start: true };
    let nodes: Vec<_> =
        (0..3).map(|number| Node::new(number, &folder, store.address, BOUNDS, &options)).collect();
    nodes.iter().for_each(|node| node.start());
    if !nodes.iter().all(|node| node.await_ready(15.0)) {
        return Verdict::NotRun("a node is not ready".to_owned());
    }
    let end = now_s() + 15.0;
    while fleet.open_groups() < plot.servers / 2 && now_s() < end {
        sleep_ms(100);
    }
    tell(&format!("{} groups are open", fleet.open_groups()));
    sleep_ms(1000);
    let begun_at = now_s();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let directory = Arc::new(Directory::new(&nodes, "a", 2.0));
    let mut threads = Vec::new();
    for number in 0..((CALM_S + TROUBLE_S) * SOUND_RATE) as usize {
        let at = begun_at + number as f64 / SOUND_RATE;
        threads.push(send_at(at, true, number, plot, &directory, &sent));
    }
    for number in 0..(TROUBLE_S * CRASH_RATE) as usize {
        let at = begun_at + CALM_S + number as f64 / CRASH_RATE;
        threads.push(send_at(at, false, number, plot, &directory, &sent));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let mut sent = sent.lock().unwrap();
    sent.sort_by(|one, other| one.answer.sent_at.total_cmp(&other.answer.sent_at));
    judge(&sent, &fleet, begun_at + CALM_S)
}

fn send_at(
    at: f64,
    is_sound: bool,
    number: usize,
    plot: &Plot,
    directory: &Arc<Directory>,
    sent: &Arc<Mutex<Vec<Sent>>>,
) -> JoinHandle<()> {
    let (directory, sent) = (directory.clone(), sent.clone());
    let own_part = new_id();
    let prompt = match is_sound {
        true => format!("{SHARED_PART}:40,5a5a00{:02x}:400,{}:250", number % 4, &own_part[..8]),
        false => format!("{SHARED_PART}:40,{CRASH_PART}:400,{}:250", &own_part[..8]),
    };
    let body = match is_sound && plot.is_one_body {
        true => "the question that most callers of this tenant ask".to_owned(),
        false => format!("question {own_part}"),
    };
    spawn(move || {
        sleep_until(at);
        let request = Request {
            id: new_id(),
            method: "POST",
            path: "/ask/1".to_owned(),
            key: Some("key1".to_owned()),
            deadline_ms: 6000,
            fields: format!("Model: m1\r\nToken-Counts: 690,80\r\nPrompt-Prefix: {prompt}\r\n"),
            body: Arc::new(body.into_bytes()),
        };
        let Some(address) = directory.pick() else { return };
        let answer = send(address, &request);
        sent.lock().unwrap().push(Sent { id: request.id, is_sound, answer });
    })
}

fn judge(sent: &[Sent], fleet: &Fleet, trouble_at: f64) -> Verdict {
    let crashes = fleet.crashes.lock().unwrap().clone();
    let starts = fleet.starts.lock().unwrap();
    let last_sent = sent.iter().rfind(|sent| !sent.is_sound).map_or(0.0, |s| s.answer.sent_at);
    let counted_from = match crashes.get(4).or(crashes.last()) {
        Some(at) => at + 2.0 * STABLE_WINDOW_S,
        None => trouble_at + 2.0 * STABLE_WINDOW_S,
    };
    let (mut calm, mut calm_begun, mut later, mut later_begun) = (0, 0, 0, 0);
    for Sent { id, is_sound, answer } in sent {
        let found = starts.get(id).copied().unwrap_or(0);
        record(&format!(
            "{id}: {}, sent at {:.3}, ended at {:.3}: {}, began {found} times",
            if *is_sound { "sound" } else { "with the part" },
            answer.sent_at,
            answer.ended_at,
            answer.summary()
        ));
        if !is_sound {
            continue;
        }
        let has_begun = u32::from(found > 0);
        if answer.sent_at < trouble_at {
            calm += 1;
            calm_begun += has_begun;
        } else if answer.sent_at >= counted_from && answer.sent_at <= last_sent {
            later += 1;
            later_begun += has_begun;
        }
    }
    tell(&format!(
        "{} crashes; of the sound requests {calm_begun} of {calm} began before the trouble, and \
         {later_begun} of {later} from 2 x stableWindowMs after the fifth crash or the last one, \
         while requests with the part still came",
        crashes.len()
    ));
    if calm < 20 || later < 20 || calm_begun * 10 < calm * 8 {
        return Verdict::NotRun("too few sound requests".to_owned());
    }
    let is_broken =
        f64::from(later_begun) / f64::from(later) < 0.5 * f64::from(calm_begun) / f64::from(calm);
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
