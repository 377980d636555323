//! CPU, memory and traffic of an idle node's control plane, by number of nodes and backend servers.
//!
//! `cargo bench -p comfreyturn_ctl --bench control_cost -- 3x60 9x60 9x500`
//!
//! Each argument is nodes x backend servers. Nodes are separate processes; CPU and memory come from
//! `/proc`, bytes from the nodes' own counters, which leave out TCP and IP headers. All nodes start
//! at once and join one at a time; the join time is given per node. At most [`MAX_GROUPS`] groups
//! are formed, the other backend servers are idle.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use comfreyturn_standin::EngineSettings;
use support::{BenchSite, NodeUsage};

/// Time to settle after the start, before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Number of measurements of each shape.
const MEASUREMENTS: usize = 2;

/// Duration of a measurement.
const MEASURE_TIME: Duration = Duration::from_secs(15);

/// VMs in each group.
const VMS_PER_GROUP: usize = 2;

/// Maximum number of groups.
const MAX_GROUPS: usize = 100;

/// Threads that the backend servers share.
const ENGINE_THREADS: usize = 2;

fn main() {
    let shapes: Vec<(usize, usize)> = std::env::args().filter_map(|text| shape(&text)).collect();
    println!(
        "nodes  servers  groups  s per join  cpu % of a core  memory MB  sent B/s  received B/s  \
         table reads/s  commits/s"
    );
    for (nodes, servers) in shapes {
        measure(nodes, servers);
    }
}

fn shape(text: &str) -> Option<(usize, usize)> {
    let (nodes, servers) = text.split_once('x')?;
    Some((nodes.parse().ok()?, servers.parse().ok()?))
}

fn measure(nodes: usize, servers: usize) {
    let name = format!("control-cost-{nodes}-{servers}");
    let engine =
        EngineSettings { member_period: Duration::from_secs(3600), ..EngineSettings::default() };
    let site = BenchSite::start(&name, nodes, servers, ENGINE_THREADS, &engine);
    let started = Instant::now();
    site.wait_for_roster();
    let join_time = started.elapsed().as_secs_f64() / nodes as f64;
    let groups = MAX_GROUPS.min(servers / VMS_PER_GROUP);
    site.declare(groups, VMS_PER_GROUP);
    site.wait_for_groups(groups);
    thread::sleep(SETTLE_TIME);
    for _ in 0..MEASUREMENTS {
        print!("{nodes:>5}  {servers:>7}  {groups:>6}  {join_time:>10.2}  ");
        measure_once(&site);
    }
}

fn measure_once(site: &BenchSite) {
    let before: Vec<NodeUsage> = site.nodes.iter().map(|node| node.usage()).collect();
    let table_before = site.table_calls();
    thread::sleep(MEASURE_TIME);
    let after: Vec<NodeUsage> = site.nodes.iter().map(|node| node.usage()).collect();
    let table_after = site.table_calls();
    let seconds = MEASURE_TIME.as_secs_f64();
    let nodes = site.nodes.len() as f64;
    let rate = |used: fn(&NodeUsage) -> f64| {
        let used_by = before.iter().zip(&after).map(|(before, after)| used(after) - used(before));
        used_by.sum::<f64>() / seconds / nodes
    };
    let memory = after.iter().map(|usage| usage.memory_bytes).sum::<f64>() / nodes;
    println!(
        "{:>15.2}  {:>9.1}  {:>8.0}  {:>12.0}  {:>13.1}  {:>9.1}",
        100.0 * rate(|usage| usage.cpu_seconds),
        memory / 1e6,
        rate(|usage| usage.sent_bytes),
        rate(|usage| usage.received_bytes),
        (table_after.0 - table_before.0) / seconds,
        (table_after.1 - table_before.1) / seconds,
    );
}
