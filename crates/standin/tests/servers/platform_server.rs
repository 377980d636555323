//! Tests of the platform server's table, list of VMs, weight store and faults.

use std::time::{Duration, Instant};

use crate::common::start_platform;
use comfreyturn_ports::{CommitOutcome, RowCheck, RowWrite, TableRow, TableTransaction};
use comfreyturn_standin::{PlatformRecords, PlatformSettings, StandinError};
use comfreyturn_types::{RowVersion, VmRecord};
use serde::Deserialize;
use serde_json::json;

#[derive(Debug, Deserialize)]
struct RowsAnswer {
    rows: Vec<Option<TableRow>>,
}

fn write(key: &str, version: u64, value: Option<&str>) -> TableTransaction {
    TableTransaction {
        checks: vec![RowCheck { key: key.into(), version: RowVersion(version) }],
        writes: vec![RowWrite { key: key.into(), value: value.map(str::to_owned) }],
    }
}

fn vm(name: &str) -> serde_json::Value {
    json!({"vm": name, "role": {"engine": {"accelerators": 8}}, "address": "127.0.0.1:1",
        "failure_domain": "a", "fabric_domain": "f", "leaving": false})
}

#[compio::test]
async fn commit_checks_versions_and_versions_increase() {
    let platform = start_platform(PlatformSettings::default()).await;
    let client = &platform.client;
    let commit = async |transaction: TableTransaction| {
        client.post::<CommitOutcome>("/table/commit", &transaction).await.unwrap()
    };
    assert_eq!(commit(write("k", 0, Some("a"))).await, CommitOutcome::Committed);
    assert_eq!(commit(write("k", 0, Some("b"))).await, CommitOutcome::Conflict(vec!["k".into()]));
    assert_eq!(commit(write("k", 1, None)).await, CommitOutcome::Committed);
    assert_eq!(commit(write("k", 0, Some("c"))).await, CommitOutcome::Committed);
    let read: RowsAnswer = client.post("/table/read", &json!({"keys": ["x", "k"]})).await.unwrap();
    let row = TableRow { version: RowVersion(3), value: "c".to_owned() };
    assert_eq!(read.rows, vec![None, Some(row)]);
}

#[compio::test]
async fn scan_returns_rows_of_the_prefix_in_key_order() {
    let platform = start_platform(PlatformSettings::default()).await;
    for key in ["vm/b", "vn/a", "vm/a", "vl/z"] {
        let transaction = write(key, 0, Some(key));
        platform.client.post::<CommitOutcome>("/table/commit", &transaction).await.unwrap();
    }
    let scan: serde_json::Value =
        platform.client.post("/table/scan", &json!({"prefix": "vm/"})).await.unwrap();
    let row = |key: &str| json!([key, {"version": 1, "value": key}]);
    assert_eq!(scan, json!({"rows": [row("vm/a"), row("vm/b")]}));
}

#[compio::test]
async fn commit_with_lost_answer_is_written() {
    let platform = start_platform(PlatformSettings::default()).await;
    let client = &platform.client;
    client.post::<()>("/faults", &json!({"lost_commit_answers": 1})).await.unwrap();
    let lost = client.post::<CommitOutcome>("/table/commit", &write("k", 0, Some("a"))).await;
    assert!(matches!(lost, Err(StandinError::NoAnswer { .. })));
    let again = client.post::<CommitOutcome>("/table/commit", &write("k", 0, Some("a"))).await;
    assert_eq!(again.unwrap(), CommitOutcome::Conflict(vec!["k".into()]));
    let records: PlatformRecords = client.get("/records").await.unwrap();
    assert_eq!((records.commits, records.conflicts, records.lost_answers), (1, 1, 1));
}

#[compio::test]
async fn table_refuses_calls_until_the_outage_ends() {
    let platform = start_platform(PlatformSettings::default()).await;
    let client = &platform.client;
    client.post::<()>("/faults", &json!({"table_outage_ms": 300})).await.unwrap();
    let refused = client.post::<RowsAnswer>("/table/read", &json!({"keys": []})).await;
    assert!(matches!(refused, Err(StandinError::Status { status: 503, .. })));
    client.get::<Vec<VmRecord>>("/vms").await.unwrap();
    compio::time::sleep(Duration::from_millis(320)).await;
    client.post::<RowsAnswer>("/table/read", &json!({"keys": []})).await.unwrap();
}

#[compio::test]
async fn list_of_vms_lags() {
    let settings =
        PlatformSettings { list_lag: Duration::from_millis(300), ..PlatformSettings::default() };
    let platform = start_platform(settings).await;
    let client = &platform.client;
    client.post::<()>("/vms", &vm("vm-1")).await.unwrap();
    assert!(client.get::<Vec<VmRecord>>("/vms").await.unwrap().is_empty());
    compio::time::sleep(Duration::from_millis(320)).await;
    assert_eq!(client.get::<Vec<VmRecord>>("/vms").await.unwrap().len(), 1);
}

#[compio::test]
async fn weight_store_shares_its_rate() {
    let settings =
        PlatformSettings { weight_bytes_per_second: 1000, ..PlatformSettings::default() };
    let platform = start_platform(settings).await;
    let since = Instant::now();
    let load = async || platform.client.post::<()>("/weights", &json!({"bytes": 100})).await;
    let (first, second) = futures_util::join!(load(), load());
    first.unwrap();
    second.unwrap();
    assert!(since.elapsed() >= Duration::from_millis(200));
}
