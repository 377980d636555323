//! Explains the outcome of requests from the log lines of several nodes.

mod log_entry;
mod log_reader;
mod refusal_plot;
mod refusal_summary;
mod run_explain;
mod trace_text;

pub use log_entry::{LogEntry, parse_line};
pub use log_reader::{MergedLog, ReadCounts, read_lines};
pub use refusal_plot::draw_refusals;
pub use refusal_summary::{RefusalCause, RefusalSummary};
pub(crate) use run_explain::run_explain;
pub use trace_text::{TraceQuery, trace_text};
