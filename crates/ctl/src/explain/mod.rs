//! Explaining what became of requests, from the log lines of several nodes.

mod log_entry;
mod log_reader;
mod refusal_plot;
mod refusal_summary;
mod run_explain;
mod story_text;

pub use log_entry::{LogEntry, parse_line};
pub use log_reader::{LogRecord, ReadCounts, read_lines};
pub use refusal_plot::draw_refusals;
pub use refusal_summary::{RefusalCause, RefusalSummary};
pub(crate) use run_explain::run_explain;
pub use story_text::{StoryQuery, story_text};
