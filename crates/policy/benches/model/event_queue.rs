//! A queue of events in the order of virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// An event of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ModelEvent {
    /// A request arrives at a node, for the first time or as a client retry.
    Arrival { request: usize },
    /// The first token of an attempt arrives.
    FirstToken { attempt: usize },
    /// The last token of an attempt arrives.
    End { attempt: usize },
    /// An attempt is refused by a group that is down.
    Refused { attempt: usize },
    /// A request whose attempt failed checks the retry budget again.
    Retry { request: usize },
    /// A second attempt starts if the first one has no first token yet.
    Hedge { request: usize },
    /// Groups report their load.
    Report,
    /// Nodes release waiting requests from their queues.
    Release,
    /// Some groups go down.
    OutageStart,
    /// All groups are up again.
    OutageEnd,
}

/// The pending events.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BinaryHeap<Reverse<(Duration, u64, ModelEvent)>>,
    pushed: u64,
}

impl EventQueue {
    pub fn push(&mut self, at: Duration, event: ModelEvent) {
        self.pushed += 1;
        self.events.push(Reverse((at, self.pushed, event)));
    }

    pub fn pop(&mut self) -> Option<(Duration, ModelEvent)> {
        self.events.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
