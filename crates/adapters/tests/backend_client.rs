//! How the backend client interprets responses and missing responses.

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyturn_adapters::{BackendClient, BackendSettings, ByteMeter, HttpPool, HttpSettings};
use comfreyturn_ports::{
    BackendError, BackendResult, BackendTransport, CompletionAttempt, CompletionEvent,
    CompletionStream, PlainRequest, Step,
};
use comfreyturn_types::GroupGeneration;
use futures_util::StreamExt;
use support::{Action, ScriptServer, answer, closed_address, pool};

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const IDLE_TIMEOUT: Duration = Duration::from_millis(200);

fn client() -> BackendClient {
    let settings =
        BackendSettings { stream_idle_timeout: IDLE_TIMEOUT, ..BackendSettings::default() };
    BackendClient::new(pool(), settings)
}

fn attempt() -> CompletionAttempt {
    CompletionAttempt {
        stream: "s-1".into(),
        group: "g".into(),
        generation: GroupGeneration(1),
        prompt: "p".into(),
        delivered: Vec::new(),
        max_tokens: 4,
        priority: 0,
        parameters: serde_json::Map::new(),
    }
}

async fn complete(address: SocketAddr) -> BackendResult<CompletionStream> {
    client().complete(Step::RequestDispatch, address, &attempt()).await
}

async fn refusal(answer: &str) -> BackendError {
    let server = ScriptServer::answering(answer);
    complete(server.address).await.err().unwrap()
}

