//! A decoded request of a caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyturn_types::{ModelName, PromptPart, RequestId, TokenCounts};
use http::{HeaderMap, Method};
use xxhash_rust::xxh3::Xxh3;

/// A caller's request, with its complete body.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// The id of the request, chosen by the caller.
    pub id: RequestId,

    /// The host named by the caller.
    pub host: String,

    /// The method.
    pub method: Method,

    /// Path and query, as the caller wrote them.
    pub target: String,

    /// The headers without hop-by-hop headers and without the caller's key.
    pub headers: HeaderMap,

    /// The body.
    pub body: Bytes,

    /// The caller's API key.
    pub key: Option<String>,

    /// The requested model.
    pub model: Option<ModelName>,

    /// The size of the prompt and of the answer, if the caller states it.
    pub token_counts: Option<TokenCounts>,

    /// The parts of the prompt that other requests may have as well.
    pub shared_parts: Vec<PromptPart>,

    /// How long the caller waits, counted from `received_at`.
    pub deadline: Option<Duration>,

    /// The id of the last event that the caller received, if it resumes a stream.
    pub resume_after: Option<String>,

    /// When the request arrived.
    pub received_at: Instant,
}

impl ForwardRequest {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A hash that is equal for every submission of the same request by the same caller.
    pub fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        for part in [self.target.as_bytes(), self.key.as_deref().unwrap_or_default().as_bytes()] {
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        hash.update(&self.body);
        hash.digest()
    }
}
