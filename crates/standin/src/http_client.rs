//! HTTP/1.1 client with one connection per call.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

use crate::{StandinError, StandinResult, task_set::TaskSet};

/// A call in progress. Dropping it closes the connection.
pub(crate) struct HttpCall {
    /// The head of the answer, and its body as it arrives.
    pub(crate) response: Response<Incoming>,

    /// Drives the connection.
    _connection: TaskSet,
}

/// Sends a request and awaits the head of the answer.
pub(crate) async fn start_call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> StandinResult<HttpCall> {
    let no_answer = || StandinError::NoAnswer { address };
    let stream =
        TcpStream::connect(address).await.map_err(|_| StandinError::NotReached { address })?;
    stream.set_nodelay(true).map_err(|_| no_answer())?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|_| no_answer())?;
    let mut connection_task = TaskSet::default();
    connection_task.spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("standin: connection of a call ended with an error: {error}.");
        }
    });
    let response = sender.send_request(request).await.map_err(|_| no_answer())?;
    Ok(HttpCall { response, _connection: connection_task })
}

/// Makes a call and reads the complete answer, with a time limit.
pub(crate) async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> StandinResult<(StatusCode, Bytes)> {
    let no_answer = || StandinError::NoAnswer { address };
    let answer = async {
        let call = start_call(address, request).await?;
        let status = call.response.status();
        let body = call.response.into_body().collect().await.map_err(|_| no_answer())?;
        Ok((status, body.to_bytes()))
    };
    compio::time::timeout(timeout, answer).await.map_err(|_| no_answer())?
}

/// Makes a call with a JSON request and a JSON answer.
pub(crate) async fn json_call<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    content: &impl Serialize,
    timeout: Duration,
) -> StandinResult<T> {
    let request = json_request(address, method, path, content);
    read_json(address, call(address, request, timeout).await?)
}

/// Decodes a JSON answer. An empty body counts as `null`.
pub(crate) fn read_json<T: DeserializeOwned>(
    address: SocketAddr,
    (status, body): (StatusCode, Bytes),
) -> StandinResult<T> {
    if !status.is_success() {
        return Err(StandinError::Status { address, status: status.as_u16() });
    }
    let body = if body.is_empty() { Bytes::from_static(b"null") } else { body };
    serde_json::from_slice(&body).map_err(|_| StandinError::Malformed { address })
}

/// Builds a request with a JSON body.
pub(crate) fn json_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    content: &impl Serialize,
) -> Request<Full<Bytes>> {
    let body =
        serde_json::to_vec(content).expect("stand-ins send only types that serialize to JSON");
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the request has a valid path and host")
}
