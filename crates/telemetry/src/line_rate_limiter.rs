//! Limits how often each call site logs a line.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A place in the source that logs lines.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallSite {
    /// Path of the module.
    pub module: String,

    /// Line number in its file.
    pub line: u32,
}

/// Settings of a [`LineRateLimiter`].
#[derive(Clone, Copy, Debug)]
pub struct LineRateSettings {
    /// Maximum number of lines that one call site writes per period.
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
    /// The line is written.
    Write {
        /// Suppressed lines of the same call site since its last written line.
        left_out: u64,
    },

    /// The line is suppressed: its call site has reached its limit for this period.
    Suppress,
}

/// Counts of the lines of one call site.
#[derive(Debug)]
struct LineCount {
    period_start: Instant,
    written: u32,
    left_out: u64,
}

/// Limits how often each call site logs a line.
///
/// Memory is bounded by the number of call sites in the program.
#[derive(Debug)]
pub struct LineRateLimiter {
    settings: LineRateSettings,
    counts: HashMap<CallSite, LineCount>,
}

impl LineRateLimiter {
    /// Creates a limiter that has not counted any line.
    pub fn new(settings: LineRateSettings) -> Self {
        Self { settings, counts: HashMap::new() }
    }

    /// Counts a line and decides whether it is written.
    pub fn check(&mut self, now: Instant, site: CallSite) -> LineVerdict {
        let fresh = LineCount { period_start: now, written: 0, left_out: 0 };
        let count = self.counts.entry(site).or_insert(fresh);
        if now.saturating_duration_since(count.period_start) >= self.settings.period {
            count.period_start = now;
            count.written = 0;
        }
        if count.written >= self.settings.lines {
            count.left_out += 1;
            return LineVerdict::Suppress;
        }
        count.written += 1;
        LineVerdict::Write { left_out: std::mem::take(&mut count.left_out) }
    }
}
