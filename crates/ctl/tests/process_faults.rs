//! Faults of real processes: killed, paused, stopped gracefully, cut off from the platform.
//!
//! Time limits are those that the system guarantees, or generous where a test checks no such limit.

mod support;

use std::{
    collections::HashSet,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use comfreyturn_standin::{content_hash, invariants::DeathRecord};
use comfreyturn_types::NodeId;
use serde_json::{Value, json};
use support::{
    caller::{CallerTrace, addresses_from, call_until_whole, now_ms, start_callers},
    http::{self, HttpAnswer},
    process::wait_for,
    site::{CUSTOMER_KEY, START_LIMIT, Site, SiteLayout, SiteNode, SiteServer, complete, run_node},
};

/// A leaving backend server gets no new work from this time on.
const LEAVING_BOUND_MS: u64 = 3_000;

/// An accepted configuration is in force everywhere within this time.
const IN_FORCE_BOUND: Duration = Duration::from_secs(7);

/// Longest time that a caller retries for its answer.
const CALLER_LIMIT: Duration = Duration::from_secs(60);

/// Flags that make engines slow enough for faults to interrupt streams.
const SLOW_ENGINES: &[&str] = &["--tokens-per-second", "50"];

fn join_all(callers: Vec<JoinHandle<CallerTrace>>) -> Vec<CallerTrace> {
    callers.into_iter().map(|caller| caller.join().unwrap()).collect()
}

/// Records a crash. Called before the kill, because callers may see its effects first.
fn crash_record(node: &SiteNode) -> DeathRecord {
    DeathRecord { node: NodeId::from(node.callers.to_string()), at_ms: now_ms() }
}

fn bearer() -> String {
    format!("Bearer {CUSTOMER_KEY}")
}

fn records(server: &SiteServer) -> Option<Value> {
    let answer = http::send(server.address, "GET", "/control/records", &[], "")?;
    Some(answer.json())
}

/// Number of requests that engines began to run.
fn started_requests(site: &Site) -> usize {
    let records = site.engines.iter().filter_map(records);
    let runs = records.flat_map(|records| records["executions"].as_array().cloned());
    let requests = runs.flatten().map(|run| run["prompt_hash"].to_string());
    requests.collect::<HashSet<_>>().len()
}

fn set_faults(site: &Site, faults: &Value) {
    let answer = http::send(site.platform.address, "POST", "/faults", &[], &faults.to_string());
    assert!(answer.is_some_and(|answer| answer.status < 300), "faults not set");
}

fn post_plain(node: std::net::SocketAddr, key: &str, body: &str) -> Option<HttpAnswer> {
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    http::send(node, "POST", "/services/certificates/appointments", &headers, body)
}

fn plain_executions(site: &Site, body: &str) -> usize {
    let hash = content_hash(body.as_bytes());
    let records = records(&site.plain).expect("the plain service answers");
    let executions = records["executions"].as_array().unwrap();
    executions.iter().filter(|execution| execution["body_hash"] == hash).count()
}

#[test]
fn killed_node_loses_no_answer() {
    let layout = SiteLayout {
        name: "killed_node",
        engines: 4,
        engine_flags: SLOW_ENGINES,
        ..SiteLayout::default()
    };
    let mut site = Site::start_serving(&layout, 2);
    let addresses = addresses_from(site.nodes[0].callers);
    let callers = start_callers(&addresses, "killed node", 16, 60, CALLER_LIMIT);
    // A call that begins after the kill finds no node, which breaks no promise.
    wait_for("a run for each caller", START_LIMIT, || {
        (started_requests(&site) >= callers.len()).then_some(())
    });
    let crash = crash_record(&site.nodes[0]);
    site.nodes[0].process.kill();
    let traces = join_all(callers);
    assert!(traces.iter().any(|trace| trace.broken > 0), "the kill hit no answer: {traces:?}");
    site.assert_promises(traces, vec![crash]);
}

#[test]
fn killed_engine_breaks_no_answer() {
    let layout = SiteLayout {
        name: "killed_engine",
        engines: 4,
        engine_flags: SLOW_ENGINES,
        ..SiteLayout::default()
    };
    let mut site = Site::start_serving(&layout, 2);
    let addresses = addresses_from(site.nodes[0].callers);
    let callers = start_callers(&addresses, "killed engine", 16, 60, CALLER_LIMIT);
    thread::sleep(Duration::from_millis(500));
    site.engines[0].process.kill();
    let traces = join_all(callers);
    for trace in &traces {
        assert_eq!((trace.broken, trace.failed.len()), (0, 0), "{trace:?}");
    }
    site.assert_promises(traces, Vec::new());
}

#[test]
fn frozen_node_does_not_serve_by_an_old_configuration() {
    let site = Site::start_serving(&SiteLayout { name: "frozen_node", ..SiteLayout::default() }, 1);
    site.ctl_ok(&[
        "create",
        "customer",
        "sur",
        "--key",
        "key-of-sur",
        "--requests-per-second",
        "1000",
        "--tokens-per-second",
        "100000",
    ]);
    let headers = [("authorization", "Bearer key-of-sur")];
    let body = json!({"model": "assistant", "prompt": "x", "max_tokens": 1}).to_string();
    let node = &site.nodes[2];
    let call = || http::send(node.callers, "POST", "/v1/completions", &headers, &body);
    wait_for("customer sur", START_LIMIT, || call().filter(|answer| answer.status == 200));

    node.process.signal("STOP");
    let output = site.ctl(&["delete", "customer", "sur"]);
    let paused_at = Instant::now();
    assert!(output.status.code().is_some_and(|code| code == 0 || code == 3), "{output:?}");
    thread::sleep(IN_FORCE_BOUND.saturating_sub(paused_at.elapsed()));
    node.process.signal("CONT");
    let end = Instant::now() + IN_FORCE_BOUND;
    while Instant::now() < end {
        let answer = call().expect("an answer");
        assert_ne!(answer.status, 200, "served by a configuration that was deleted");
        if answer.status == 401 {
            return;
        }
    }
    panic!("the change is not in force within {IN_FORCE_BOUND:?} after the freeze");
}

#[test]
fn platform_outage_stops_only_what_needs_the_table() {
    let site =
        Site::start_serving(&SiteLayout { name: "platform_outage", ..SiteLayout::default() }, 1);
    let node = site.nodes[0].callers;
    set_faults(&site, &json!({"table_outage_ms": 12_000}));
    let outage_start = Instant::now();

    let refused = post_plain(node, "outage-1", "outage").expect("an answer");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.header("x-outcome"), Some("not-run"));
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!(plain_executions(&site, "outage"), 0);

    let change = site.ctl(&[
        "create",
        "customer",
        "este",
        "--key",
        "k",
        "--requests-per-second",
        "1",
        "--tokens-per-second",
        "1",
    ]);
    assert_eq!(change.status.code(), Some(3), "{change:?}");

    let mut served = 0;
    while outage_start.elapsed() < Duration::from_secs(11) {
        let answer = complete(node, &format!("outage {served}"), 5, &[]).expect("an answer");
        assert_eq!(answer.status, 200, "serving goes on: {answer:?}");
        served += 1;
        thread::sleep(Duration::from_millis(250));
    }
    wait_for("claims after the outage", START_LIMIT, || {
        post_plain(node, "outage-1", "outage").filter(|answer| answer.status == 200)
    });
    assert_eq!(plain_executions(&site, "outage"), 1);
}

