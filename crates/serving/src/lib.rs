//! Runs callers' requests: each admitted one is answered completely and once, or refused with an
//! outcome that states correctly whether it ran.
//!
//! [`RequestService`] is the entry point. A completion becomes one task (`CompletionRun`) with
//! sequential steps: join an earlier submission, pass admission, choose a group, hold a claim if
//! the request must not run twice, send, and resume or retry when connections or groups break. A
//! call of a plain service does the same without a stream (`PlainRun`).
//!
//! All input and output goes through [`ServingPorts`] and [`ServingView`]; decisions are made by
//! [`ServingPolicies`].

mod admission_controller;
mod answer_stream;
mod caller_request;
mod capacity_controller;
mod claim_expiry;
mod claim_guard;
mod claim_record;
mod claim_store;
mod completion_delivery;
mod completion_dispatch;
mod completion_join;
mod completion_place;
mod completion_run;
mod crash_confirmation;
mod crash_history;
mod in_flight;
mod open_attempt;
mod plain_load;
mod plain_run;
mod refusal;
mod request_service;
mod row_batcher;
mod run_claim;
mod run_scope;
mod run_suspicion;
mod running_requests;
mod serving_metrics;
mod serving_policies;
mod serving_ports;
mod serving_settings;
mod serving_view;
mod shutdown_watch;
mod silent_calls;
mod suspect_slots;

pub use answer_stream::AnswerStream;
pub use caller_request::*;
pub use claim_record::*;
pub use refusal::*;
pub use request_service::RequestService;
pub use serving_policies::ServingPolicies;
pub use serving_ports::ServingPorts;
pub use serving_settings::ServingSettings;
pub use serving_view::*;
