//! Events in the order of virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// What happens at a point of virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ModelEvent {
    /// A request reaches a node, for the first time or again.
    Arrival { request: usize },
    /// An attempt's first token comes.
    FirstToken { attempt: usize },
    /// An attempt's last token comes.
    End { attempt: usize },
    /// An attempt is refused by a group that is out.
    Refused { attempt: usize },
    /// A request that failed tries again to repeat its attempt.
    Retry { request: usize },
    /// A second attempt is due if the first one has no first token yet.
    Hedge { request: usize },
    /// Groups report their load.
    Report,
    /// Nodes look after their queues.
    Release,
    /// Some groups go out.
    OutageStart,
    /// They come back.
    OutageEnd,
}

/// Events that are still to come.
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
