//! What the protocols reach the outside through.

use std::rc::Rc;

use comfreyturn_ports::{Clock, EngineControl, PeerLink, Spawner, TableStore, VmDirectory};

/// The ports that the protocols use.
#[derive(Clone)]
pub struct ControlPorts {
    /// Time.
    pub clock: Rc<dyn Clock>,

    /// Starts tasks.
    pub spawner: Rc<dyn Spawner>,

    /// The platform's table service.
    pub table: Rc<dyn TableStore>,

    /// The platform's list of VMs.
    pub directory: Rc<dyn VmDirectory>,

    /// Reports of backend servers, and orders to engines.
    pub engines: Rc<dyn EngineControl>,

    /// The way to other nodes.
    pub peers: Rc<dyn PeerLink>,
}
