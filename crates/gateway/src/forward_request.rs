//! A caller's request, decoded.

use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyturn_types::{ModelName, RequestId};
use http::{HeaderMap, Method};
use xxhash_rust::xxh3::Xxh3;

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// The caller's name for it.
    pub id: RequestId,

    /// The host that the caller names.
    pub host: String,

    /// The method.
    pub method: Method,

    /// Path and query, as the caller wrote them.
    pub target: String,

    /// The headers that concern more than the caller's connection, without its key.
    pub headers: HeaderMap,

    /// The body.
    pub body: Bytes,

    /// The caller's key.
    pub key: Option<String>,

    /// The model that is to answer.
    pub model: Option<ModelName>,

    /// How long the caller waits, from when the request arrived.
    pub deadline: Option<Duration>,

    /// The last event that the caller has of a stream that it resumes.
    pub resume_after: Option<String>,

    /// When the request arrived.
    pub received_at: Instant,
}

impl ForwardRequest {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The same for each submission of the same request by the same caller.
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
