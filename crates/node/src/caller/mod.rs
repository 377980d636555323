//! Callers: HTTP/1.1 and HTTP/2.
//!
//! [`CallerServer`] accepts connections, [`CallerEdge`] turns a request into a call of
//! `comfreyturn_serving` and its result into an answer.

mod address_answer;
mod answer_body;
mod caller_edge;
mod caller_server;
mod completion_answer;
mod completion_body;
mod completion_chunk;
mod error_answer;
mod request_head;

pub use caller_edge::CallerEdge;
pub use caller_server::CallerServer;
