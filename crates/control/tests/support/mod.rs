//! A cell of nodes over fakes, and the invariants that are checked while it runs.

mod control_cell;
mod fenced_table;
mod invariant_check;

pub use control_cell::*;
pub use fenced_table::*;
pub use invariant_check::*;
