//! Stand-ins for the systems outside comfreyturn, for tests and for `comfreyturnctl`.
//!
//! There are three kinds:
//!
//! - Servers over real TCP that speak the protocols of `docs/design/outside-protocols.md`:
//!   [`PlatformServer`], [`EngineServer`] and [`PlainServer`]; and [`RelayServer`], which can
//!   hold back and cut connections between any two processes.
//! - Callers: [`run_load`] sends requests and checks their answers.
//! - In-memory [`fakes`] of the ports, driven by a manual clock, which inject the faults
//!   of a plan.
//!
//! [`invariants`] checks the records of a run.
//!
//! Model output is a pure function of prompt and position ([`output_token`]), so that a test
//! detects any lost or repeated token and any token of another prompt.

mod engine;
mod error;
mod event_stream;
pub mod fakes;
mod http_client;
mod http_server;
pub mod invariants;
mod load;
mod output_text;
mod plain_server;
mod platform;
mod relay_server;
mod run_journal;
mod run_records;
mod server_client;
mod table_rows;
mod task_set;

pub use engine::*;
pub use error::*;
pub use event_stream::*;
pub use load::*;
pub use output_text::*;
pub use plain_server::*;
pub use platform::*;
pub use relay_server::*;
pub use run_journal::*;
pub use run_records::*;
pub use server_client::*;
pub use table_rows::*;
