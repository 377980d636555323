//! Callers' connections.

use std::{cell::Cell, convert::Infallible, pin::pin, rc::Rc, time::Duration};

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioExecutor, CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use hyper::service::service_fn;
use hyper_util::server::conn::auto::Builder;
use send_wrapper::SendWrapper;

use super::CallerEdge;

/// Pause after a connection could not be accepted, when the process is out of descriptors, say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers' connections, one task for each.
pub struct CallerServer {
    /// Answers requests.
    pub edge: Rc<CallerEdge>,

    /// Disconnected once the node drains: connections then end after the request in progress.
    pub draining: flume::Receiver<Infallible>,

    /// Connections that are open.
    pub open: Rc<Cell<usize>>,
}

impl CallerServer {
    /// Accepts connections for ever. A connection beyond the limit is closed at once.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            if self.open.get() >= self.edge.settings.max_connections {
                log::warn!("caller: too many connections, one refused.");
                continue;
            }
            compio::runtime::spawn(self.clone().serve(stream)).detach();
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("caller: cannot switch off the delay of small messages: {error}.");
        }
        self.open.set(self.open.get() + 1);
        self.serve_requests(stream).await;
        self.open.set(self.open.get() - 1);
    }

    async fn serve_requests(&self, stream: TcpStream) {
        let edge = self.edge.clone();
        let service = service_fn(move |request| {
            let edge = edge.clone();
            SendWrapper::new(async move { Ok::<_, Infallible>(edge.answer(request).await) })
        });
        let builder = self.connection_builder();
        let connection = builder.serve_connection(HyperStream::new_plain(stream), service);
        let mut connection = pin!(connection);
        match select(connection.as_mut(), self.draining.recv_async()).await {
            Either::Left((ended, _)) => return log_end(ended),
            Either::Right(_) => connection.as_mut().graceful_shutdown(),
        }
        log_end(connection.await);
    }

    fn connection_builder(&self) -> Builder<CompioExecutor> {
        let settings = &self.edge.settings;
        let mut builder = Builder::new(CompioExecutor);
        builder
            .http1()
            .timer(CompioTimer)
            .header_read_timeout(settings.head_timeout)
            .max_buf_size(settings.max_head_bytes);
        builder
            .http2()
            .timer(CompioTimer)
            .max_header_list_size(u32::try_from(settings.max_head_bytes).unwrap_or(u32::MAX));
        builder
    }
}

fn log_end<E: std::fmt::Display>(ended: Result<(), E>) {
    if let Err(error) = ended {
        log::debug!("caller: connection ended: {error}.");
    }
}
