//! The data types that all parts of comfreyturn share: names, numbers, declared configuration,
//! reports of VMs and the outcome of a request.
//!
//! This crate holds plain data. `comfreyturn_policy` makes the decisions based on it, and
//! `comfreyturn_ports` defines the interfaces to external systems.

mod config_change;
mod config_intent;
mod engine_times;
mod fleet_server;
mod gateway_config;
mod group_record;
mod names;
mod numbers;
mod outcome;
mod prompt_part;
mod request_rate;
mod roster;
mod store_version;
mod vm_record;
mod vm_report;

pub use config_change::*;
pub use config_intent::*;
pub use engine_times::*;
pub use fleet_server::*;
pub use gateway_config::*;
pub use group_record::*;
pub use names::*;
pub use numbers::*;
pub use outcome::*;
pub use prompt_part::*;
pub use request_rate::*;
pub use roster::*;
pub use store_version::*;
pub use vm_record::*;
pub use vm_report::*;
