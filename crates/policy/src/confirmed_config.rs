//! How long ago a configuration was known to be the newest.

use std::time::{Duration, Instant};

/// The newest moment at which no configuration newer than the held one existed, for all that a
/// node can prove.
///
/// The proof is an answer of the store to a question of the node's own, or the word of another
/// node ([`ConfigAttestation`]). It is dated by the earliest moment at which it can have been given,
/// never by its arrival: a process that wakes from a freeze finds old answers in its sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedConfig {
    confirmed_at: Option<Instant>,
}

impl ConfirmedConfig {
    /// Notes that the configuration was the newest at `moment`. Older proofs change nothing.
    pub fn confirm(&mut self, moment: Instant) {
        self.confirmed_at = Some(self.confirmed_at.map_or(moment, |known| known.max(moment)));
    }

    /// Takes in the word of another node, for a node that holds `own_version`. Nothing newer than
    /// the other node's version existed `age` before its word, which it gave after `echo_sent_at`; that
    /// proves something only to those who hold that version or a newer one.
    pub fn apply_attestation(&mut self, own_version: u64, vouch: &ConfigAttestation) {
        if vouch.version > own_version {
            return;
        }
        if let Some(moment) = vouch.echo_sent_at.checked_sub(vouch.age) {
            self.confirm(moment);
        }
    }

    /// How old the proof is; `None` if there never was one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|moment| now.saturating_duration_since(moment))
    }

    /// Whether the configuration may decide about keys: its proof is younger than `limit`.
    pub fn is_usable(&self, now: Instant, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// The word of another node on the configuration.
///
/// It may have waited in a socket for long. What dates it is a message of this node that the other
/// one had taken in before it gave its word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigAttestation {
    /// The version that the other node holds.
    pub version: u64,

    /// How old the other node's proof was when it gave its word.
    pub age: Duration,

    /// When this node sent the message that the other one had taken in by then.
    pub echo_sent_at: Instant,
}

/// Relates the steady clock of the store to the node's own.
///
/// Each answer carries the store's time, read between sending the question and receiving the
/// answer. The answer with the shortest way bounds the difference of the clocks best; with it, an
/// answer that the store held back (a long poll) can be dated much closer than by its question.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// A moment of the node's clock, and the store's time that was surely reached by then.
    anchor: Option<(Instant, Duration)>,
}

impl StoreClock {
    /// Takes in an answer, received at `received_at`, with the store's time to a question sent at
    /// `sent_at`. Returns the earliest moment of the node's clock at which the store can have
    /// given it.
    ///
    /// The store's clock showed `store_time` no earlier than `sent_at`. So a moment at which it
    /// showed `t` is no earlier than `sent_at + (t - store_time)`, for each answer ever taken in:
    /// the latest of these bounds holds.
    pub fn bound_answer_time(
        &mut self,
        sent_at: Instant,
        received_at: Instant,
        store_time: Duration,
    ) -> Instant {
        let dated = self.anchor.and_then(|(moment, shown)| {
            let since = store_time.checked_sub(shown)?;
            moment.checked_add(since)
        });
        let bound = dated.map_or(sent_at, |dated| dated.max(sent_at)).min(received_at);
        self.anchor = Some((bound, store_time));
        bound
    }
}
