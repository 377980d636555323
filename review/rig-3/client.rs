//! Clients.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    http::{Head, Reader, answer_framing, read_body, read_head, reader},
    nodes::Node,
    util::{now_s, random_below},
};

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: Option<String>,
    pub deadline_ms: u64,

    /// Further header lines.
    pub fields: String,
    pub body: Arc<Vec<u8>>,
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head of an answer arrived.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,

    /// Whether the answer arrived completely.
    pub is_whole: bool,

    /// Whether all of the request was written.
    pub is_sent: bool,
    pub sent_at: f64,
    pub head_at: f64,
    pub ended_at: f64,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.is_whole && (200..300).contains(&self.status)
    }

    /// What came, in a few words.
    pub fn summary(&self) -> String {
        match (self.status, self.is_whole) {
            (0, _) => "no answer".to_owned(),
            (status, true) => status.to_string(),
            (status, false) => format!("{status}, broken off"),
        }
    }
}

/// A channel that is kept for several requests.
pub struct Channel {
    stream: TcpStream,
    reader: Reader,
    pub address: SocketAddr,
    pub is_open: bool,
}

impl Channel {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let reader = reader(&stream)?;
        Some(Self { stream, reader, address, is_open: true })
    }

    /// Sends a request and awaits the answer.
    pub fn send(&mut self, request: &Request) -> Answer {
        let mut answer = Answer { sent_at: now_s(), ..Answer::default() };
        let limit = Duration::from_millis(request.deadline_ms + 500);
        let _ = self.stream.set_read_timeout(Some(limit));
        let _ = self.stream.set_write_timeout(Some(limit));
        let key = request.key.as_ref();
        let key = key.map_or(String::new(), |key| format!("Authorization: Bearer {key}\r\n"));
        let length = match request.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", request.body.len()),
        };
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n{}{key}\
             {length}\r\n",
            request.method, request.path, request.id, request.deadline_ms, request.fields
        );
        let sent = self
            .stream
            .write_all(text.as_bytes())
            .and_then(|()| self.stream.write_all(&request.body));
        answer.is_sent = sent.is_ok();
        if let Some(head) = read_head(&mut self.reader) {
            answer.head_at = now_s();
            answer.status = head.status();
            let framing = answer_framing(&head, false);
            (answer.body, answer.is_whole) = read_body(&mut self.reader, framing, Duration::ZERO);
            let closes = head.field("connection").is_some_and(|value| value == "close");
            self.is_open = answer.is_whole && !closes;
            answer.head = head;
        } else {
            self.is_open = false;
        }
        answer.ended_at = now_s();
        answer
    }
}

/// Sends a request on a new channel.
pub fn send(address: SocketAddr, request: &Request) -> Answer {
    let sent_at = now_s();
    match Channel::open(address) {
        Some(mut channel) => channel.send(request),
        None => Answer { sent_at, ended_at: now_s(), ..Answer::default() },
    }
}

/// The addresses that a client uses, asked for as the pages say.
pub struct Directory {
    nodes: Vec<Arc<Node>>,
    zone: &'static str,

    /// For how long an answer is kept, in seconds.
    hold_s: f64,
    known: Mutex<(f64, Vec<SocketAddr>)>,
}

impl Directory {
    pub fn new(nodes: &[Arc<Node>], zone: &'static str, hold_s: f64) -> Self {
        Self { nodes: nodes.to_vec(), zone, hold_s, known: Mutex::default() }
    }

    /// An address at random; `None` if none was ever named.
    pub fn pick(&self) -> Option<SocketAddr> {
        let addresses = self.addresses();
        (!addresses.is_empty()).then(|| addresses[random_below(addresses.len())])
    }

    /// Whether the newest answer names an address.
    pub fn names(&self, address: SocketAddr) -> bool {
        self.addresses().contains(&address)
    }

    /// The addresses in the newest answer, which is asked for anew if it is too old.
    fn addresses(&self) -> Vec<SocketAddr> {
        let mut known = self.known.lock().unwrap();
        if known.1.is_empty() || now_s() - known.0 >= self.hold_s {
            let first = random_below(self.nodes.len());
            let order = self.nodes.iter().cycle().skip(first).take(self.nodes.len().min(3));
            if let Some(addresses) = order.filter_map(|node| node.resolve(self.zone)).next() {
                // Clients ask at different times.
                let is_first = known.1.is_empty();
                let age = if is_first { random_below(1000) as f64 / 1000.0 } else { 0.0 };
                *known = (now_s() - age * self.hold_s, addresses);
            }
        }
        known.1.clone()
    }
}
