//! The protocols that maintain shared state: the configuration log and its roster, the planner's
//! lease, the groups, and the observed state of backend servers.
//!
//! [`NodeControl`] runs all of them on one node. It does all I/O through [`ControlPorts`], so that
//! tests can run it over fakes with a manual clock. Create it with [`NodeControl::new`], register
//! it with the peer server as its [`PeerHandler`](comfreyturn_ports::PeerHandler), and call
//! [`NodeControl::start`].
//!
//! The decision logic is in `comfreyturn_policy`. This crate determines when a decision is made,
//! and reads and writes the state that it needs.

mod apply_command;
mod config_accept;
mod config_apply;
mod config_log;
mod config_loop;
mod config_store;
mod control_ports;
mod control_settings;
mod group_loop;
mod group_orders;
mod group_store;
mod lease_keeper;
mod limit_controller;
mod node_control;
mod peer_clock;
mod peer_loop;
mod peer_view;
mod quiescence_tracker;
mod request_view;
mod roster_loop;
mod row_keys;
mod status_view;
mod timed_ports;
mod timed_table;
mod watch_log;
mod watch_loop;
mod watch_set;

pub use apply_command::*;
pub use control_ports::*;
pub use control_settings::*;
pub use lease_keeper::LeaseKeeper;
pub use limit_controller::LimitController;
pub use node_control::*;
pub use peer_view::*;
pub use row_keys::*;
pub use status_view::*;
pub use timed_table::TimedTable;
