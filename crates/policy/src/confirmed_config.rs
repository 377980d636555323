//! Tracks when a node's configuration was last proven to be the newest.

use std::time::{Duration, Instant};

/// The latest time at which a node can prove that its configuration was the newest.
///
/// The proof is a response of the store to a request of this node, or an attestation of another
/// node ([`ConfigAttestation`]). It is dated by the earliest time at which it can have been
/// produced, never by its arrival: a process that resumes after a pause finds old messages in its
/// sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedConfig {
    confirmed_at: Option<Instant>,
}

impl ConfirmedConfig {
    /// Records that the configuration was the newest at `moment`. An older proof has no effect.
    pub fn confirm(&mut self, moment: Instant) {
        self.confirmed_at = Some(self.confirmed_at.map_or(moment, |known| known.max(moment)));
    }

    /// Applies another node's attestation on a node that has `own_version`.
    ///
    /// The attestation was made after `echo_sent_at` and proves that its version was the newest
    /// `age` before it was made. It proves nothing about an `own_version` that is older.
    pub fn apply_attestation(&mut self, own_version: u64, attestation: &ConfigAttestation) {
        if attestation.version > own_version {
            return;
        }
        if let Some(moment) = attestation.echo_sent_at.checked_sub(attestation.age) {
            self.confirm(moment);
        }
    }

    /// The age of the proof; `None` if there is none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|moment| now.saturating_duration_since(moment))
    }

    /// Whether the configuration may be used to check keys: its proof is younger than `limit`.
    pub fn is_usable(&self, now: Instant, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// Another node's statement that its configuration was the newest a given time ago.
///
/// It may have waited in a socket for a long time, so it is not dated by its arrival. It echoes a
/// message of this node, and was made after that message was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigAttestation {
    /// The other node's version.
    pub version: u64,

    /// The age of the other node's proof when it made the attestation.
    pub age: Duration,

    /// When this node sent the message that the attestation echoes.
    pub echo_sent_at: Instant,
}

/// Relates the store's monotonic clock to the node's own.
///
/// Each response carries the store's time, read between sending the request and receiving the
/// response. The response with the shortest delay bounds the offset between the clocks best. With
/// that bound, the response to a long poll can be dated much more precisely than by the time of its
/// request.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// A time of the node's clock, and a store time. Invariant: the store's clock did not reach
    /// that store time before that time of the node's clock.
    anchor: Option<(Instant, Duration)>,
}

impl StoreClock {
    /// Records the response with `store_time` to a request sent at `sent_at`. Returns the earliest
    /// time of the node's clock at which the store can have produced it.
    ///
    /// The store's clock showed `store_time` no earlier than `sent_at`, so it showed a time `t` no
    /// earlier than `sent_at + (t - store_time)`. This holds for each recorded response; the latest
    /// of these bounds applies.
    pub fn bound_answer_time(
        &mut self,
        sent_at: Instant,
        received_at: Instant,
        store_time: Duration,
    ) -> Instant {
        let estimate = self.anchor.and_then(|(moment, anchor_time)| {
            let elapsed = store_time.checked_sub(anchor_time)?;
            moment.checked_add(elapsed)
        });
        let bound = estimate.map_or(sent_at, |estimate| estimate.max(sent_at)).min(received_at);
        self.anchor = Some((bound, store_time));
        bound
    }
}
