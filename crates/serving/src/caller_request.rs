//! Requests of callers.

use std::time::Instant;

use bytes::Bytes;
use comfreyturn_policy::PriorityClass;
use comfreyturn_types::{CustomerName, IdempotencyKey, RequestId, ServiceName};
use xxhash_rust::xxh3::Xxh3;

/// Properties that all requests have.
#[derive(Clone, Debug)]
pub struct CallScope {
    /// Identifies the request in logs and answers.
    pub request_id: RequestId,

    /// The authenticated customer.
    pub customer: CustomerName,

    /// The service.
    pub service: ServiceName,

    /// The priority class within the customer.
    pub class: PriorityClass,

    /// Time after which the answer is of no use.
    pub deadline: Instant,

    /// Identifies a request over all its submissions. With `non_idempotent` set, it runs at most
    /// once over all of them.
    pub idempotency_key: Option<IdempotencyKey>,

    /// Whether a submission must run the request at most once.
    pub non_idempotent: bool,
}

/// A completion by a model.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Properties that all requests have.
    pub scope: CallScope,

    /// The prompt as text.
    pub prompt: String,

    /// Maximum number of tokens to generate.
    pub max_tokens: u32,

    /// Further generation parameters, forwarded unchanged.
    pub parameters: serde_json::Map<String, serde_json::Value>,

    /// Hash of the body as received.
    pub body_hash: u64,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Properties that all requests have.
    pub scope: CallScope,

    /// Method, path and headers, without hop-by-hop headers.
    pub head: http::request::Parts,

    /// The whole body.
    pub body: Bytes,
}

impl PlainCall {
    /// Hash of method, path and body.
    pub fn body_hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.head.method.as_str().as_bytes());
        hasher.update(b"\0");
        hasher.update(self.head.uri.to_string().as_bytes());
        hasher.update(b"\0");
        hasher.update(&self.body);
        hasher.digest()
    }
}

/// Identifies a request by its customer and body, the same at all nodes.
pub fn request_fingerprint(customer: &CustomerName, body_hash: u64) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(customer.as_str().as_bytes());
    hasher.update(&body_hash.to_be_bytes());
    hasher.digest()
}
