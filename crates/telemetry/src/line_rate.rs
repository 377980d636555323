//! Bounds how often each kind of line is logged.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// What makes lines the same kind: the place in the source that logs them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LineKind {
    /// The module.
    pub module: String,

    /// The line in its file.
    pub line: u32,
}

/// Settings of a [`LineRate`].
#[derive(Clone, Copy, Debug)]
pub struct LineRateSettings {
    /// Lines of one kind in each period.
    pub lines: u32,

    /// The period.
    pub period: Duration,
}

impl Default for LineRateSettings {
    fn default() -> Self {
        Self { lines: 100, period: Duration::from_secs(1) }
    }
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// It is, after `left_out` lines of its kind that were not.
    Write {
        /// Lines of the kind left out since the last one that was written.
        left_out: u64,
    },

    /// Its kind has had its lines of this period.
    LeaveOut,
}

/// Lines of one kind.
#[derive(Debug)]
struct KindCount {
    period_start: Instant,
    written: u32,
    left_out: u64,
}

/// Bounds how often each kind of line is logged.
///
/// Memory is bounded by the number of places that log, since each is one kind.
#[derive(Debug)]
pub struct LineRate {
    settings: LineRateSettings,
    counts: HashMap<LineKind, KindCount>,
}

impl LineRate {
    /// A rate that has counted nothing.
    pub fn new(settings: LineRateSettings) -> Self {
        Self { settings, counts: HashMap::new() }
    }

    /// Decides about a line and counts it.
    pub fn take(&mut self, now: Instant, kind: LineKind) -> LineVerdict {
        let fresh = KindCount { period_start: now, written: 0, left_out: 0 };
        let count = self.counts.entry(kind).or_insert(fresh);
        if now.saturating_duration_since(count.period_start) >= self.settings.period {
            count.period_start = now;
            count.written = 0;
        }
        if count.written >= self.settings.lines {
            count.left_out += 1;
            return LineVerdict::LeaveOut;
        }
        count.written += 1;
        LineVerdict::Write { left_out: std::mem::take(&mut count.left_out) }
    }
}
