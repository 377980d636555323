//! Requests to backend servers over HTTP, with a new connection for each.
//!
//! Nothing in a response tells which request it belongs to. On a connection that served an earlier
//! request, a late answer to that one would be read as the answer to this one.

use std::{net::SocketAddr, rc::Rc};

use async_trait::async_trait;
use comfreyturn_ports::{
    BackendError, BackendResult, BackendTransport, CompletionAttempt, CompletionStream,
    PlainRequest, PlainResponse, Step,
};
use comfreyturn_types::StreamId;
use http::{
    HeaderMap, HeaderName, Method, StatusCode, Uri, Version,
    header::{
        CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
        TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use http_body_util::Full;

use crate::{
    BackendSettings, HttpAnswer, HttpError, HttpPool, WholeAnswer,
    completion_reader::CompletionReader,
    http_connection::WholeRequest,
    json_call::{call_alone, empty_request, json_request},
};

const COMPLETIONS_PATH: &str = "/v1/completions";
const STREAMS_PATH: &str = "/v1/streams/";
const EVENT_STREAM: &str = "text/event-stream";
const NOT_STARTED_CODE: &str = "not-started";
const NOT_STARTED_HEADER: HeaderName = HeaderName::from_static("x-not-started");

/// Hop-by-hop headers, which apply to a single connection.
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Sends requests to backend servers, at the address given in each call.
pub struct BackendClient {
    pool: Rc<HttpPool>,
    settings: BackendSettings,
}

impl BackendClient {
    /// Creates a client that opens its connections by `pool`, within its limits.
    pub fn new(pool: Rc<HttpPool>, settings: BackendSettings) -> Self {
        Self { pool, settings }
    }

    async fn open_stream(
        &self,
        address: SocketAddr,
        request: WholeRequest,
    ) -> BackendResult<CompletionStream> {
        let sending = self.pool.send_alone(address, request, self.settings.head_timeout);
        let answer = sending.await.map_err(backend_error)?;
        if answer.status() == StatusCode::OK && is_event_stream(answer.headers()) {
            let reader = CompletionReader::new(answer, self.settings.stream_idle_timeout);
            return Ok(reader.into_stream());
        }
        Err(self.refusal(answer).await)
    }

    /// The error for a response that is not a stream.
    async fn refusal(&self, answer: HttpAnswer) -> BackendError {
        let status = answer.status();
        if !status.is_client_error() && !status.is_server_error() {
            return BackendError::Broken;
        }
        match answer.whole(self.pool.settings().call_timeout).await {
            Ok(answer) if is_not_started(&answer) => {
                BackendError::NotStarted { retry_after: answer.retry_after() }
            }
            Ok(_) | Err(HttpError::TooLarge) => BackendError::Rejected { status: status.as_u16() },
            Err(_) => BackendError::Broken,
        }
    }
}

#[async_trait(?Send)]
impl BackendTransport for BackendClient {
    async fn complete(
        &self,
        _step: Step,
        address: SocketAddr,
        attempt: &CompletionAttempt,
    ) -> BackendResult<CompletionStream> {
        let request = json_request(COMPLETIONS_PATH, attempt).map_err(backend_error)?;
        self.open_stream(address, request).await
    }

    async fn resume(
        &self,
        _step: Step,
        address: SocketAddr,
        stream: &StreamId,
        position: u32,
    ) -> BackendResult<CompletionStream> {
        let path = stream_path(stream, Some(position))?;
        let resuming = self.open_stream(address, empty_request(Method::GET, path));
        resuming.await.map_err(map_not_found)
    }

    async fn cancel(
        &self,
        _step: Step,
        address: SocketAddr,
        stream: &StreamId,
    ) -> BackendResult<()> {
        let request = empty_request(Method::DELETE, stream_path(stream, None)?);
        let limit = self.pool.settings().call_timeout;
        let cancelling = call_alone(&self.pool, address, request, limit);
        let answer = cancelling.await.map_err(backend_error)?;
        match answer.head.status {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Err(BackendError::UnknownStream),
            status => Err(BackendError::Rejected { status: status.as_u16() }),
        }
    }

    async fn call(
        &self,
        _step: Step,
        address: SocketAddr,
        request: &PlainRequest,
    ) -> BackendResult<PlainResponse> {
        let request = plain_request(request);
        let calling = call_alone(&self.pool, address, request, self.settings.plain_timeout);
        let answer = calling.await.map_err(backend_error)?;
        if is_plain_not_started(&answer) {
            return Err(BackendError::NotStarted { retry_after: answer.retry_after() });
        }
        let mut headers = answer.head.headers;
        remove_hop_headers(&mut headers);
        Ok(PlainResponse { status: answer.head.status, headers, body: answer.body })
    }
}

fn plain_request(request: &PlainRequest) -> WholeRequest {
    let mut head = request.head.clone();
    head.version = Version::HTTP_11;
    head.headers.remove(CONTENT_LENGTH);
    remove_hop_headers(&mut head.headers);
    head.uri = origin_form(&head.uri);
    WholeRequest::from_parts(head, Full::new(request.body.clone()))
}

/// The origin form of a URI: path and query only, as used in a request line to the server itself.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}

fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// The headers that `Connection` names.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect()
}

/// The path of a stream. Its id must consist of characters that need no escaping in a path.
fn stream_path(stream: &StreamId, position: Option<u32>) -> BackendResult<Uri> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte);
    if stream.as_str().is_empty() || !stream.as_str().bytes().all(plain) {
        return Err(BackendError::UnknownStream);
    }
    let path = match position {
        Some(position) => format!("{STREAMS_PATH}{stream}?position={position}"),
        None => format!("{STREAMS_PATH}{stream}"),
    };
    Uri::try_from(path).map_err(|_| BackendError::UnknownStream)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|text| text.trim_start().starts_with(EVENT_STREAM))
}

fn is_not_started(answer: &WholeAnswer) -> bool {
    let status = answer.head.status;
    let has_matching_status =
        status == StatusCode::CONFLICT || status == StatusCode::SERVICE_UNAVAILABLE;
    has_matching_status && answer.has_error_code(NOT_STARTED_CODE)
}

fn is_plain_not_started(answer: &WholeAnswer) -> bool {
    let header = answer.head.headers.get(NOT_STARTED_HEADER);
    answer.head.status == StatusCode::SERVICE_UNAVAILABLE
        && header.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"true"))
}

fn map_not_found(error: BackendError) -> BackendError {
    match error {
        BackendError::Rejected { status } if status == StatusCode::NOT_FOUND.as_u16() => {
            BackendError::UnknownStream
        }
        error => error,
    }
}

fn backend_error(error: HttpError) -> BackendError {
    match error {
        HttpError::NotSent => BackendError::NotSent,
        HttpError::NoAnswer | HttpError::TooLarge => BackendError::Broken,
    }
}
