//! How the table and directory clients interpret responses and missing responses.

mod support;

use std::{net::SocketAddr, time::Duration};

use comfreyturn_adapters::{DirectoryClient, TableClient};
use comfreyturn_ports::{
    CommitOutcome, DirectoryError, RowCheck, RowKey, RowWrite, Step, TableError, TableStore,
    TableTransaction, VmDirectory,
};
use comfreyturn_types::RowVersion;
use support::{Action, ScriptServer, answer, closed_address, pool};

fn client(address: SocketAddr) -> TableClient {
    TableClient::new(pool(), address)
}

fn transaction() -> TableTransaction {
    let key = RowKey::from("k");
    TableTransaction {
        checks: vec![RowCheck { key: key.clone(), version: RowVersion(0) }],
        writes: vec![RowWrite { key, value: Some("v".into()) }],
    }
}

async fn commit(server: &ScriptServer) -> Result<CommitOutcome, TableError> {
    client(server.address).commit(Step::ConfigCommit, transaction()).await
}

async fn read(server: &ScriptServer) -> Result<usize, TableError> {
    let rows = client(server.address).read(Step::ConfigReadHead, &[RowKey::from("k")]).await?;
    Ok(rows.len())
}

#[compio::test]
async fn connection_refused() {
    let table = client(closed_address());
    let written = table.commit(Step::ConfigCommit, transaction()).await;
    assert_eq!(written, Err(TableError::Unavailable));
}

#[compio::test]
async fn closed_after_the_request_was_read() {
    let server = ScriptServer::start(vec![vec![Action::Read]]);
    assert_eq!(commit(&server).await, Err(TableError::NoAnswer));
    assert_eq!(server.connections(), 1, "a commit is not sent again");
}

#[compio::test]
async fn closed_in_the_middle_of_the_response() {
    let cut = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n\"commi".to_owned();
    let server = ScriptServer::start(vec![vec![Action::Read, Action::Write(cut)]]);
    assert_eq!(commit(&server).await, Err(TableError::NoAnswer));
}

#[compio::test]
async fn unresponsive_service() {
    let wait = Action::Wait(Duration::from_secs(2));
    let server = ScriptServer::start(vec![vec![Action::Read, wait]]);
    assert_eq!(commit(&server).await, Err(TableError::NoAnswer));
}

