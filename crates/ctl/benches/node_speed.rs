//! CPU and memory of one node under its share of the target load, and the latency that it adds.
//!
//! `cargo bench -p comfreyturn_ctl --bench node_speed -- 250 220 20`
//!
//! The arguments are requests per second, tokens per answer, and seconds of load. Engines and callers
//! run in this process, the node in a separate one. With `echo` as a further argument the callers
//! call a bare server on the same runtime instead, which generates the same events itself. The
//! remaining latency is then that of the callers and the machine, and the CPU time is a lower bound
//! for serving callers without any engine.

mod support;

use std::{net::SocketAddr, thread, time::Duration};

use comfreyturn_standin::{EngineSettings, LoadReport, LoadSettings, run_load};
use comfreyturn_types::ServiceName;
use compio::runtime::Runtime;
use support::{BenchSite, CUSTOMER_KEY, EchoServer};

/// Groups of one VM each.
const GROUPS: usize = 8;

/// Requests that an engine runs at once, and also the number that it queues.
const BATCH_CAPACITY: u32 = 512;

/// Threads that the engines share.
const ENGINE_THREADS: usize = 4;

/// Threads that send requests.
const CALLER_THREADS: usize = 4;

/// Tokens per second of each stream.
const STREAM_RATE: f64 = 50.0;

fn main() {
    let numbers: Vec<u32> = std::env::args().filter_map(|text| text.parse().ok()).collect();
    let [rate, tokens, seconds] = numbers[..] else {
        println!("usage: node_speed REQUESTS-A-SECOND TOKENS SECONDS [echo]");
        return;
    };
    let load = SpeedLoad { rate, tokens, seconds };
    if std::env::args().any(|text| text == "echo") {
        measure_echo(&load);
    } else {
        measure_node(&load);
    }
}

/// The load of a run.
struct SpeedLoad {
    rate: u32,
    tokens: u32,
    seconds: u32,
}

fn measure_node(load: &SpeedLoad) {
    let engine = EngineSettings {
        tokens_per_second: STREAM_RATE,
        batch_capacity: BATCH_CAPACITY,
        queue_capacity: BATCH_CAPACITY,
        ..EngineSettings::default()
    };
    let site = BenchSite::start("node-speed", 1, GROUPS, ENGINE_THREADS, &engine);
    site.wait_for_roster();
    site.declare(GROUPS, 1);
    site.wait_for_groups(GROUPS);
    let node = &site.nodes[0];
    let before = node.usage();
    let callers = start_all_callers(node.callers, load);
    thread::sleep(Duration::from_secs(u64::from(load.seconds)) / 2);
    let loaded = node.usage();
    let reports = join_all(callers);
    let after = node.usage();
    print_cpu(load, after.cpu_seconds - before.cpu_seconds, &reports);
    println!("memory idle          {:.1} MB", before.memory_bytes / 1e6);
    println!("memory loaded        {:.1} MB", loaded.memory_bytes / 1e6);
}

fn measure_echo(load: &SpeedLoad) {
    let server = EchoServer::start(STREAM_RATE);
    let before = server.cpu_seconds();
    let reports = join_all(start_all_callers(server.address, load));
    print_cpu(load, server.cpu_seconds() - before, &reports);
}

fn print_cpu(load: &SpeedLoad, cpu: f64, reports: &[LoadReport]) {
    let whole: u64 = reports.iter().map(|report| report.whole).sum();
    println!("whole answers        {whole} of {}", load.rate * load.seconds);
    println!("CPU                  {cpu:.2} s");
    println!("  per request        {:.0} us", cpu * 1e6 / whole as f64);
    println!("  per token          {:.2} us", cpu * 1e6 / (whole as f64 * f64::from(load.tokens)));
    println!("  cores at this load {:.2}", cpu / f64::from(load.seconds));
    for report in reports {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
    }
}

fn join_all(callers: Vec<thread::JoinHandle<LoadReport>>) -> Vec<LoadReport> {
    callers.into_iter().map(|caller| caller.join().expect("callers end")).collect()
}

fn start_all_callers(to: SocketAddr, load: &SpeedLoad) -> Vec<thread::JoinHandle<LoadReport>> {
    (0..CALLER_THREADS).map(|number| start_callers(to, number, load)).collect()
}

fn start_callers(
    to: SocketAddr,
    number: usize,
    load: &SpeedLoad,
) -> thread::JoinHandle<LoadReport> {
    let threads = u32::try_from(CALLER_THREADS).unwrap_or(1);
    let settings = LoadSettings {
        to,
        service: ServiceName::from("assistant"),
        key: CUSTOMER_KEY.to_owned(),
        requests: load.rate * load.seconds / threads,
        concurrency: 10_000,
        requests_per_second: f64::from(load.rate) / f64::from(threads),
        output_tokens: load.tokens,
        seed: 1 + number as u64,
        ..LoadSettings::default()
    };
    thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(run_load(settings)).expect("the load is well formed")
    })
}
