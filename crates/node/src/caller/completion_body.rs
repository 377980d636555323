//! Bodies of completion requests.

use comfreyturn_types::{RefusalReason, ServiceName};
use serde::Deserialize;
use serde_json::{Map, Value};

use super::error_answer::ErrorAnswer;

/// Which of the two completion endpoints a request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionShape {
    /// `/v1/completions`, with a prompt.
    Text,

    /// `/v1/chat/completions`, with messages.
    Chat,
}

/// A completion request of either shape.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionBody {
    /// The service, called `model` on the wire.
    pub service: ServiceName,

    /// The prompt as text.
    pub prompt: String,

    /// Maximum number of tokens to generate, if the caller states one.
    pub max_tokens: Option<u32>,

    /// Whether the answer is streamed.
    pub stream: bool,

    /// All other members of the body, forwarded unchanged.
    pub parameters: Map<String, Value>,
}

#[derive(Deserialize)]
struct WireBody {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<WireMessage>>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(flatten)]
    parameters: Map<String, Value>,
}

#[derive(Deserialize)]
struct WireMessage {
    role: String,
    content: String,
}

impl CompletionBody {
    /// Parses a body.
    ///
    /// # Errors
    /// Names what is missing or malformed.
    pub fn parse(shape: CompletionShape, body: &[u8]) -> Result<Self, ErrorAnswer> {
        let wire: WireBody = serde_json::from_slice(body)
            .map_err(|error| bad_body(format!("The body is malformed: {error}.")))?;
        if wire.max_tokens == Some(0) {
            return Err(bad_body("max_tokens must be at least 1.".to_owned()));
        }
        let prompt = match (shape, wire.prompt, wire.messages) {
            (CompletionShape::Text, Some(prompt), None) => prompt,
            (CompletionShape::Chat, None, Some(messages)) => chat_prompt(&messages)?,
            (CompletionShape::Text, ..) => {
                return Err(bad_body("prompt must be given, and messages must not.".to_owned()));
            }
            (CompletionShape::Chat, ..) => {
                return Err(bad_body("messages must be given, and prompt must not.".to_owned()));
            }
        };
        Ok(Self {
            service: wire.model.into(),
            prompt,
            max_tokens: wire.max_tokens,
            stream: wire.stream,
            parameters: wire.parameters,
        })
    }
}

fn chat_prompt(messages: &[WireMessage]) -> Result<String, ErrorAnswer> {
    if messages.is_empty() {
        return Err(bad_body("messages must not be empty.".to_owned()));
    }
    let line = |message: &WireMessage| format!("{}: {}\n", message.role, message.content);
    Ok(messages.iter().map(line).collect())
}

fn bad_body(message: String) -> ErrorAnswer {
    ErrorAnswer::not_run(RefusalReason::BadRequest, message)
}
