//! Servers that run a script for each connection.
#![allow(dead_code, clippy::allow_attributes, reason = "each test uses a part of it")]

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use comfreyturn_adapters::{ByteMeter, HttpPool, HttpSettings};

/// Read timeout of a server.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// One action of a server on a connection.
#[derive(Clone, Debug)]
pub enum Action {
    /// Reads a complete request.
    Read,
    /// Reads the beginning of a request.
    ReadSome,
    /// Writes a text.
    Write(String),
    /// Ends the response, and keeps the connection open.
    EndWriting,
    /// Waits.
    Wait(Duration),
    /// Reads until the client closes the connection, and counts the close.
    AwaitClose,
}

/// What a server has received.
#[derive(Debug, Default)]
pub struct Received {
    pub connections: usize,
    pub requests: Vec<String>,
    pub closes: usize,
}

/// A server whose n-th connection runs the n-th script; further connections are closed at once.
pub struct ScriptServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Received>>,
}

impl ScriptServer {
    pub fn start(scripts: Vec<Vec<Action>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Received::default()));
        let recorded = Arc::clone(&received);
        thread::spawn(move || {
            for (index, stream) in listener.incoming().enumerate() {
                let script = scripts.get(index).cloned().unwrap_or_default();
                let received = Arc::clone(&recorded);
                received.lock().unwrap().connections += 1;
                thread::spawn(move || run_script(stream.unwrap(), script, &received));
            }
        });
        Self { address, received }
    }

    /// A server that answers one request on one connection.
    pub fn answering(answer: &str) -> Self {
        Self::start(vec![vec![Action::Read, Action::Write(answer.to_owned()), Action::AwaitClose]])
    }

    pub fn connections(&self) -> usize {
        self.received.lock().unwrap().connections
    }

    pub fn requests(&self) -> Vec<String> {
        self.received.lock().unwrap().requests.clone()
    }

    pub fn closes(&self) -> usize {
        self.received.lock().unwrap().closes
    }
}

fn run_script(mut stream: TcpStream, script: Vec<Action>, received: &Mutex<Received>) {
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
    for action in script {
        match action {
            Action::Read => match read_request(&mut stream) {
                Some(request) => received.lock().unwrap().requests.push(request),
                None => return,
            },
            Action::ReadSome => {
                let _ = stream.read(&mut [0; 4096]);
            }
            Action::Write(text) => {
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Action::EndWriting => {
                let _ = stream.shutdown(Shutdown::Write);
            }
            Action::Wait(time) => thread::sleep(time),
            Action::AwaitClose => {
                let mut rest = Vec::new();
                if stream.read_to_end(&mut rest).is_ok() {
                    received.lock().unwrap().closes += 1;
                }
            }
        }
    }
}

fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut input = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&input).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| {
                    line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok()
                })
                .unwrap_or(0);
            if body.len() >= length {
                return Some(text);
            }
        }
        let bytes = stream.read(&mut chunk).ok().filter(|bytes| *bytes > 0)?;
        input.extend_from_slice(&chunk[..bytes]);
    }
}

/// A response with a body.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// An address without a listener. Not a port that was free a moment ago: the server of another test
/// may get that one.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A pool with short limits.
pub fn pool() -> Rc<HttpPool> {
    let settings = HttpSettings {
        call_timeout: Duration::from_millis(300),
        answer_limit: 4096,
        ..HttpSettings::default()
    };
    HttpPool::new(settings, ByteMeter::default())
}