#[test]
fn graceful_shutdown_interrupts_no_answer() {
    let layout = SiteLayout {
        name: "graceful_shutdown",
        engine_flags: SLOW_ENGINES,
        ..SiteLayout::default()
    };
    let mut site = Site::start_serving(&layout, 1);
    let addresses = addresses_from(site.nodes[0].callers);
    let early = start_callers(&addresses, "early", 8, 100, CALLER_LIMIT);
    thread::sleep(Duration::from_millis(500));
    site.nodes[0].process.signal("TERM");
    let late = start_callers(&addresses, "late", 8, 100, CALLER_LIMIT);
    let mut traces = join_all(early);
    for trace in &traces {
        assert_eq!((trace.broken, trace.not_run, trace.failed.len()), (0, 0, 0), "{trace:?}");
    }
    for trace in join_all(late) {
        assert_eq!((trace.broken, trace.failed.len()), (0, 0), "{trace:?}");
        traces.push(trace);
    }
    site.assert_promises(traces, Vec::new());
    assert_eq!(site.nodes[0].process.ended_within(START_LIMIT), Some(true));
    wait_for("roster without the node", START_LIMIT, || {
        let operators = site.nodes[1].operators.to_string();
        let output = support::process::run_ctl(&["--to", &operators, "status", "--json"]);
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        (status["nodes"].as_array()?.len() == 2).then_some(())
    });
}

