//! HTTP calls with JSON bodies.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::time::timeout;
use http::{HeaderValue, Method, Request, Uri, header::CONTENT_TYPE};
use http_body_util::Full;
use serde::Serialize;

use crate::{
    HttpAnswer, HttpError, HttpPool, HttpResult, WholeAnswer, http_connection::WholeRequest,
};

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Creates a request without a body.
pub(crate) fn empty_request(method: Method, path: Uri) -> WholeRequest {
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = path;
    request
}

/// Creates a `POST` request with a JSON body.
///
/// # Errors
///
/// [`HttpError::NotSent`] if the body cannot be serialized.
pub(crate) fn json_request<T: Serialize>(path: &'static str, body: &T) -> HttpResult<WholeRequest> {
    let body = serde_json::to_vec(body).map_err(|_| HttpError::NotSent)?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request.headers_mut().insert(CONTENT_TYPE, JSON);
    Ok(request)
}

/// Sends a request and reads the complete response within the pool's call timeout.
pub(crate) async fn call(
    pool: &Rc<HttpPool>,
    address: SocketAddr,
    request: WholeRequest,
) -> HttpResult<WholeAnswer> {
    let limit = pool.settings().call_timeout;
    let sending = pool.send(address, request, limit);
    read_whole(pool, sending, limit).await
}

/// Like [`call`] within `limit`, counted from when the connection is open, on a connection of its
/// own: a late answer to another request is never read as the answer to this one.
pub(crate) async fn call_alone(
    pool: &Rc<HttpPool>,
    address: SocketAddr,
    request: WholeRequest,
    limit: Duration,
) -> HttpResult<WholeAnswer> {
    let sending = pool.send_alone(address, request, limit);
    read_whole(pool, sending, limit).await
}

async fn read_whole(
    pool: &HttpPool,
    sending: impl Future<Output = HttpResult<HttpAnswer>>,
    limit: Duration,
) -> HttpResult<WholeAnswer> {
    let calling = async { sending.await?.whole(limit).await };
    let whole_limit = pool.settings().connect_timeout + limit;
    timeout(whole_limit, calling).await.map_err(|_| HttpError::NoAnswer)?
}
