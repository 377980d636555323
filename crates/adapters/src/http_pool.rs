//! A pool of HTTP/1.1 connections that are kept alive.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::time::timeout;
use http::{HeaderValue, Request, Response, header::HOST};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    ByteMeter, HttpAnswer, HttpSettings,
    http_connection::{HttpConnection, SendError, WholeRequest},
};

/// What went wrong in an HTTP call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum HttpError {
    /// No byte of the request was written.
    #[display("not sent")]
    NotSent,

    /// The request was written at least in part, and no whole answer came.
    #[display("no answer")]
    NoAnswer,

    /// The answer is larger than the settings allow.
    #[display("answer too large")]
    TooLarge,
}

/// Result of an HTTP call.
pub type HttpResult<T, E = HttpError> = std::result::Result<T, E>;

/// Connections to any number of addresses, bounded for each of them.
pub struct HttpPool {
    settings: HttpSettings,
    meter: ByteMeter,
    hosts: RefCell<HashMap<SocketAddr, HostConnections>>,
}

#[derive(Default)]
struct HostConnections {
    /// Invariant: ordered by `since`, the oldest first.
    idle: Vec<IdleConnection>,

    /// Connections that a call uses.
    used: usize,
}

struct IdleConnection {
    connection: HttpConnection,
    since: Instant,
}

impl HttpPool {
    /// Makes an empty pool whose connections are counted by `meter`.
    pub fn new(settings: HttpSettings, meter: ByteMeter) -> Rc<Self> {
        Rc::new(Self { settings, meter, hosts: RefCell::default() })
    }

    /// The limits of the pool.
    #[inline]
    pub fn settings(&self) -> &HttpSettings {
        &self.settings
    }

    /// Counts the bytes of all connections of the pool.
    #[inline]
    pub fn meter(&self) -> &ByteMeter {
        &self.meter
    }

    /// Sends a request and awaits the head of its answer within `limit`. `Host` is set unless the
    /// request has it.
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
        let lease = self.lease(address)?;
        if let Some(connection) = self.take_idle(address) {
            match attempt(connection, request, limit).await? {
                Attempt::Answered(connection, response) => {
                    return Ok(HttpAnswer::new(response, lease.hold(connection)));
                }
                Attempt::Returned(returned) => request = *returned,
            }
        }
        let fresh =
            HttpConnection::open(address, self.settings.connect_timeout, self.meter.clone());
        match attempt(fresh.await?, request, limit).await? {
            Attempt::Answered(connection, response) => {
                Ok(HttpAnswer::new(response, lease.hold(connection)))
            }
            Attempt::Returned(_) => Err(HttpError::NotSent),
        }
    }

    /// Takes a place under the limit of an address.
    fn lease(self: &Rc<Self>, address: SocketAddr) -> HttpResult<ConnectionPlace> {
        self.close_expired(Instant::now());
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(address).or_default();
        if host.used >= self.settings.connections_per_address {
            return Err(HttpError::NotSent);
        }
        host.used += 1;
        Ok(ConnectionPlace { pool: Rc::clone(self), address })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut hosts = self.hosts.borrow_mut();
        let idle = &mut hosts.get_mut(&address)?.idle;
        while let Some(IdleConnection { connection, .. }) = idle.pop() {
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes connections that nobody used for the idle timeout.
    fn close_expired(&self, now: Instant) {
        let timeout = self.settings.idle_timeout;
        let mut hosts = self.hosts.borrow_mut();
        hosts.retain(|_, host| {
            host.idle.retain(|idle| now.saturating_duration_since(idle.since) < timeout);
            host.used > 0 || !host.idle.is_empty()
        });
    }

    fn put_idle(&self, now: Instant, address: SocketAddr, connection: HttpConnection) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(address).or_default();
        if connection.is_open() && host.idle.len() < self.settings.connections_per_address {
            host.idle.push(IdleConnection { connection, since: now });
        }
    }

    fn release(&self, address: SocketAddr) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&address) {
            host.used = host.used.saturating_sub(1);
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
        Ok(Ok(response)) => Ok(Attempt::Answered(connection, response)),
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

/// A place under the limit of connections to one address, given back when dropped.
struct ConnectionPlace {
    pool: Rc<HttpPool>,
    address: SocketAddr,
}

impl ConnectionPlace {
    fn hold(self, connection: HttpConnection) -> ConnectionLease {
        ConnectionLease { connection, place: self }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.pool.release(self.address);
    }
}

/// A connection in use. Dropping it closes the connection.
pub(crate) struct ConnectionLease {
    connection: HttpConnection,
    place: ConnectionPlace,
}

impl ConnectionLease {
    /// Gives the connection back, to be used again. The last answer must have been read to its
    /// end.
    pub(crate) fn give_back(self) {
        let Self { connection, place } = self;
        place.pool.put_idle(Instant::now(), place.address, connection);
    }

    /// Largest whole answer, in bytes.
    pub(crate) fn answer_limit(&self) -> usize {
        self.place.pool.settings.answer_limit
    }
}