#[test]
fn rolling_restart_under_load_loses_no_answer() {
    let layout = SiteLayout { name: "rolling_restart", engines: 4, ..SiteLayout::default() };
    let mut site = Site::start_serving(&layout, 2);
    let addresses = addresses_from(site.nodes[0].callers);
    let load = {
        let addresses = addresses.clone();
        let (stop, stopped) = std::sync::mpsc::channel::<()>();
        let caller = thread::spawn(move || {
            let mut answers = 0;
            while stopped.try_recv().is_err() {
                let prompt = format!("rolling {answers}");
                let trace = call_until_whole(&addresses, &prompt, 20, CALLER_LIMIT);
                assert_eq!(trace.failed.len(), 0, "{trace:?}");
                answers += 1;
            }
            answers
        });
        (stop, caller)
    };
    for number in 0..site.nodes.len() {
        site.nodes[number].process.signal("TERM");
        assert_eq!(site.nodes[number].process.ended_within(START_LIMIT), Some(true));
        site.nodes[number].process = run_node(&site.nodes[number].settings);
        site.wait_for_roster();
    }
    load.0.send(()).unwrap();
    assert!(load.1.join().unwrap() > 0);
}

#[test]
fn leaving_engine_gets_no_new_work() {
    let layout = SiteLayout { name: "leaving_engine", engines: 4, ..SiteLayout::default() };
    let site = Site::start_serving(&layout, 2);
    set_faults(&site, &json!({"list_lag_ms": 60_000}));
    let busy = site
        .engines
        .iter()
        .find(|engine| {
            let records = records(engine).unwrap();
            records["executions"].as_array().is_some_and(|runs| !runs.is_empty())
        })
        .expect("an engine that served");
    let addresses = addresses_from(site.nodes[0].callers);
    let answer = http::send(busy.address, "POST", "/control/leave", &[], "");
    assert!(answer.is_some_and(|answer| answer.status < 300));
    let start = Instant::now();
    let mut traces = Vec::new();
    while start.elapsed() < Duration::from_secs(8) {
        let prompt = format!("leaving {}", traces.len());
        traces.push(call_until_whole(&addresses, &prompt, 2, CALLER_LIMIT));
    }
    site.assert_promises(traces, Vec::new());
    let records = records(busy).unwrap();
    let left = records["leaving_ms"].as_u64().expect("it left");
    let late_runs = records["executions"]
        .as_array()
        .unwrap()
        .iter()
        .filter(|run| run["started_ms"].as_u64().unwrap() > left + LEAVING_BOUND_MS)
        .count();
    assert_eq!(late_runs, 0, "new work after {LEAVING_BOUND_MS} ms: {records}");
}

