//! The verb `explain`.

use std::{
    fs::File,
    io::{self, BufReader, IsTerminal},
    path::Path,
};

use indicatif::{ProgressBar, ProgressStyle};

use super::{
    LogRecord, ReadCounts, RefusalSummary, StoryQuery, draw_refusals, read_lines, story_text,
};
use crate::{CtlError, Result, command_line::Explain};

/// Inputs above this size show how far they are read, in bytes.
const LARGE_INPUT: u64 = 16 * 1024 * 1024;

/// Length of a time slot of the summary, in seconds.
const SLOT_S: f64 = 1.0;

/// Prints the story that the flags ask for, or a summary of requests that were not served.
pub(crate) fn run_explain(flags: &Explain) -> Result<()> {
    let (record, counts) = read_all(flags)?;
    let ReadCounts { entries, foreign, lost } = counts;
    eprintln!("{entries} lines of nodes, {foreign} others, {lost} that nodes left out.");
    let summary = RefusalSummary::new(&record, SLOT_S);
    if let Some(file) = &flags.svg {
        let drawn = draw_refusals(&summary, file);
        drawn.map_err(|error| unreadable(file, io::Error::other(error)))?;
    }
    let query = StoryQuery { request: flags.request.clone(), from: flags.since, to: flags.until };
    if query == StoryQuery::default() {
        print!("{}", summary.table());
        return Ok(());
    }
    let Some(story) = story_text(&record, &query) else {
        let subject = query.request.map_or_else(
            || "a log line in this time".to_owned(),
            |request| format!("a log line of request {request}"),
        );
        return Err(CtlError::NotFound { subject });
    };
    print!("{story}");
    Ok(())
}

fn read_all(flags: &Explain) -> Result<(LogRecord, ReadCounts)> {
    let (mut record, mut counts) = (LogRecord::new(), ReadCounts::default());
    if flags.files.is_empty() {
        let input = io::stdin().lock();
        let read = read_lines(input, &mut record, &mut counts, &mut |_| {});
        read.map_err(|error| unreadable(Path::new("standard input"), error))?;
    }
    for file in &flags.files {
        let input = File::open(file).map_err(|error| unreadable(file, error))?;
        let size = input.metadata().map_or(0, |data| data.len());
        let bar = progress_bar(size);
        let read = read_lines(BufReader::new(input), &mut record, &mut counts, &mut |bytes| {
            bar.inc(bytes);
        });
        bar.finish_and_clear();
        read.map_err(|error| unreadable(file, error))?;
    }
    record.sort_by(|one, other| one.at.total_cmp(&other.at));
    Ok((record, counts))
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
