//! Log lines and metrics of a process, the same in both modes of the product.
//!
//! Start with [`start_logging`] and keep its [`LogGuard`] until the process ends.

mod bounded_writer;
mod line_rate;
mod log_settings;
mod node_recorder;

pub use crate::{
    bounded_writer::BoundedWriter,
    line_rate::{LineKind, LineRate, LineRateSettings, LineVerdict},
    log_settings::{LogGuard, LogSettings, start_logging},
    node_recorder::node_recorder,
};
