//! This node's part of what servers with a rate limit take from all nodes.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{NodeId, RequestRate, ServerLife};

use crate::{SenderRoster, rendezvous_order, token_bucket::TokenBucket};

/// Settings of [`SendQuotas`]. Invariant: the same at all nodes.
#[derive(Clone, Copy, Debug)]
pub struct SendQuotaSettings {
    /// Nodes that send to a server, whatever its limit. With two of them, a third one that counts
    /// itself in by mistake adds half of the limit.
    pub least_senders: usize,

    /// A server has one more sender for each such part of its limit.
    pub rate_per_sender: RequestRate,

    /// Requests that a sender saves up while it has none to send. Invariant: at least one.
    pub burst: f64,

    /// Interval at which the senders of a server are chosen anew.
    pub choice_period: Duration,

    /// A limit that no node heard of for this time may be over: now and then a node tries.
    pub trial_age: Duration,

    /// A bound on the requests within any one second; `None` if only the rate is kept.
    pub second_bound: Option<SecondBound>,
}

/// A bound on the requests that all nodes together send to a server within any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondBound {
    /// The bound is the limit times this, plus `slack`.
    pub over: f64,

    /// Requests beyond the limit times `over`.
    pub slack: f64,

    /// The bound holds with so many senders more than there should be, since nodes may know
    /// different nodes for a while.
    pub spare_senders: u32,
}

impl Default for SecondBound {
    fn default() -> Self {
        Self { over: 1.0, slack: 0.0, spare_senders: 2 }
    }
}

/// Requests per second of a sender that never sends two of them within one second. A bit less than
/// one, since the way to the server doesn't take the same time for all.
const SINGLE_RATE: f64 = 0.95;

impl SecondBound {
    /// The largest number of requests within a second.
    pub fn most(&self, limit: RequestRate) -> f64 {
        limit.per_second() * self.over.max(0.0) + self.slack.max(0.0)
    }

    /// The number of senders: so many that each sends less than one request a second, if there are
    /// as many nodes and the bound admits one request of each, and of the spare ones, at once.
    fn senders(&self, limit: RequestRate, nodes: usize) -> usize {
        let admitted = self.most(limit) - f64::from(self.spare_senders);
        let wanted = limit.per_second().ceil() + 1.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at least one, and a conversion that is out of range takes the largest value"
        )]
        let senders = wanted.min(admitted.floor()).max(1.0) as usize;
        senders.min(nodes.max(1))
    }

    /// The rate of each of some senders. Within a second, a sender that saves up one request sends
    /// at most one more than its rate, and at most one at [`SINGLE_RATE`].
    fn part(&self, limit: RequestRate, senders: usize) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
        let senders = senders.max(1) as f64;
        let admitted = self.most(limit) / (senders + f64::from(self.spare_senders)) - 1.0;
        (limit.per_second() / senders).min(admitted.max(SINGLE_RATE))
    }
}

impl Default for SendQuotaSettings {
    fn default() -> Self {
        Self {
            least_senders: 2,
            rate_per_sender: RequestRate { milli: 1000 },
            burst: 1.5,
            choice_period: Duration::from_secs(1),
            trial_age: Duration::from_secs(5),
            second_bound: None,
        }
    }
}

impl SendQuotaSettings {
    /// Settings for servers that tolerate no more than a bound within a second. A sender saves up
    /// one request, and none goes to a server beyond the parts to see whether it tolerates more.
    pub fn within_second(bound: SecondBound) -> Self {
        Self { burst: 1.0, trial_age: Duration::MAX, second_bound: Some(bound), ..Self::default() }
    }

    /// The number of nodes that send to a server with this limit.
    fn senders(&self, limit: RequestRate, nodes: usize) -> usize {
        if let Some(bound) = &self.second_bound {
            return bound.senders(limit, nodes);
        }
        let further = limit.milli / self.rate_per_sender.milli.max(1);
        let further = usize::try_from(further).unwrap_or(usize::MAX);
        further.saturating_add(1).max(self.least_senders).min(nodes)
    }

    /// The rate of each of some senders, in requests per second.
    fn part(&self, limit: RequestRate, senders: usize) -> f64 {
        match &self.second_bound {
            Some(bound) => bound.part(limit, senders),
            None => limit.per_second() / senders as f64,
        }
    }
}

/// What a server said about its limit, as this node knows it.
#[derive(Clone, Copy, Debug)]
pub struct KnownLimit {
    /// The rate that the server takes from all nodes together.
    pub rate: RequestRate,

