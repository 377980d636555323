//! Responses that are none, and connections that are kept.

mod support;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyturn_adapters::{HttpError, HttpPool, HttpResult};
use http::Request;
use http_body_util::Full;
use support::{Action, ScriptServer, answer, pool};

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

/// Time in which a server's bytes, or its close, arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

async fn send(pool: &Rc<HttpPool>, server: &ScriptServer) -> HttpResult<Bytes> {
    let request = Request::get("/x").body(Full::new(Bytes::new())).unwrap();
    Ok(pool.send(server.address, request, LIMIT).await?.whole(LIMIT).await?.body)
}

/// Guards against a request on a kept connection that the server has closed, which loses the answer,
/// or on which it has written something, which is read as the answer. The node may have been busy
/// and not have seen either.
#[compio::test]
async fn stale_connection_is_not_used_again() {
    let first = || vec![Action::Read, Action::Write(answer("200 OK", "", "first"))];
    let extra = Action::Write(answer("503 Busy", "", "extra"));
    let ends = [
        vec![Action::Wait(ARRIVAL_TIME / 4)],
        vec![Action::Wait(ARRIVAL_TIME / 4), extra, Action::AwaitClose],
    ];
    for (end, is_busy) in ends.iter().flat_map(|end| [(end, false), (end, true)]) {
        let kept = [first(), end.clone()].concat();
        let own = vec![Action::Read, Action::Write(answer("200 OK", "", "own"))];
        let server = ScriptServer::start(vec![kept, own]);
        let pool = pool();
        assert_eq!(send(&pool, &server).await.unwrap(), "first");
        if is_busy {
            std::thread::sleep(ARRIVAL_TIME);
        } else {
            compio::time::sleep(ARRIVAL_TIME).await;
        }
        assert_eq!(send(&pool, &server).await.unwrap(), "own", "busy: {is_busy}");
        assert_eq!((server.connections(), server.requests().len()), (2, 2));
    }
}

/// The size of a request's body that no connection's buffers hold, in bytes.
const UPLOAD_BYTES: usize = 8_000_000;

/// Tries of each case: reading or writing may meet the end of the connection first.
const TRIES: usize = 10;

/// How often a server reads before it answers.
const READS: [usize; 3] = [1, 10, 50];

/// Guards against a part of an answer without a length that passes for a whole one, because its
/// connection was reset while the request was written, also after the server ended its side of it
/// (MIXED). All calls read their answers here.
#[compio::test]
async fn early_answer_that_is_reset_is_not_whole() {
    let text = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part".to_owned();
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    let request = || Request::post("/x").body(Full::new(body.clone())).unwrap();
    let pool = pool();
    for end in [vec![], vec![Action::EndWriting, Action::Wait(ARRIVAL_TIME / 10)]] {
        for reads in READS {
            let begin = [vec![Action::ReadSome; reads], vec![Action::Write(text.clone())]].concat();
            let script = [begin, end.clone()].concat();
            let server = ScriptServer::start(vec![script; 2 * TRIES]);
            for _ in 0..TRIES {
                let kept = pool.send(server.address, request(), LIMIT).await;
                let alone = pool.send_alone(server.address, request(), LIMIT).await;
                for answer in [kept, alone] {
                    let Ok(answer) = answer else { continue };
                    assert!(
                        answer.whole(LIMIT).await.is_err(),
                        "a part passed for a whole answer: {reads} reads, {end:?}"
                    );
                }
            }
        }
    }
}
