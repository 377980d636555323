//! Fakes of the ports in memory, on a manual clock, with a plan of faults.
//!
//! All fakes of a test share one [`FaultPlan`]. Each call of a port passes it with its step and the
//! node that calls; the plan counts, and carries out the faults that the test asked for. Time
//! moves only while nothing can run ([`run_until`]), so that a test gives the same result each
//! time.

mod call_fate;
mod fault_plan;
mod fault_rule;
mod fixed_feeds;
mod local_spawner;
mod manual_clock;
mod memory_backend;
mod memory_backends;
mod memory_directory;
mod memory_engines;
mod memory_peers;
mod memory_runs;
mod memory_table;
mod node_backends;
mod node_gate;
mod scripted_servers;

pub use call_fate::FaultEndpoint;
pub use fault_plan::*;
pub use fault_rule::*;
pub use fixed_feeds::*;
pub use futures_executor::LocalPool;
pub use local_spawner::*;
pub use manual_clock::*;
pub use memory_backend::MemoryBackendSettings;
pub use memory_backends::*;
pub use memory_directory::*;
pub use memory_engines::*;
pub use memory_peers::*;
pub use memory_table::*;
pub use scripted_servers::*;
