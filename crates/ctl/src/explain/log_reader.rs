//! Reading the logs of several nodes.

use std::io::{self, BufRead};

use super::{LogEntry, parse_line};

/// What was read, in order of time.
pub type LogRecord = Vec<LogEntry>;

/// Lines that were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Lines of nodes.
    pub entries: u64,

    /// Lines that no node wrote, or that are torn. They are passed over.
    pub foreign: u64,

    /// Lines that nodes say they left out or dropped.
    pub lost: u64,
}

/// Reads lines to the end of `input` and adds those of nodes to `record`. `progress` is told how
/// many bytes each line took.
///
/// # Errors
///
/// If the input cannot be read. Bytes that are no text make a foreign line.
pub fn read_lines(
    mut input: impl BufRead,
    record: &mut LogRecord,
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
                record.push(entry);
            }
            None => counts.foreign += 1,
        }
    }
}

fn lost_lines(entry: &LogEntry) -> u64 {
    let number = |name: &str| entry.fields.get(name).and_then(serde_json::Value::as_u64);
    number("left_out").unwrap_or(0) + number("dropped").unwrap_or(0)
}
