//! Platform and backend servers of a lab.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_standin::{
    EngineServer, EngineSettings, PlainServer, PlainSettings, PlatformServer, PlatformSettings,
    ServerEnd, StandinResult,
};
use compio::{runtime::spawn, time::sleep};
use futures_util::future::join_all;

use crate::lab::lab_layout::LabLayout;

/// Pause before a crashed backend server is restarted.
const RESTART_PAUSE: Duration = Duration::from_secs(2);

/// Runs the platform until `stop` is closed.
pub(crate) async fn run_platform(
    address: SocketAddr,
    settings: PlatformSettings,
    ready: flume::Sender<StandinResult<()>>,
    stop: flume::Receiver<()>,
) {
    let server = match PlatformServer::bind(address, settings).await {
        Ok(server) => server,
        Err(error) => return report(&ready, Err(error)),
    };
    report(&ready, Ok(()));
    server.serve(stop).await;
}

/// Runs all backend servers until `stop` is closed.
pub(crate) async fn run_backends(
    layout: &LabLayout,
    ready: flume::Sender<StandinResult<()>>,
    stop: flume::Receiver<()>,
) {
    let mut tasks = Vec::new();
    for (address, settings) in layout.engines.clone() {
        tasks.push(spawn(run_engine(address, settings, ready.clone(), stop.clone())));
    }
    for (address, settings) in layout.plain.clone() {
        tasks.push(spawn(run_plain(address, settings, ready.clone(), stop.clone())));
    }
    drop(ready);
    join_all(tasks).await;
}

/// Runs an engine, and restarts it after each crash.
async fn run_engine(
    address: SocketAddr,
    settings: EngineSettings,
    ready: flume::Sender<StandinResult<()>>,
    stop: flume::Receiver<()>,
) {
    loop {
        let server = match EngineServer::bind(address, settings.clone()).await {
            Ok(server) => server,
            Err(error) => return report(&ready, Err(error)),
        };
        report(&ready, Ok(()));
        if server.serve(stop.clone()).await == ServerEnd::Stopped {
            return;
        }
        log::warn!("lab: {} crashed.", settings.vm);
        sleep(RESTART_PAUSE).await;
    }
}

/// Runs a plain server, and restarts it after each crash.
async fn run_plain(
    address: SocketAddr,
    settings: PlainSettings,
    ready: flume::Sender<StandinResult<()>>,
    stop: flume::Receiver<()>,
) {
    loop {
        let server = match PlainServer::bind(address, settings.clone()).await {
            Ok(server) => server,
            Err(error) => return report(&ready, Err(error)),
        };
        report(&ready, Ok(()));
        if server.serve(stop.clone()).await == ServerEnd::Stopped {
            return;
        }
        log::warn!("lab: {} crashed.", settings.vm);
        sleep(RESTART_PAUSE).await;
    }
}

/// Reports whether a server listens. After the lab has started, the receiver of reports is gone, and
/// errors are logged instead.
fn report(ready: &flume::Sender<StandinResult<()>>, result: StandinResult<()>) {
    if let Err(flume::TrySendError::Disconnected(Err(error))) = ready.try_send(result) {
        log::error!("lab: {error}.");
    }
}
