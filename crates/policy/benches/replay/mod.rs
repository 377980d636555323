//! A replay of VM losses through a planner, without the rest of the system, in virtual time.

mod fault_plan;
mod fleet_plan;
mod replay_flags;
mod replay_fleet;
mod replay_plot;

pub use fault_plan::*;
pub use fleet_plan::*;
pub use replay_flags::*;
pub use replay_fleet::*;
pub use replay_plot::*;
