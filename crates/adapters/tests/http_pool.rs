//! Responses that are none.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyturn_adapters::HttpError;
use http::Request;
use http_body_util::Full;
use support::{Action, ScriptServer, pool};

const LIMIT: Duration = Duration::from_secs(8);

/// Guards against a node that gathers the head of a response without end until its memory is used
/// up.
#[compio::test]
async fn head_without_end_is_given_up_before_the_time_limit() {
    let line = format!("x-junk: {}\r\n", "x".repeat(4096));
    let mut script = vec![Action::Read, Action::Write("HTTP/1.1 200 OK\r\n".into())];
    script.extend(vec![Action::Write(line); 1000]);
    script.push(Action::Wait(LIMIT));
    let server = ScriptServer::start(vec![script]);
    let request = Request::get("/x").body(Full::new(Bytes::new())).unwrap();
    let started_at = Instant::now();
    let answer = pool().send(server.address, request, LIMIT).await;
    assert_eq!(answer.err(), Some(HttpError::NoAnswer));
    assert!(started_at.elapsed() < LIMIT / 2, "the head is larger than any answer's");
}
