//! HTTP/1.1 over blocking sockets, for stand-ins and callers.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// A request as a stand-in receives it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query.split('&').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name)?;
        Some(unescape(pair.1))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read and not used.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// The head up to the blank line; `None` if the connection ended before its first byte.
    fn head(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// The next request; `None` if the connection ended.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.head()? else { return Ok(None) };
        let mut lines = head.split("\r\n");
        let mut first = lines.next().unwrap_or("").split(' ');
        let method = first.next().unwrap_or("").to_owned();
        let target = first.next().unwrap_or("").to_owned();
        let headers = headers(lines);
        let body = if chunked(&headers) {
            self.chunks()?
        } else {
            let length = header(&headers, "content-length").and_then(|l| l.parse().ok());
            self.exactly(length.unwrap_or(0))?
        };
        Ok(Some(Request { method, target, headers, body }))
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(io::Error::other)?;
            let piece = self.exactly(size)?;
            self.line()?;
            if size == 0 {
                return Ok(body);
            }
            body.extend(piece);
        }
    }
}

fn headers<'a>(lines: impl Iterator<Item = &'a str>) -> Headers {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect()
}

fn chunked(headers: &Headers) -> bool {
    header(headers, "transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
}

/// An answer as a caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if there was no head.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,

    /// Whether the answer has its proper end.
    pub complete: bool,

    /// Whether the node closed the channel.
    pub closed: bool,

    /// Why there is no complete answer.
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller's channel, kept for many requests.
#[derive(Default)]
pub struct Channel {
    wire: Option<Wire>,
    pub requests: u32,
}

impl Channel {
    /// Sends one request and reads its answer; opens the channel if it isn't open.
    pub fn call(
        &mut self,
        to: SocketAddr,
        method: &str,
        target: &str,
        headers: &Headers,
        body: &[u8],
        limit: Duration,
    ) -> Answer {
        let until = Instant::now() + limit;
        let mut answer = Answer::default();
        if self.wire.is_none() {
            match TcpStream::connect_timeout(&to, Duration::from_secs(1).min(limit)) {
                Ok(stream) => self.wire = Some(Wire::new(stream)),
                Err(error) => {
                    answer.error = format!("connect: {error}");
                    return answer;
                }
            }
            self.requests = 0;
        }
        self.requests += 1;
        let mut wire = self.wire.take().expect("opened above");
        let result = exchange(&mut wire, method, target, headers, body, until, &mut answer);
        if let Err(error) = result {
            let timed_out =
                matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
            answer.closed = !timed_out;
            answer.error = if timed_out { "no answer in time".into() } else { error.to_string() };
            return answer;
        }
        answer.complete = true;
        let close = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if !close && !answer.closed {
            self.wire = Some(wire);
        }
        answer
    }
}

fn exchange(
    wire: &mut Wire,
    method: &str,
    target: &str,
    headers_out: &Headers,
    body: &[u8],
    until: Instant,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers_out {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    wire.stream.write_all(&bytes)?;
    let left = || until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    wire.stream.set_read_timeout(Some(left()))?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut lines = head.split("\r\n");
    let status = lines.next().unwrap_or("").split(' ').nth(1).and_then(|s| s.parse().ok());
    answer.status = status.ok_or(io::ErrorKind::InvalidData)?;
    answer.headers = headers(lines);
    if chunked(&answer.headers) {
        loop {
            wire.stream.set_read_timeout(Some(left()))?;
            let line = wire.line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let piece = wire.exactly(size)?;
            wire.line()?;
            if size == 0 {
                return Ok(());
            }
            answer.body.extend(piece);
        }
    }
    let length = answer.header("content-length").and_then(|l| l.parse::<usize>().ok());
    match length {
        Some(length) => {
            while answer.body.len() < length {
                wire.stream.set_read_timeout(Some(left()))?;
                let missing = length - answer.body.len();
                if wire.buffer.is_empty() && wire.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let take = missing.min(wire.buffer.len());
                answer.body.extend(wire.buffer.drain(..take));
            }
        }
        None if answer.status == 204 || answer.status == 304 => {}
        None => loop {
            answer.body.append(&mut wire.buffer);
            wire.stream.set_read_timeout(Some(left()))?;
            if wire.fill()? == 0 {
                answer.closed = true;
                break;
            }
        },
    }
    Ok(())
}

/// One request on a channel of its own.
pub fn once(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &Headers,
    body: &[u8],
    limit: Duration,
) -> Answer {
    Channel::default().call(to, method, target, headers, body, limit)
}

/// Writes a whole answer with its length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
