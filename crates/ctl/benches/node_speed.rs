//! What one node spends on the target's share of requests, and what it adds to their time.
//!
//! `cargo bench -p comfreyturn_ctl --bench node_speed -- 250 220 20`
//!
//! The arguments are requests a second, tokens of each answer, and seconds of load. Engines and
//! callers run in this process, the node in one of its own.

mod support;

use std::{thread, time::Duration};

use comfreyturn_standin::{EngineSettings, LoadReport, LoadSettings, run_load};
use comfreyturn_types::ServiceName;
use compio::runtime::Runtime;
use support::{BenchSite, CUSTOMER_KEY};

/// Groups of one VM each.
const GROUPS: usize = 8;

/// Threads that the engines share.
const ENGINE_THREADS: usize = 4;

/// Threads that send requests.
const CALLER_THREADS: usize = 4;

/// Tokens a second of each stream.
const STREAM_RATE: f64 = 50.0;

fn main() {
    let numbers: Vec<u32> = std::env::args().filter_map(|text| text.parse().ok()).collect();
    let [rate, tokens, seconds] = numbers[..] else {
        println!("usage: node_speed REQUESTS-A-SECOND TOKENS SECONDS");
        return;
    };
    let engine = EngineSettings {
        tokens_per_second: STREAM_RATE,
        batch_capacity: 512,
        queue_capacity: 512,
        ..EngineSettings::default()
    };
    let site = BenchSite::start("node-speed", 1, GROUPS, ENGINE_THREADS, &engine);
    site.wait_for_roster();
    site.declare(GROUPS, 1);
    site.wait_for_groups(GROUPS);
    let node = &site.nodes[0];
    let idle = node.usage();
    let before = node.usage();
    let callers: Vec<_> = (0..CALLER_THREADS)
        .map(|number| start_callers(node.callers, number, rate, tokens, seconds))
        .collect();
    thread::sleep(Duration::from_secs(u64::from(seconds)) / 2);
    let loaded = node.usage();
    let reports: Vec<LoadReport> =
        callers.into_iter().map(|caller| caller.join().expect("callers end")).collect();
    let after = node.usage();
    let whole: u64 = reports.iter().map(|report| report.whole).sum();
    let cpu = after.cpu_seconds - before.cpu_seconds;
    println!("whole answers        {whole} of {}", rate * seconds);
    println!("node CPU             {cpu:.2} s");
    println!("  per request        {:.0} us", cpu * 1e6 / whole as f64);
    println!("  per token          {:.2} us", cpu * 1e6 / (whole as f64 * f64::from(tokens)));
    println!("  cores at this load {:.2}", cpu / f64::from(seconds));
    println!("node memory          {:.1} MB idle", idle.memory_bytes / 1e6);
    println!("                     {:.1} MB loaded", loaded.memory_bytes / 1e6);
    for report in reports {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    }
}

fn start_callers(
    to: std::net::SocketAddr,
    number: usize,
    rate: u32,
    tokens: u32,
    seconds: u32,
) -> thread::JoinHandle<LoadReport> {
    let threads = u32::try_from(CALLER_THREADS).unwrap_or(1);
    let settings = LoadSettings {
        to,
        service: ServiceName::from("assistant"),
        key: CUSTOMER_KEY.to_owned(),
        requests: rate * seconds / threads,
        concurrency: 10_000,
        requests_per_second: f64::from(rate / threads),
        output_tokens: tokens,
        seed: 1 + number as u64,
        ..LoadSettings::default()
    };
    thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(run_load(settings)).expect("the load is well formed")
    })
}
