//! The interfaces to everything outside the process: one trait for each external system.
//!
//! Protocols and decisions depend only on these traits. `comfreyturn_adapters` implements them over
//! TCP, `comfreyturn_standin` in memory with fault injection. Most calls name the [`Step`] of the
//! protocol that they belong to, so that a test can inject any fault at any step.

mod backend_transport;
mod clock;
mod engine_control;
mod fleet_control;
mod gateway_feeds;
mod node_registry;
mod peer_link;
mod server_link;
mod spawner;
mod step;
mod table_store;
mod vm_directory;

pub use backend_transport::*;
pub use clock::*;
pub use engine_control::*;
pub use fleet_control::*;
pub use gateway_feeds::*;
pub use node_registry::*;
pub use peer_link::*;
pub use server_link::*;
pub use spawner::*;
pub use step::*;
pub use table_store::*;
pub use vm_directory::*;
