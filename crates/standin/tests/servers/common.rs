//! Starts servers on loopback, and builds their requests.

use std::net::SocketAddr;

use comfreyturn_ports::{CompletionAttempt, EngineOrder};
use comfreyturn_standin::{
    EngineRecords, EngineServer, EngineSettings, PlainServer, PlainSettings, PlatformServer,
    PlatformSettings, RunJournal, ServerClient, ServerEnd,
};
use comfreyturn_types::{FencingNumber, GroupAssignment, GroupGeneration, VmId, VmPhase, VmReport};
use compio::runtime::JoinHandle;

/// A running server, which ends when this is dropped.
pub struct RunningServer {
    pub client: ServerClient,
    pub stop: flume::Sender<()>,
    pub end: JoinHandle<ServerEnd>,
}

pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub async fn start_platform(settings: PlatformSettings) -> RunningServer {
    let server = PlatformServer::bind(loopback(), settings).await.unwrap();
    let address = server.local_address();
    let (stop, stopped) = flume::bounded(1);
    let end = compio::runtime::spawn(server.serve(stopped));
    RunningServer { client: ServerClient::new(address), stop, end }
}

pub async fn start_plain(settings: PlainSettings) -> RunningServer {
    let server = PlainServer::bind(loopback(), settings).await.unwrap();
    let address = server.local_address();
    let (stop, stopped) = flume::bounded(1);
    let end = compio::runtime::spawn(server.serve(stopped));
    RunningServer { client: ServerClient::new(address), stop, end }
}

pub async fn start_engine(settings: EngineSettings) -> (RunningServer, RunJournal<EngineRecords>) {
    let server = EngineServer::bind(loopback(), settings).await.unwrap();
    let address = server.local_address();
    let journal = server.journal();
    let (stop, stopped) = flume::bounded(1);
    let end = compio::runtime::spawn(server.serve(stopped));
    (RunningServer { client: ServerClient::new(address), stop, end }, journal)
}

pub fn assignment(members: &[&str]) -> GroupAssignment {
    GroupAssignment {
        group: "g1".into(),
        generation: GroupGeneration(1),
        service: "chat".into(),
        model: "m".into(),
        version: "v1".into(),
        adapters: Vec::new(),
        members: members.iter().map(|member| VmId::from(*member)).collect(),
    }
}

pub fn order(fencing: u64, assignment: Option<GroupAssignment>) -> EngineOrder {
    EngineOrder { fencing: FencingNumber(fencing), assignment }
}

pub fn attempt(stream: &str, prompt: &str, max_tokens: u32) -> CompletionAttempt {
    CompletionAttempt {
        stream: stream.into(),
        group: "g1".into(),
        generation: GroupGeneration(1),
        prompt: prompt.to_owned(),
        delivered: Vec::new(),
        max_tokens,
        priority: 1,
        parameters: serde_json::Map::new(),
    }
}

/// Waits until a VM reports a phase.
pub async fn await_phase(client: &ServerClient, phase: VmPhase) -> VmReport {
    loop {
        let report: VmReport = client.get("/control/report").await.unwrap();
        if report.phase == phase {
            return report;
        }
        compio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}
