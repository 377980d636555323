//! One event of a streamed completion.

use bytes::Bytes;
use comfreyturn_types::{RequestId, ServiceName};
use serde::Serialize;
use serde_with::skip_serializing_none;

use super::completion_body::CompletionShape;

/// Initial capacity for an event, in bytes; enough for one of usual length.
const EVENT_CAPACITY: usize = 256;

/// The JSON of one event. Members are in alphabetical order.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionChunk<'a> {
    choices: [ChunkChoice<'a>; 1],
    id: &'a RequestId,
    model: &'a ServiceName,
    object: &'static str,
}

#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
enum ChunkChoice<'a> {
    Text { finish_reason: Option<&'a str>, index: u32, text: &'a str },
    Chat { delta: ChunkDelta<'a>, finish_reason: Option<&'a str>, index: u32 },
}

#[skip_serializing_none]
#[derive(Clone, Debug, Serialize)]
struct ChunkDelta<'a> {
    content: Option<&'a str>,
}

impl<'a> CompletionChunk<'a> {
    /// Creates a chunk with a piece of the text, or with the reason why the answer is finished.
    pub fn new(
        shape: CompletionShape,
        id: &'a RequestId,
        model: &'a ServiceName,
        text: Option<&'a str>,
        finish_reason: Option<&'a str>,
    ) -> Self {
        let index = 0;
        let (object, choice) = match shape {
            CompletionShape::Text => {
                let text = text.unwrap_or_default();
                ("text_completion", ChunkChoice::Text { finish_reason, index, text })
            }
            CompletionShape::Chat => {
                let delta = ChunkDelta { content: text };
                ("chat.completion.chunk", ChunkChoice::Chat { delta, finish_reason, index })
            }
        };
        Self { choices: [choice], id, model, object }
    }

    /// The server-sent event.
    pub fn to_event(&self) -> Bytes {
        let mut event = Vec::with_capacity(EVENT_CAPACITY);
        event.extend_from_slice(b"data: ");
        serde_json::to_writer(&mut event, self).expect("strings and numbers are always JSON");
        event.extend_from_slice(b"\n\n");
        Bytes::from(event)
    }
}
