//! The log does not block when its reader stops reading, and reports lost lines.

use std::{
    io::{BufRead, BufReader, Read},
    sync::mpsc,
    time::{Duration, Instant},
};

use comfreyturn_telemetry::{BoundedWriter, LineRateSettings, LogSettings};
use flexi_logger::{DeferredNow, writers::LogWriter};
use log::{Level, Record};
use serde_json::Value;

const LINES: usize = 5_000;

/// Well above the time that queueing takes; a writer that waits for the reader never finishes.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

fn settings() -> LogSettings {
    LogSettings {
        node: "node-1".to_owned(),
        queued_lines: 100,
        rate: LineRateSettings { lines: u32::MAX, ..LineRateSettings::default() },
        ..LogSettings::default()
    }
}

fn write(writer: &BoundedWriter, number: usize) {
    let fields = [("request", number)];
    let record = Record::builder()
        .args(format_args!("forward: request not run."))
        .level(Level::Info)
        .module_path(Some("test"))
        .line(Some(1))
        .key_values(&fields)
        .build();
    writer.write(&mut DeferredNow::new(), &record).unwrap();
}

fn parse(line: &str) -> Value {
    serde_json::from_str(line).unwrap_or_else(|_| panic!("no JSON: {line:?}"))
}

#[test]
fn writer_does_not_block_on_its_reader_and_reports_dropped_lines() {
    let (reader, pipe) = std::io::pipe().unwrap();
    let (writer, guard) = BoundedWriter::new(&settings(), pipe);
    let started_at = Instant::now();
    (0..LINES).for_each(|number| write(&writer, number));
    assert!(started_at.elapsed() < WRITE_LIMIT, "the writer blocked on its reader");

    let (sender, lines) = mpsc::channel();
    let reading = std::thread::spawn(move || {
        for line in BufReader::new(reader).lines() {
            sender.send(parse(&line.unwrap())).unwrap();
        }
    });
    let first = lines.recv().unwrap();
    assert_eq!(first["kv"]["request"], 0);
    assert_eq!(first["kv"]["node"], "node-1");
    assert_eq!(first["text"], "forward: request not run.");
    assert_eq!(first["kv"].get("dropped"), None);

    std::thread::sleep(Duration::from_millis(200));
    write(&writer, LINES);
    drop((writer, guard));
    reading.join().unwrap();
    let lines: Vec<_> = std::iter::once(first).chain(lines.iter()).collect();
    assert_eq!(lines.last().unwrap()["kv"]["request"], LINES, "the last line was queued");
    let dropped: u64 = lines.iter().filter_map(|line| line["kv"]["dropped"].as_u64()).sum();
    assert!(dropped > 0, "the queue has no bound");
    assert_eq!(usize::try_from(dropped).unwrap(), LINES + 1 - lines.len());
}

#[test]
fn next_written_line_reports_suppressed_lines() {
    let (mut reader, pipe) = std::io::pipe().unwrap();
    let rate = LineRateSettings { lines: 1, period: Duration::from_millis(100) };
    let settings = LogSettings { rate, ..settings() };
    let (writer, guard) = BoundedWriter::new(&settings, pipe);
    (0..4).for_each(|number| write(&writer, number));
    std::thread::sleep(rate.period);
    write(&writer, 4);
    drop((writer, guard));
    let mut text = String::new();
    reader.read_to_string(&mut text).unwrap();
    let lines: Vec<_> = text.lines().map(parse).collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert_eq!(lines[1]["kv"]["left_out"], 3);
}
