//! Real processes that are stopped with a shutdown limit.

mod support;

use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use support::{
    caller::{CallerTrace, addresses_from, start_callers},
    site::{Site, SiteLayout},
};

/// Longest time that a caller retries for its answer.
const CALLER_LIMIT: Duration = Duration::from_secs(60);

fn join_all(callers: Vec<JoinHandle<CallerTrace>>) -> Vec<CallerTrace> {
    callers.into_iter().map(|caller| caller.join().unwrap()).collect()
}

/// Guards against requests that a node with a shutdown limit takes after its stop signal and cuts
/// (LOST). The late ones take 3 s.
#[test]
fn node_with_a_shutdown_limit_cuts_no_answer() {
    let layout = SiteLayout {
        name: "shutdown_limit",
        engines: 4,
        engine_flags: &["--tokens-per-second", "50"],
        shutdown_limit_ms: Some(2500),
        ..SiteLayout::default()
    };
    let mut site = Site::start_serving(&layout, 1);
    let addresses = addresses_from(site.nodes[0].callers);
    let early = start_callers(&addresses, "early", 2, 60, CALLER_LIMIT);
    thread::sleep(Duration::from_millis(500));
    site.nodes[0].process.signal("TERM");
    thread::sleep(Duration::from_millis(200));
    let late = start_callers(&addresses, "late", 4, 150, CALLER_LIMIT);
    assert_eq!(site.nodes[0].process.ended_within(Duration::from_secs(3)), Some(true));
    let mut traces = join_all(early);
    for trace in &traces {
        assert_eq!((trace.broken, trace.not_run, trace.failed.len()), (0, 0, 0), "{trace:?}");
    }
    for trace in join_all(late) {
        assert_eq!((trace.broken, trace.failed.len()), (0, 0), "{trace:?}");
        traces.push(trace);
    }
    site.assert_promises(traces, Vec::new());
}

/// Guards against a node that counts its limit from when it learns of the signal. Nobody calls it,
/// so that it ends as soon as it takes no requests any more, 1.5 s after the signal.
#[test]
fn frozen_node_counts_its_shutdown_limit_from_the_signal() {
    let layout = SiteLayout {
        name: "frozen_shutdown",
        address_validity_ms: 30_000,
        shutdown_limit_ms: Some(4000),
        ..SiteLayout::default()
    };
    let mut site = Site::start_serving(&layout, 1);
    let process = &mut site.nodes[0].process;
    process.signal("STOP");
    process.signal("TERM");
    thread::sleep(Duration::from_secs(3));
    process.signal("CONT");
    assert_eq!(process.ended_within(Duration::from_millis(1500)), Some(true));
}
