//! Declaring the sample and waiting until it serves.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyturn_types::{ServiceBackend, ServiceIntent};
use compio::time::sleep;

use crate::{
    CtlError, IntentFile, Result,
    operator::{ApplyOrder, OperatorSession, StatusView, submit},
};

/// Time until a lab must serve.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Declares the sample, then waits until every node sees all nodes, groups and plain servers.
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

/// Asks for the sample under one name until a majority of nodes has accepted it.
async fn declare(operator: SocketAddr, intent: &IntentFile, deadline: Instant) -> Result<()> {
    let order = ApplyOrder::new(intent.changes());
    loop {
        match submit(operator, &order).await {
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

/// Whether one node sees everything that the sample declares.
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
