//! Servers whose listed place in a group may be out of date.
//!
//! The list tells what a server did when it wrote its entry. After the store was restored from an
//! older copy that may be long ago, and a server that can't reach the store stays listed where it
//! was. A server that joins a group while it is in another one, unknown to the planner, is in two
//! groups, so such a server gets no order to join before it has told its place.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_types::{GroupId, ServerLife};

/// Why a server's listed place may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleCause {
    /// The store was restored from an older copy, the server's entry shows an older group than the one
    /// before, or the server refused an order that fits its entry.
    Contradicted,

    /// This process has read the list only once, and doesn't know whether the store was restored
    /// before.
    FirstReading,

    /// The entry names no group any more, and no order to leave tells why. Another writer may have
    /// written it.
    GroupMissing,
}

/// Since when a listed place may be out of date.
#[derive(Clone, Copy, Debug)]
struct StalePlace {
    cause: StaleCause,
    since: Instant,
}

/// Settings of [`StalePlaces`].
#[derive(Clone, Copy, Debug)]
pub struct StalePlacesSettings {
    /// How old what a server reports of itself may be.
    pub report_lag: Duration,

    /// An entry that its server doesn't write again is removed within this time.
    pub entry_lifetime: Duration,
}

impl Default for StalePlacesSettings {
    fn default() -> Self {
        Self { report_lag: Duration::from_millis(500), entry_lifetime: Duration::from_secs(5) }
    }
}

/// Servers whose listed place in a group may be out of date.
#[derive(Debug, Default)]
pub struct StalePlaces {
    settings: StalePlacesSettings,
    places: HashMap<ServerLife, StalePlace>,

    /// Groups that servers confirmed to have left, until their entries show so.
    left: HashSet<(ServerLife, GroupId)>,
}

impl StalePlaces {
    /// No server's place is out of date.
    pub fn new(settings: StalePlacesSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that a server's listed place may be out of date from now on.
    pub fn mark(&mut self, now: Instant, life: &ServerLife, cause: StaleCause) {
        let known = self.places.get(life);
        let is_contradicted = known.is_some_and(|known| known.cause == StaleCause::Contradicted);
        let cause = if is_contradicted { StaleCause::Contradicted } else { cause };
        self.places.insert(life.clone(), StalePlace { cause, since: now });
    }

    /// Records that a server's entry names no group any more. That is expected once, if the server
    /// confirmed that it left the group: late orders may put it there again.
    pub fn mark_group_missing(&mut self, now: Instant, life: &ServerLife, group: &GroupId) {
        if !self.left.remove(&(life.clone(), group.clone())) {
            self.mark(now, life, StaleCause::GroupMissing);
        }
    }

    /// Records that a server carried out an order to leave a group.
    pub fn record_left(&mut self, life: &ServerLife, group: &GroupId) {
        self.left.insert((life.clone(), group.clone()));
    }

    /// Records that a server told its place when asked at `asked_at`; returns whether the place is
    /// newer than the last mark, so that it replaces the listed one.
    pub fn record_report(&mut self, life: &ServerLife, asked_at: Instant) -> bool {
        let Some(place) = self.places.get(life) else { return false };
        let is_new = asked_at.saturating_duration_since(place.since) >= self.settings.report_lag;
        if is_new {
            self.places.remove(life);
        }
        is_new
    }

    /// Records that a server that tells no place answered when asked at `asked_at`. Its entry counts
    /// again once older ones can't be left.
    pub fn record_answer(&mut self, life: &ServerLife, asked_at: Instant) {
        let lifetime = self.settings.entry_lifetime;
        let is_old =
            |place: &StalePlace| asked_at.saturating_duration_since(place.since) >= lifetime;
        if self.places.get(life).is_some_and(is_old) {
            self.places.remove(life);
        }
    }

    /// Forgets servers that are not `known`, and those whose entry must have been written again by now.
    /// A contradicted entry is not settled by time: its server may be cut off from the store.
    pub fn retain(&mut self, now: Instant, known: impl Fn(&ServerLife) -> bool) {
        let lifetime = self.settings.entry_lifetime;
        self.places.retain(|life, place| {
            let is_young = now.saturating_duration_since(place.since) < lifetime;
            known(life) && (is_young || place.cause == StaleCause::Contradicted)
        });
        self.left.retain(|(life, _)| known(life));
    }

    /// Whether the listed place of a server may be out of date.
    pub fn is_stale(&self, life: &ServerLife) -> bool {
        self.places.contains_key(life)
    }

    /// Servers that should be asked now: what they report is new enough.
    pub fn to_ask(&self, now: Instant) -> impl Iterator<Item = &ServerLife> {
        let lag = self.settings.report_lag;
        let is_due = move |place: &StalePlace| now.saturating_duration_since(place.since) >= lag;
        self.places.iter().filter(move |(_, place)| is_due(place)).map(|(life, _)| life)
    }

    /// Number of servers whose place may be out of date.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no server's place is out of date.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
