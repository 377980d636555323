//! The servers in the platform's list.

use std::collections::{BTreeMap, HashSet};

use comfreyturn_policy::{ReportedGroup, reported_groups};
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{EngineSpec, FleetServer, GroupId, ServerLife, ServiceName, VmId};

/// What a reading changed.
#[derive(Debug, Default)]
pub struct AppliedReading {
    /// Servers that are in the list no more.
    pub dropped: Vec<FleetServer>,

    /// Whether a server came, went, or changed its place in a group.
    pub has_news: bool,
}

/// The servers in the platform's list, as they were last read.
#[derive(Debug, Default)]
pub struct ServerBook {
    servers: BTreeMap<VmId, FleetServer>,

    /// Groups that were told whole, with their epochs. One of their members may be dropped from
    /// the list and serve on.
    whole: HashSet<(GroupId, u64)>,
}

impl ServerBook {
    /// Takes in a reading. With `keeps`, servers that it lacks stay.
    pub fn apply(&mut self, reading: ServerReading, keeps: bool) -> AppliedReading {
        let before = self.servers.clone();
        if reading.is_whole && !keeps {
            self.servers.clear();
        }
        for change in reading.changes {
            match change {
                ServerChange::Listed(server) => {
                    if before.get(&server.life.vm).is_none_or(|old| old.life != server.life) {
                        let place = server.fabric_domain.as_ref().map_or("none", |d| d.as_str());
                        log::debug!("servers: {} listed, fabric domain {place}.", server.life);
                    }
                    self.servers.insert(server.life.vm.clone(), *server);
                }
                ServerChange::Dropped(vm) if !keeps => {
                    self.servers.remove(&vm);
                }
                ServerChange::Dropped(_) => {}
            }
        }
        let told = |name: &GroupId| {
            let members = self.servers.values().filter_map(|server| server.membership.as_ref());
            members.into_iter().any(|membership| membership.group == *name)
        };
        self.whole.retain(|(name, _)| told(name));
        let place = |server: &FleetServer| (server.membership.clone(), server.leaving);
        let same = |old: &FleetServer| self.get(&old.life).map(place) == Some(place(old));
        let has_news = before.len() != self.servers.len() || !before.values().all(same);
        let dropped = before.into_values().filter(|server| self.get(&server.life).is_none());
        AppliedReading { dropped: dropped.collect(), has_news }
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

    /// Groups of a service that serve: the head is listed and open, and every member was ready.
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

    /// The groups that the servers of a service tell.
    pub fn groups<'a>(
        &'a self,
        service: &ServiceName,
        engine: &'a EngineSpec,
    ) -> Vec<ReportedGroup<'a>> {
        reported_groups(self.all(), service, engine)
    }
}
