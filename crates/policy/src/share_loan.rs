//! What homes of a customer lend each other.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{CustomerName, NodeId};
use serde::{Deserialize, Serialize};

/// Asks another home of a customer for a part of its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareQuestion {
    /// The customer.
    pub customer: CustomerName,

    /// Rises with each question of the asker.
    pub number: u64,

    /// The fraction of the customer's limit that the asker wants to hold from this home in all.
    pub wanted: f64,
}

/// Answers a [`ShareQuestion`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareAnswer {
    /// The customer.
    pub customer: CustomerName,

    /// The number of the question.
    pub number: u64,

    /// The fraction of the customer's limit that is lent, in place of what was lent before.
    pub lent: f64,
}

/// What a node has lent to one other node.
#[derive(Clone, Debug, Default)]
pub(crate) struct GivenLoan {
    /// Fractions, and until when the borrower may use each. It uses one of them at a time, and this
    /// node cannot know which.
    grants: Vec<(f64, Instant)>,
}

impl GivenLoan {
    pub(crate) fn push(&mut self, fraction: f64, until: Instant) {
        self.grants.push((fraction, until));
    }

    /// The largest fraction that the borrower may still use.
    pub(crate) fn held(&mut self, now: Instant) -> f64 {
        self.grants.retain(|(_, until)| now < *until);
        self.grants.iter().map(|(fraction, _)| *fraction).fold(0.0, f64::max)
    }
}

/// What a node has borrowed from one other node.
#[derive(Clone, Copy, Debug)]
struct TakenLoan {
    number: u64,
    fraction: f64,

    /// Counted from when the loan was asked for.
    ends_at: Instant,
}

/// What a node has borrowed of one customer's limit, and what it has asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoanBook {
    loans: HashMap<NodeId, TakenLoan>,

    /// The last question to each node: its number, and when it was asked.
    asked: HashMap<NodeId, (u64, Instant)>,
}

impl LoanBook {
    pub(crate) fn ask(&mut self, now: Instant, lender: &NodeId, number: u64) {
        self.asked.insert(lender.clone(), (number, now));
    }

    /// Takes in an answer; only the one to the last question counts.
    pub(crate) fn accept(&mut self, lender: &NodeId, answer: &ShareAnswer, window: Duration) {
        let Some((number, asked_at)) = self.asked.get(lender).copied() else { return };
        if number != answer.number || self.loans.get(lender).is_some_and(|l| l.number >= number) {
            return;
        }
        let loan = TakenLoan { number, fraction: answer.lent, ends_at: asked_at + window };
        self.loans.insert(lender.clone(), loan);
    }

    /// The fraction borrowed from one node.
    pub(crate) fn from(&self, now: Instant, lender: &NodeId) -> f64 {
        let loan = self.loans.get(lender).filter(|loan| now < loan.ends_at);
        loan.map_or(0.0, |loan| loan.fraction)
    }

    /// The fraction borrowed from all nodes.
    pub(crate) fn total(&self, now: Instant) -> f64 {
        let open = self.loans.values().filter(|loan| now < loan.ends_at);
        open.map(|loan| loan.fraction).sum()
    }
}
