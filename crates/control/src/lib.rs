//! The protocols that keep shared state: the configuration log and its roster, the planner's
//! lease, the groups, and what is known of backend servers.
//!
//! [`NodeControl`] is one node's part in all of them. It reaches the outside through
//! [`ControlPorts`] alone, so tests run it over fakes with a clock that they move. Start with
//! [`NodeControl::new`], hand it to the peer server as its
//! [`PeerHandler`](comfreyturn_ports::PeerHandler), and call [`NodeControl::start`].
//!
//! The decisions live in `comfreyturn_policy`; here stands when they are asked and what is read
//! and written.

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
mod quiet_watch;
mod request_view;
mod roster_loop;
mod row_keys;
mod status_view;
mod timed_ports;
mod timed_table;
mod watch_log;
mod watch_loop;
mod watch_share;

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
