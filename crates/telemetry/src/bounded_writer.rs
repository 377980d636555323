//! Writes log lines without ever waiting for their reader.

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

use crate::{LineKind, LineRate, LineVerdict, LogSettings};

/// What was written last, behind one lock.
struct WriterState {
    rate: LineRate,
    queue: NonBlocking,

    /// Lines dropped from the queue that a written line has told of.
    told_dropped: usize,
}

/// Writes log lines as JSON, without ever waiting for their reader.
///
/// Lines wait in a queue for a thread that writes them. When the queue is full, lines are dropped;
/// the next one that finds room says how many.
pub struct BoundedWriter {
    node: String,
    dropped: ErrorCounter,
    state: Mutex<WriterState>,
}

impl BoundedWriter {
    /// A writer to `output`. It writes until the guard is dropped, which then waits for a moment
    /// for the last lines.
    pub fn new(settings: &LogSettings, output: impl Write + Send + 'static) -> (Self, WorkerGuard) {
        let builder = NonBlockingBuilder::default().lossy(true);
        let builder = builder.buffered_lines_limit(settings.queued_lines);
        let (queue, guard) = builder.finish(output);
        let writer = Self {
            node: settings.node.clone(),
            dropped: queue.error_counter(),
            state: Mutex::new(WriterState {
                rate: LineRate::new(settings.rate),
                queue,
                told_dropped: 0,
            }),
        };
        (writer, guard)
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = state.rate.take(Instant::now(), kind_of(record));
        let LineVerdict::Write { left_out } = verdict else { return Ok(()) };
        let dropped = self.dropped.dropped_lines();
        let untold = dropped.saturating_sub(state.told_dropped);
        let fields = LineFields {
            own: record.key_values(),
            node: &self.node,
            left_out,
            dropped: u64::try_from(untold).unwrap_or(u64::MAX),
        };
        let mut line = Vec::new();
        let record = record.to_builder().file(None).line(None).key_values(&fields).build();
        json_format(&mut line, now, &record)?;
        line.push(b'\n');
        state.queue.write_all(&line)?;
        if self.dropped.dropped_lines() == dropped {
            state.told_dropped = dropped;
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn kind_of(record: &Record) -> LineKind {
    LineKind {
        module: record.module_path().unwrap_or_default().to_owned(),
        line: record.line().unwrap_or_default(),
    }
}

/// The fields of a line, with those that every line has.
struct LineFields<'a> {
    own: &'a dyn Source,
    node: &'a str,

    /// Told only if it is not zero.
    left_out: u64,

    /// Told only if it is not zero.
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
