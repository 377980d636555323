//! Requests to servers through another node.

mod support;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use comfreyturn_adapters::{
    ByteMeter, HttpAnswer, HttpError, HttpPool, HttpResult, ResponseHead, TunnelServer, TunnelWatch,
};
use compio::net::TcpListener;
use http::Request;
use http_body_util::Full;
use support::{Action, ScriptServer, closed_address, pool};

const LIMIT: Duration = Duration::from_secs(2);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The size of a request's body that no connection's buffers hold, in bytes.
const UPLOAD_BYTES: usize = 8_000_000;

/// Tries of a request that is answered early: reading or writing may meet the end of the connection
/// first.
const EARLY_TRIES: usize = 20;

/// Time after which both sides know of a closed connection.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// A node that opens tunnels, how many are open, and the heads of responses that it saw.
struct Helper {
    address: SocketAddr,
    open: Rc<Cell<usize>>,
    heads: Rc<RefCell<Vec<ResponseHead>>>,
}

/// Counts an open tunnel until dropped, and keeps the heads of responses.
struct Permit {
    open: Rc<Cell<usize>>,
    heads: Rc<RefCell<Vec<ResponseHead>>>,
}

impl TunnelWatch for Permit {
    fn response_begins(&self, head: &ResponseHead) {
        self.heads.borrow_mut().push(head.clone());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

impl Helper {
    async fn start(admits: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let open = Rc::new(Cell::new(0));
        let heads = Rc::default();
        let permit = (open.clone(), Rc::clone(&heads));
        let admit = move |_: SocketAddr| {
            let (open, heads) = permit.clone();
            admits.then(|| {
                open.set(open.get() + 1);
                Permit { open, heads }
            })
        };
        let server = TunnelServer { connect_timeout: LIMIT, meter: ByteMeter::default() };
        compio::runtime::spawn(server.serve(listener, admit)).detach();
        Self { address, open, heads }
    }

    async fn send(&self, pool: &Rc<HttpPool>, server: SocketAddr) -> HttpResult<HttpAnswer> {
        let request = Request::post("/x").body(Full::new(Bytes::from("body"))).unwrap();
        pool.send_through(self.address, server, request, LIMIT).await
    }
}

#[compio::test]
async fn request_and_answer_pass_unchanged() {
    let server = ScriptServer::answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    let (helper, pool) = (Helper::start(true).await, pool());
    let mut answer = helper.send(&pool, server.address).await.unwrap();
    assert_eq!(answer.chunk().await.unwrap().unwrap(), "ok");
    assert_eq!(answer.chunk().await.unwrap(), None);
    let request = &server.requests()[0];
    assert!(request.starts_with("POST /x HTTP/1.1\r\n"), "{request}");
    assert!(request.contains(&format!("host: {}\r\n", server.address)), "{request}");
    assert!(request.ends_with("\r\n\r\nbody"), "{request}");
}

#[compio::test]
async fn events_pass_as_they_arrive() {
    let server = ScriptServer::start(vec![vec![
        Action::Read,
        Action::Write(format!("{HEAD}1\r\na\r\n")),
        Action::AwaitClose,
    ]]);
    let (helper, pool) = (Helper::start(true).await, pool());
    let mut answer = helper.send(&pool, server.address).await.unwrap();
    let chunk = compio::time::timeout(CLOSE_TIME, answer.chunk()).await;
    assert_eq!(chunk.expect("the event waits for no other").unwrap().unwrap(), "a");
}

#[compio::test]
async fn leaving_of_the_caller_reaches_the_server_and_frees_the_tunnel() {
    let server = ScriptServer::start(vec![vec![
        Action::Read,
        Action::Write(format!("{HEAD}1\r\na\r\n")),
        Action::AwaitClose,
    ]]);
    let (helper, pool) = (Helper::start(true).await, pool());
    let answer = helper.send(&pool, server.address).await.unwrap();
    assert_eq!(helper.open.get(), 1);
    drop(answer);
    compio::time::sleep(CLOSE_TIME).await;
    assert_eq!((server.closes(), helper.open.get()), (1, 0));
}

#[compio::test]
async fn answer_that_breaks_off_is_not_complete() {
    let server =
        ScriptServer::start(vec![vec![Action::Read, Action::Write(format!("{HEAD}5\r\nab"))]]);
    let (helper, pool) = (Helper::start(true).await, pool());
    let mut answer = helper.send(&pool, server.address).await.unwrap();
    let mut chunk = answer.chunk().await;
    while let Ok(Some(_)) = chunk {
        chunk = answer.chunk().await;
    }
    assert_eq!(chunk.unwrap_err(), HttpError::NoAnswer);
}

#[compio::test]
async fn request_is_not_sent_if_no_tunnel_opens() {
    let server = ScriptServer::answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let pool = pool();
    let refusing = Helper::start(false).await;
    let refused = refusing.send(&pool, server.address).await;
    assert_eq!(refused.err(), Some(HttpError::NotSent), "the other node refuses");
    assert_eq!(server.connections(), 0);
    let helper = Helper::start(true).await;
    let unreached = helper.send(&pool, closed_address()).await;
    assert_eq!(unreached.err(), Some(HttpError::NotSent), "nobody listens there");
    let gone = Helper { address: closed_address(), open: Rc::default(), heads: Rc::default() };
    let missing = gone.send(&pool, server.address).await;
    assert_eq!(missing.err(), Some(HttpError::NotSent), "the other node is gone");
    assert_eq!((server.connections(), helper.open.get()), (0, 0));
}

/// Guards against a connection through another node that is kept, and that a later request takes as
/// one to the server itself.
#[compio::test]
async fn connection_through_another_node_serves_one_request() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let script = || vec![Action::Read, Action::Write(ok.into()), Action::AwaitClose];
    let server = ScriptServer::start(vec![script(), script()]);
    let (helper, pool) = (Helper::start(true).await, pool());
    helper.send(&pool, server.address).await.unwrap().whole(LIMIT).await.unwrap();
    let request = Request::get("/x").body(Full::default()).unwrap();
    pool.send(server.address, request, LIMIT).await.unwrap().whole(LIMIT).await.unwrap();
    compio::time::sleep(CLOSE_TIME).await;
    assert_eq!((server.connections(), helper.open.get()), (2, 0));
}

/// Guards against a node that passes requests on and does not learn what the server asks of it
/// (BUDGET).
#[compio::test]
async fn node_that_helps_sees_the_head_of_the_response() {
    let pieces = ["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nRetry-", "After: 3\r\n"];
    let rest = "Content-Length: 2\r\n\r\nno";
    let mut script = vec![Action::Read];
    script.extend(pieces.iter().chain([&rest]).map(|piece| Action::Write((*piece).to_owned())));
    let server = ScriptServer::start(vec![script]);
    let (helper, pool) = (Helper::start(true).await, pool());
    let mut answer = helper.send(&pool, server.address).await.unwrap();
    assert_eq!(answer.chunk().await.unwrap().unwrap(), "no", "the bytes pass unchanged");
    let heads = helper.heads.borrow();
    assert_eq!(heads.len(), 1);
    assert_eq!(
        (heads[0].status.as_u16(), heads[0].headers["retry-after"].to_str().ok()),
        (503, Some("3"))
    );
}

#[compio::test]
async fn bytes_that_are_no_response_have_no_head() {
    let server = ScriptServer::answering("SSH-2.0 hello\r\n\r\n");
    let (helper, pool) = (Helper::start(true).await, pool());
    assert!(helper.send(&pool, server.address).await.is_err());
    assert!(helper.heads.borrow().is_empty());
}

/// Guards against a notice to the node that helps which is taken from a head that is not that of a
/// response (MIXED).
#[compio::test]
async fn invalid_head_is_not_that_of_a_response() {
    let busy = "HTTP/1.1 503 Busy\r\n";
    let begins = [
        "HTTP/1.1 000 None\r\n".to_owned(),
        "HTTP/1.1 600 None\r\n".to_owned(),
        "HTTP/1.1 099 None\r\n".to_owned(),
        format!("HTTP/1.1 101 Switching Protocols\r\n\r\n{busy}"),
        format!("{busy}Transfer-Encoding: chunked, x\r\n"),
        format!("{busy}X y: 1\r\n"),
    ];
    for begin in begins {
        let text = format!("{begin}Retry-After: 3\r\nContent-Length: 2\r\n\r\nno");
        let server = ScriptServer::answering(&text);
        let (helper, pool) = (Helper::start(true).await, pool());
        assert!(helper.send(&pool, server.address).await.is_err(), "{begin:?}");
        assert!(helper.heads.borrow().is_empty(), "{begin:?}");
    }
}

/// Guards against the same where the answer has no length, and ends with its connection.
#[compio::test]
async fn invalid_status_without_a_length_is_not_that_of_a_response() {
    for status in ["000", "000 None", "099 None", "600 None"] {
        let text = format!("HTTP/1.1 {status}\r\nRetry-After: 3\r\n\r\nno");
        let server = ScriptServer::answering(&text);
        let (helper, pool) = (Helper::start(true).await, pool());
        assert!(helper.send(&pool, server.address).await.is_err(), "{status}");
        assert!(helper.heads.borrow().is_empty(), "{status}");
    }
}

/// An answer in each framing that states its end, and how many of its bytes a whole answer needs.
const FRAMED_ANSWERS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: x-end\r\n\r\n3\r\nabc\r\n0\r\nX-End: 1\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n",
];

