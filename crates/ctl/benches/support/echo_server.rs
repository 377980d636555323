//! A bare server on the same runtime, as an upper bound for the speed of a node.

use std::{convert::Infallible, fs, net::SocketAddr, rc::Rc, thread, time::Duration};

use bytes::Bytes;
use comfreyturn_standin::{finish_reason, output_length, output_token};
use compio::{
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};
use cyper_core::{CompioExecutor, HyperStream};
use futures_util::{Stream, StreamExt, stream};
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::server::conn::auto::Builder;
use send_wrapper::SendWrapper;
use serde_json::{Value, json};

type EchoBody = UnsyncBoxBody<Bytes, Infallible>;

/// Answers callers as a node does, but without admission and without an engine.
pub struct EchoServer {
    /// Address for callers.
    pub address: SocketAddr,

    /// Path of the thread's `stat` file in `/proc`.
    stat: String,
}

impl EchoServer {
    /// Starts a server on its own thread. Each stream sends `rate` tokens per second.
    pub fn start(rate: f64) -> Self {
        let (ready, started) = flume::bounded(1);
        thread::spawn(move || {
            Runtime::new().expect("a runtime").block_on(async move {
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let listener = TcpListener::bind(any).await.expect("the server listens");
                let address = listener.local_addr().expect("a bound address");
                let thread = fs::read_link("/proc/thread-self").expect("the thread runs");
                let _ = ready.send((address, format!("/proc/{}/stat", thread.display())));
                accept(listener, address, Duration::from_secs_f64(1.0 / rate)).await;
            });
        });
        let (address, stat) = started.recv().expect("the server starts");
        Self { address, stat }
    }

    /// CPU time that the server's thread has used.
    pub fn cpu_seconds(&self) -> f64 {
        super::cpu_seconds(&self.stat)
    }
}

async fn accept(listener: TcpListener, address: SocketAddr, period: Duration) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        compio::runtime::spawn(serve(stream, address, period)).detach();
    }
}

async fn serve(stream: TcpStream, address: SocketAddr, period: Duration) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        SendWrapper::new(async move { Ok::<_, Infallible>(answer(request, address, period).await) })
    });
    let builder = Builder::new(CompioExecutor);
    let _ = builder.serve_connection(HyperStream::new_plain(stream), service).await;
}

async fn answer(
    request: Request<Incoming>,
    address: SocketAddr,
    period: Duration,
) -> Response<EchoBody> {
    if request.uri().path() == "/v1/addresses" {
        let text = json!({"addresses": [address], "valid_ms": 60_000}).to_string();
        return Response::new(body(stream::iter([Bytes::from(text)])));
    }
    let bytes = request.into_body().collect().await.map(|body| body.to_bytes());
    let wanted: Value = serde_json::from_slice(&bytes.unwrap_or_default()).unwrap_or_default();
    let prompt: Rc<str> = wanted["prompt"].as_str().unwrap_or_default().into();
    let tokens = wanted["max_tokens"].as_u64().and_then(|tokens| u32::try_from(tokens).ok());
    Response::new(body(events(prompt, tokens.unwrap_or_default(), period)))
}

/// The events that a node would send, one per period.
fn events(prompt: Rc<str>, tokens: u32, period: Duration) -> impl Stream<Item = Bytes> {
    let finish = finish_reason(&prompt, tokens);
    let length = output_length(&prompt, tokens);
    let parts = stream::iter(0..length).then(move |position| {
        let prompt = Rc::clone(&prompt);
        async move {
            compio::time::sleep(period).await;
            event(&output_token(&prompt, position), "null")
        }
    });
    let last = [event("", &format!("\"{finish}\"")), Bytes::from("data: [DONE]\n\n")];
    parts.chain(stream::iter(last))
}

fn event(text: &str, finish: &str) -> Bytes {
    let choice = format!("{{\"finish_reason\":{finish},\"index\":0,\"text\":\"{text}\"}}");
    Bytes::from(format!(
        "data: {{\"choices\":[{choice}],\"id\":\"0123456789abcdef\",\"model\":\"assistant\",\
         \"object\":\"text_completion\"}}\n\n"
    ))
}

fn body(parts: impl Stream<Item = Bytes> + 'static) -> EchoBody {
    let frames = parts.map(|bytes| Ok::<_, Infallible>(Frame::data(bytes)));
    StreamBody::new(SendWrapper::new(Box::pin(frames))).boxed_unsync()
}
