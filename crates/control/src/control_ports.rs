//! The ports through which the protocols do all I/O.

use std::rc::Rc;

use comfreyturn_ports::{Clock, EngineControl, PeerLink, Spawner, TableStore, VmDirectory};

/// The ports that the protocols use.
#[derive(Clone)]
pub struct ControlPorts {
    /// The clock of this node.
    pub clock: Rc<dyn Clock>,

    /// Starts tasks.
    pub spawner: Rc<dyn Spawner>,

    /// The platform's table service.
    pub table: Rc<dyn TableStore>,

    /// The platform's list of VMs.
    pub directory: Rc<dyn VmDirectory>,

    /// Reports of backend servers, and orders to engines.
    pub engines: Rc<dyn EngineControl>,

    /// Connections to other nodes.
    pub peers: Rc<dyn PeerLink>,
}
