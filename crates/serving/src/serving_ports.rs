//! The ways out that serving uses.

use std::{rc::Rc, time::Instant};

use comfreyturn_ports::{BackendTransport, Clock, Spawner, TableStore};

/// The ways out that serving uses.
#[derive(Clone)]
pub struct ServingPorts {
    /// Time.
    pub clock: Rc<dyn Clock>,

    /// Starts tasks.
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
