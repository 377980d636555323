//! The gateway: forwards callers' requests to backend servers byte for byte, and forms groups of
//! model servers.
//!
//! [`Gateway`] runs on each node. It reads the operators' configuration and the list of servers
//! through the feeds of `comfreyturn_ports`, exchanges its state with other nodes through
//! [`HeartbeatLoop`], and answers requests with [`Gateway::forward`]. One node at a time holds the
//! fleet's lease and orders servers into groups ([`FleetLoop`]).
//!
//! `comfreyturn_policy` decides which server receives a request, which orders are sent, and whether
//! a configuration may still be used.

mod attempt_race;
mod beat_codec;
mod cold_limits;
mod config_view;
mod evacuation;
mod event_splitter;
mod feed_loops;
mod fleet_demand;
mod fleet_loop;
mod forward_answer;
mod forward_attempt;
mod forward_end;
mod forward_records;
mod forward_request;
mod forward_run;
mod forward_stream;
mod forward_wait;
mod gateway;
mod gateway_metrics;
mod gateway_settings;
mod gateway_state;
mod gauge_loop;
mod group_rows;
mod heartbeat_loop;
mod heartbeat_receive;
mod in_flight;
mod list_exchange;
mod load_tracker;
mod node_rows;
mod node_snapshot;
mod part_report;
mod part_suspects;
mod peer_table;
mod peer_view;
mod refusal_report;
mod relay_stream;
mod request_trace;
mod resume_point;
mod retry_budgets;
mod run_progress;
mod server_choice;
mod server_limits;
mod server_list;
mod server_log;
mod server_paths;
mod server_prober;
mod server_table;
mod server_times;
mod shutdown;
mod stall_tracker;
mod stream_source;
mod view_reports;
mod waiting_loop;
mod waiting_requests;

pub use event_splitter::EventSplitter;
pub use fleet_loop::FleetLoop;
pub use forward_answer::*;
pub use forward_request::*;
pub use gateway::*;
pub use gateway_settings::*;
pub use heartbeat_loop::*;
pub use in_flight::InFlightGuard;
pub use load_tracker::LoadTracker;
pub use part_report::{CrashedParts, PartReport};
pub use peer_table::{PeerProgress, PeerRecord, PeerStatus, PeerTable, PeerTimeouts};
pub use refusal_report::RefusalReport;
pub use relay_stream::{RelayStream, StreamBroken};
pub use resume_point::EventIds;
pub use server_log::{LogPosition, LogSlice, LoggedChange, ServerLog};
pub use server_paths::TunnelPermit;
pub use server_table::{AppliedReading, KeptEntries, RegressedEntry, ServerTable};
pub use stall_tracker::StallTracker;
pub use view_reports::{ModelRate, ReportKind, ViewReport, ViewReports};
