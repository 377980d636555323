//! Connections of callers.

use std::{cell::Cell, convert::Infallible, pin::pin, rc::Rc, time::Duration};

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioExecutor, CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use hyper::service::service_fn;
use hyper_util::server::conn::auto::Builder;
use send_wrapper::SendWrapper;

use super::CallerApi;

/// Pause after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers' connections, one task for each.
pub struct CallerServer {
    /// Answers requests.
    pub api: Rc<CallerApi>,

    /// Disconnected once the node drains: each connection then closes after its request in
    /// progress.
    pub draining: flume::Receiver<Infallible>,

    /// The number of open connections.
    pub open_connections: Rc<Cell<usize>>,
}

impl CallerServer {
    /// Accepts connections; never returns. A connection beyond the limit is closed at once.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            if self.open_connections.get() >= self.api.settings.max_connections {
                log::warn!("caller: connection limit reached, new connection closed.");
                continue;
            }
            compio::runtime::spawn(self.clone().serve(stream)).detach();
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("caller: cannot set TCP_NODELAY: {error}.");
        }
        self.open_connections.set(self.open_connections.get() + 1);
        self.serve_requests(stream).await;
        self.open_connections.set(self.open_connections.get() - 1);
    }

    async fn serve_requests(&self, stream: TcpStream) {
        let api = self.api.clone();
        let service = service_fn(move |request| {
            let api = api.clone();
            SendWrapper::new(async move { Ok::<_, Infallible>(api.answer(request).await) })
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
        let settings = &self.api.settings;
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
