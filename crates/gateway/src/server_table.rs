//! The servers in the platform's list.

use std::collections::{BTreeMap, HashSet};

use comfreyturn_policy::{ReportedGroup, reported_groups};
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{EngineSpec, FleetServer, GroupId, ServerLife, ServiceName, VmId};

/// The changes made by a reading.
#[derive(Debug, Default)]
pub struct AppliedReading {
    /// Servers that are no longer in the list.
    pub dropped: Vec<FleetServer>,

    /// Whether a server was added or removed, changed its membership, or began or stopped leaving.
    pub has_changes: bool,
}

/// The servers in the platform's list, as last read.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<VmId, FleetServer>,

    /// Groups that were seen whole, with their epochs. Remembered because a member that leaves the
    /// list may still serve.
    whole: HashSet<(GroupId, u64)>,
}

impl ServerTable {
    /// Applies a reading. With `keep_missing`, servers that are missing from it are kept.
    pub fn apply(&mut self, reading: ServerReading, keep_missing: bool) -> AppliedReading {
        let before = self.servers.clone();
        if reading.is_whole && !keep_missing {
            self.servers.clear();
        }
        for change in reading.changes {
            match change {
                ServerChange::Listed(server) => {
                    if before.get(&server.life.vm).is_none_or(|old| old.life != server.life) {
                        let domain = server.fabric_domain.as_ref().map_or("none", |d| d.as_str());
                        log::debug!("servers: {} listed, fabric domain {domain}.", server.life);
                    }
                    self.servers.insert(server.life.vm.clone(), *server);
                }
                ServerChange::Dropped(vm) if !keep_missing => {
                    self.servers.remove(&vm);
                }
                ServerChange::Dropped(_) => {}
            }
        }
        let is_reported = |name: &GroupId| {
            let members = self.servers.values().filter_map(|server| server.membership.as_ref());
            members.into_iter().any(|membership| membership.group == *name)
        };
        self.whole.retain(|(name, _)| is_reported(name));
        let status = |server: &FleetServer| (server.membership.clone(), server.leaving);
        let is_unchanged = |old: &FleetServer| self.get(&old.life).map(status) == Some(status(old));
        let has_changes = before.len() != self.servers.len() || !before.values().all(is_unchanged);
        let dropped = before.into_values().filter(|server| self.get(&server.life).is_none());
        AppliedReading { dropped: dropped.collect(), has_changes }
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &FleetServer> {
        self.servers.values()
    }

    /// The server with this life, if it is in the list.
    pub fn get(&self, life: &ServerLife) -> Option<&FleetServer> {
        self.servers.get(&life.vm).filter(|server| server.life == *life)
    }

    /// Servers of a plain service, one without groups, that accept new requests.
    pub fn plain<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a FleetServer> + 'a {
        self.all().filter(move |server| server.service == *service && !server.leaving)
    }

    /// Groups of a service that serve: the head is listed and open, and the group was whole at some
    /// time in this epoch.
    pub fn serving_groups<'a>(
        &'a mut self,
        service: &ServiceName,
        engine: &'a EngineSpec,
    ) -> Vec<ReportedGroup<'a>> {
        let Self { servers, whole } = self;
        let mut groups = reported_groups(servers.values(), service, engine);
        for group in groups.iter().filter(|group| group.is_whole()) {
            whole.insert((group.group.clone(), group.epoch));
        }
        groups
            .retain(|group| group.is_open() && whole.contains(&(group.group.clone(), group.epoch)));
        groups
    }

    /// The groups reported by the servers of a service.
    pub fn groups<'a>(
        &'a self,
        service: &ServiceName,
        engine: &'a EngineSpec,
    ) -> Vec<ReportedGroup<'a>> {
        reported_groups(self.all(), service, engine)
    }
}
