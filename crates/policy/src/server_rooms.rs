//! How many requests servers run when they turn one away.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::ServerLife;

/// The longest time for which it counts, whatever wait a server asks for.
const LONGEST_TIME: Duration = Duration::from_secs(60);

/// Settings of [`ServerRooms`].
#[derive(Clone, Copy, Debug)]
pub struct RoomSettings {
    /// What a server ran when it turned a request away counts for this many times the wait that it
    /// asked for. It may have been a passing trouble.
    pub kept_waits: u32,

    /// It counts for at least this time.
    pub least_time: Duration,
}

impl Default for RoomSettings {
    fn default() -> Self {
        Self { kept_waits: 3, least_time: Duration::from_secs(2) }
    }
}

/// What a server ran when it turned a request away, and until when that counts.
#[derive(Clone, Copy, Debug)]
struct ServerRoom {
    running: u32,
    until: Instant,
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

    /// Records that a server turned a request away while it ran `running` others, and asked for a
    /// wait. One that ran none did so for another reason than its room.
    pub fn record_refusal(
        &mut self,
        now: Instant,
        life: &ServerLife,
        running: u32,
        wait: Duration,
    ) {
        if running == 0 {
            self.rooms.remove(life);
            return;
        }
        let RoomSettings { kept_waits, least_time } = self.settings;
        let time = wait.saturating_mul(kept_waits).clamp(least_time, LONGEST_TIME);
        self.rooms.insert(life.clone(), ServerRoom { running, until: now + time });
    }

    /// How many requests a server is assumed to take; `None` if it has not turned any away lately.
    pub fn room(&self, now: Instant, life: &ServerLife) -> Option<u32> {
        let room = self.rooms.get(life)?;
        (now < room.until).then_some(room.running)
    }

    /// Keeps only the servers for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(&ServerLife) -> bool) {
        self.rooms.retain(|life, _| keep(life));
    }
}
