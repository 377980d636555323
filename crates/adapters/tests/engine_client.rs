//! How the engine client interprets responses and missing responses.

mod support;

use std::net::SocketAddr;

use comfreyturn_adapters::EngineClient;
use comfreyturn_ports::{EngineControl, EngineError, EngineOrder, Step};
use comfreyturn_types::{FencingNumber, VmRecord, VmRole};
use support::{Action, ScriptServer, answer, closed_address, pool};

fn record(address: SocketAddr) -> VmRecord {
    VmRecord {
        vm: "vm-1".into(),
        role: VmRole::Engine { accelerators: 8 },
        address,
        failure_domain: "d".into(),
        fabric_domain: "f".into(),
        leaving: false,
    }
}

async fn order(address: SocketAddr) -> Result<(), EngineError> {
    let order = EngineOrder { fencing: FencingNumber(3), assignment: None };
    EngineClient::new(pool()).order(Step::GroupOrder, &record(address), &order).await
}

async fn report(answer: &str) -> Result<u64, EngineError> {
    let server = ScriptServer::answering(answer);
    let client = EngineClient::new(pool());
    let report = client.report(Step::WatchPoll, &record(server.address)).await?;
    Ok(report.incarnation.0)
}

#[compio::test]
async fn orders() {
    assert_eq!(order(closed_address()).await, Err(EngineError::Unreachable));
    let lost = ScriptServer::start(vec![vec![Action::Read]]);
    assert_eq!(order(lost.address).await, Err(EngineError::NoAnswer));
    let done = ScriptServer::answering("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(order(done.address).await, Ok(()));
    let fenced = ScriptServer::answering(&answer("409 C", "", r#"{"error":"fenced","seen":7}"#));
    let refusal = Err(EngineError::Fenced { seen: FencingNumber(7) });
    assert_eq!(order(fenced.address).await, refusal);
    for odd in [
        answer("409 C", "", r#"{"error":"busy","seen":7}"#),
        answer("409 C", "", r#"{"error":"fenced"}"#),
        answer("500 E", "", ""),
    ] {
        let server = ScriptServer::answering(&odd);
        assert_eq!(order(server.address).await, Err(EngineError::Malformed), "{odd}");
    }
}

/// Guards against an answer with a status that HTTP does not define and that passes for one.
#[compio::test]
async fn answer_with_an_invalid_status_is_none() {
    for status in ["000", "000 None", "099 None", "600 None"] {
        let text = answer(status, "", r#"{"incarnation":1,"fencing":1,"assignment":null}"#);
        let server = ScriptServer::answering(&text);
        assert_eq!(order(server.address).await, Err(EngineError::NoAnswer), "{status}");
        assert!(report(&text).await.is_err(), "{status}");
    }
}

/// Guards against the answer to an earlier order that is read as the answer to this one.
#[compio::test]
async fn answer_to_an_earlier_order_is_not_read_again() {
    let fenced = Action::Write(answer("409 C", "", r#"{"error":"fenced","seen":7}"#));
    let kept = vec![Action::Read, fenced.clone(), Action::Read, fenced, Action::AwaitClose];
    let done = Action::Write("HTTP/1.1 204 No Content\r\n\r\n".into());
    let server = ScriptServer::start(vec![kept, vec![Action::Read, done, Action::AwaitClose]]);
    let client = EngineClient::new(pool());
    let order = EngineOrder { fencing: FencingNumber(8), assignment: None };
    let record = record(server.address);
    assert!(client.order(Step::GroupOrder, &record, &order).await.is_err());
    assert_eq!(client.order(Step::GroupOrder, &record, &order).await, Ok(()));
}

#[compio::test]
async fn reports() {
    let idle = r#"{"vm":"vm-1","incarnation":5,"phase":"idle"}"#;
    assert_eq!(report(&answer("200 OK", "", idle)).await, Ok(5));
    let other = r#"{"vm":"vm-2","incarnation":5,"phase":"idle"}"#;
    assert_eq!(report(&answer("200 OK", "", other)).await, Err(EngineError::Malformed));
    assert_eq!(report(&answer("200 OK", "", "{}")).await, Err(EngineError::Malformed));
    assert_eq!(report(&answer("503 E", "", idle)).await, Err(EngineError::Malformed));
}
