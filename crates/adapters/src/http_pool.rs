//! A pool of keep-alive HTTP/1.1 connections.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyturn_policy::{AnswerMemory, HeldMemory};
use compio::time::timeout;
use http::{HeaderValue, Request, Response, header::HOST};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    ByteMeter, HttpAnswer, HttpSettings,
    http_connection::{HttpConnection, SendError, WholeRequest},
    response_head::is_final_head,
};

/// Error of an HTTP call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum HttpError {
    /// No byte of the request was written.
    #[display("not sent")]
    NotSent,

    /// The request was written at least in part, and no complete response arrived.
    #[display("no response")]
    NoAnswer,

    /// The response is larger than the settings allow, or than the memory that others leave.
    #[display("response too large")]
    TooLarge,
}

/// Result of an HTTP call.
pub type HttpResult<T, E = HttpError> = std::result::Result<T, E>;

/// Connections to any number of addresses, with a limit for each address.
pub struct HttpPool {
    settings: HttpSettings,
    meter: ByteMeter,
    memory: AnswerMemory,
    hosts: RefCell<HashMap<SocketAddr, HostConnections>>,
}

#[derive(Default)]
struct HostConnections {
    /// Invariant: ordered by `idle_since`, the oldest first.
    idle: Vec<IdleConnection>,

    /// Number of connections in use.
    in_use: usize,
}

struct IdleConnection {
    connection: HttpConnection,
    idle_since: Instant,
}

impl HttpPool {
    /// Creates an empty pool. `meter` counts the bytes of its connections.
    pub fn new(settings: HttpSettings, meter: ByteMeter) -> Rc<Self> {
        let memory = AnswerMemory::new(settings.answer_memory);
        Rc::new(Self { settings, meter, memory, hosts: RefCell::default() })
    }

    /// The limits of the pool.
    #[inline]
    pub fn settings(&self) -> &HttpSettings {
        &self.settings
    }

    /// The meter that counts the bytes of all connections of the pool.
    #[inline]
    pub fn meter(&self) -> &ByteMeter {
        &self.meter
    }

    /// Sends a request and awaits the head of the response within `limit`, counted from when the
    /// connection is open. Sets `Host` unless the request has it.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`] if no byte of the request was written, else
    /// [`HttpError::NoAnswer`].
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> HttpResult<HttpAnswer> {
        set_host(&mut request, address);
        let permit = self.acquire_permit(address)?;
        if let Some(connection) = self.take_idle(address).await {
            match attempt(connection, request, limit).await? {
                Attempt::Answered(connection, response) => {
                    return Ok(HttpAnswer::new(response, permit.attach(connection)));
                }
                Attempt::Returned(returned) => request = *returned,
            }
        }
        let fresh =
            HttpConnection::open(address, self.settings.connect_timeout, self.meter.clone());
        permit.send(fresh.await?, request, limit).await
    }

    /// Sends a request on a new connection that isn't kept, so that a late answer to another request
    /// is never read as the answer to this one.
    ///
    /// # Errors
    ///
    /// As [`HttpPool::send`].
    pub async fn send_alone(
        self: &Rc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> HttpResult<HttpAnswer> {
        set_host(&mut request, address);
        let permit = self.acquire_permit(address)?.alone();
        let fresh =
            HttpConnection::open(address, self.settings.connect_timeout, self.meter.clone());
        permit.send(fresh.await?, request, limit).await
    }

    /// Sends a request through another node, on a new connection that isn't kept.
    ///
    /// # Errors
    ///
    /// As [`HttpPool::send`]; [`HttpError::NotSent`] also if the other node doesn't pass it on.
    pub async fn send_through(
        self: &Rc<Self>,
        helper: SocketAddr,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> HttpResult<HttpAnswer> {
        set_host(&mut request, address);
        let permit = self.acquire_permit(address)?.alone();
        // The other node needs up to the same time for its own connection.
        let connect_limit = self.settings.connect_timeout * 2;
        let opening =
            HttpConnection::open_through(helper, address, connect_limit, self.meter.clone());
        permit.send(opening.await?, request, limit).await
    }

    /// Acquires a permit for one of the connections that the limit of an address allows.
    fn acquire_permit(self: &Rc<Self>, address: SocketAddr) -> HttpResult<ConnectionPermit> {
        self.close_expired(Instant::now());
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(address).or_default();
        if host.in_use >= self.settings.connections_per_address {
            return Err(HttpError::NotSent);
        }
        host.in_use += 1;
        Ok(ConnectionPermit { pool: Rc::clone(self), address, is_kept: true })
    }

    /// A kept connection that can take another request.
    async fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        loop {
            let idle = self.hosts.borrow_mut().get_mut(&address)?.idle.pop()?;
            if idle.connection.is_reusable().await {
                return Some(idle.connection);
            }
        }
    }

    /// Closes connections that were unused for the idle timeout.
    fn close_expired(&self, now: Instant) {
        let timeout = self.settings.idle_timeout;
        let mut hosts = self.hosts.borrow_mut();
        hosts.retain(|_, host| {
            host.idle.retain(|idle| now.saturating_duration_since(idle.idle_since) < timeout);
            host.in_use > 0 || !host.idle.is_empty()
        });
    }

    fn put_idle(&self, now: Instant, address: SocketAddr, connection: HttpConnection) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(address).or_default();
        if connection.is_open() && host.idle.len() < self.settings.connections_per_address {
            host.idle.push(IdleConnection { connection, idle_since: now });
        }
    }

