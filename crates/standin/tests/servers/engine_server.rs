//! Tests of the model engine's streams, orders and group.

use std::{collections::BTreeMap, time::Duration};

use crate::common::{
    RunningServer, assignment, attempt, await_phase, order, start_engine, start_platform,
};
use comfreyturn_ports::CompletionAttempt;
use comfreyturn_standin::{
    EngineRecords, EngineSettings, EventStream, ExecutionEnd, PlatformSettings, RunJournal,
    ServerClient, ServerEnd, StandinError, output_length, output_text, output_token,
};
use comfreyturn_types::{VmPhase, VmRecord, VmReport};
use http::{Method, StatusCode};
use serde_json::{Value, json};

async fn start_single(settings: EngineSettings) -> (RunningServer, RunJournal<EngineRecords>) {
    let (engine, journal) = start_engine(settings).await;
    let given = order(1, Some(assignment(&["vm-1"])));
    engine.client.post::<()>("/control/order", &given).await.unwrap();
    await_phase(&engine.client, VmPhase::Ready).await;
    (engine, journal)
}

async fn complete(client: &ServerClient, attempt: &CompletionAttempt) -> EventStream {
    client.events(Method::POST, "/v1/completions", attempt).await.unwrap()
}

/// Reads to the end. Returns positions and texts, and the finish reason if the answer is complete.
async fn read_all(stream: &mut EventStream) -> (Vec<(u64, String)>, Option<String>) {
    let mut tokens = Vec::new();
    while let Ok(Some(data)) = stream.next().await {
        let event: Value = serde_json::from_str(&data).unwrap();
        if let Some(reason) = event["finished"].as_str() {
            return (tokens, Some(reason.to_owned()));
        }
        tokens.push((event["position"].as_u64().unwrap(), event["text"].as_str().unwrap().into()));
    }
    (tokens, None)
}

fn text(tokens: &[(u64, String)]) -> String {
    tokens.iter().map(|(_, text)| text.as_str()).collect()
}

#[compio::test]
async fn answer_is_the_output_of_the_prompt() {
    let (engine, journal) = start_single(EngineSettings::default()).await;
    let mut stream = complete(&engine.client, &attempt("s1", "hello", 10)).await;
    let (tokens, end) = read_all(&mut stream).await;
    assert_eq!(end.as_deref(), Some("length"));
    assert_eq!(text(&tokens), output_text("hello", 10));
    let records = journal.records();
    assert_eq!(records.executions.len(), 1);
    assert_eq!(records.executions[0].end, ExecutionEnd::Finished);
    assert_eq!(records.executions[0].tokens, 10);
}

#[compio::test]
async fn stream_resumes_from_a_position() {
    let (engine, journal) = start_single(EngineSettings::default()).await;
    let mut stream = complete(&engine.client, &attempt("s1", "hello", 12)).await;
    stream.next().await.unwrap();
    drop(stream);
    let resumed = engine.client.events(Method::GET, "/v1/streams/s1?position=1", &()).await;
    let (tokens, end) = read_all(&mut resumed.unwrap()).await;
    assert!(end.is_some());
    assert_eq!(tokens.first().unwrap(), &(1, output_token("hello", 1)));
    assert_eq!(tokens.len(), 11);
    assert_eq!(journal.records().executions.len(), 1);
    let unknown = engine.client.send(Method::GET, "/v1/streams/s2?position=0", &()).await.unwrap();
    assert_eq!(unknown.0, StatusCode::NOT_FOUND);
}

