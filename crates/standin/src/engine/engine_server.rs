//! The TCP server of a model engine.

use std::{net::SocketAddr, rc::Rc};

use compio::net::TcpListener;

use crate::{
    EngineRecords, EngineSettings, RunJournal, ServerEnd, StandinResult,
    engine::engine_service::EngineService,
    http_server::{listen, serve_http},
};

/// A model engine.
///
/// Besides the protocols of backend servers it serves `POST /control/leave` and
/// `GET /control/records` ([`EngineRecords`]).
pub struct EngineServer {
    listener: TcpListener,
    address: SocketAddr,
    engine: EngineGuard,
    crash: flume::Receiver<()>,
}

impl EngineServer {
    /// Opens the listener; [`serve`](Self::serve) accepts connections.
    pub async fn bind(address: SocketAddr, settings: EngineSettings) -> StandinResult<Self> {
        let listener = listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let (crash_sender, crash) = flume::bounded(1);
        let engine = EngineGuard(Rc::new(EngineService::new(settings, address, crash_sender)));
        Ok(Self { listener, address, engine, crash })
    }

    /// The address that it listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// The engine's records, which stay readable after the server has ended.
    pub fn journal(&self) -> RunJournal<EngineRecords> {
        self.engine.0.journal()
    }

    /// Announces the VM to the platform, then serves until `stop` receives a message or is closed,
    /// or until a request crashes the engine.
    pub async fn serve(self, stop: flume::Receiver<()>) -> ServerEnd {
        let engine = &self.engine.0;
        engine.announce();
        serve_http(self.listener, engine.clone(), stop, self.crash).await
    }
}

/// Ends the engine's tasks on drop: when its server stops, crashes or is cancelled.
struct EngineGuard(Rc<EngineService>);

impl Drop for EngineGuard {
    fn drop(&mut self) {
        self.0.end_tasks();
    }
}
