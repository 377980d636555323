//! The rate limits that servers state in their answers.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{RequestRate, ServerLife};

/// What a server said about its rate limit, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatement {
    /// The rate that the server takes from all nodes together; `None` if it takes any rate again.
    pub rate: Option<RequestRate>,

    /// When a node received the answer.
    pub at: Instant,
}

/// The newest statement of each server that ever stated a limit. Of two statements the later one
/// counts, whichever node received it.
#[derive(Debug, Default)]
pub struct StatedLimits {
    statements: HashMap<ServerLife, LimitStatement>,
}

impl StatedLimits {
    /// Records a statement; returns whether it changed the limit. A server without a limit is
    /// recorded only if it had one.
    pub fn record(&mut self, life: &ServerLife, statement: LimitStatement) -> bool {
        let known = self.statements.get(life).copied();
        let is_old = known.is_some_and(|known| known.at >= statement.at);
        if is_old || (known.is_none() && statement.rate.is_none()) {
            return false;
        }
        self.statements.insert(life.clone(), statement);
        known.and_then(|known| known.rate) != statement.rate
    }

    /// The newest statement of a server, if it stated a limit then.
    pub fn limit(&self, life: &ServerLife) -> Option<(RequestRate, Instant)> {
        let statement = self.statements.get(life)?;
        Some((statement.rate?, statement.at))
    }

    /// The number of servers that have a limit.
    pub fn limited(&self) -> usize {
        self.statements.values().filter(|statement| statement.rate.is_some()).count()
    }

    /// The statements of at most this age.
    pub fn recent(
        &self,
        now: Instant,
        max_age: Duration,
    ) -> impl Iterator<Item = (&ServerLife, LimitStatement)> {
        let statements = self.statements.iter().map(|(life, statement)| (life, *statement));
        statements.filter(move |(_, said)| now.saturating_duration_since(said.at) < max_age)
    }

    /// Forgets servers for which `keep` is false, unless they made a statement within `retention`:
    /// a server that drops out of the list may come back.
    pub fn retain(
        &mut self,
        now: Instant,
        retention: Duration,
        keep: impl Fn(&ServerLife) -> bool,
    ) {
        self.statements.retain(|life, statement| {
            keep(life) || now.saturating_duration_since(statement.at) < retention
        });
    }
}
