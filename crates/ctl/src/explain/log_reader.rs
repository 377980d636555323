//! Reads the logs of several nodes.

use std::io::{self, BufRead};

use super::{LogEntry, parse_line};

/// Log entries of several nodes. [`read_lines`] appends in the order of its input; other functions
/// expect the entries in order of time.
pub type MergedLog = Vec<LogEntry>;

/// Numbers of lines that were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Log lines of nodes.
    pub entries: u64,

    /// Lines that are truncated or not a node's. They are skipped.
    pub foreign: u64,

    /// Lines that nodes report as left out or dropped.
    pub lost: u64,
}

/// Reads lines to the end of `input` and appends those of nodes to `log`. Calls `progress` with the
/// size of each line in bytes.
///
/// # Errors
///
/// If the input cannot be read. A line that is not UTF-8 counts as foreign.
pub fn read_lines(
    mut input: impl BufRead,
    log: &mut MergedLog,
    counts: &mut ReadCounts,
    progress: &mut dyn FnMut(u64),
) -> io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let read = input.read_until(b'\n', &mut bytes)?;
        if read == 0 {
            return Ok(());
        }
        progress(u64::try_from(read).unwrap_or(u64::MAX));
        match std::str::from_utf8(&bytes).ok().and_then(parse_line) {
            Some(entry) => {
                counts.entries += 1;
                counts.lost += lost_lines(&entry);
                log.push(entry);
            }
            None => counts.foreign += 1,
        }
    }
}

fn lost_lines(entry: &LogEntry) -> u64 {
    let number = |name: &str| entry.fields.get(name).and_then(serde_json::Value::as_u64);
    number("left_out").unwrap_or(0) + number("dropped").unwrap_or(0)
}
