//! Remote procedure calls of operators over one HTTP/2 connection.

use std::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use compio::{net::TcpStream, runtime::JoinHandle, time::timeout};
use cyper_core::{CompioExecutor, HyperStream};
use futures_util::future::LocalBoxFuture;
use http::{
    Request, Response, Uri,
    uri::{Authority, Scheme},
};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use tonic::body::Body;

use crate::{HttpError, HttpResult};

/// An HTTP/2 connection for a generated client of tonic. Dropping it closes the connection.
pub struct GrpcChannel {
    sender: SendRequest<Body>,
    authority: Authority,

    /// Invariant: not detached, so that dropping it ends the task, which owns the socket.
    _task: JoinHandle<()>,
}

impl GrpcChannel {
    /// Connects to a server within `limit`.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`] if there is no connection.
    pub async fn connect(address: SocketAddr, limit: Duration) -> HttpResult<Self> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connecting else { return Err(HttpError::NotSent) };
        let stream = HyperStream::new_plain(stream);
        let handshake = timeout(limit, http2::handshake(CompioExecutor, stream)).await;
        let Ok(Ok((sender, connection))) = handshake else { return Err(HttpError::NotSent) };
        let task = compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("grpc: connection to {address} ended: {error}.");
            }
        });
        let authority = Authority::try_from(address.to_string());
        let authority = authority.map_err(|_| HttpError::NotSent)?;
        Ok(Self { sender, authority, _task: task })
    }

    fn absolute(&self, uri: &Uri) -> Uri {
        let mut parts = uri.clone().into_parts();
        parts.scheme = Some(Scheme::HTTP);
        parts.authority = Some(self.authority.clone());
        Uri::from_parts(parts).unwrap_or_else(|_| uri.clone())
    }
}

impl tower_service::Service<Request<Body>> for GrpcChannel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        Pin::new(&mut self.sender).poll_ready(context)
    }

    fn call(&mut self, mut request: Request<Body>) -> Self::Future {
        *request.uri_mut() = self.absolute(request.uri());
        Box::pin(self.sender.send_request(request))
    }
}
