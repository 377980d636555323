//! One HTTP/1.1 connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle, time::timeout};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};

use crate::{ByteMeter, HttpError, HttpResult, metered_stream::MeteredStream};

/// A request with its whole body.
pub(crate) type WholeRequest = Request<Full<Bytes>>;

/// Why a request got no answer head on a connection.
pub(crate) enum SendError {
    /// The connection was closed before any byte of the request was written.
    Returned(Box<WholeRequest>),

    /// The request was written, at least in part.
    Lost,
}

/// A connection with the task that drives it. Dropping it closes the connection at once.
pub(crate) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,

    /// Invariant: not detached, so that dropping it ends the task, which owns the socket.
    _task: JoinHandle<()>,
}

impl HttpConnection {
    /// Opens a connection.
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
        meter: ByteMeter,
    ) -> HttpResult<Self> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connecting else { return Err(HttpError::NotSent) };
        let stream = MeteredStream::new(stream, meter);
        let handshake = http1::handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| HttpError::NotSent)?;
        let task = compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("http: connection to {address} ended: {error}.");
            }
        });
        Ok(Self { sender, _task: task })
    }

    /// Whether the other side has not closed the connection as far as is known.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and awaits the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: WholeRequest,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Returned(Box::new(request)));
        }
        let sending = self.sender.try_send_request(request);
        sending.await.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::Returned(Box::new(request)),
            None => SendError::Lost,
        })
    }
}
