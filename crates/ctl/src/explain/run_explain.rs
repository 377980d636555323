//! The verb `explain`.

use std::{
    fs::File,
    io::{self, BufReader, IsTerminal},
    path::Path,
};

use indicatif::{ProgressBar, ProgressStyle};

use super::{
    MergedLog, ReadCounts, RefusalSummary, TraceQuery, draw_refusals, read_lines, trace_text,
};
use crate::{CtlError, Result, command_line::Explain};

/// Input size from which progress is shown, in bytes.
const LARGE_INPUT: u64 = 16 * 1024 * 1024;

/// Length of a time slot of the summary, in seconds.
const SLOT_S: f64 = 1.0;

/// Prints the trace that the flags select, or a summary of requests that were not served.
pub(crate) fn run_explain(flags: &Explain) -> Result<()> {
    let (log, counts) = read_all(flags)?;
    let ReadCounts { entries, foreign, lost } = counts;
    eprintln!("{entries} lines of nodes, {foreign} others, {lost} that nodes left out.");
    let summary = RefusalSummary::new(&log, SLOT_S);
    if let Some(file) = &flags.svg {
        let drawn = draw_refusals(&summary, file);
        drawn.map_err(|error| unreadable(file, io::Error::other(error)))?;
    }
    let query = TraceQuery { request: flags.request.clone(), from: flags.since, to: flags.until };
    if query == TraceQuery::default() {
        print!("{}", summary.table());
        return Ok(());
    }
    let Some(trace) = trace_text(&log, &query) else {
        let subject = query.request.map_or_else(
            || "a log line in this time".to_owned(),
            |request| format!("a log line of request {request}"),
        );
        return Err(CtlError::NotFound { subject });
    };
    print!("{trace}");
    Ok(())
}

fn read_all(flags: &Explain) -> Result<(MergedLog, ReadCounts)> {
    let (mut log, mut counts) = (MergedLog::new(), ReadCounts::default());
    if flags.files.is_empty() {
        let input = io::stdin().lock();
        let read = read_lines(input, &mut log, &mut counts, &mut |_| {});
        read.map_err(|error| unreadable(Path::new("standard input"), error))?;
    }
    for file in &flags.files {
        let input = File::open(file).map_err(|error| unreadable(file, error))?;
        let size = input.metadata().map_or(0, |data| data.len());
        let bar = progress_bar(size);
        let read = read_lines(BufReader::new(input), &mut log, &mut counts, &mut |bytes| {
            bar.inc(bytes);
        });
        bar.finish_and_clear();
        read.map_err(|error| unreadable(file, error))?;
    }
    log.sort_by(|one, other| one.at.total_cmp(&other.at));
    Ok((log, counts))
}

fn progress_bar(size: u64) -> ProgressBar {
    if size < LARGE_INPUT || !io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {bytes} of {total_bytes}, {eta} left");
    ProgressBar::new(size).with_style(style.expect("the template is a constant"))
}

fn unreadable(file: &Path, source: io::Error) -> CtlError {
    CtlError::Unreadable { file: file.to_owned(), source }
}
