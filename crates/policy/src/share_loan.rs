//! Loans of a customer's limit between its home nodes.

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

    /// Increases with each question of the borrower.
    pub number: u64,

    /// The total fraction of the customer's limit that the borrower wants from this home.
    pub wanted: f64,
}

/// Answers a [`ShareQuestion`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareAnswer {
    /// The customer.
    pub customer: CustomerName,

    /// The number of the question.
    pub number: u64,

    /// The fraction of the customer's limit that is lent. It replaces an earlier loan.
    pub lent: f64,
}

/// What a node has lent to one other node.
#[derive(Clone, Debug, Default)]
pub(crate) struct IssuedLoan {
    /// The lent fractions, each with the time until which the lender counts it as in use. The
    /// borrower uses one of them at a time, and the lender cannot know which.
    grants: Vec<(f64, Instant)>,
}

impl IssuedLoan {
    pub(crate) fn push(&mut self, fraction: f64, until: Instant) {
        self.grants.push((fraction, until));
    }

    /// The largest fraction that the borrower may still use.
    pub(crate) fn outstanding(&mut self, now: Instant) -> f64 {
        self.grants.retain(|(_, until)| now < *until);
        self.grants.iter().map(|(fraction, _)| *fraction).fold(0.0, f64::max)
    }
}

/// What a node has borrowed from one other node.
#[derive(Clone, Copy, Debug)]
struct ReceivedLoan {
    number: u64,
    fraction: f64,

    /// The end of the loan window, which starts when the question is sent.
    ends_at: Instant,
}

/// What a node has borrowed of one customer's limit, and its open questions.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoanTable {
    loans: HashMap<NodeId, ReceivedLoan>,

    /// The number of the last question to each node, and when it was sent.
    questions: HashMap<NodeId, (u64, Instant)>,
}

impl LoanTable {
    pub(crate) fn record_question(&mut self, now: Instant, lender: &NodeId, number: u64) {
        self.questions.insert(lender.clone(), (number, now));
    }

    /// Applies an answer. Answers to earlier questions than the last one are ignored.
    pub(crate) fn accept(&mut self, lender: &NodeId, answer: &ShareAnswer, window: Duration) {
        let Some((number, sent_at)) = self.questions.get(lender).copied() else { return };
        if number != answer.number || self.loans.get(lender).is_some_and(|l| l.number >= number) {
            return;
        }
        let loan = ReceivedLoan { number, fraction: answer.lent, ends_at: sent_at + window };
        self.loans.insert(lender.clone(), loan);
    }

    /// The fraction borrowed from one node.
    pub(crate) fn borrowed_from(&self, now: Instant, lender: &NodeId) -> f64 {
        let loan = self.loans.get(lender).filter(|loan| now < loan.ends_at);
        loan.map_or(0.0, |loan| loan.fraction)
    }

    /// The fraction borrowed from all nodes.
    pub(crate) fn total(&self, now: Instant) -> f64 {
        let open = self.loans.values().filter(|loan| now < loan.ends_at);
        open.map(|loan| loan.fraction).sum()
    }
}