    /// When a node last received an answer that says so.
    pub stated_at: Instant,
}

/// Whether a request may be sent to a server, as far as the server asked for less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermit {
    /// The server states no limit.
    Unlimited,

    /// This node has not used its part of the limit yet.
    Quota,

    /// This node has no part of the limit, or has used it.
    Withheld,

    /// The server asked this node to wait.
    Waiting,

    /// The server is cold, and this node has not used its part of what it tolerates yet.
    ColdQuota,

    /// The server is cold, and this node has no part of what it tolerates, or has used it.
    ColdWithheld,
}

impl SendPermit {
    /// Whether the request may be sent.
    pub fn is_sendable(self) -> bool {
        matches!(self, Self::Unlimited | Self::Quota | Self::ColdQuota)
    }
}

/// This node's part of one server's limit.
#[derive(Clone, Debug)]
struct SendQuota {
    limit: RequestRate,

    /// Fills at this node's part of the limit; the rate is zero if this node is no sender.
    bucket: TokenBucket,

    /// When the senders were last chosen.
    chosen_at: Instant,
}

/// This node's part of what servers with a rate limit take from all nodes.
///
/// A few nodes, the first ones of the server's rendezvous order, send to it, each at an equal part
/// of its limit. No messages are needed to agree on them, and a part is large enough to be used:
/// an equal part for each of hundreds of nodes would let one request through in minutes, and a
/// burst of one request at each node would exceed the limit by their number.
///
/// While nodes know different nodes, a server has a few senders too many, at most for the time that
/// news take. A new sender starts without saved requests.
#[derive(Debug)]
pub struct SendQuotas {
    settings: SendQuotaSettings,
    node: NodeId,
    quotas: HashMap<ServerLife, SendQuota>,
}

impl SendQuotas {
    /// Creates the quotas of a node.
    pub fn new(settings: SendQuotaSettings, node: NodeId) -> Self {
        Self { settings, node, quotas: HashMap::new() }
    }

    /// Whether this node may send a request to a server now. `draw` is a random number from 0 up to
    /// 1.
    pub fn permit(
        &mut self,
        now: Instant,
        life: &ServerLife,
        limit: KnownLimit,
        roster: &SenderRoster,
        draw: f64,
    ) -> SendPermit {
        let quota = self.quota(now, life, limit.rate, roster);
        if quota.bucket.wait_for(now, 1.0).is_zero() {
            return SendPermit::Quota;
        }
        let is_doubtful = now.saturating_duration_since(limit.stated_at) >= self.settings.trial_age;
        // All nodes together try about once for each request that one of them has.
        if is_doubtful && draw * (roster.len().max(1) as f64) < 1.0 {
            return SendPermit::Quota;
        }
        SendPermit::Withheld
    }

    /// Records a request that this node sends to a server with a limit.
    pub fn record_send(&mut self, now: Instant, life: &ServerLife) {
        if let Some(quota) = self.quotas.get_mut(life) {
            quota.bucket.charge(now, 1.0);
        }
    }

    /// Keeps only the servers for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(&ServerLife) -> bool) {
        self.quotas.retain(|life, _| keep(life));
    }

    fn quota(
        &mut self,
        now: Instant,
        life: &ServerLife,
        limit: RequestRate,
        roster: &SenderRoster,
    ) -> &mut SendQuota {
        let Self { settings, node, quotas } = self;
        let burst = settings.burst;
        let known = quotas.contains_key(life);
        let quota = quotas.entry(life.clone()).or_insert_with(|| {
            let mut bucket = TokenBucket::new(now, 0.0, burst);
            bucket.charge(now, burst);
            SendQuota { limit, bucket, chosen_at: now }
        });
        let age = now.saturating_duration_since(quota.chosen_at);
        if !known || quota.limit != limit || age >= settings.choice_period {
            let rate = part(settings, node, life, limit, roster);
            quota.bucket.set_rate(now, rate, burst);
            quota.limit = limit;
            quota.chosen_at = now;
        }
        quota
    }
}

/// This node's part of a server's limit, in requests per second.
fn part(
    settings: &SendQuotaSettings,
    node: &NodeId,
    life: &ServerLife,
    limit: RequestRate,
    roster: &SenderRoster,
) -> f64 {
    let mut senders = rendezvous_order(&life.to_string(), roster.nodes());
    senders.truncate(settings.senders(limit, roster.len()));
    if senders.contains(&node) { settings.part(limit, senders.len()) } else { 0.0 }
}
