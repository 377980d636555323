//! A cell of nodes over fakes, and the promises that are checked while it runs.

mod control_cell;
mod promise_check;

pub use control_cell::*;
pub use promise_check::*;
