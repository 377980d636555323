//! Connections of operators.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyturn_proto::operator::operator_server::OperatorServer as GrpcService;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioExecutor, HyperStream};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::server::conn::auto::Builder;
use metrics_exporter_prometheus::PrometheusHandle;
use send_wrapper::SendWrapper;
use tonic::Status;
use tower_service::Service;

use super::OperatorService;

type OperatorBody = UnsyncBoxBody<Bytes, Status>;

/// Pause after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts operators' connections, one task for each.
pub struct OperatorServer {
    /// Answers gRPC.
    pub service: OperatorService,

    /// Renders metrics.
    pub metrics: PrometheusHandle,
}

impl OperatorServer {
    /// Accepts connections; never returns.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            compio::runtime::spawn(self.clone().serve(stream)).detach();
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(move |request| {
            let server = self.clone();
            SendWrapper::new(async move { Ok::<_, Infallible>(server.answer(request).await) })
        });
        let builder = Builder::new(CompioExecutor);
        let connection = builder.serve_connection(HyperStream::new_plain(stream), service);
        if let Err(error) = connection.await {
            log::debug!("operator: connection ended: {error}.");
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<OperatorBody> {
        if request.method() == Method::GET {
            return self.text_answer(request.uri().path());
        }
        let mut service = GrpcService::new(self.service.clone());
        match service.call(request).await {
            Ok(answer) => answer.map(BodyExt::boxed_unsync),
            Err(never) => match never {},
        }
    }

    fn text_answer(&self, path: &str) -> Response<OperatorBody> {
        let (status, text) = match path {
            "/metrics" => (StatusCode::OK, self.metrics.render()),
            "/health" => (StatusCode::OK, "ok\n".to_owned()),
            _ => (StatusCode::NOT_FOUND, "no such page\n".to_owned()),
        };
        let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed_unsync();
        let mut answer = Response::new(body);
        *answer.status_mut() = status;
        answer
    }
}
