//! Implementations of the traits of `comfreyturn_ports` over TCP, on compio.
//!
//! - [`SystemClock`] and [`CompioSpawner`] provide time and tasks, [`SignalInbox`] dates signals.
//! - [`HttpPool`] keeps connections to HTTP servers alive. [`TableClient`], [`DirectoryClient`],
//!   [`EngineClient`] and [`BackendClient`] call the platform and backend servers through it.
//! - [`GrpcChannel`] is the transport of the generated client for operator calls.
//! - [`TunnelServer`] connects other nodes to backend servers.
//! - [`PeerClient`] sends questions to other nodes, and [`PeerServer`] answers them: one connection
//!   and one task for each peer, one protobuf envelope in each length-delimited frame.
//!
//! Every error says whether bytes of a request may have left this process: `NotSent`,
//! `Unavailable` and `Unreachable` guarantee that none did.
//!
//! All types must be used inside a compio runtime, on its thread.

mod backend_client;
mod byte_meter;
mod compio_spawner;
mod completion_reader;
mod directory_client;
mod engine_client;
mod event_decoder;
mod grpc_channel;
mod http_answer;
mod http_connection;
mod http_pool;
mod http_settings;
mod json_call;
mod metered_stream;
mod peer_channel;
mod peer_client;
mod peer_envelope;
mod peer_frames;
mod peer_server;
mod peer_settings;
mod request_stream;
mod response_head;
mod signal_inbox;
mod system_clock;
mod table_client;
mod tunnel;

pub use backend_client::*;
pub use byte_meter::*;
pub use compio_spawner::*;
pub use directory_client::*;
pub use engine_client::*;
pub use event_decoder::*;
pub use grpc_channel::*;
pub use http_answer::*;
pub use http_pool::*;
pub use http_settings::*;
pub use peer_client::*;
pub use peer_server::*;
pub use peer_settings::*;
pub use response_head::ResponseHead;
pub use signal_inbox::*;
pub use system_clock::*;
pub use table_client::*;
pub use tunnel::*;