#[compio::test]
async fn refusal() {
    let refusal = answer("503 Service Unavailable", "", r#"{"error":"unavailable"}"#);
    assert_eq!(commit(&ScriptServer::answering(&refusal)).await, Err(TableError::Unavailable));
    let other = answer("503 Service Unavailable", "", r#"{"error":"odd"}"#);
    assert_eq!(commit(&ScriptServer::answering(&other)).await, Err(TableError::NoAnswer));
    assert_eq!(read(&ScriptServer::answering(&other)).await, Err(TableError::Malformed));
}

/// Guards against an answer with a status that HTTP does not define and that passes for one.
#[compio::test]
async fn answer_with_an_invalid_status_is_none() {
    for status in ["000", "000 None", "099 None", "600 None"] {
        let rows = answer(status, "", r#"{"rows":[{"version":1,"value":"v"}]}"#);
        assert_eq!(read(&ScriptServer::answering(&rows)).await, Err(TableError::NoAnswer));
        let committed = answer(status, "", r#""committed""#);
        assert_eq!(commit(&ScriptServer::answering(&committed)).await, Err(TableError::NoAnswer));
    }
}

#[compio::test]
async fn malformed_responses() {
    let garbage = answer("200 OK", "", "<html>");
    assert_eq!(read(&ScriptServer::answering(&garbage)).await, Err(TableError::Malformed));
    assert_eq!(commit(&ScriptServer::answering(&garbage)).await, Err(TableError::NoAnswer));
    let too_few = answer("200 OK", "", r#"{"rows":[]}"#);
    assert_eq!(read(&ScriptServer::answering(&too_few)).await, Err(TableError::Malformed));
    let too_large = answer("200 OK", "", &"x".repeat(5000));
    assert_eq!(read(&ScriptServer::answering(&too_large)).await, Err(TableError::Malformed));
}

#[compio::test]
async fn valid_responses() {
    let rows = answer("200 OK", "", r#"{"rows":[{"version":3,"value":"x"}]}"#);
    assert_eq!(read(&ScriptServer::answering(&rows)).await, Ok(1));
    let conflict = answer("200 OK", "", r#"{"conflict":["k"]}"#);
    let outcome = commit(&ScriptServer::answering(&conflict)).await;
    assert_eq!(outcome, Ok(CommitOutcome::Conflict(vec!["k".into()])));
    let server = ScriptServer::answering(&answer("200 OK", "", r#""committed""#));
    assert_eq!(commit(&server).await, Ok(CommitOutcome::Committed));
    let request = server.requests().remove(0);
    assert!(request.starts_with("POST /table/commit HTTP/1.1\r\n"), "{request}");
    let body = r#"{"checks":[{"key":"k","version":0}],"writes":[{"key":"k","value":"v"}]}"#;
    assert!(request.ends_with(body), "{request}");
}

#[compio::test]
async fn scan_accepts_only_rows_with_its_prefix() {
    let rows = answer("200 OK", "", r#"{"rows":[["vm/a",{"version":1,"value":"…"}]]}"#);
    let server = ScriptServer::answering(&rows);
    let scanned = client(server.address).scan(Step::GroupReadRows, "vm/").await.unwrap();
    assert_eq!(scanned[0].0.as_ref(), "vm/a");
    let server = ScriptServer::answering(&rows);
    let scanned = client(server.address).scan(Step::GroupReadRows, "group/").await;
    assert_eq!(scanned, Err(TableError::Malformed));
}

#[compio::test]
async fn idle_connection_is_reused_and_replaced_once_closed() {
    let ok = answer("200 OK", "", r#""committed""#);
    let twice =
        vec![Action::Read, Action::Write(ok.clone()), Action::Read, Action::Write(ok.clone())];
    let server = ScriptServer::start(vec![twice, vec![Action::Read, Action::Write(ok)]]);
    let table = client(server.address);
    for connections in [1, 1] {
        table.commit(Step::ConfigCommit, transaction()).await.unwrap();
        assert_eq!(server.connections(), connections);
    }
    compio::time::sleep(Duration::from_millis(50)).await;
    table.commit(Step::ConfigCommit, transaction()).await.unwrap();
    assert_eq!(server.connections(), 2);
    assert_eq!(server.requests().len(), 3);
}

#[compio::test]
async fn list_of_vms() {
    let list = r#"[{"vm":"a","role":{"engine":{"accelerators":8}},"address":"127.0.0.1:1",
        "failure_domain":"d","fabric_domain":"f","leaving":false}]"#;
    let server = ScriptServer::answering(&answer("200 OK", "", list));
    let directory = DirectoryClient::new(pool(), server.address);
    assert_eq!(directory.list(Step::WatchDirectory).await.unwrap()[0].vm.as_str(), "a");
    for bad in [answer("200 OK", "", "{}"), answer("500 Odd", "", "[]")] {
        let server = ScriptServer::answering(&bad);
        let directory = DirectoryClient::new(pool(), server.address);
        assert_eq!(directory.list(Step::WatchDirectory).await, Err(DirectoryError));
    }
}

const LIST: &str = r#"[{"vm":"vm-1","role":{"engine":{"accelerators":4}},"address":"127.0.0.1:1",
"failure_domain":"fd-1","fabric_domain":"fabric-1","leaving":false}]"#;

#[compio::test]
async fn unchanged_list_has_no_body() {
    let tagged = answer("200 OK", "ETag: \"a\"\r\n", LIST);
    let same = "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n".to_owned();
    let other = answer("200 OK", "ETag: \"b\"\r\n", "[]");
    let script = [tagged, same, other].map(|text| [Action::Read, Action::Write(text)]);
    let server = ScriptServer::start(vec![script.concat()]);
    let directory = DirectoryClient::new(pool(), server.address);
    let first = directory.list(Step::WatchDirectory).await.unwrap();
    assert_eq!(first.len(), 1);
    assert_eq!(directory.list(Step::WatchDirectory).await, Ok(first));
    assert_eq!(directory.list(Step::WatchDirectory).await, Ok(Vec::new()));
    let requests = server.requests();
    assert!(!requests[0].contains("if-none-match"), "{requests:?}");
    assert!(requests[1].contains("if-none-match: \"a\""), "{requests:?}");
    assert!(requests[2].contains("if-none-match: \"a\""), "{requests:?}");
}

#[compio::test]
async fn not_modified_without_a_known_list_is_an_error() {
    let server = ScriptServer::answering("HTTP/1.1 304 Not Modified\r\n\r\n");
    let directory = DirectoryClient::new(pool(), server.address);
    assert_eq!(directory.list(Step::WatchDirectory).await, Err(DirectoryError));
}
