//! Since when servers have been seen in their groups.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use comfreyturn_types::{FleetServer, GroupId, ServerLife};

/// Groups of a server that are remembered, the newest ones.
const KNOWN_GROUPS: usize = 4;

/// Since when servers have been seen in their groups, by their entries.
///
/// Orders by which a server came into a group were sent before it was seen there. So a node that
/// takes over the planning knows how old they are at least.
#[derive(Debug, Default)]
pub struct GroupSightings {
    groups: HashMap<ServerLife, VecDeque<(GroupId, Instant)>>,
}

impl GroupSightings {
    /// Records an entry.
    pub fn record(&mut self, now: Instant, server: &FleetServer) {
        let Some(place) = &server.membership else { return };
        let groups = self.groups.entry(server.life.clone()).or_default();
        if groups.iter().any(|(known, _)| *known == place.group) {
            return;
        }
        groups.push_back((place.group.clone(), now));
        if groups.len() > KNOWN_GROUPS {
            groups.pop_front();
        }
    }

    /// When a server was first seen in a group; `None` if it wasn't.
    pub fn first_seen(&self, life: &ServerLife, group: &GroupId) -> Option<Instant> {
        let groups = self.groups.get(life)?;
        groups.iter().find(|(known, _)| known == group).map(|(_, at)| *at)
    }

    /// Forgets servers that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&ServerLife) -> bool) {
        self.groups.retain(|life, _| known(life));
    }
}
