//! Streams and plain calls of the in-memory backend servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use comfreyturn_ports::{
    BackendError, CompletionAttempt, CompletionEvent, CompletionStream, PlainRequest, Step,
};
use comfreyturn_standin::{
    ExecutionEnd,
    fakes::{Fault, MemoryBackendSettings, MemoryBackends},
    output_text, output_token,
};
use comfreyturn_types::GroupGeneration;
use futures_util::StreamExt;

use crate::bench::TestBench;

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn attempt(stream: &str, prompt: &str) -> CompletionAttempt {
    CompletionAttempt {
        stream: stream.into(),
        group: "g".into(),
        generation: GroupGeneration(1),
        prompt: prompt.to_owned(),
        delivered: Vec::new(),
        max_tokens: 10,
        priority: 1,
        parameters: serde_json::Map::new(),
    }
}

fn plain(body: &'static str) -> PlainRequest {
    let request = http::Request::post("/book").header("idempotency-key", "k1").body(()).unwrap();
    PlainRequest { head: request.into_parts().0, body: Bytes::from_static(body.as_bytes()) }
}

fn start(bench: &TestBench, settings: MemoryBackendSettings) -> MemoryBackends {
    let backends = MemoryBackends::new(&bench.plan);
    backends.start(address(), settings);
    backends
}

/// The text of a stream, and how it ended.
async fn read_all(mut stream: CompletionStream) -> (String, Result<String, BackendError>) {
    let mut whole = String::new();
    loop {
        match stream.next().await.expect("the stream ends with a finish event or an error") {
            Ok(CompletionEvent::Token(token)) => whole.push_str(&token.text),
            Ok(CompletionEvent::Finished { reason }) => return (whole, Ok(reason)),
            Err(error) => return (whole, Err(error)),
        }
    }
}

#[test]
fn stream_is_the_output_of_the_prompt_and_resumes() {
    let mut bench = TestBench::new();
    let backends = start(&bench, MemoryBackendSettings::default());
    let transport = backends.for_node(&bench.node);
    let (whole, resumed, unknown) = bench
        .run(async {
            let step = Step::RequestDispatch;
            let stream = transport.complete(step, address(), &attempt("s1", "p")).await.unwrap();
            let whole = read_all(stream).await;
            let step = Step::RequestResume;
            let resumed = transport.resume(step, address(), &"s1".into(), 4).await.unwrap();
            let resumed = read_all(resumed).await;
            let unknown = transport.resume(step, address(), &"s2".into(), 0).await.err();
            (whole, resumed, unknown)
        })
        .unwrap();
    assert_eq!(whole, (output_text("p", 10), Ok("length".to_owned())));
    assert_eq!(format!("{}{}", output_text("p", 4), resumed.0), whole.0);
    assert_eq!(unknown, Some(BackendError::UnknownStream));
    let executions = backends.executions();
    assert_eq!(executions.len(), 1);
    assert_eq!((executions[0].tokens, executions[0].end), (10, ExecutionEnd::Finished));
}

#[test]
fn continuation_resumes_after_delivered_tokens() {
    let mut bench = TestBench::new();
    let backends = start(&bench, MemoryBackendSettings::default());
    let transport = backends.for_node(&bench.node);
    let delivered: Vec<_> = (0..3).map(|position| output_token("p", position)).collect();
    let continued = CompletionAttempt { delivered: delivered.clone(), ..attempt("s1", "p") };
    let foreign = CompletionAttempt { delivered: vec![" x".to_owned()], ..attempt("s2", "p") };
    let (rest, refused) = bench
        .run(async {
            let step = Step::RequestDispatch;
            let rest = transport.complete(step, address(), &continued).await.unwrap();
            let rest = read_all(rest).await;
            (rest, transport.complete(step, address(), &foreign).await.err())
        })
        .unwrap();
    assert_eq!(delivered.concat() + &rest.0, output_text("p", 10));
    assert_eq!(refused, Some(BackendError::Rejected { status: 422 }));
}

