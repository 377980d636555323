//! What nodes tell each other about servers that refuse requests without asking for a wait.

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_proto::peer;
use comfreyturn_types::ServerLife;

use crate::beat_codec::server_tag;

/// The most servers of each kind in a datagram; the newest news go first.
const MAX_SERVERS: usize = 64;

/// Which servers refuse requests, and which take them again, as a node or a set of nodes saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RefusalReport {
    /// When servers last refused a request of a node, after others in a row.
    pub refused: HashMap<ServerLife, Instant>,

    /// When servers of which nodes told that they refuse requests last delivered data.
    pub answered: HashMap<ServerLife, Instant>,
}

impl RefusalReport {
    /// Adds another report to this one.
    pub fn merge(&mut self, other: &Self) {
        add_newest(&mut self.refused, &other.refused);
        add_newest(&mut self.answered, &other.answered);
    }

    /// Takes out what this node told itself: on its way through other nodes it seems to become
    /// younger.
    pub fn subtract(&mut self, own: &Self) {
        self.refused.retain(|life, _| !own.refused.contains_key(life));
        self.answered.retain(|life, _| !own.answered.contains_key(life));
    }

    /// Encodes the report; `None` if there is nothing to tell.
    pub(crate) fn encode(&self, now: Instant) -> Option<peer::ServerRefusals> {
        if self.refused.is_empty() && self.answered.is_empty() {
            return None;
        }
        let (servers, ages_ms) = encode_times(now, &self.refused);
        let (answered, answered_ages_ms) = encode_times(now, &self.answered);
        Some(peer::ServerRefusals { servers, ages_ms, answered, answered_ages_ms })
    }

    /// Decodes a report. Servers that `find` doesn't know are left out.
    pub(crate) fn decode(
        now: Instant,
        message: &peer::ServerRefusals,
        find: impl Fn(u32) -> Option<ServerLife>,
    ) -> Self {
        let times = |tags: &[u32], ages_ms: &[u32]| -> HashMap<ServerLife, Instant> {
            let entries = tags.iter().zip(ages_ms).take(MAX_SERVERS);
            let entry = |(tag, age): (&u32, &u32)| {
                Some((find(*tag)?, now.checked_sub(Duration::from_millis(u64::from(*age)))?))
            };
            entries.filter_map(entry).collect()
        };
        Self {
            refused: times(&message.servers, &message.ages_ms),
            answered: times(&message.answered, &message.answered_ages_ms),
        }
    }
}

fn add_newest(times: &mut HashMap<ServerLife, Instant>, others: &HashMap<ServerLife, Instant>) {
    for (life, at) in others {
        let newest = times.entry(life.clone()).or_insert(*at);
        *newest = (*newest).max(*at);
    }
}

fn encode_times(now: Instant, times: &HashMap<ServerLife, Instant>) -> (Vec<u32>, Vec<u32>) {
    let mut times: Vec<_> = times.iter().collect();
    times.sort_by_key(|(_, at)| Reverse(**at));
    let entry = |(life, at): (&ServerLife, &Instant)| {
        let age = now.saturating_duration_since(*at).as_millis();
        (server_tag(life), u32::try_from(age).unwrap_or(u32::MAX))
    };
    times.into_iter().take(MAX_SERVERS).map(entry).unzip()
}
