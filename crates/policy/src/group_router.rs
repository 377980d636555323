//! Which group runs a request.

use std::time::{Duration, Instant};

use comfreyturn_types::{CustomerName, GroupId};

use crate::WholeGroup;

/// What is known of a request before it is routed.
#[derive(Clone, Debug)]
pub struct RouteQuery {
    /// The customer.
    pub customer: CustomerName,

    /// Hash of the prompt's first part; prompts that share it gain from the same prefix cache.
    pub prefix: u64,

    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u32,

    /// Groups that earlier attempts of this request failed at.
    pub avoid: Vec<GroupId>,
}

/// How an attempt at a group ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteEnd {
    /// The answer was whole.
    Finished,
    /// The caller went away, or the deadline passed.
    Abandoned,
    /// The group failed.
    Failed,
}

/// Chooses groups, and learns from how attempts went.
pub trait GroupRouter {
    /// Chooses one of `groups`, or none if none should take more work.
    fn choose(
        &mut self,
        now: Instant,
        query: &RouteQuery,
        groups: &[WholeGroup],
    ) -> Option<GroupId>;

    /// An attempt was sent to a group.
    fn started(&mut self, now: Instant, group: &GroupId, query: &RouteQuery);

    /// The first token of an attempt came, `elapsed` after it was sent.
    fn first_token(&mut self, now: Instant, group: &GroupId, elapsed: Duration);

    /// An attempt ended. Called once for each call of [`GroupRouter::started`].
    fn ended(&mut self, now: Instant, group: &GroupId, end: RouteEnd);
}