#[test]
fn dispatch_under_faults() {
    for (fault, error, runs) in [
        (Fault::LostAnswer, Some(BackendError::Broken), 1),
        (Fault::CutOneWay, Some(BackendError::Broken), 0),
        (Fault::CutBothWays, Some(BackendError::NotSent), 0),
        (Fault::DuplicateLate, None, 1),
        (Fault::FreezeAndWake, None, 1),
    ] {
        let mut bench = TestBench::with_fault(Step::RequestDispatch, fault);
        let backends = start(&bench, MemoryBackendSettings::default());
        let transport = backends.for_node(&bench.node);
        let answer = bench.run(async {
            transport.complete(Step::RequestDispatch, address(), &attempt("s1", "p")).await.err()
        });
        assert_eq!((answer, backends.executions().len()), (Ok(error), runs), "at {fault}");
    }
}

#[test]
fn attempt_is_not_started_if_misplaced_full_or_leaving() {
    let mut bench = TestBench::new();
    let settings = MemoryBackendSettings { capacity: 1, ..MemoryBackendSettings::default() };
    let backends = start(&bench, settings);
    let transport = backends.for_node(&bench.node);
    backends.set_place(address(), Some(("g".into(), GroupGeneration(2))));
    let controls = backends.clone();
    let errors = bench
        .run(async {
            let step = Step::RequestDispatch;
            let run = async |stream: &str| {
                transport.complete(step, address(), &attempt(stream, "p")).await.err()
            };
            let misplaced = run("s1").await;
            controls.set_place(address(), None);
            assert_eq!(run("s2").await, None);
            let full = run("s3").await;
            controls.set_leaving(address());
            let leaving = run("s4").await;
            controls.kill(address());
            [misplaced, full, leaving, run("s5").await]
        })
        .unwrap();
    let not_started = |retry_after| Some(BackendError::NotStarted { retry_after });
    let expected = [
        not_started(None),
        not_started(Some(Duration::from_secs(1))),
        not_started(None),
        Some(BackendError::NotSent),
    ];
    assert_eq!(errors, expected);
    assert_eq!(backends.executions().len(), 1);
}

#[test]
fn marked_prompt_crashes_all_runs_of_its_server() {
    let mut bench = TestBench::new();
    let settings =
        MemoryBackendSettings { crash_marker: Some("BOOM".to_owned()), ..Default::default() };
    let backends = start(&bench, settings);
    let transport = backends.for_node(&bench.node);
    let (bystander, marked) = bench
        .run(async {
            let step = Step::RequestDispatch;
            let bystander = transport.complete(step, address(), &attempt("s1", "p")).await.unwrap();
            let marked = transport.complete(step, address(), &attempt("s2", "BOOM")).await.unwrap();
            futures_util::join!(read_all(bystander), read_all(marked))
        })
        .unwrap();
    assert_eq!((bystander.1, marked.1), (Err(BackendError::Broken), Err(BackendError::Broken)));
    let ends: Vec<_> = backends.executions().iter().map(|run| run.end).collect();
    assert_eq!(ends, [ExecutionEnd::Crashed; 2]);
}

#[test]
fn plain_run_is_recorded_if_its_answer_is_lost() {
    let mut bench = TestBench::with_fault(Step::ClaimDispatch, Fault::LostAnswer);
    let backends = start(&bench, MemoryBackendSettings::default());
    let transport = backends.for_node(&bench.node);
    let (lost, whole) = bench
        .run(async {
            let step = Step::ClaimDispatch;
            let lost = transport.call(step, address(), &plain("a")).await.err();
            (lost, transport.call(step, address(), &plain("a")).await.unwrap().status)
        })
        .unwrap();
    assert_eq!((lost, whole.as_u16()), (Some(BackendError::Broken), 200));
    let executions = backends.plain_executions();
    assert_eq!(executions.len(), 2);
    assert!(executions.iter().all(|run| run.key.as_deref() == Some("k1")));
}

#[test]
fn plain_call_breaks_if_its_backend_server_crashes() {
    let mut bench = TestBench::new();
    let settings =
        MemoryBackendSettings { crash_marker: Some("BOOM".to_owned()), ..Default::default() };
    let backends = start(&bench, settings);
    let transport = backends.for_node(&bench.node);
    let answer = bench.run(async {
        transport.call(Step::RequestDispatch, address(), &plain("BOOM")).await.err()
    });
    assert_eq!(answer, Ok(Some(BackendError::Broken)));
    assert_eq!(backends.plain_executions()[0].end, ExecutionEnd::Crashed);
}
