//! In-memory fakes of the ports, driven by a manual clock and a plan of faults.
//!
//! All fakes of a test share one [`FaultPlan`]. Each call of a port reports its step and the
//! calling node to the plan, which counts the call and injects the faults that the test requested.
//! Time advances only while no task can run ([`run_until`]), so that a test is deterministic.

mod answering_servers;
mod call_outcome;
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
mod waiting_rules;

pub use answering_servers::*;
pub use call_outcome::FaultEndpoint;
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
pub use waiting_rules::{ServerPlaces, WaitAsked};
