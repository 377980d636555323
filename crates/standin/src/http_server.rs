//! HTTP/1.1 server of the stand-ins.

use std::{net::SocketAddr, rc::Rc};

use async_trait::async_trait;
use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use futures_util::{FutureExt, stream::LocalBoxStream};
use http::{HeaderValue, Response, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use serde::Serialize;

use crate::{ServerEnd, StandinError, StandinResult, content_hash, task_set::TaskSet};

/// Makes the server drop the connection without sending another byte.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("connection dropped on purpose")]
pub(crate) struct DropConnection;

/// The frames of a streamed body. An error drops the connection.
pub(crate) type BodyStream = LocalBoxStream<'static, Result<Frame<Bytes>, DropConnection>>;

/// An answer, or an error that drops the connection.
pub(crate) type HttpAnswer =
    Result<Response<Either<Full<Bytes>, StreamBody<BodyStream>>>, DropConnection>;

/// Handles the requests of a server.
#[async_trait(?Send)]
pub(crate) trait HttpHandler {
    /// Answers a request.
    async fn handle(self: Rc<Self>, head: Parts, body: Bytes) -> HttpAnswer;
}

/// Opens a listener.
pub(crate) async fn listen(address: SocketAddr) -> StandinResult<TcpListener> {
    TcpListener::bind(address).await.map_err(|source| StandinError::Listen { address, source })
}

/// Serves until `stop` receives a message or is closed, or until the handler sends on `crash`. Both
/// drop all connections.
pub(crate) async fn serve_http<H: HttpHandler + 'static>(
    listener: TcpListener,
    handler: Rc<H>,
    stop: flume::Receiver<()>,
    crash: flume::Receiver<()>,
) -> ServerEnd {
    let mut connections = TaskSet::default();
    loop {
        // Without `fuse`, the macro skips the future of a closed channel.
        futures_util::select_biased! {
            _ = stop.recv_async().fuse() => return ServerEnd::Stopped,
            crashed = crash.recv_async().fuse() => {
                if crashed.is_ok() {
                    return ServerEnd::Crashed;
                }
            }
            accepted = listener.accept().fuse() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, handler.clone()));
                }
            }
        }
    }
}

async fn serve_connection<H: HttpHandler + 'static>(stream: TcpStream, handler: Rc<H>) {
    // Sends small events without delay. If the option cannot be set, the stream is still served.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(handler.clone(), request));
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(HyperStream::new_plain(stream), service);
    if let Err(error) = connection.await {
        log::debug!("standin: connection of a caller ended with an error: {error}.");
    }
}

async fn answer<H: HttpHandler + 'static>(
    handler: Rc<H>,
    request: http::Request<Incoming>,
) -> HttpAnswer {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Err(DropConnection);
    };
    handler.handle(head, body.to_bytes()).await
}

/// An answer without content.
pub(crate) fn empty_answer(status: StatusCode) -> HttpAnswer {
    answer_with(status, None, Bytes::new())
}

/// A JSON answer.
pub(crate) fn json_answer(status: StatusCode, content: &impl Serialize) -> HttpAnswer {
    let Ok(bytes) = serde_json::to_vec(content) else {
        return Err(DropConnection);
    };
    answer_with(status, Some("application/json"), Bytes::from(bytes))
}

/// A JSON answer with an entity tag, or `304 Not Modified` if the request has that tag already.
pub(crate) fn tagged_answer(head: &Parts, content: &impl Serialize) -> HttpAnswer {
    let Ok(bytes) = serde_json::to_vec(content) else {
        return Err(DropConnection);
    };
    let tag = format!("\"{:016x}\"", content_hash(&bytes));
    let tag = HeaderValue::try_from(tag).map_err(|_| DropConnection)?;
    let mut answer = if head.headers.get(header::IF_NONE_MATCH) == Some(&tag) {
        empty_answer(StatusCode::NOT_MODIFIED)?
    } else {
        answer_with(StatusCode::OK, Some("application/json"), Bytes::from(bytes))?
    };
    answer.headers_mut().insert(header::ETAG, tag);
    Ok(answer)
}

/// An error in the form `{"error": …}`.
pub(crate) fn error_answer(status: StatusCode, error: &str) -> HttpAnswer {
    json_answer(status, &serde_json::json!({ "error": error }))
}

/// A stream of server-sent events.
pub(crate) fn event_answer(events: BodyStream) -> HttpAnswer {
    let mut response = Response::new(Either::Right(StreamBody::new(events)));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Ok(response)
}

/// One server-sent event.
pub(crate) fn event_frame(data: &impl Serialize) -> Result<Frame<Bytes>, DropConnection> {
    let data = serde_json::to_string(data).map_err(|_| DropConnection)?;
    Ok(Frame::data(Bytes::from(format!("data: {data}\n\n"))))
}

/// Decodes a JSON body; `None` if it does not fit `T`.
pub(crate) fn json_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

/// The answer to a body that cannot be decoded.
pub(crate) fn malformed_answer() -> HttpAnswer {
    error_answer(StatusCode::BAD_REQUEST, "malformed")
}

fn answer_with(status: StatusCode, content_type: Option<&'static str>, body: Bytes) -> HttpAnswer {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    if let Some(content_type) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    }
    Ok(response)
}
