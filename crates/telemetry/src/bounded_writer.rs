//! Writes log lines without blocking on a slow reader.

use std::{
    io::{self, Write},
    sync::{Mutex, PoisonError},
    time::Instant,
};

use flexi_logger::{DeferredNow, json_format, writers::LogWriter};
use log::{
    Record,
    kv::{Error, Key, Source, Value, VisitSource},
};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::{CallSite, LineRateLimiter, LineVerdict, LogSettings};

/// The mutable state of a writer.
struct WriterState {
    rate: LineRateLimiter,
    queue: NonBlocking,

    /// Number of dropped lines that a written line has already reported.
    reported_dropped: usize,
}

/// Writes log lines as JSON without blocking on a slow reader.
///
/// Lines are queued for a thread that writes them. While the queue is full, new lines are dropped;
/// the next line that is queued reports their number.
pub struct BoundedWriter {
    node: String,
    dropped: ErrorCounter,
    state: Mutex<WriterState>,
}

impl BoundedWriter {
    /// Creates a writer to `output`. Dropping the guard stops it, after a short wait for queued
    /// lines to be written.
    pub fn new(settings: &LogSettings, output: impl Write + Send + 'static) -> (Self, WorkerGuard) {
        let builder = NonBlockingBuilder::default().lossy(true);
        let builder = builder.buffered_lines_limit(settings.queued_lines);
        let (queue, guard) = builder.finish(output);
        let writer = Self {
            node: settings.node.clone(),
            dropped: queue.error_counter(),
            state: Mutex::new(WriterState {
                rate: LineRateLimiter::new(settings.rate),
                queue,
                reported_dropped: 0,
            }),
        };
        (writer, guard)
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = state.rate.check(Instant::now(), call_site(record));
        let LineVerdict::Write { left_out } = verdict else { return Ok(()) };
        let dropped = self.dropped.dropped_lines();
        let unreported = dropped.saturating_sub(state.reported_dropped);
        let fields = LineFields {
            own: record.key_values(),
            node: &self.node,
            left_out,
            dropped: u64::try_from(unreported).unwrap_or(u64::MAX),
        };
        let mut line = Vec::new();
        let record = record.to_builder().file(None).line(None).key_values(&fields).build();
        json_format(&mut line, now, &record)?;
        line.push(b'\n');
        state.queue.write_all(&line)?;
        if self.dropped.dropped_lines() == dropped {
            state.reported_dropped = dropped;
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn call_site(record: &Record) -> CallSite {
    CallSite {
        module: record.module_path().unwrap_or_default().to_owned(),
        line: record.line().unwrap_or_default(),
    }
}

/// The fields of a line: its own, and those that the writer adds.
struct LineFields<'a> {
    own: &'a dyn Source,
    node: &'a str,

    /// Written only if it is not zero.
    left_out: u64,

    /// Written only if it is not zero.
    dropped: u64,
}

impl Source for LineFields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), Error> {
        self.own.visit(visitor)?;
        visitor.visit_pair(Key::from_str("node"), Value::from(self.node))?;
        if self.left_out > 0 {
            visitor.visit_pair(Key::from_str("left_out"), Value::from(self.left_out))?;
        }
        if self.dropped > 0 {
            visitor.visit_pair(Key::from_str("dropped"), Value::from(self.dropped))?;
        }
        Ok(())
    }
}
