//! One HTTP/1.1 connection.

use std::{future::poll_fn, net::SocketAddr, task::Poll, time::Duration};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle, time::timeout};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use rustix::{
    io::Errno,
    net::{RecvFlags, recv},
};

use crate::{
    ByteMeter, HttpError, HttpResult,
    metered_stream::MeteredStream,
    request_stream::{ReadAllowance, RequestStream},
    tunnel::open_tunnel,
};

/// A request with its complete body.
pub(crate) type WholeRequest = Request<Full<Bytes>>;

/// Why no response head arrived for a request on a connection.
pub(crate) enum SendError {
    /// The connection was closed before any byte of the request was written.
    Returned(Box<WholeRequest>),

    /// The request was written, at least in part, and no response head arrived.
    Lost,
}

/// A connection with the task that drives it. Dropping it closes the connection immediately.
pub(crate) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,

    /// The socket, unless the connection goes through another node.
    socket: Option<TcpStream>,

    /// Invariant: not detached, so that dropping the connection ends the task and closes the socket.
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
        let socket = Some(stream.clone());
        Self::start(address, MeteredStream::new(stream, meter), socket).await
    }

    /// Opens a connection through another node.
    pub(crate) async fn open_through(
        helper: SocketAddr,
        address: SocketAddr,
        limit: Duration,
        meter: ByteMeter,
    ) -> HttpResult<Self> {
        let opening = timeout(limit, open_tunnel(helper, address, meter)).await;
        let Ok(Ok(stream)) = opening else { return Err(HttpError::NotSent) };
        Self::start(address, stream, None).await
    }

    async fn start(
        address: SocketAddr,
        stream: MeteredStream,
        socket: Option<TcpStream>,
    ) -> HttpResult<Self> {
        let allowance = ReadAllowance::default();
        let handshake = http1::handshake(RequestStream::new(stream, allowance.clone())).await;
        let (sender, connection) = handshake.map_err(|_| HttpError::NotSent)?;
        let task = compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("http: connection to {address} ended: {error}.");
            }
        });
        Ok(Self { sender, allowance, socket, _task: task })
    }

    /// Whether the connection is still open, as far as is known.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// A part of the answer's body has arrived.
    pub(crate) fn record_part(&self) {
        self.allowance.refill();
    }

    /// Whether a kept connection can take another request: the server has neither closed it nor sent
    /// anything since the last response. Both may have arrived while this thread was busy.
    pub(crate) async fn is_reusable(&self) -> bool {
        // What was read from the socket already, the connection's task learns of now.
        run_other_tasks().await;
        self.is_open() && self.socket.as_ref().is_some_and(is_silent)
    }

    /// Sends a request and awaits the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: WholeRequest,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Returned(Box::new(request)));
        }
        self.allowance.refill();
        let answer = self.sender.try_send_request(request).await;
        self.allowance.refill();
        answer.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::Returned(Box::new(request)),
            None => SendError::Lost,
        })
    }
}

/// Whether nothing is to be read from a connection, not even its end.
fn is_silent(socket: &TcpStream) -> bool {
    let mut byte = [0; 1];
    recv(socket, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) == Err(Errno::AGAIN)
}

/// Lets the tasks run that can go on.
async fn run_other_tasks() {
    let mut has_waited = false;
    poll_fn(|context| {
        if has_waited {
            return Poll::Ready(());
        }
        has_waited = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
