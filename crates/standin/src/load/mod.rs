//! Callers: an open-loop load whose answers are checked.

mod address_table;
mod load_caller;
mod load_report;
mod load_run;
mod load_settings;

pub use load_report::*;
pub use load_run::*;
pub use load_settings::*;
