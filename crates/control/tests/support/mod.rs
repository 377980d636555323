//! A cell of nodes over fakes, and the promises that are checked while it runs.

#![expect(dead_code, unused_imports, reason = "each test file uses a part")]

mod control_cell;
mod fault_case;
mod promise_check;

pub use control_cell::*;
pub use fault_case::*;
pub use promise_check::*;
