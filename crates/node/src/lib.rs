//! The node: one process on each entry VM.
//!
//! A node serves callers over HTTP, operators over gRPC and peers over length-prefixed frames, all
//! on one thread with one task per connection. It combines the crates below it:
//! `comfreyturn_control` keeps shared state, `comfreyturn_serving` runs requests,
//! `comfreyturn_adapters` implements network access.
//!
//! Start at [`run_node`]; its settings are [`NodeSettings`].

mod caller;
mod node_error;
mod node_gauges;
mod node_view;
mod operator;
mod run_node;
mod settings;
mod stop_signal;

pub use node_error::*;
pub use run_node::*;
pub use settings::*;
pub use stop_signal::*;