/// A stream that failed after its first token ended with the last chunk, as a complete one does.
#[test]
fn failed_stream_does_not_look_complete() {
    let layout = SiteLayout {
        name: "failed_stream",
        engine_flags: &["--tokens-per-second", "5"],
        ..SiteLayout::default()
    };
    let site = Site::start_serving(&layout, 1);
    let answer = complete(site.nodes[0].callers, "long", 40, &[("x-deadline-ms", "2000")]);
    let answer = answer.expect("an answer");
    let (texts, is_whole) = answer.events();
    assert!(answer.status == 200 && !texts.is_empty() && !is_whole, "{answer:?}");
    assert!(answer.body.contains(r#""reason":"deadline-exceeded""#), "{answer:?}");
    assert!(!answer.has_last_chunk, "{answer:?}");
    let whole = complete(site.nodes[0].callers, "long", 4, &[]).expect("an answer");
    assert!(whole.events().1 && whole.has_last_chunk, "{whole:?}");
}

#[test]
fn crashing_request_crashes_at_most_two_engines() {
    let layout = SiteLayout {
        name: "crashing_request",
        engines: 8,
        engine_flags: &["--tokens-per-second", "50", "--crash-marker", "BOOM"],
        ..SiteLayout::default()
    };
    let mut site = Site::start_serving(&layout, 4);
    let addresses = addresses_from(site.nodes[0].callers);
    let unrelated = start_callers(&addresses, "innocent", 6, 60, CALLER_LIMIT);
    let mut last = None;
    for round in 0..6 {
        let node = addresses[round % addresses.len()];
        last = complete(node, "BOOM", 20, &[]).or(last);
    }
    let dead = site
        .engines
        .iter_mut()
        .filter_map(|engine| engine.process.ended_within(Duration::from_millis(50)))
        .count();
    assert!(dead <= 2, "{dead} engines died");
    let last = last.expect("an answer");
    assert_eq!(last.header("x-outcome"), Some("failed"), "{last:?}");
    assert_eq!(last.json()["error"]["reason"], "crashed-backends", "{last:?}");
    assert!(last.header("retry-after").is_some(), "{last:?}");
    let traces = join_all(unrelated);
    for trace in &traces {
        assert_eq!(trace.failed.len(), 0, "an unrelated request was quarantined: {trace:?}");
    }
    site.assert_promises(traces, Vec::new());
}

#[test]
fn killed_node_never_repeats_a_non_idempotent_request() {
    let site_layout = SiteLayout { name: "at_most_once", ..SiteLayout::default() };
    let mut site = Site::start_serving(&site_layout, 1);
    let addresses = addresses_from(site.nodes[0].callers);
    let first = addresses[0];
    let submissions: Vec<_> = (0..8)
        .map(|number| {
            let body = format!("claim {number}");
            thread::spawn(move || post_plain(first, &format!("key {number}"), &body))
        })
        .collect();
    site.nodes[0].process.kill();
    let firsts: Vec<_> = submissions.into_iter().map(|caller| caller.join().unwrap()).collect();
    for (number, first_answer) in firsts.iter().enumerate() {
        let body = format!("claim {number}");
        let key = format!("key {number}");
        for node in &addresses[1..] {
            let answer = post_plain(*node, &key, &body).expect("an answer");
            assert!(answer.status == 200 || answer.header("x-outcome").is_some(), "{answer:?}");
        }
        let executions = plain_executions(&site, &body);
        assert!(executions <= 1, "{body} ran {executions} times; first {first_answer:?}");
        if first_answer.as_ref().is_some_and(|answer| answer.status == 200) {
            assert_eq!(executions, 1);
        }
    }
}

#[test]
fn killed_engine_is_replaced_by_the_spare() {
    let layout = SiteLayout { name: "replaced_engine", engines: 3, ..SiteLayout::default() };
    let mut site = Site::start_serving(&layout, 1);
    site.engines[0].process.kill();
    let answer = call_until_whole(
        &addresses_from(site.nodes[0].callers),
        "replaced engine",
        10,
        Duration::from_secs(90),
    );
    assert_eq!(answer.failed.len(), 0, "{answer:?}");
    site.wait_for_groups(1);
    let status = site.status().unwrap();
    let members = &status["groups"][0]["members"];
    assert!(!members.as_array().unwrap().iter().any(|vm| vm == "vm-1"), "{status}");
}
