//! How many requests servers run when they turn one away.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::ServerLife;

/// Settings of [`ServerRooms`].
#[derive(Clone, Copy, Debug)]
pub struct RoomSettings {
    /// A server is assumed to take more requests each time that this has passed.
    pub growth_period: Duration,

    /// By how much: one in so many of what it ran, and at least one.
    pub growth_divisor: u32,
}

impl Default for RoomSettings {
    fn default() -> Self {
        Self { growth_period: Duration::from_secs(10), growth_divisor: 4 }
    }
}

/// What a server ran when it turned a request away, and when.
#[derive(Clone, Copy, Debug)]
struct ServerRoom {
    running: u32,
    at: Instant,
}

/// How many requests servers run when they turn one away and ask this node to wait. A server may
/// have less room than the list says; a node that goes on sending it more is turned away again and
/// again, and each time it may send nothing for the whole wait, while places there become free.
#[derive(Debug, Default)]
pub struct ServerRooms {
    settings: RoomSettings,
    rooms: HashMap<ServerLife, ServerRoom>,
}

impl ServerRooms {
    /// Creates rooms of no server.
    pub fn new(settings: RoomSettings) -> Self {
        Self { settings, rooms: HashMap::new() }
    }

    /// Records that a server turned a request away while it ran `running` others. One that ran none
    /// did so for another reason than its room.
    pub fn record_refusal(&mut self, now: Instant, life: &ServerLife, running: u32) {
        if running == 0 {
            self.rooms.remove(life);
        } else {
            self.rooms.insert(life.clone(), ServerRoom { running, at: now });
        }
    }

    /// How many requests a server is assumed to take; `None` if it has not turned any away.
    pub fn room(&self, now: Instant, life: &ServerLife) -> Option<u32> {
        let ServerRoom { running, at } = *self.rooms.get(life)?;
        let age = now.saturating_duration_since(at).as_millis();
        let periods = age / self.settings.growth_period.as_millis().max(1);
        let growth = (running / self.settings.growth_divisor.max(1)).max(1);
        let grown = growth.saturating_mul(u32::try_from(periods).unwrap_or(u32::MAX));
        Some(running.saturating_add(grown))
    }

    /// Keeps only the servers for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(&ServerLife) -> bool) {
        self.rooms.retain(|life, _| keep(life));
    }
}
