//! HTTP/1.1 and HTTP/2 server for callers.
//!
//! [`CallerServer`] accepts connections, [`CallerApi`] turns a request into a call of
//! `comfreyturn_serving` and its result into an answer.

mod address_answer;
mod answer_body;
mod caller_api;
mod caller_server;
mod completion_answer;
mod completion_body;
mod completion_chunk;
mod error_answer;
mod request_head;

pub use caller_api::CallerApi;
pub use caller_server::CallerServer;
