//! The operators' command line, `comfreyturnctl`, as a library that its tests can call.
//!
//! - `command_line` is the grammar; `dispatch` runs a verb.
//! - `operator/` are the verbs over the operators' remote procedure calls; [`IntentFile`] is what
//!   `apply` reads.
//! - `standin/` runs stand-ins as processes of their own, `lab/` everything in one process, and
//!   `load_verb` the load generator.
//!
//! Answers go to standard output, for people or as one line of JSON; progress and errors go to
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
    LogEntry, LogRecord, ReadCounts, RefusalCause, RefusalSummary, StoryQuery, draw_refusals,
    parse_line, read_lines, story_text,
};
pub use intent_file::*;
pub use text_table::*;
