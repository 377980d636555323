//! What callers ask for.

use std::time::Instant;

use bytes::Bytes;
use comfreyturn_policy::PriorityClass;
use comfreyturn_types::{CustomerName, IdempotencyKey, RequestId, ServiceName};
use xxhash_rust::xxh3::Xxh3;

/// What every request carries.
#[derive(Clone, Debug)]
pub struct CallScope {
    /// Names the request in logs and answers.
    pub request_id: RequestId,

    /// The authenticated customer.
    pub customer: CustomerName,

    /// The service.
    pub service: ServiceName,

    /// The class within the customer.
    pub class: PriorityClass,

    /// When the answer is of no more use.
    pub deadline: Instant,

    /// Names a request that must run at most once over all its submissions.
    pub idempotency_key: Option<IdempotencyKey>,

    /// Whether the request must run at most once.
    pub non_idempotent: bool,
}

/// A completion by a model.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// What every request carries.
    pub scope: CallScope,

    /// The prompt as text.
    pub prompt: String,

    /// Tokens to generate at most.
    pub max_tokens: u32,

    /// Further generation parameters, handed on as they came.
    pub parameters: serde_json::Map<String, serde_json::Value>,

    /// Hash of the body as it came.
    pub body_hash: u64,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// What every request carries.
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

/// Names a request by its customer and body, whichever node it comes through.
pub fn request_fingerprint(customer: &CustomerName, body_hash: u64) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(customer.as_str().as_bytes());
    hasher.update(&body_hash.to_be_bytes());
    hasher.digest()
}
