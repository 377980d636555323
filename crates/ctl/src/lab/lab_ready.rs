//! Declares the sample configuration and waits until the lab serves it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyturn_adapters::{ByteMeter, HttpPool, HttpSettings};
use comfreyturn_types::{CustomerIntent, ServiceBackend, ServiceIntent};
use compio::time::sleep;
use http::{
    Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use http_body_util::Full;

use crate::{
    CtlError, IntentFile, Result,
    operator::{ApplyOperation, OperatorSession, StatusView, submit},
};

/// Time within which a lab must serve.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for sending the completion that checks whether a node admits requests, and again for
/// reading its answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Declares the sample configuration, then waits until every node sees all nodes, groups and plain
/// servers.
pub(crate) async fn make_ready(
    operators: &[SocketAddr],
    intent: &IntentFile,
    plain_servers: usize,
) -> Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    declare(operators[0], intent, deadline).await?;
    for operator in operators {
        while !serves(*operator, operators.len(), intent, plain_servers).await {
            wait(deadline).await?;
        }
    }
    Ok(())
}

/// Waits until every node admits requests of every customer: a node that has just joined may not
/// hold a share of their limits yet.
pub(crate) async fn await_admission(callers: &[SocketAddr], intent: &IntentFile) -> Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let mut services = intent.services.iter().map(|service| &service.value);
    let model_service = services.find(|service| service.backend != ServiceBackend::Plain);
    let Some(service) = model_service else { return Ok(()) };
    for caller in callers {
        for customer in &intent.customers {
            while !admits(*caller, &customer.value, service).await {
                wait(deadline).await?;
            }
        }
    }
    Ok(())
}

/// Whether a node answers a completion of one token.
async fn admits(caller: SocketAddr, customer: &CustomerIntent, service: &ServiceIntent) -> bool {
    let body = serde_json::json!({"model": service.name, "prompt": "ready", "max_tokens": 1});
    let request = Request::post("/v1/completions")
        .header(CONTENT_TYPE, "application/json")
        .header(AUTHORIZATION, format!("Bearer {}", customer.key))
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else { return false };
    let pool = HttpPool::new(HttpSettings::default(), ByteMeter::default());
    let Ok(answer) = pool.send(caller, request, PROBE_TIMEOUT).await else { return false };
    let answer = answer.whole(PROBE_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.head.status == StatusCode::OK)
}

/// Submits the sample configuration as one operation until a majority of nodes has accepted it.
async fn declare(operator: SocketAddr, intent: &IntentFile, deadline: Instant) -> Result<()> {
    let operation = ApplyOperation::new(intent.changes());
    loop {
        match submit(operator, &operation).await {
            Ok(_) => return Ok(()),
            Err(error @ (CtlError::Refused { .. } | CtlError::Conflict { .. })) => {
                return Err(error);
            }
            Err(error) => log::info!("lab: {error}."),
        }
        wait(deadline).await?;
    }
}

async fn wait(deadline: Instant) -> Result<()> {
    if Instant::now() >= deadline {
        return Err(CtlError::LabNotReady);
    }
    sleep(POLL_PERIOD).await;
    Ok(())
}

/// Whether one node reports that everything in the sample configuration serves.
async fn serves(
    operator: SocketAddr,
    nodes: usize,
    intent: &IntentFile,
    plain_servers: usize,
) -> bool {
    let Ok(status) = status(operator).await else { return false };
    let services = intent.services.iter().map(|service| &service.value);
    status.ready_nodes() == nodes
        && status.ready_plain_servers() == plain_servers
        && services.into_iter().all(|service| serves_all_groups(&status, service))
}

fn serves_all_groups(status: &StatusView, service: &ServiceIntent) -> bool {
    let declared = match &service.backend {
        ServiceBackend::Model(model) => usize::try_from(model.groups).unwrap_or(usize::MAX),
        ServiceBackend::Plain => return true,
    };
    status.serving_groups(service.name.as_str()) >= declared
}

async fn status(operator: SocketAddr) -> Result<StatusView> {
    let reply = OperatorSession::connect(operator).await?.status().await?;
    Ok(StatusView::from(reply))
}