#[compio::test]
async fn continuation_starts_after_delivered_tokens() {
    let (engine, journal) = start_single(EngineSettings::default()).await;
    let delivered: Vec<_> = (0..4).map(|position| output_token("hello", position)).collect();
    let continued = CompletionAttempt { delivered, ..attempt("s1", "hello", 10) };
    let (tokens, end) = read_all(&mut complete(&engine.client, &continued).await).await;
    assert!(end.is_some());
    let positions: Vec<_> = tokens.iter().map(|(position, _)| *position).collect();
    assert_eq!(positions, (4..10).collect::<Vec<_>>());
    let foreign = CompletionAttempt { delivered: vec![" x".into()], ..attempt("s2", "hello", 10) };
    let refused = complete(&engine.client, &foreign).await;
    assert_eq!(refused.status(), StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(journal.records().foreign_output, 1);
}

#[compio::test]
async fn cancelled_stream_breaks_and_is_recorded() {
    let (engine, journal) = start_single(EngineSettings::default()).await;
    let mut stream = complete(&engine.client, &attempt("s1", "hello", 500)).await;
    stream.next().await.unwrap();
    let cancelled = engine.client.send(Method::DELETE, "/v1/streams/s1", &()).await.unwrap();
    assert_eq!(cancelled.0, StatusCode::NO_CONTENT);
    assert_eq!(read_all(&mut stream).await.1, None);
    compio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(journal.records().executions[0].end, ExecutionEnd::Cancelled);
}

#[compio::test]
async fn unread_stream_ends_after_the_retention_time() {
    let retention = Duration::from_millis(100);
    let settings = EngineSettings { retention, ..EngineSettings::default() };
    let (engine, journal) = start_single(settings).await;
    let mut stream = complete(&engine.client, &attempt("s1", "hello", 2000)).await;
    stream.next().await.unwrap();
    drop(stream);
    compio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(journal.records().executions[0].end, ExecutionEnd::Cancelled);
}

#[compio::test]
async fn attempts_for_full_queue_or_other_group_are_not_started() {
    let settings = EngineSettings { batch_capacity: 1, queue_capacity: 1, ..Default::default() };
    let (engine, journal) = start_single(settings).await;
    let _running = complete(&engine.client, &attempt("s1", "a", 500)).await;
    let _waiting = complete(&engine.client, &attempt("s2", "b", 500)).await;
    let full = complete(&engine.client, &attempt("s3", "c", 500)).await;
    assert_eq!(full.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(full.headers().contains_key("retry-after"));
    let other = CompletionAttempt { group: "g2".into(), ..attempt("s4", "d", 5) };
    assert_eq!(complete(&engine.client, &other).await.status(), StatusCode::CONFLICT);
    let records = journal.records();
    assert_eq!((records.executions.len(), records.not_started_ms.len()), (2, 2));
}

#[compio::test]
async fn waiting_streams_start_by_priority() {
    let settings = EngineSettings { batch_capacity: 1, ..Default::default() };
    let (engine, journal) = start_single(settings).await;
    let mut first = complete(&engine.client, &attempt("s1", "a", 20)).await;
    let low = CompletionAttempt { priority: 9, ..attempt("s2", "b", 2) };
    let mut low = complete(&engine.client, &low).await;
    let high = CompletionAttempt { priority: 0, ..attempt("s3", "c", 2) };
    let mut high = complete(&engine.client, &high).await;
    for stream in [&mut first, &mut high, &mut low] {
        assert!(read_all(stream).await.1.is_some());
    }
    let executions = journal.records().executions;
    assert!(executions[2].started_ms < executions[1].started_ms);
}

#[compio::test]
async fn old_fencing_number_is_refused_where_checked() {
    let (engine, journal) = start_single(EngineSettings::default()).await;
    engine.client.post::<()>("/control/order", &order(7, None)).await.unwrap();
    let stale = order(6, Some(assignment(&["vm-1"])));
    let (status, body) = engine.client.send(Method::POST, "/control/order", &stale).await.unwrap();
    assert_eq!(status, StatusCode::CONFLICT);
    let body: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(body, json!({"error": "fenced", "seen": 7}));
    assert_eq!(journal.records().fenced_orders, 1);

    let settings = EngineSettings { checks_fencing: false, ..Default::default() };
    let (engine, _) = start_single(settings).await;
    engine.client.post::<()>("/control/order", &order(7, None)).await.unwrap();
    engine.client.post::<()>("/control/order", &stale).await.unwrap();
    let report = await_phase(&engine.client, VmPhase::Ready).await;
    assert_eq!(report.fencing, None);
}

#[compio::test]
async fn leaving_engine_refuses_attempts_and_finishes_running_streams() {
    let platform = start_platform(PlatformSettings::default()).await;
    let settings =
        EngineSettings { platform: Some(platform.client.address), ..EngineSettings::default() };
    let (engine, _) = start_single(settings).await;
    let mut running = complete(&engine.client, &attempt("s1", "a", 20)).await;
    engine.client.post::<()>("/control/leave", &()).await.unwrap();
    let report: VmReport = engine.client.get("/control/report").await.unwrap();
    assert!(report.leaving);
    let refused = complete(&engine.client, &attempt("s2", "b", 5)).await;
    assert_eq!(refused.status(), StatusCode::CONFLICT);
    assert!(read_all(&mut running).await.1.is_some());
    let list: Vec<VmRecord> = platform.client.get("/vms").await.unwrap();
    assert!(list.iter().any(|record| record.vm == "vm-1".into() && record.leaving));
}

#[compio::test]
async fn marked_prompt_crashes_the_engine() {
    let settings = EngineSettings { crash_marker: Some("BOOM".into()), ..Default::default() };
    let (engine, journal) = start_single(settings).await;
    let mut bystander = complete(&engine.client, &attempt("s1", "a", 2000)).await;
    let mut marked = complete(&engine.client, &attempt("s2", "BOOM", 5)).await;
    assert_eq!(read_all(&mut marked).await, (Vec::new(), None));
    assert_eq!(read_all(&mut bystander).await.1, None);
    assert_eq!(engine.end.await.unwrap(), ServerEnd::Crashed);
    let gone = engine.client.get::<VmReport>("/control/report").await;
    assert!(matches!(gone, Err(StandinError::NotReached { .. })));
    let ends: Vec<_> = journal.records().executions.iter().map(|run| run.end).collect();
    assert_eq!(ends, vec![ExecutionEnd::Crashed; 2]);
}

#[compio::test]
async fn weights_load_at_a_rate_and_stay_loaded_over_generations() {
    let settings = EngineSettings {
        weight_bytes: 300,
        weight_bytes_per_second: 1000,
        ..EngineSettings::default()
    };
    let (engine, _) = start_engine(settings).await;
    let mut place = assignment(&["vm-1"]);
    let given = order(1, Some(place.clone()));
    engine.client.post::<()>("/control/order", &given).await.unwrap();
    let report: VmReport = engine.client.get("/control/report").await.unwrap();
    assert_eq!(report.phase, VmPhase::Loading);
    await_phase(&engine.client, VmPhase::Ready).await;
    place.generation = place.generation.next();
    engine.client.post::<()>("/control/order", &order(1, Some(place))).await.unwrap();
    let report: VmReport = engine.client.get("/control/report").await.unwrap();
    assert_eq!(report.phase, VmPhase::Ready);
}

#[compio::test]
async fn reported_load_lags() {
    let load_lag = Duration::from_millis(300);
    let settings = EngineSettings { load_lag, batch_capacity: 1, ..EngineSettings::default() };
    let (engine, _) = start_single(settings).await;
    let _running = complete(&engine.client, &attempt("s1", "a", 500)).await;
    let _waiting = complete(&engine.client, &attempt("s2", "b", 500)).await;
    let load = async || engine.client.get::<VmReport>("/control/report").await.unwrap().load;
    let before = load().await;
    assert_eq!((before.running, before.queued, before.capacity), (0, 0, 1));
    compio::time::sleep(load_lag).await;
    let after = load().await;
    assert_eq!((after.running, after.queued, after.age), (1, 1, load_lag));
}

/// Starts two engines in one group. The first has the second's address in its settings.
async fn start_pair() -> (RunningServer, RunningServer) {
    let second = EngineSettings { vm: "vm-2".into(), ..EngineSettings::default() };
    let (second, _) = start_engine(second).await;
    let members = BTreeMap::from([("vm-2".into(), second.client.address)]);
    let (first, _) = start_engine(EngineSettings { members, ..EngineSettings::default() }).await;
    let given = order(1, Some(assignment(&["vm-1", "vm-2"])));
    for engine in [&second, &first] {
        engine.client.post::<()>("/control/order", &given).await.unwrap();
        await_phase(&engine.client, VmPhase::Ready).await;
    }
    (first, second)
}

#[compio::test]
async fn loss_of_a_member_breaks_streams() {
    let (first, second) = start_pair().await;
    let mut stream = complete(&first.client, &attempt("s1", "a", 2000)).await;
    assert!(stream.next().await.unwrap().is_some());
    second.stop.send(()).unwrap();
    assert_eq!(second.end.await.unwrap(), ServerEnd::Stopped);
    let (tokens, end) = read_all(&mut stream).await;
    assert_eq!(end, None);
    assert!(tokens.len() < usize::try_from(output_length("a", 2000)).unwrap());
    let refused = complete(&first.client, &attempt("s2", "b", 5)).await;
    assert_eq!(refused.status(), StatusCode::CONFLICT);
}

#[compio::test]
async fn reassignment_of_a_member_breaks_streams() {
    let (first, second) = start_pair().await;
    let mut stream = complete(&first.client, &attempt("s1", "a", 2000)).await;
    assert!(stream.next().await.unwrap().is_some());
    second.client.post::<()>("/control/order", &order(2, None)).await.unwrap();
    assert_eq!(read_all(&mut stream).await.1, None);
}

#[compio::test]
async fn members_are_found_through_the_platform() {
    let platform = start_platform(PlatformSettings::default()).await;
    let settings_of = |vm: &str| EngineSettings {
        vm: vm.into(),
        platform: Some(platform.client.address),
        ..EngineSettings::default()
    };
    let (first, _) = start_engine(settings_of("vm-1")).await;
    let (second, _) = start_engine(settings_of("vm-2")).await;
    while platform.client.get::<Vec<VmRecord>>("/vms").await.unwrap().len() < 2 {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    let given = order(1, Some(assignment(&["vm-1", "vm-2"])));
    for engine in [&first, &second] {
        engine.client.post::<()>("/control/order", &given).await.unwrap();
        await_phase(&engine.client, VmPhase::Ready).await;
    }
    let mut stream = complete(&first.client, &attempt("s1", "a", 5)).await;
    assert_eq!(text(&read_all(&mut stream).await.0), output_text("a", 5));
}
