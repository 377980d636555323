//! The operators' command line, `comfreyturnctl`, as a library that its tests can call.
//!
//! - `command_line` is the grammar; `dispatch` runs a verb.
//! - `operator/` implements the verbs that call a node's operator service; [`IntentFile`] is the
//!   file that `apply` reads.
//! - `explain/` reads nodes' logs and explains the outcome of requests.
//! - `standin/` runs stand-ins as separate processes, `lab/` runs a whole system in one process, and
//!   `load_verb` runs the load generator.
//!
//! Results go to standard output, as text or as one line of JSON; progress and errors go to
//! standard error. Exit codes are those of [`CtlError::exit_code`].

mod command_line;
mod ctl_error;
mod dispatch;
mod entity_change;
mod entity_fields;
mod explain;
mod intent_file;
mod lab;
mod load_verb;
mod operator;
mod standin;
mod stop_signals;
mod text_table;

pub use ctl_error::*;
pub use dispatch::run_command_line;
pub use entity_change::*;
pub use entity_fields::*;
pub use explain::{
    LogEntry, MergedLog, ReadCounts, RefusalCause, RefusalSummary, TraceQuery, draw_refusals,
    parse_line, read_lines, trace_text,
};
pub use intent_file::*;
pub use text_table::*;
