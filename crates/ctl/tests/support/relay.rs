//! Relays whose connections a test can hold back.

use std::{net::SocketAddr, thread};

use comfreyturn_standin::{RelayControl, RelayMode, RelayServer};
use compio::runtime::Runtime;

/// A relay on its own thread, stopped on drop.
pub struct OwnRelay {
    pub address: SocketAddr,
    control: RelayControl,
    _stop: flume::Sender<()>,
}

impl OwnRelay {
    /// Starts a relay in front of `target`.
    pub fn start(target: SocketAddr) -> Self {
        let (stop, stopped) = flume::bounded(1);
        let (ready, started) = flume::bounded(1);
        thread::spawn(move || {
            Runtime::new().unwrap().block_on(async move {
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let relay = RelayServer::bind(any, target).await.unwrap();
                ready.send((relay.local_address(), relay.control())).unwrap();
                relay.serve(stopped).await;
            });
        });
        let (address, control) = started.recv().unwrap();
        Self { address, control, _stop: stop }
    }

    /// Sets which directions pass.
    pub fn set_mode(&self, mode: RelayMode) {
        Runtime::new().unwrap().block_on(self.control.set_mode(mode));
    }
}
