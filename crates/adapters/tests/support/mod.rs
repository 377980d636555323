//! Servers that follow a script, one for each connection.
#![allow(dead_code, clippy::allow_attributes, reason = "each test uses a part of it")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use comfreyturn_adapters::{ByteMeter, HttpPool, HttpSettings};

/// Longest that a server waits for a client.
const CLIENT_PATIENCE: Duration = Duration::from_secs(10);

/// What a server does next on a connection.
#[derive(Clone)]
pub enum Act {
    /// Reads a whole request.
    Read,
    /// Writes.
    Write(String),
    /// Waits.
    Wait(Duration),
    /// Reads until the client closes, and notes that it did.
    AwaitClose,
}

/// What a server has seen.
#[derive(Debug, Default)]
pub struct Seen {
    pub connections: usize,
    pub requests: Vec<String>,
    pub closes: usize,
}

/// A server whose n-th connection follows the n-th script; more connections are closed at once.
pub struct ScriptServer {
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl ScriptServer {
    pub fn start(scripts: Vec<Vec<Act>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let noted = Arc::clone(&seen);
        thread::spawn(move || {
            for (index, stream) in listener.incoming().enumerate() {
                let script = scripts.get(index).cloned().unwrap_or_default();
                let seen = Arc::clone(&noted);
                seen.lock().unwrap().connections += 1;
                thread::spawn(move || follow(stream.unwrap(), script, &seen));
            }
        });
        Self { address, seen }
    }

    /// A server that answers one request on one connection.
    pub fn answering(answer: &str) -> Self {
        Self::start(vec![vec![Act::Read, Act::Write(answer.to_owned()), Act::AwaitClose]])
    }

    pub fn connections(&self) -> usize {
        self.seen.lock().unwrap().connections
    }

    pub fn requests(&self) -> Vec<String> {
        self.seen.lock().unwrap().requests.clone()
    }

    pub fn closes(&self) -> usize {
        self.seen.lock().unwrap().closes
    }
}

fn follow(mut stream: TcpStream, script: Vec<Act>, seen: &Mutex<Seen>) {
    stream.set_read_timeout(Some(CLIENT_PATIENCE)).unwrap();
    for act in script {
        match act {
            Act::Read => match read_request(&mut stream) {
                Some(request) => seen.lock().unwrap().requests.push(request),
                None => return,
            },
            Act::Write(text) => {
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Act::Wait(time) => thread::sleep(time),
            Act::AwaitClose => {
                let mut rest = Vec::new();
                if stream.read_to_end(&mut rest).is_ok() {
                    seen.lock().unwrap().closes += 1;
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

/// An answer with a body.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// An address where nobody listens.
pub fn dead_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
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