/// A connection that ends within a head without a length.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n";

async fn is_whole(answer: HttpResult<HttpAnswer>) -> bool {
    match answer {
        Ok(answer) => answer.whole(LIMIT).await.is_ok(),
        Err(_) => false,
    }
}

/// Guards against a server that stops within its answer, in the head too, and whose answer passes for
/// a whole one with an empty or short body (MIXED, ORDER): each answer is cut after each byte.
#[compio::test]
async fn answer_that_is_cut_anywhere_is_never_whole() {
    let (helper, pool) = (Helper::start(true).await, pool());
    let request = || Request::post("/x").body(Full::new(Bytes::from("body"))).unwrap();
    for text in FRAMED_ANSWERS.into_iter().chain([UNFRAMED_HEAD]) {
        // Each script serves a direct request and one through the helper.
        let cuts = (0..=text.len()).flat_map(|cut| [cut, cut]);
        let scripts =
            cuts.map(|cut| vec![Action::Read, Action::Write(text[..cut].to_owned())]).collect();
        let server = ScriptServer::start(scripts);
        for cut in 0..=text.len() {
            let is_cut = cut < text.len();
            let direct = pool.send_alone(server.address, request(), LIMIT).await;
            assert_eq!(is_whole(direct).await, !is_cut, "{:?}", &text[..cut]);
            let helped = helper.send(&pool, server.address).await;
            assert_eq!(is_whole(helped).await, !is_cut, "through a helper: {:?}", &text[..cut]);
        }
    }
}

/// Guards against the loss of a refusal whose server closes the connection before it has read the
/// request.
#[compio::test]
async fn early_answer_of_a_server_that_reads_no_more_is_whole() {
    let text = "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno".to_owned();
    let script = vec![Action::ReadSome, Action::Write(text)];
    let server = ScriptServer::start(vec![script; 2 * EARLY_TRIES]);
    let (helper, pool) = (Helper::start(true).await, pool());
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    for _ in 0..EARLY_TRIES {
        let request = || Request::post("/x").body(Full::new(body.clone())).unwrap();
        let direct = pool.send_alone(server.address, request(), LIMIT).await;
        assert!(is_whole(direct).await);
        let helped = pool.send_through(helper.address, server.address, request(), LIMIT).await;
        assert!(is_whole(helped).await, "through a helper");
    }
}
