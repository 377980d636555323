//! Tests of the load generator against scripted answers.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use comfreyturn_standin::{LoadError, LoadReport, LoadSettings, LoadShape, output_text, run_load};
use serde_json::{Value, json};

/// Starts a node whose script gets the number at the end of each prompt, and the request's body.
fn start_node(script: fn(u32, &Value) -> String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || serve(stream, address, script));
        }
    });
    address
}

fn serve(mut stream: TcpStream, address: SocketAddr, script: fn(u32, &Value) -> String) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).unwrap() > 0);
    }
    assert!(head.contains("authorization: Bearer secret"));
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    reader.read_exact(&mut body).unwrap();
    let answer = if head.starts_with("GET /v1/addresses?service=chat&customer=acme ") {
        // The first address accepts no connection.
        let answer = json!({"addresses": ["127.0.0.1:1", address], "valid_ms": 10_000});
        whole("200 OK", &answer.to_string())
    } else {
        assert!(head.starts_with("POST /v1/completions "));
        let body: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!((&body["model"], &body["stream"]), (&json!("chat"), &json!(true)));
        let prompt = body["prompt"].as_str().unwrap();
        let request = prompt.rsplit('-').next().unwrap().parse().unwrap();
        script(request, &body)
    };
    // Fails if the caller has stopped reading.
    let _ = stream.write_all(answer.as_bytes());
}

fn whole(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

fn events(events: &[String]) -> String {
    let data: String = events.iter().map(|event| format!("data: {event}\n\n")).collect();
    format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n{data}")
}

fn text_event(text: &str) -> String {
    json!({"id": "r", "object": "text_completion",
        "choices": [{"index": 0, "text": text, "finish_reason": null}]})
    .to_string()
}

fn error(outcome: &str, reason: &str) -> String {
    json!({"error": {"message": "m", "type": "t", "outcome": outcome, "reason": reason}})
        .to_string()
}

fn each_outcome(request: u32, body: &Value) -> String {
    let tokens = u32::try_from(body["max_tokens"].as_u64().unwrap()).unwrap();
    let text = output_text(body["prompt"].as_str().unwrap(), tokens);
    let (first, rest) = text.split_at(7);
    let done = "[DONE]".to_owned();
    match request % 10 {
        0 => whole("429 Too Many Requests", &error("not-run", "limit-reached")),
        1 => whole("503 Service Unavailable", &error("not-run", "stale-config")),
        2 => whole("502 Bad Gateway", &error("failed", "backend-error")),
        3 => events(&[text_event(first), error("unknown", "backend-lost")]),
        4 => events(&[text_event(first)]),
        5 => events(&[text_event(first), text_event(first), text_event(rest), done]),
        6 => events(&[text_event(first), done]),
        _ => events(&[text_event(first), text_event(rest), text_event(""), done]),
    }
}

fn settings(to: SocketAddr) -> LoadSettings {
    LoadSettings {
        to,
        service: "chat".into(),
        customer: Some("acme".into()),
        key: "secret".to_owned(),
        requests: 40,
        concurrency: 4,
        requests_per_second: 400.0,
        ..LoadSettings::default()
    }
}

#[compio::test]
async fn each_outcome_is_counted_once() {
    let report = run_load(settings(start_node(each_outcome))).await.unwrap();
    let counts = LoadReport {
        whole: 12,
        refused: 4,
        not_run: 4,
        unknown: 8,
        failed: 4,
        wrong: 8,
        ..LoadReport::default()
    };
    let LoadReport { first_token_ms, between_tokens_ms, .. } = report;
    assert_eq!(report, LoadReport { first_token_ms, between_tokens_ms, ..counts });
    assert!(first_token_ms.p50 > 0.0 && first_token_ms.p50 <= first_token_ms.p99);
}

#[compio::test]
async fn wait_beyond_concurrency_counts_towards_first_token() {
    fn slow(_: u32, body: &Value) -> String {
        thread::sleep(Duration::from_millis(50));
        each_outcome(9, body)
    }
    let settings = LoadSettings { requests: 8, concurrency: 1, ..settings(start_node(slow)) };
    let report = run_load(settings).await.unwrap();
    assert_eq!(report.whole, 8);
    assert!(report.first_token_ms.p99 >= 300.0);
}

#[compio::test]
async fn request_is_not_run_without_a_node() {
    let settings = LoadSettings { requests: 3, ..settings("127.0.0.1:1".parse().unwrap()) };
    let stopped = LoadSettings { concurrency: 0, ..settings.clone() };
    assert_eq!(run_load(stopped).await, Err(LoadError::NoRate));
    assert_eq!(run_load(settings).await.unwrap().not_run, 3);
}

#[test]
fn doors_shape_puts_all_arrivals_at_the_end() {
    let steady = LoadSettings { requests: 100, requests_per_second: 10.0, ..Default::default() };
    let doors = LoadSettings { shape: LoadShape::Doors, ..steady.clone() };
    assert!(steady.arrivals()[10] < Duration::from_secs(5));
    assert!(doors.arrivals()[0] >= Duration::from_secs(9));
    assert!(doors.arrivals()[99] <= Duration::from_secs(10));
    assert_eq!(doors.arrivals(), doors.arrivals());
    assert_ne!(steady.prompt(1), steady.prompt(2));
    assert_eq!(steady.prompt(1).split(' ').count(), 64);
}
