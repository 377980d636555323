//! Partitions between real processes, lost answers of the table service, and concurrent operators.

mod support;

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use comfreyturn_standin::RelayMode;
use serde_json::{Value, json};
use support::{
    http::{self, HttpAnswer},
    process::{run_ctl, wait_for},
    site::{START_LIMIT, Site, SiteLayout, complete},
};

/// An accepted configuration is in force everywhere within this time.
const IN_FORCE_BOUND: Duration = Duration::from_secs(7);

fn create_customer(operators: SocketAddr, name: &str) -> std::process::Output {
    run_ctl(&[
        "--to",
        &operators.to_string(),
        "create",
        "customer",
        name,
        "--key",
        &format!("key-of-{name}"),
        "--requests-per-second",
        "1000",
        "--tokens-per-second",
        "100000",
    ])
}

fn call_as(node: SocketAddr, name: &str) -> Option<HttpAnswer> {
    let bearer = format!("Bearer key-of-{name}");
    let body = json!({"model": "assistant", "prompt": name, "max_tokens": 1}).to_string();
    http::send(node, "POST", "/v1/completions", &[("authorization", &bearer)], &body)
}

fn version(site: &Site) -> u64 {
    site.status().and_then(|status| status["version"].as_u64()).expect("a status")
}

#[test]
fn nodes_cut_off_from_the_platform_follow_the_majority() {
    let layout = SiteLayout { name: "majority", ..SiteLayout::default() };
    let site = Site::start_serving(&layout, 1);
    for node in &site.nodes[1..] {
        node.to_platform.set_mode(RelayMode::HoldBoth);
    }
    let output = create_customer(site.nodes[0].operators, "oeste");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    for node in &site.nodes {
        wait_for("customer in force", IN_FORCE_BOUND, || {
            call_as(node.callers, "oeste").filter(|answer| answer.status != 401)
        });
    }
    let end = Instant::now() + Duration::from_secs(8);
    while Instant::now() < end {
        for node in &site.nodes {
            let answer = complete(node.callers, "majority", 1, &[]).expect("an answer");
            assert_eq!(answer.status, 200, "serving goes on: {answer:?}");
        }
        thread::sleep(Duration::from_millis(250));
    }
}

#[test]
fn node_without_platform_and_majority_admits_nothing() {
    let site = Site::start_serving(&SiteLayout { name: "alone", ..SiteLayout::default() }, 1);
    let alone = &site.nodes[1];
    alone.to_platform.set_mode(RelayMode::HoldBoth);
    site.nodes[0].process.signal("STOP");
    site.nodes[2].process.signal("STOP");
    let refused = wait_for("refusal", START_LIMIT, || {
        complete(alone.callers, "alone", 1, &[]).filter(|answer| answer.status == 503)
    });
    assert_eq!(refused.header("x-outcome"), Some("not-run"), "{refused:?}");
    assert_eq!(refused.json()["error"]["reason"], "stale-config", "{refused:?}");
    assert_eq!(refused.json()["error"]["addresses"].as_array().map(Vec::len), Some(2));
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    site.nodes[0].process.signal("CONT");
    site.nodes[2].process.signal("CONT");
    wait_for("serving by the majority", START_LIMIT, || {
        complete(alone.callers, "alone", 1, &[]).filter(|answer| answer.status == 200)
    });
}

#[test]
fn change_whose_answer_is_lost_takes_effect_once() {
    let site = Site::start_serving(&SiteLayout { name: "lost", ..SiteLayout::default() }, 1);
    let before = version(&site);
    let faults = json!({"lost_commit_answers": 3}).to_string();
    let answer = http::send(site.platform.address, "POST", "/faults", &[], &faults);
    assert!(answer.is_some_and(|answer| answer.status < 300));
    let output = create_customer(site.nodes[0].operators, "oeste");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(version(&site), before + 1);
}

#[test]
fn one_of_several_concurrent_creates_succeeds_and_the_others_fail() {
    let site = Site::start_serving(&SiteLayout { name: "racing", ..SiteLayout::default() }, 1);
    let before = version(&site);
    let racers: Vec<_> = (0..6)
        .map(|number| {
            let operators = site.nodes[number % site.nodes.len()].operators;
            thread::spawn(move || create_customer(operators, "oeste").status.code())
        })
        .collect();
    let codes: Vec<Option<i32>> = racers.into_iter().map(|racer| racer.join().unwrap()).collect();
    assert_eq!(codes.iter().filter(|code| **code == Some(0)).count(), 1, "{codes:?}");
    assert_eq!(codes.iter().filter(|code| **code == Some(1)).count(), 5, "{codes:?}");
    assert_eq!(version(&site), before + 1);
    let listed = site.ctl(&["list", "customer", "--json"]);
    let listed: Value = serde_json::from_slice(&listed.stdout).unwrap();
    let named = listed["customers"].as_array().into_iter().flatten();
    assert_eq!(named.filter(|customer| customer["name"] == "oeste").count(), 1, "{listed}");
}