fn chunk(text: &str) -> Action {
    Action::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn stream_server(mut rest: Vec<Action>) -> ScriptServer {
    let mut script = vec![Action::Read, Action::Write(STREAM_HEAD.into())];
    script.append(&mut rest);
    ScriptServer::start(vec![script])
}

fn event(position: u32) -> String {
    format!("data: {{\"position\":{position},\"text\":\"t{position}\"}}\n\n")
}

/// The positions received, and how the stream ended.
async fn drain(mut stream: CompletionStream) -> (Vec<u32>, Option<BackendResult<String>>) {
    let mut positions = Vec::new();
    while let Some(event) = stream.next().await {
        let end = match event {
            Ok(CompletionEvent::Token(token)) => {
                positions.push(token.position);
                continue;
            }
            Ok(CompletionEvent::Finished { reason }) => Ok(reason),
            Err(error) => Err(error),
        };
        assert!(stream.next().await.is_none(), "the stream continues after its end");
        return (positions, Some(end));
    }
    (positions, None)
}

#[compio::test]
async fn connection_refused() {
    assert_eq!(complete(closed_address()).await.err(), Some(BackendError::NotSent));
    let resumed = client().resume(Step::RequestResume, closed_address(), &"s-1".into(), 0).await;
    assert_eq!(resumed.err(), Some(BackendError::NotSent));
    let called = client().call(Step::ClaimDispatch, closed_address(), &plain_request()).await;
    assert_eq!(called.err(), Some(BackendError::NotSent));
}

#[compio::test]
async fn closed_after_the_request_was_read() {
    let server = ScriptServer::start(vec![vec![Action::Read]]);
    assert_eq!(complete(server.address).await.err(), Some(BackendError::Broken));
    assert_eq!(server.connections(), 1, "a request that was sent is not sent again");
}

#[compio::test]
async fn closed_before_the_request_was_read_counts_as_sent() {
    let server = ScriptServer::start(vec![vec![Action::Wait(Duration::from_millis(50))]]);
    assert_eq!(complete(server.address).await.err(), Some(BackendError::Broken));
}

#[compio::test]
async fn refusals() {
    let not_started = r#"{"error":"not-started"}"#;
    let at_once = BackendError::NotStarted { retry_after: None };
    assert_eq!(refusal(&answer("409 Conflict", "", not_started)).await, at_once);
    let later = BackendError::NotStarted { retry_after: Some(Duration::from_secs(2)) };
    assert_eq!(refusal(&answer("503 Busy", "Retry-After: 2\r\n", not_started)).await, later);
    let rejected = |status| BackendError::Rejected { status };
    assert_eq!(refusal(&answer("409 Conflict", "", r#"{"error":"odd"}"#)).await, rejected(409));
    assert_eq!(refusal(&answer("500 Error", "", not_started)).await, rejected(500));
    assert_eq!(refusal(&answer("404 Gone", "", "")).await, rejected(404));
}

#[compio::test]
async fn malformed_responses_count_as_broken() {
    assert_eq!(refusal(&answer("200 OK", "", "{}")).await, BackendError::Broken);
    assert_eq!(refusal(&answer("302 Found", "", "")).await, BackendError::Broken);
    assert_eq!(refusal("no HTTP at all\r\n\r\n").await, BackendError::Broken);
    let cut = "HTTP/1.1 409 Conflict\r\nContent-Length: 23\r\n\r\n{\"error\":".to_owned();
    let server = ScriptServer::start(vec![vec![Action::Read, Action::Write(cut)]]);
    assert_eq!(complete(server.address).await.err(), Some(BackendError::Broken));
}

/// Guards against an answer with a status that HTTP does not define and that passes for one (MIXED).
#[compio::test]
async fn answer_with_an_invalid_status_counts_as_broken() {
    for status in ["000", "000 None", "099 None", "600 None"] {
        for head in [
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "Content-Length: 2\r\n\r\nok",
            "\r\nok",
        ] {
            let text = format!("HTTP/1.1 {status}\r\n{head}");
            assert_eq!(refusal(&text).await, BackendError::Broken, "{text:?}");
            let server = ScriptServer::answering(&text);
            let called = client().call(Step::ClaimDispatch, server.address, &plain_request()).await;
            assert_eq!(called.err(), Some(BackendError::Broken), "{text:?}");
        }
    }
}

#[compio::test]
async fn stream_split_into_small_chunks() {
    let text = format!(": hello\n\n{}{}data: {{\"finished\":\"stop\"}}\n\n", event(0), event(1));
    let mut pieces: Vec<Action> = Vec::new();
    for piece in text.as_bytes().chunks(7) {
        pieces.push(chunk(std::str::from_utf8(piece).unwrap()));
        pieces.push(Action::Wait(Duration::from_millis(2)));
    }
    pieces.push(Action::Write("0\r\n\r\n".into()));
    pieces.push(Action::AwaitClose);
    let server = stream_server(pieces);
    let stream = complete(server.address).await.unwrap();
    assert_eq!(drain(stream).await, (vec![0, 1], Some(Ok("stop".into()))));
}

/// Guards against a late answer to an earlier request that is read as the answer to this one: a
/// refusal, after which a request that runs goes to a second backend server, or another request's
/// stream.
#[compio::test]
async fn answer_to_an_earlier_request_is_not_read_again() {
    let not_started = answer("503 Busy", "", r#"{"error":"not-started"}"#);
    let finished = chunk("data: {\"finished\":\"length\"}\n\n");
    let earlier = [
        vec![Action::Write(not_started)],
        vec![Action::Write(STREAM_HEAD.into()), finished, Action::Write("0\r\n\r\n".into())],
    ];
    for writes in earlier {
        let mut kept = Vec::new();
        for _ in 0..2 {
            kept.push(Action::Read);
            kept.extend(writes.clone());
        }
        kept.push(Action::AwaitClose);
        let rejection = Action::Write(answer("400 Own", "", ""));
        let server = ScriptServer::start(vec![kept, vec![Action::Read, rejection]]);
        let client = client();
        for is_first in [true, false] {
            let opened = client.complete(Step::ClaimDispatch, server.address, &attempt()).await;
            if is_first {
                let Ok(stream) = opened else { continue };
                assert_eq!(drain(stream).await.1, Some(Ok("length".into())));
                compio::time::sleep(Duration::from_millis(50)).await;
            } else {
                assert_eq!(opened.err(), Some(BackendError::Rejected { status: 400 }));
            }
        }
        assert_eq!(server.connections(), 2);
    }
}

/// As above, for calls of plain services.
#[compio::test]
async fn answer_to_an_earlier_call_is_not_read_again() {
    let not_started = answer("503 Busy", "X-Not-Started: true\r\n", "");
    for earlier in [not_started, answer("200 OK", "", "other")] {
        let write = || Action::Write(earlier.clone());
        let kept = vec![Action::Read, write(), Action::Read, write(), Action::AwaitClose];
        let own = Action::Write(answer("200 OK", "", "own"));
        let server = ScriptServer::start(vec![kept, vec![Action::Read, own]]);
        let client = client();
        let _ = client.call(Step::ClaimDispatch, server.address, &plain_request()).await;
        let called = client.call(Step::ClaimDispatch, server.address, &plain_request()).await;
        assert_eq!(called.unwrap().body, "own");
    }
}

/// Guards against a stream whose connection is closed before the engine has ended the response, so
/// that the engine takes the caller for gone.
#[compio::test]
async fn end_of_a_response_is_awaited_after_the_last_event() {
    let finished = chunk("data: {\"finished\":\"length\"}\n\n");
    let server = stream_server(vec![finished, Action::AwaitClose]);
    assert_eq!(drain(complete(server.address).await.unwrap()).await.1, Some(Ok("length".into())));
    compio::time::sleep(IDLE_TIMEOUT).await;
    assert_eq!(server.closes(), 0, "the end of the response is still waited for");
}

#[compio::test]
async fn stream_that_ends_without_finished() {
    let orderly = stream_server(vec![chunk(&event(0)), Action::Write("0\r\n\r\n".into())]);
    let cut = stream_server(vec![chunk(&event(0))]);
    for server in [orderly, cut] {
        let stream = complete(server.address).await.unwrap();
        assert_eq!(drain(stream).await, (vec![0], Some(Err(BackendError::Broken))));
    }
}

#[compio::test]
async fn stream_with_a_malformed_event() {
    let server = stream_server(vec![chunk(&event(0)), chunk("data: {\"odd\":1}\n\n")]);
    let stream = complete(server.address).await.unwrap();
    assert_eq!(drain(stream).await, (vec![0], Some(Err(BackendError::Broken))));
}

#[compio::test]
async fn stalled_stream() {
    let server = stream_server(vec![chunk(&event(0)), Action::AwaitClose]);
    let started = Instant::now();
    let stream = complete(server.address).await.unwrap();
    assert_eq!(drain(stream).await, (vec![0], Some(Err(BackendError::Broken))));
    assert!(started.elapsed() >= IDLE_TIMEOUT);
    assert!(started.elapsed() < IDLE_TIMEOUT * 5);
}

/// With its default settings the client ended a stream after 5 s of silence, and gave up a response
/// after 10 s, although the engine went on.
#[compio::test]
async fn engine_that_is_silent_for_a_while_goes_on() {
    let rest = || [chunk(&event(1)), chunk("data: {\"finished\":\"stop\"}\n\n")];
    let mut events = vec![chunk(&event(0)), Action::Wait(Duration::from_millis(5500))];
    events.extend(rest());
    let pausing = stream_server(events);
    let mut script = vec![Action::Read, Action::Wait(Duration::from_millis(10500))];
    script.extend([Action::Write(STREAM_HEAD.into()), chunk(&event(0))].into_iter().chain(rest()));
    let late = ScriptServer::start(vec![script]);
    let client = BackendClient::new(pool(), BackendSettings::default());
    let answers = [pausing.address, late.address].map(async |address| {
        let stream = client.complete(Step::RequestDispatch, address, &attempt()).await;
        drain(stream.expect("a response")).await
    });
    for (positions, end) in futures_util::future::join_all(answers).await {
        assert_eq!((positions, end), (vec![0, 1], Some(Ok("stop".to_owned()))));
    }
}

#[compio::test]
async fn dropped_stream_closes_its_connection() {
    let server = stream_server(vec![chunk(&event(0)), Action::AwaitClose]);
    let mut stream = complete(server.address).await.unwrap();
    stream.next().await.unwrap().unwrap();
    assert_eq!(server.closes(), 0);
    drop(stream);
    compio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(server.closes(), 1);
}

#[compio::test]
async fn resume_and_cancel() {
    let gone = ScriptServer::answering(&answer("404 Gone", "", ""));
    let resumed = client().resume(Step::RequestResume, gone.address, &"s-1".into(), 3).await;
    assert_eq!(resumed.err(), Some(BackendError::UnknownStream));
    let request = gone.requests().remove(0);
    assert!(request.starts_with("GET /v1/streams/s-1?position=3 "), "{request}");
    let gone = ScriptServer::answering(&answer("404 Gone", "", ""));
    let cancelled = client().cancel(Step::RequestCancel, gone.address, &"s-1".into()).await;
    assert_eq!(cancelled, Err(BackendError::UnknownStream));
    let done = ScriptServer::answering("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(client().cancel(Step::RequestCancel, done.address, &"s-1".into()).await, Ok(()));
    let odd = client().cancel(Step::RequestCancel, done.address, &"../x?y".into()).await;
    assert_eq!(odd, Err(BackendError::UnknownStream));
}

fn plain_request() -> PlainRequest {
    let request = http::Request::post("http://callers.example/book?day=1")
        .header("Connection", "X-Secret, close")
        .header("X-Secret", "s")
        .header("X-Kept", "k")
        .body(())
        .unwrap();
    PlainRequest { head: request.into_parts().0, body: Bytes::from_static(b"body") }
}

#[compio::test]
async fn plain_calls() {
    let headers = "Keep-Alive: timeout=5\r\nX-Own: o\r\n";
    let server = ScriptServer::answering(&answer("500 Error", headers, "text"));
    let called = client().call(Step::RequestDispatch, server.address, &plain_request()).await;
    let response = called.unwrap();
    assert_eq!((response.status.as_u16(), &response.body[..]), (500, &b"text"[..]));
    assert_eq!(response.headers.get("x-own").unwrap(), "o");
    assert!(response.headers.get("keep-alive").is_none());
    let request = server.requests().remove(0).to_ascii_lowercase();
    assert!(request.starts_with("post /book?day=1 http/1.1\r\n"), "{request}");
    assert!(request.contains("x-kept: k") && request.ends_with("\r\n\r\nbody"), "{request}");
    assert!(!request.contains("x-secret") && !request.contains("connection"), "{request}");
}

#[compio::test]
async fn plain_call_that_was_not_started() {
    let headers = "X-Not-Started: true\r\nRetry-After: 1\r\n";
    let server = ScriptServer::answering(&answer("503 Busy", headers, ""));
    let called = client().call(Step::RequestDispatch, server.address, &plain_request()).await;
    let refused = BackendError::NotStarted { retry_after: Some(Duration::from_secs(1)) };
    assert_eq!(called.err(), Some(refused));
    let server = ScriptServer::answering(&answer("503 Busy", "", ""));
    let called = client().call(Step::RequestDispatch, server.address, &plain_request()).await;
    assert_eq!(called.unwrap().status.as_u16(), 503);
}

#[compio::test]
async fn connections_to_one_address_are_bounded() {
    let server = stream_server(vec![Action::AwaitClose]);
    let settings = HttpSettings { connections_per_address: 1, ..HttpSettings::default() };
    let meter = ByteMeter::default();
    let pool = HttpPool::new(settings, meter.clone());
    let client = BackendClient::new(pool, BackendSettings::default());
    let stream = client.complete(Step::RequestDispatch, server.address, &attempt()).await.unwrap();
    let second = client.complete(Step::RequestDispatch, server.address, &attempt()).await;
    assert_eq!(second.err(), Some(BackendError::NotSent));
    assert_eq!(server.connections(), 1);
    drop(stream);
    assert!(meter.sent() > 0 && meter.received() >= u64::try_from(STREAM_HEAD.len()).unwrap());
}
