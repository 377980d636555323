//! Runs a lab.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use comfreyturn_standin::{PlatformSettings, StandinError, StandinResult};
use comfreyturn_types::ServiceBackend;
use compio::{runtime::Runtime, time::sleep};
use futures_util::{FutureExt, pin_mut, select_biased};
use serde::Serialize;

use crate::{
    CtlError, IntentFile, Result, UsageError,
    command_line::Lab,
    dispatch::print_json,
    lab::{
        lab_backends::{run_backends, run_platform},
        lab_layout::{LabLayout, SAMPLE_INTENT},
        lab_nodes::{LabNode, join, start_thread},
        lab_ready::{await_admission, make_ready},
    },
    stop_signals::stop_signals,
};

const DEFAULT_NODES: u32 = 3;

/// Name of the sample configuration in errors.
const SAMPLE_NAME: &str = "examples/intent.yaml";

/// Interval at which the lab checks whether its nodes still run.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The line that is printed once a lab serves.
#[derive(Serialize)]
struct LabReady {
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    platform: SocketAddr,
    backends: Vec<SocketAddr>,
    services: Vec<String>,
    customers: Vec<LabCustomer>,
}

#[derive(Serialize)]
struct LabCustomer {
    name: String,
    key: String,
}

/// Runs a lab until SIGTERM or SIGINT, or for the time that the flags give.
pub(crate) async fn run_lab(flags: Lab) -> Result<()> {
    let signals = stop_signals()?;
    let nodes = flags.nodes.unwrap_or(DEFAULT_NODES);
    if nodes == 0 {
        return Err(UsageError::NotPositive { flag: "--nodes" }.into());
    }
    let intent = IntentFile::parse(SAMPLE_NAME, SAMPLE_INTENT)?;
    let layout = Arc::new(LabLayout::new(nodes)?);
    let lab = LabThreads::start(&layout)?;
    let stopped = async {
        let _ = signals.recv_async().await;
    };
    let result = lab.serve(&layout, &intent, flags.seconds, stopped).await;
    result.and(lab.stop())
}

/// The threads of a running lab.
struct LabThreads {
    nodes: Vec<LabNode>,
    servers: Vec<std::thread::JoinHandle<Result<()>>>,

    /// Dropping it stops the servers.
    stop: flume::Sender<()>,
}

impl LabThreads {
    fn start(layout: &Arc<LabLayout>) -> Result<Self> {
        let (stop, stopped) = flume::bounded::<()>(0);
        let platform = start_platform(layout, stopped.clone())?;
        let backends = start_backends(layout, stopped)?;
        let nodes: Result<_> = layout.nodes.iter().cloned().map(LabNode::start).collect();
        Ok(Self { nodes: nodes?, servers: vec![platform, backends], stop })
    }

    /// Waits until the lab serves, prints the ready line, and waits for the end.
    async fn serve(
        &self,
        layout: &LabLayout,
        intent: &IntentFile,
        seconds: Option<u64>,
        stopped: impl Future<Output = ()>,
    ) -> Result<()> {
        let operators: Vec<_> = layout.nodes.iter().map(|node| node.operator_address).collect();
        let callers: Vec<_> = layout.nodes.iter().map(|node| node.caller_address).collect();
        let run = async {
            make_ready(&operators, intent, layout.plain.len()).await?;
            await_admission(&callers, intent).await?;
            print_json(&ready_line(layout, intent));
            match seconds {
                Some(seconds) => sleep(Duration::from_secs(seconds)).await,
                None => std::future::pending().await,
            }
            Ok(())
        };
        let run = run.fuse();
        let stopped = stopped.fuse();
        let nodes_ended = self.all_nodes_ended().fuse();
        pin_mut!(run, stopped, nodes_ended);
        select_biased! {
            () = stopped => Ok(()),
            () = nodes_ended => Ok(()),
            result = run => result,
        }
    }

    /// Completes when every node has ended, either drained by an operator or because it could not
    /// run.
    async fn all_nodes_ended(&self) {
        while self.nodes.iter().any(LabNode::is_running) {
            sleep(CHECK_PERIOD).await;
        }
    }

    fn stop(self) -> Result<()> {
        self.nodes.iter().for_each(LabNode::stop);
        let nodes: Vec<_> = self.nodes.into_iter().map(LabNode::join).collect();
        drop(self.stop);
        let servers: Vec<_> = self.servers.into_iter().map(join).collect();
        nodes.into_iter().chain(servers).collect()
    }
}

fn start_platform(
    layout: &LabLayout,
    stop: flume::Receiver<()>,
) -> Result<std::thread::JoinHandle<Result<()>>> {
    let (ready, started) = flume::bounded(1);
    let settings = PlatformSettings { vms: layout.entry_vms(), ..PlatformSettings::default() };
    let address = layout.platform;
    let thread = start_thread("platform".to_owned(), move || {
        Runtime::new()?.block_on(run_platform(address, settings, ready, stop));
        Ok(())
    })?;
    await_started(&started, 1)?;
    Ok(thread)
}

fn start_backends(
    layout: &Arc<LabLayout>,
    stop: flume::Receiver<()>,
) -> Result<std::thread::JoinHandle<Result<()>>> {
    let count = layout.backends().len();
    let (ready, started) = flume::bounded(count);
    let layout = Arc::clone(layout);
    let thread = start_thread("backends".to_owned(), move || {
        Runtime::new()?.block_on(run_backends(&layout, ready, stop));
        Ok(())
    })?;
    await_started(&started, count)?;
    Ok(thread)
}

fn await_started(started: &flume::Receiver<StandinResult<()>>, count: usize) -> Result<()> {
    for _ in 0..count {
        let result: Result<(), StandinError> = started.recv().map_err(|_| CtlError::LabPanicked)?;
        result?;
    }
    Ok(())
}

fn ready_line(layout: &LabLayout, intent: &IntentFile) -> LabReady {
    let mut services: Vec<_> = intent.services.iter().map(|service| &service.value).collect();
    services.sort_by_key(|service| matches!(service.backend, ServiceBackend::Plain));
    let customers = intent.customers.iter().map(|customer| LabCustomer {
        name: customer.value.name.to_string(),
        key: customer.value.key.clone(),
    });
    LabReady {
        callers: layout.nodes.iter().map(|node| node.caller_address).collect(),
        operators: layout.nodes.iter().map(|node| node.operator_address).collect(),
        platform: layout.platform,
        backends: layout.backends(),
        services: services.iter().map(|service| service.name.to_string()).collect(),
        customers: customers.collect(),
    }
}
