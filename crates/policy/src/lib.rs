//! The decisions of comfreyturn, free of input and output.
//!
//! Each deciding function takes the present time as an argument; none reads a clock. A decision
//! that was chosen by measurement keeps its baselines beside it.

mod address_order;
mod admission_queue;
mod group_router;
mod retry_budget;
mod suspect_ledger;
mod whole_group;

pub use address_order::*;
pub use admission_queue::*;
pub use group_router::*;
pub use retry_budget::*;
pub use suspect_ledger::*;
pub use whole_group::*;
