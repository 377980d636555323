//! Where a stream of events is resumed, and whether another server goes on there.

use http::{HeaderMap, HeaderValue, header::CONTENT_TYPE};

/// The ids of the events of one server's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventIds {
    /// The id of the first event, if it has one.
    first: Option<String>,

    /// The id of the last event, if it has one.
    last: Option<String>,

    /// The number of events.
    count: u64,

    /// Whether each id is a number, larger by one than the one before.
    is_sequence: bool,
}

impl EventIds {
    /// Adds the id of the next event.
    pub fn push(&mut self, id: Option<String>) {
        let follows = is_next(self.last.as_deref(), id.as_deref());
        self.is_sequence = follows && (self.is_sequence || self.count == 1);
        if self.count == 0 {
            self.first.clone_from(&id);
        }
        self.last = id;
        self.count += 1;
    }

    /// The id of the last event; `None` if that has none.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

fn is_next(last: Option<&str>, id: Option<&str>) -> bool {
    let number = |id: Option<&str>| id.and_then(|id| id.parse::<u64>().ok());
    number(last).is_some_and(|last| number(id).is_some_and(|id| last.checked_add(1) == Some(id)))
}

/// Where a stream is resumed.
#[derive(Clone, Debug)]
pub(crate) struct ResumePoint {
    /// The id of the last event that the caller received.
    pub(crate) last_id: String,

    /// Whether the ids up to that one count up by one.
    is_sequence: bool,

    /// The type of the content, if the first server stated one.
    content_type: Option<HeaderValue>,
}

impl ResumePoint {
    /// The point after the last event of an answer, which itself follows `previous` if the stream was
    /// resumed there; `None` if that event has no id.
    pub(crate) fn after(
        previous: Option<&Self>,
        ids: &EventIds,
        headers: &HeaderMap,
    ) -> Option<Self> {
        // A single event tells nothing, but it follows the events before.
        let was_sequence = previous.is_some_and(|point| point.is_sequence);
        Some(Self {
            last_id: ids.last()?.to_owned(),
            is_sequence: ids.is_sequence || (ids.count == 1 && was_sequence),
            content_type: headers.get(CONTENT_TYPE).cloned(),
        })
    }

    /// The point that a caller states.
    pub(crate) fn stated(last_id: &str) -> Self {
        Self { last_id: last_id.to_owned(), is_sequence: false, content_type: None }
    }

    /// Whether an answer with these headers may be a part of the stream.
    pub(crate) fn admits(&self, headers: &HeaderMap) -> bool {
        self.content_type.is_none() || self.content_type.as_ref() == headers.get(CONTENT_TYPE)
    }

    /// Whether events with these ids go on after this point. No events go on after the last one.
    pub(crate) fn is_followed_by(&self, ids: &EventIds) -> bool {
        if ids.count == 0 {
            return true;
        }
        let Some(first) = &ids.first else { return false };
        match (self.last_id.parse::<u64>(), first.parse::<u64>()) {
            (Ok(_), Ok(_)) if self.is_sequence => is_next(Some(&self.last_id), Some(first)),
            (Ok(last), Ok(first)) => first > last,
            (Ok(_), Err(_)) => false,
            (Err(_), _) => *first != self.last_id,
        }
    }
}
