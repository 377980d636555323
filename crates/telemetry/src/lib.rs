//! Logging and metrics of a process, the same for `comfreyturn run` and `comfreyturn platform`.
//!
//! Start with [`start_logging`] and keep its [`LogGuard`] until the process ends.

mod bounded_writer;
mod line_rate_limiter;
mod log_settings;
mod node_recorder;

pub use crate::{
    bounded_writer::BoundedWriter,
    line_rate_limiter::{CallSite, LineRateLimiter, LineRateSettings, LineVerdict},
    log_settings::{LogGuard, LogSettings, start_logging},
    node_recorder::node_recorder,
};
