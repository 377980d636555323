//! Traces of requests and summaries of failures from log lines of several nodes.

use comfreyturn_ctl::{
    MergedLog, ReadCounts, RefusalSummary, TraceQuery, draw_refusals, parse_line, read_lines,
    trace_text,
};
use serde_json::{Value, json};

/// A line as a node writes it, `at` seconds after the first one.
fn line(at: f64, node: &str, text: &str, mut fields: Value) -> String {
    fields["node"] = node.into();
    let line = json!({
        "level": "INFO",
        "timestamp": format!("2026-06-14 17:23:{:09.6} +00:00", 10.0 + at),
        "module_path": "test",
        "kv": fields,
        "text": text,
    });
    line.to_string() + "\n"
}

fn read(text: &str) -> (MergedLog, ReadCounts) {
    let (mut log, mut counts) = (MergedLog::new(), ReadCounts::default());
    read_lines(text.as_bytes(), &mut log, &mut counts, &mut |_| {}).unwrap();
    log.sort_by(|one, other| one.at.total_cmp(&other.at));
    (log, counts)
}

/// Log lines of two nodes: a refusal, a broken stream, an unknown outcome, and a request that was
/// served.
fn three_failures() -> String {
    let mut text = String::new();
    text += &line(0.0, "node-1", "config: version in force.", json!({"config_version": 7}));
    text += &line(0.1, "node-2", "config: version in force.", json!({"config_version": 7}));
    text += &line(0.2, "node-1", "forward: request served.", json!({"request": "fine"}));
    text +=
        &line(1.0, "node-2", "fleet: state.", json!({"plan": "m has 1 of 2 groups", "fencing": 3}));
    text += &line(
        1.5,
        "node-1",
        "forward: request not run.",
        json!({"request": "refused", "reason": "no-room", "heads": 1, "running": 17, "slots": 17}),
    );
    text += &line(
        2.0,
        "node-1",
        "forward: server failed.",
        json!({"request": "torn", "server": "vm-1@5", "cause": "server silent"}),
    );
    text += &line(
        2.2,
        "node-2",
        "fleet: server counts as lost.",
        json!({"server": "vm-1@5", "probes": 2}),
    );
    text += &line(
        2.3,
        "node-2",
        "fleet: order answered.",
        json!({"server": "vm-1@5", "group": "g1", "order": "leave", "outcome": "no-answer"}),
    );
    text += &line(
        2.4,
        "node-2",
        "fleet: order answered.",
        json!({"server": "vm-2@5", "group": "g1", "order": "leave", "outcome": "taken"}),
    );
    text += &line(
        2.5,
        "node-1",
        "forward: stream broken.",
        json!({"request": "torn", "server": "vm-1@5", "cause": "not sent: no-server"}),
    );
    text += &line(
        9.0,
        "node-2",
        "forward: outcome unknown.",
        json!({"request": "lost", "reason": "answer-lost", "server": "vm-9@1"}),
    );
    text
}

fn trace_of(request: &str) -> String {
    let (log, _) = read(&three_failures());
    let query = TraceQuery { request: Some(request.to_owned()), ..TraceQuery::default() };
    trace_text(&log, &query).unwrap()
}

#[test]
fn trace_of_a_refusal_includes_the_fleet_state_before_it() {
    let trace = trace_of("refused");
    assert!(trace.contains("fleet: state. fencing=3 plan=m has 1 of 2 groups"), "{trace}");
    assert!(trace.contains("reason=no-room running=17 slots=17"), "{trace}");
    assert!(trace.contains("node-1               config: version in force."), "{trace}");
    assert!(!trace.contains("vm-1@5"), "other requests' servers: {trace}");
    assert!(!trace.contains("fine") && !trace.contains("torn"), "other requests: {trace}");
}

#[test]
fn trace_of_a_broken_stream_includes_events_of_its_server_and_group() {
    let trace = trace_of("torn");
    let lines: Vec<&str> = trace.lines().collect();
    let own = lines.iter().filter(|line| line.starts_with('>')).count();
    assert_eq!(own, 2, "{trace}");
    let lost = lines.iter().position(|line| line.contains("server counts as lost")).unwrap();
    let broken = lines.iter().position(|line| line.contains("stream broken")).unwrap();
    assert!(lost < broken, "{trace}");
    assert!(trace.contains("server=vm-2@5"), "the other member of its group: {trace}");
}

#[test]
fn trace_of_an_unknown_outcome_names_the_server() {
    let trace = trace_of("lost");
    assert!(trace.contains("server=vm-9@1"), "{trace}");
    assert!(!trace.contains("vm-1@5"), "{trace}");
}

#[test]
fn request_without_log_lines_has_no_trace() {
    let (log, _) = read(&three_failures());
    let query = TraceQuery { request: Some("other".to_owned()), ..TraceQuery::default() };
    assert_eq!(trace_text(&log, &query), None);
}

#[test]
fn time_span_holds_all_lines_in_it() {
    let (log, _) = read(&three_failures());
    let query = TraceQuery { from: Some(2.1), to: Some(2.45), ..TraceQuery::default() };
    assert_eq!(trace_text(&log, &query).unwrap().lines().count(), 3);
}

#[test]
fn truncated_and_foreign_lines_are_counted_and_skipped() {
    let whole = line(0.0, "node-1", "node: runs.", json!({"left_out": 4, "dropped": 2}));
    let truncated = &whole[..whole.len() / 2];
    let mut bytes = format!("{whole}{truncated}\nsomething else\n{{\"a\": 1}}\n").into_bytes();
    bytes.extend([0xff, 0xfe, b'\n']);
    let (mut log, mut counts) = (MergedLog::new(), ReadCounts::default());
    let mut read = 0;
    read_lines(&bytes[..], &mut log, &mut counts, &mut |more| read += more).unwrap();
    assert_eq!(counts, ReadCounts { entries: 1, foreign: 4, lost: 6 });
    assert_eq!(read, u64::try_from(bytes.len()).unwrap());
}

#[test]
fn time_from_the_log_collector_takes_precedence() {
    let line = line(0.0, "node-1", "node: runs.", json!({}));
    let entry = parse_line(&format!("  12.5 node-1 {line}")).unwrap();
    assert!((entry.at - 12.5).abs() < 1e-9);
    let entry = parse_line(&line).unwrap();
    assert!(entry.at > 1e9, "seconds since 1970: {}", entry.at);
}

#[test]
fn summary_counts_failures_by_cause_and_time() {
    let (log, _) = read(&three_failures());
    let summary = RefusalSummary::new(&log, 1.0);
    let table = summary.table();
    assert!(table.contains("     1 not-run no-room\n"), "{table}");
    assert!(table.contains("     1 broken not sent: no-server\n"), "{table}");
    assert_eq!(summary.counts.len(), 3);
    assert!(summary.counts.values().all(|counts| counts.len() == 10));

    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("refusals.svg");
    draw_refusals(&summary, &file).unwrap();
    let plot = std::fs::read_to_string(&file).unwrap();
    assert!(plot.contains("not-run no-room"), "the plot names its causes");
}

#[test]
fn no_lines_make_an_empty_summary() {
    let summary = RefusalSummary::new(&[], 1.0);
    assert_eq!(summary.table(), "All requests were served.\n");
}
