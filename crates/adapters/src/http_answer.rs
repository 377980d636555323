//! Responses to HTTP requests.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compio::time::timeout;
use http::{HeaderMap, Response, StatusCode, header::RETRY_AFTER, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{HttpError, HttpResult, http_pool::PooledConnection};

/// A response whose head has arrived. Dropping it closes the connection.
pub struct HttpAnswer {
    head: Parts,
    body: Incoming,
    connection: PooledConnection,
}

/// A response that has arrived completely.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Status and headers.
    pub head: Parts,

    /// The body.
    pub body: Bytes,
}

impl HttpAnswer {
    pub(crate) fn new(response: Response<Incoming>, connection: PooledConnection) -> Self {
        let (head, body) = response.into_parts();
        Self { head, body, connection }
    }

    /// The status.
    #[inline]
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// The headers.
    #[inline]
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Awaits the next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`HttpError::NoAnswer`] if the connection broke.
    pub async fn chunk(&mut self) -> HttpResult<Option<Bytes>> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| HttpError::NoAnswer)?;
            self.connection.record_part();
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    /// Reads the rest of the body within `limit` and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// [`HttpError::NoAnswer`] if the connection broke or the time limit passed,
    /// [`HttpError::TooLarge`] if the body is larger than the settings allow, or than the memory
    /// that other responses leave.
    pub async fn whole(mut self, limit: Duration) -> HttpResult<WholeAnswer> {
        let body = timeout(limit, self.collect()).await.map_err(|_| HttpError::NoAnswer)??;
        self.connection.return_to_pool();
        Ok(WholeAnswer { head: self.head, body })
    }

    async fn collect(&mut self) -> HttpResult<Bytes> {
        let limit = self.connection.answer_limit();
        let mut held = self.connection.hold_memory();
        let mut body = BytesMut::new();
        while let Some(bytes) = self.chunk().await? {
            if body.len() + bytes.len() > limit {
                return Err(HttpError::TooLarge);
            }
            body.extend_from_slice(&bytes);
            if !held.resize(body.capacity()) {
                return Err(HttpError::TooLarge);
            }
        }
        Ok(held.attach(body.freeze()))
    }
}

impl WholeAnswer {
    /// Whether the body is `{"error":"<code>"}` with this code.
    pub fn has_error_code(&self, code: &str) -> bool {
        #[derive(serde::Deserialize)]
        struct ErrorBody {
            error: String,
        }
        serde_json::from_slice::<ErrorBody>(&self.body).is_ok_and(|body| body.error == code)
    }

    /// The `Retry-After` header, if it states seconds.
    pub fn retry_after(&self) -> Option<Duration> {
        let text = self.head.headers.get(RETRY_AFTER)?.to_str().ok()?;
        text.trim().parse().ok().map(Duration::from_secs)
    }
}
