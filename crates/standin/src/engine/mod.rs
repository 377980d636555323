//! The model engine: streams, batches, its place in a group and its reports.

mod batch_queue;
mod engine_orders;
mod engine_place;
mod engine_server;
mod engine_service;
mod engine_settings;
mod engine_streams;
mod member_checker;
mod stream_log;

pub use engine_server::*;
pub(crate) use engine_service::announce_vm;
pub use engine_settings::*;
