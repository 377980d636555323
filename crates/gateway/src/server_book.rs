//! The servers in the platform's list.

use std::collections::BTreeMap;

use comfreyturn_policy::{ToldGroup, told_groups};
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{EngineSpec, FleetServer, ServerLife, ServiceName, VmId};

/// The servers in the platform's list, as they were last read.
#[derive(Debug, Default)]
pub struct ServerBook {
    servers: BTreeMap<VmId, FleetServer>,
}

impl ServerBook {
    /// Takes in a reading.
    pub fn apply(&mut self, reading: ServerReading) {
        if reading.is_whole {
            self.servers.clear();
        }
        for change in reading.changes {
            match change {
                ServerChange::Listed(server) => {
                    self.servers.insert(server.life.vm.clone(), *server);
                }
                ServerChange::Dropped(vm) => {
                    self.servers.remove(&vm);
                }
            }
        }
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &FleetServer> {
        self.servers.values()
    }

    /// One life of a server, if it is in the list.
    pub fn get(&self, life: &ServerLife) -> Option<&FleetServer> {
        self.servers.get(&life.vm).filter(|server| server.life == *life)
    }

    /// Servers of a plain service that take new work.
    pub fn plain<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a FleetServer> + 'a {
        self.all().filter(move |server| server.service == *service && !server.leaving)
    }

    /// The groups that the servers of a service tell.
    pub fn groups<'a>(
        &'a self,
        service: &ServiceName,
        engine: &'a EngineSpec,
    ) -> Vec<ToldGroup<'a>> {
        told_groups(self.all(), service, engine)
    }
}
