//! HTTP/1.1 for the stand-ins.

use std::{
    io::{BufRead, BufReader, Read},
    net::TcpStream,
    time::Duration,
};

/// The head of a request or of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line, without its end.
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// A field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(known, _)| *known == name).map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let (bytes, mut plain, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                plain.push(byte);
                at += 3;
            }
            _ => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

pub type Reader = BufReader<TcpStream>;

pub fn reader(stream: &TcpStream) -> Option<Reader> {
    Some(BufReader::with_capacity(64 * 1024, stream.try_clone().ok()?))
}

/// Reads a head; `None` if the connection ended or failed before.
pub fn read_head(reader: &mut Reader) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() && !head.line.is_empty() {
            return Some(head);
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    End,
}

/// How the body of a request ends.
pub fn request_framing(head: &Head) -> Framing {
    answer_framing(head, true)
}

pub fn answer_framing(head: &Head, is_request: bool) -> Framing {
    if head.field("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return Framing::Chunked;
    }
    match head.field("content-length").and_then(|text| text.parse().ok()) {
        Some(length) => Framing::Length(length),
        None if is_request => Framing::Length(0),
        None => Framing::End,
    }
}

/// Reads a body; `pace` is the pause after each 64 KiB. Returns what arrived, and whether that is all.
pub fn read_body(reader: &mut Reader, framing: Framing, pace: Duration) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    match framing {
        Framing::Length(length) => {
            let is_whole = read_part(reader, length, pace, &mut body);
            (body, is_whole)
        }
        Framing::End => {
            let is_whole = reader.read_to_end(&mut body).is_ok();
            (body, is_whole)
        }
        Framing::Chunked => loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(count) if count > 0) {
                return (body, false);
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let Ok(size) = usize::from_str_radix(size, 16) else { return (body, false) };
            if size == 0 {
                let mut end = String::new();
                return (body, matches!(reader.read_line(&mut end), Ok(count) if count > 0));
            }
            if !read_part(reader, size, pace, &mut body) {
                return (body, false);
            }
            let mut end = [0; 2];
            if reader.read_exact(&mut end).is_err() {
                return (body, false);
            }
        },
    }
}

fn read_part(reader: &mut Reader, length: usize, pace: Duration, body: &mut Vec<u8>) -> bool {
    let mut left = length;
    let mut buffer = vec![0; 64 * 1024];
    while left > 0 {
        let wanted = left.min(buffer.len());
        match reader.read(&mut buffer[..wanted]) {
            Ok(count) if count > 0 => {
                body.extend_from_slice(&buffer[..count]);
                left -= count;
                if !pace.is_zero() {
                    std::thread::sleep(pace.mul_f64(count as f64 / (64.0 * 1024.0)));
                }
            }
            _ => return false,
        }
    }
    true
}
