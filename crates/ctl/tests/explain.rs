//! From a request's id to its cause, in log lines of several nodes.

use comfreyturn_ctl::{
    LogRecord, ReadCounts, RefusalSummary, StoryQuery, draw_refusals, parse_line, read_lines,
    story_text,
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

fn read(text: &str) -> (LogRecord, ReadCounts) {
    let (mut record, mut counts) = (LogRecord::new(), ReadCounts::default());
    read_lines(text.as_bytes(), &mut record, &mut counts, &mut |_| {}).unwrap();
    record.sort_by(|one, other| one.at.total_cmp(&other.at));
    (record, counts)
}

/// A refusal, a broken stream and an unknown outcome at two nodes, beside requests that were
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

fn story_of(request: &str) -> String {
    let (record, _) = read(&three_failures());
    let query = StoryQuery { request: Some(request.to_owned()), ..StoryQuery::default() };
    story_text(&record, &query).unwrap()
}

#[test]
fn refusal_is_told_with_the_state_of_the_fleet_before_it() {
    let story = story_of("refused");
    assert!(story.contains("fleet: state. fencing=3 plan=m has 1 of 2 groups"), "{story}");
    assert!(story.contains("reason=no-room running=17 slots=17"), "{story}");
    assert!(story.contains("node-1               config: version in force."), "{story}");
    assert!(!story.contains("vm-1@5"), "other requests' servers: {story}");
    assert!(!story.contains("fine") && !story.contains("torn"), "other requests: {story}");
}

#[test]
fn broken_stream_is_told_with_what_befell_its_server_and_group() {
    let story = story_of("torn");
    let lines: Vec<&str> = story.lines().collect();
    let own = lines.iter().filter(|line| line.starts_with('>')).count();
    assert_eq!(own, 2, "{story}");
    let lost = lines.iter().position(|line| line.contains("server counts as lost")).unwrap();
    let broken = lines.iter().position(|line| line.contains("stream broken")).unwrap();
    assert!(lost < broken, "{story}");
    assert!(story.contains("server=vm-2@5"), "the other member of its group: {story}");
}

#[test]
fn unknown_outcome_names_the_server_that_knows() {
    let story = story_of("lost");
    assert!(story.contains("server=vm-9@1"), "{story}");
    assert!(!story.contains("vm-1@5"), "{story}");
}

#[test]
fn request_that_no_line_names_has_no_story() {
    let (record, _) = read(&three_failures());
    let query = StoryQuery { request: Some("other".to_owned()), ..StoryQuery::default() };
    assert_eq!(story_text(&record, &query), None);
}

#[test]
fn time_span_holds_all_lines_in_it() {
    let (record, _) = read(&three_failures());
    let query = StoryQuery { from: Some(2.1), to: Some(2.45), ..StoryQuery::default() };
    assert_eq!(story_text(&record, &query).unwrap().lines().count(), 3);
}

#[test]
fn torn_and_foreign_lines_are_counted_and_passed_over() {
    let whole = line(0.0, "node-1", "node: runs.", json!({"left_out": 4, "dropped": 2}));
    let torn = &whole[..whole.len() / 2];
    let mut bytes = format!("{whole}{torn}\nsomething else\n{{\"a\": 1}}\n").into_bytes();
    bytes.extend([0xff, 0xfe, b'\n']);
    let (mut record, mut counts) = (LogRecord::new(), ReadCounts::default());
    let mut read = 0;
    read_lines(&bytes[..], &mut record, &mut counts, &mut |more| read += more).unwrap();
    assert_eq!(counts, ReadCounts { entries: 1, foreign: 4, lost: 6 });
    assert_eq!(read, u64::try_from(bytes.len()).unwrap());
}

#[test]
fn time_that_a_collector_put_before_a_line_goes_before_the_nodes_own() {
    let line = line(0.0, "node-1", "node: runs.", json!({}));
    let entry = parse_line(&format!("  12.5 node-1 {line}")).unwrap();
    assert!((entry.at - 12.5).abs() < 1e-9);
    let entry = parse_line(&line).unwrap();
    assert!(entry.at > 1e9, "seconds since 1970: {}", entry.at);
}

#[test]
fn summary_counts_bad_ends_by_cause_and_time() {
    let (record, _) = read(&three_failures());
    let summary = RefusalSummary::new(&record, 1.0);
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
