//! The gateway: hands callers' requests on to backend servers byte for byte, and keeps the groups
//! of model servers formed.
//!
//! [`Gateway`] is one node's part. It learns the operators' configuration and the list of servers
//! through the feeds of `comfreyturn_ports`, tells other nodes what it sees with [`BeatLoop`], and
//! answers requests with [`Gateway::forward`]. One node at a time holds the lease of the fleet and
//! orders servers into groups ([`FleetLoop`]).
//!
//! Which server takes a request, what is ordered next and whether a configuration may still be
//! used are decisions of `comfreyturn_policy`.

mod beat_loop;
mod config_view;
mod event_cutter;
mod feed_loops;
mod fleet_loop;
mod forward_answer;
mod forward_attempt;
mod forward_request;
mod forward_run;
mod gateway;
mod gateway_metrics;
mod gateway_settings;
mod gateway_state;
mod gauge_loop;
mod group_rows;
mod load_book;
mod node_belief;
mod node_rows;
mod peer_book;
mod relay_stream;
mod request_story;
mod server_book;
mod server_choice;
mod server_watch;
mod stall_book;

pub use beat_loop::*;
pub use event_cutter::EventCutter;
pub use fleet_loop::FleetLoop;
pub use forward_answer::*;
pub use forward_request::*;
pub use gateway::*;
pub use gateway_settings::*;
pub use load_book::LoadBook;
pub use peer_book::{PeerBook, PeerRecord};
pub use relay_stream::{RelayStream, StreamBroken};
pub use server_book::{AppliedReading, ServerBook};
pub use stall_book::StallBook;
