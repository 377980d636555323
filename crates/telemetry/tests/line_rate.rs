//! How often lines of one kind are written.

use std::time::{Duration, Instant};

use comfreyturn_telemetry::{LineKind, LineRate, LineRateSettings, LineVerdict};

const PERIOD: Duration = Duration::from_secs(1);

fn rate_of(lines: u32) -> LineRate {
    LineRate::new(LineRateSettings { lines, period: PERIOD })
}

fn kind(line: u32) -> LineKind {
    LineKind { module: "forward".to_owned(), line }
}

#[test]
fn lines_over_the_rate_are_left_out_and_told_of() {
    let mut rate = rate_of(2);
    let start = Instant::now();
    for _ in 0..2 {
        assert_eq!(rate.take(start, kind(1)), LineVerdict::Write { left_out: 0 });
    }
    for _ in 0..5 {
        assert_eq!(rate.take(start, kind(1)), LineVerdict::LeaveOut);
    }
    let later = start + PERIOD;
    assert_eq!(rate.take(later, kind(1)), LineVerdict::Write { left_out: 5 });
    assert_eq!(rate.take(later, kind(1)), LineVerdict::Write { left_out: 0 });
}

#[test]
fn one_kind_leaves_no_other_out() {
    let mut rate = rate_of(1);
    let start = Instant::now();
    assert_eq!(rate.take(start, kind(1)), LineVerdict::Write { left_out: 0 });
    assert_eq!(rate.take(start, kind(1)), LineVerdict::LeaveOut);
    assert_eq!(rate.take(start, kind(2)), LineVerdict::Write { left_out: 0 });
}
