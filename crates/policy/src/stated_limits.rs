//! The rate limits that servers state in their answers.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{RequestRate, ServerLife};

use crate::KnownLimit;

/// What a server said about its rate limit, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatement {
    /// The rate that the server takes from all nodes together; `None` if it takes any rate again.
    pub rate: Option<RequestRate>,

    /// When a node received the answer.
    pub at: Instant,
}

/// Which node received an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AnswerReceiver {
    /// This one.
    This,

    /// Another one, which told this one of it.
    Other,
}

/// The newest statement of each server that ever stated a limit. Of two statements the later one
/// counts, whichever node received it.
#[derive(Debug, Default)]
pub struct StatedLimits {
    statements: HashMap<ServerLife, (LimitStatement, AnswerReceiver)>,
}

impl StatedLimits {
    /// Records a statement; returns whether it changed the limit. A server without a limit is
    /// recorded only if it had one.
    pub fn record(
        &mut self,
        life: &ServerLife,
        statement: LimitStatement,
        receiver: AnswerReceiver,
    ) -> bool {
        let known = self.statements.get(life).map(|(known, _)| *known);
        let is_old = known.is_some_and(|known| known.at >= statement.at);
        if is_old || (known.is_none() && statement.rate.is_none()) {
            return false;
        }
        self.statements.insert(life.clone(), (statement, receiver));
        known.and_then(|known| known.rate) != statement.rate
    }

    /// The limit of a server, if its newest statement names one.
    pub fn limit(&self, life: &ServerLife) -> Option<KnownLimit> {
        let (statement, _) = self.statements.get(life)?;
        Some(KnownLimit { rate: statement.rate?, stated_at: statement.at })
    }

    /// The number of servers that have a limit.
    pub fn limited(&self) -> usize {
        self.statements.values().filter(|(statement, _)| statement.rate.is_some()).count()
    }

    /// What servers stated in answers to this node, if nothing newer is known and it is at most
    /// this old.
    pub fn own_recent(
        &self,
        now: Instant,
        max_age: Duration,
    ) -> HashMap<ServerLife, LimitStatement> {
        let own = self.statements.iter().filter(|(_, (statement, receiver))| {
            let age = now.saturating_duration_since(statement.at);
            *receiver == AnswerReceiver::This && age < max_age
        });
        own.map(|(life, (statement, _))| (life.clone(), *statement)).collect()
    }

    /// Forgets servers for which `keep` is false, unless they made a statement within `retention`:
    /// a server that drops out of the list may come back.
    pub fn retain(
        &mut self,
        now: Instant,
        retention: Duration,
        keep: impl Fn(&ServerLife) -> bool,
    ) {
        self.statements.retain(|life, (statement, _)| {
            keep(life) || now.saturating_duration_since(statement.at) < retention
        });
    }
}
