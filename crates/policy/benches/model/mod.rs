//! A queueing model of groups with continuous batching, prefix caches and delayed load reports, and
//! of nodes that route to them independently.
//!
//! [`run_model`] runs the real policies in virtual time. The same settings and seed give the
//! same summary.

pub mod engine_model;
mod event_queue;
mod group_view;
pub mod model_settings;
mod model_summary;
mod node_model;
mod request_source;

pub use node_model::run_model;
