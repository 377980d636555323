//! The choice of the group that runs a request.

use std::time::{Duration, Instant};

use comfreyturn_types::{CustomerName, GroupId};

use crate::WholeGroup;

/// The properties of a request that its routing depends on.
#[derive(Clone, Debug)]
pub struct RouteQuery {
    /// The customer.
    pub customer: CustomerName,

    /// Hash of the first part of the prompt. Prompts with the same hash can share a prefix cache.
    pub prefix: u64,

    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,

    /// Groups where earlier attempts of this request failed.
    pub avoid: Vec<GroupId>,
}

/// How an attempt at a group ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteEnd {
    /// The response was complete.
    Finished,
    /// The caller disconnected, or the deadline passed.
    Abandoned,
    /// The group failed.
    Failed,
}

/// Chooses groups, based on the results of earlier attempts.
pub trait GroupRouter {
    /// Chooses one of `groups`, or returns `None` if no group has free capacity.
    fn choose(
        &mut self,
        now: Instant,
        query: &RouteQuery,
        groups: &[WholeGroup],
    ) -> Option<GroupId>;

    /// Records that an attempt was sent to a group.
    fn started(&mut self, now: Instant, group: &GroupId, query: &RouteQuery);

    /// Records the first token of an attempt, `elapsed` after the attempt was sent.
    fn first_token(&mut self, now: Instant, group: &GroupId, elapsed: Duration);

    /// Records the end of an attempt. Called once for each call of [`GroupRouter::started`].
    fn ended(&mut self, now: Instant, group: &GroupId, end: RouteEnd);
}
