//! Ports that the request service uses.

use std::{rc::Rc, time::Instant};

use comfreyturn_ports::{BackendTransport, Clock, Spawner, TableStore};

/// Ports that the request service uses.
#[derive(Clone)]
pub struct ServingPorts {
    /// Time and timers.
    pub clock: Rc<dyn Clock>,

    /// Spawns tasks.
    pub spawner: Rc<dyn Spawner>,

    /// The platform's table service.
    pub table: Rc<dyn TableStore>,

    /// Requests to backend servers.
    pub backends: Rc<dyn BackendTransport>,
}

impl ServingPorts {
    /// The present time.
    #[inline]
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }
}
