//! A cell of nodes over fakes, and the promises that are checked while it runs.

mod control_cell;
mod fenced_table;
mod promise_check;

pub use control_cell::*;
pub use fenced_table::*;
pub use promise_check::*;
