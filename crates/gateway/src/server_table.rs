//! The servers in the platform's list.

use std::collections::{BTreeMap, HashMap, HashSet};

use comfreyturn_policy::{ReportedGroup, reported_groups};
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{
    EngineSpec, FleetServer, GroupId, GroupMembership, ServerLife, ServiceName, VmId,
};

use crate::beat_codec::server_tag;

/// The changes made by a reading.
#[derive(Debug, Default)]
pub struct AppliedReading {
    /// Servers that are no longer in the list.
    pub dropped: Vec<FleetServer>,

    /// VMs whose entry differs from the one before.
    pub changed: Vec<VmId>,

    /// Whether a server was added or removed, changed its membership, or began or stopped leaving.
    pub has_changes: bool,

    /// Servers whose entry shows an older group than the entry before, or none any more.
    pub regressed: Vec<RegressedEntry>,
}

/// An entry that shows an older group than the entry before, or none any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegressedEntry {
    /// The server.
    pub life: ServerLife,

    /// The group of the entry before.
    pub known_group: GroupId,

    /// Whether the entry shows no group.
    pub is_free: bool,
}

/// What a reading leaves as it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeptEntries {
    /// Servers that are missing from it: their entries may have expired while they live.
    pub missing: bool,

    /// Entries that show no newer group than those known: the reading is of an older copy.
    pub known: bool,
}

/// The servers in the platform's list, as last read.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<VmId, FleetServer>,

    /// The listed servers by their tags in messages between nodes.
    tags: HashMap<u32, ServerLife>,

    /// Groups that were seen whole, with their epochs. Remembered because a member that leaves the
    /// list may still serve.
    whole: HashSet<(GroupId, u64)>,
}

impl ServerTable {
    /// Applies a reading.
    pub fn apply(&mut self, reading: ServerReading, kept: KeptEntries) -> AppliedReading {
        let mut applied = AppliedReading::default();
        let mut missing: HashSet<VmId> = HashSet::new();
        if reading.is_whole && !kept.missing {
            missing = self.servers.keys().cloned().collect();
        }
        for change in reading.changes {
            match change {
                ServerChange::Listed(server) => {
                    missing.remove(&server.life.vm);
                    self.insert(*server, kept.known, &mut applied);
                }
                ServerChange::Dropped(vm) if !kept.missing => {
                    missing.insert(vm);
                }
                ServerChange::Dropped(_) => {}
            }
        }
        for vm in missing {
            self.remove(&vm, &mut applied);
        }
        if applied.has_changes {
            self.forget_groups();
        }
        applied
    }

    fn insert(&mut self, mut server: FleetServer, keep_known: bool, applied: &mut AppliedReading) {
        let vm = server.life.vm.clone();
        let old = self.servers.get(&vm);
        let same_life = old.filter(|old| old.life == server.life);
        if let Some(old) = same_life {
            applied.regressed.extend(regression(old, &server));
            if keep_known && epoch(&server) <= epoch(old) {
                server = FleetServer { leaving: old.leaving || server.leaving, ..old.clone() };
            }
        }
        if old == Some(&server) {
            return;
        }
        let status = |server: &FleetServer| (server.membership.clone(), server.leaving);
        applied.has_changes |= same_life.map(status) != Some(status(&server));
        if same_life.is_none() {
            let domain = server.fabric_domain.as_ref().map_or("none", |domain| domain.as_str());
            log::debug!("servers: {} listed, fabric domain {domain}.", server.life);
            if let Some(old) = self.servers.remove(&vm) {
                self.tags.remove(&server_tag(&old.life));
                applied.dropped.push(old);
            }
        }
        self.tags.insert(server_tag(&server.life), server.life.clone());
        self.servers.insert(vm.clone(), server);
        applied.changed.push(vm);
    }

    /// Sets the place that a listed server told itself; returns whether it was listed elsewhere.
    pub fn set_place(&mut self, life: &ServerLife, place: Option<GroupMembership>) -> bool {
        let server = self.servers.get_mut(&life.vm).filter(|server| server.life == *life);
        let Some(server) = server.filter(|server| server.membership != place) else { return false };
        server.membership = place;
        self.forget_groups();
        true
    }

    fn remove(&mut self, vm: &VmId, applied: &mut AppliedReading) {
        if let Some(old) = self.servers.remove(vm) {
            self.tags.remove(&server_tag(&old.life));
            applied.dropped.push(old);
            applied.changed.push(vm.clone());
            applied.has_changes = true;
        }
    }

    /// Forgets whole groups that no server reports any more.
    fn forget_groups(&mut self) {
        let members = self.servers.values().filter_map(|server| server.membership.as_ref());
        let reported: HashSet<&GroupId> = members.map(|membership| &membership.group).collect();
        self.whole.retain(|(name, _)| reported.contains(name));
    }

    /// The listed server with this tag.
    pub(crate) fn by_tag(&self, tag: u32) -> Option<&ServerLife> {
        self.tags.get(&tag)
    }

    /// The entry of a VM.
    pub(crate) fn by_vm(&self, vm: &VmId) -> Option<&FleetServer> {
        self.servers.get(vm)
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
        let Self { servers, whole, .. } = self;
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

/// What an entry says less than the one before of the same life. Epochs of a life only rise.
fn regression(old: &FleetServer, server: &FleetServer) -> Option<RegressedEntry> {
    let known = old.membership.as_ref().filter(|known| epoch(server) < Some(known.epoch))?;
    Some(RegressedEntry {
        life: server.life.clone(),
        known_group: known.group.clone(),
        is_free: server.membership.is_none(),
    })
}

/// The epoch of a server's group; `None`, which is the lowest, without a group.
fn epoch(server: &FleetServer) -> Option<u64> {
    server.membership.as_ref().map(|membership| membership.epoch)
}