    fn release(&self, address: SocketAddr) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&address) {
            host.in_use = host.in_use.saturating_sub(1);
        }
    }
}

enum Attempt {
    Answered(HttpConnection, Response<Incoming>),
    Returned(Box<WholeRequest>),
}

async fn attempt(
    mut connection: HttpConnection,
    request: WholeRequest,
    limit: Duration,
) -> HttpResult<Attempt> {
    let sending = timeout(limit, connection.send(request)).await;
    match sending {
        Ok(Ok(response)) if is_final_head(response.status(), response.headers()) => {
            Ok(Attempt::Answered(connection, response))
        }
        Ok(Ok(response)) => {
            let status = response.status().as_u16();
            log::warn!(status = status; "http: the head of a response is not valid.");
            Err(HttpError::NoAnswer)
        }
        Ok(Err(SendError::Returned(request))) => Ok(Attempt::Returned(request)),
        Ok(Err(SendError::Lost)) | Err(_) => Err(HttpError::NoAnswer),
    }
}

fn set_host(request: &mut WholeRequest, address: SocketAddr) {
    if request.headers().contains_key(HOST) {
        return;
    }
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
}

/// A permit for one connection to an address, released when dropped.
struct ConnectionPermit {
    pool: Rc<HttpPool>,
    address: SocketAddr,

    /// Whether its connection is kept for other requests.
    is_kept: bool,
}

impl ConnectionPermit {
    /// A permit for a connection of one request.
    fn alone(mut self) -> Self {
        self.is_kept = false;
        self
    }

    /// Sends a request on a new connection.
    async fn send(
        self,
        connection: HttpConnection,
        request: WholeRequest,
        limit: Duration,
    ) -> HttpResult<HttpAnswer> {
        match attempt(connection, request, limit).await? {
            Attempt::Answered(connection, response) => {
                Ok(HttpAnswer::new(response, self.attach(connection)))
            }
            Attempt::Returned(_) => Err(HttpError::NotSent),
        }
    }

    fn attach(self, connection: HttpConnection) -> PooledConnection {
        PooledConnection { connection, permit: self }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.pool.release(self.address);
    }
}

/// A connection in use. Dropping it closes the connection and releases its permit.
pub(crate) struct PooledConnection {
    connection: HttpConnection,
    permit: ConnectionPermit,
}

impl PooledConnection {
    /// Returns the connection to the pool for reuse, unless it serves one request only. The last
    /// response must have been read completely.
    pub(crate) fn return_to_pool(self) {
        let Self { connection, permit } = self;
        if permit.is_kept {
            permit.pool.put_idle(Instant::now(), permit.address, connection);
        }
    }

    /// A part of the response's body has arrived.
    pub(crate) fn record_part(&self) {
        self.connection.record_part();
    }

    /// Largest complete response, in bytes.
    pub(crate) fn answer_limit(&self) -> usize {
        self.permit.pool.settings.answer_limit
    }

    /// The memory for a complete response.
    pub(crate) fn hold_memory(&self) -> HeldMemory {
        self.permit.pool.memory.hold()
    }
}
