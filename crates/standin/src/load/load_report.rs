//! Results of a load.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Longest latency that the histograms record, in microseconds.
const LONGEST_LATENCY_US: u64 = 600_000_000;

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// How one request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadOutcome {
    /// The answer was complete and correct.
    Whole,
    /// Not run, because of a limit or overload.
    Refused,
    /// Not run for any other reason; also if no node accepted the connection.
    NotRun,
    /// The answer says that the request may have run, or ended early without an error, or took too
    /// long.
    Unknown,
    /// The request ran and ended in an error.
    Failed,
    /// The answer's text differs from the output of this request's prompt.
    Wrong,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The median.
    pub p50: f64,

    /// The 95th percentile.
    pub p95: f64,

    /// The 99th percentile.
    pub p99: f64,
}

/// Results of a load. Each request counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Answers that were complete and correct.
    pub whole: u64,

    /// Requests not run because of a limit or overload.
    pub refused: u64,

    /// Requests not run for any other reason.
    pub not_run: u64,

    /// Requests that may have run.
    pub unknown: u64,

    /// Requests that ran and ended in an error.
    pub failed: u64,

    /// Answers whose text differs from the output of their prompt.
    pub wrong: u64,

    /// From the caller's arrival to its first token.
    pub first_token_ms: LatencySummary,

    /// Between consecutive tokens of an answer.
    pub between_tokens_ms: LatencySummary,
}

/// Counts and latencies of a running load.
pub(crate) struct LoadTally {
    report: LoadReport,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

impl LoadTally {
    /// An empty tally.
    pub(crate) fn new() -> Self {
        Self {
            report: LoadReport::default(),
            first_token: latencies(),
            between_tokens: latencies(),
        }
    }

    /// Counts the outcome of a request.
    pub(crate) fn record_outcome(&mut self, outcome: LoadOutcome) {
        let report = &mut self.report;
        let count = match outcome {
            LoadOutcome::Whole => &mut report.whole,
            LoadOutcome::Refused => &mut report.refused,
            LoadOutcome::NotRun => &mut report.not_run,
            LoadOutcome::Unknown => &mut report.unknown,
            LoadOutcome::Failed => &mut report.failed,
            LoadOutcome::Wrong => &mut report.wrong,
        };
        *count += 1;
    }

    /// Records the latency of a first token.
    pub(crate) fn record_first_token(&mut self, latency: Duration) {
        self.first_token.saturating_record(microseconds(latency));
    }

    /// Records the time between a token and the one before it.
    pub(crate) fn record_next_token(&mut self, latency: Duration) {
        self.between_tokens.saturating_record(microseconds(latency));
    }

    /// The report of what was counted.
    pub(crate) fn report(&self) -> LoadReport {
        LoadReport {
            first_token_ms: summary(&self.first_token),
            between_tokens_ms: summary(&self.between_tokens),
            ..self.report
        }
    }
}

fn latencies() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_LATENCY_US, LATENCY_DIGITS)
        .expect("the histogram accepts the constant bounds")
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn summary(histogram: &Histogram<u64>) -> LatencySummary {
    let milliseconds = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencySummary { p50: milliseconds(0.5), p95: milliseconds(0.95), p99: milliseconds(0.99) }
}
