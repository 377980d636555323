//! HTTP/1.1 over plain sockets, so that tests can also send malformed requests.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Read timeout for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// An answer as received.
#[derive(Clone, Debug, Default)]
pub struct HttpAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether a chunked body ended with its last chunk.
    pub has_last_chunk: bool,
}

impl HttpAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }

    /// Texts of a streamed completion, and whether its final event arrived.
    pub fn events(&self) -> (Vec<String>, bool) {
        let data = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut texts = Vec::new();
        let mut whole = false;
        for item in data {
            if item == "[DONE]" {
                whole = true;
                continue;
            }
            let value: serde_json::Value = serde_json::from_str(item).unwrap();
            if let Some(text) = value["choices"][0]["text"].as_str().filter(|text| !text.is_empty())
            {
                texts.push(text.to_owned());
            }
        }
        (texts, whole)
    }
}

/// Sends raw bytes on a new connection and reads the answer; `None` if the connection ended without
/// one.
pub fn send_raw(address: SocketAddr, bytes: &[u8]) -> Option<HttpAnswer> {
    let started_at = Instant::now();
    let answer = exchange(address, bytes);
    if let Err(error) = &answer {
        eprintln!("test: no answer from {address} after {:?}: {error}", started_at.elapsed());
    }
    answer.ok()
}

fn exchange(address: SocketAddr, bytes: &[u8]) -> io::Result<HttpAnswer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    // The node may answer and close before it has read everything.
    let written = stream.write_all(bytes);
    read_answer(stream).map_err(|error| match written {
        Ok(()) => error,
        Err(written) => io::Error::new(error.kind(), format!("{error}, after writing: {written}")),
    })
}

/// Sends one request with a JSON or other text body.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<HttpAnswer> {
    send_raw(address, request_text(method, path, headers, body).as_bytes())
}

/// The text of a request with `connection: close`.
pub fn request_text(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}

fn read_answer(stream: TcpStream) -> io::Result<HttpAnswer> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| io::Error::other(format!("no status line: {line:?}")))?;
    let mut answer = HttpAnswer { status, ..HttpAnswer::default() };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        answer.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    (answer.body, answer.has_last_chunk) = match answer.header("transfer-encoding") {
        Some("chunked") => read_chunks(&mut reader),
        _ => (read_rest(&mut reader), false),
    };
    Ok(answer)
}

fn read_rest(reader: &mut impl Read) -> String {
    let mut bytes = Vec::new();
    let _ = reader.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads a chunked body; returns whether it ended with its last chunk.
fn read_chunks(reader: &mut impl BufRead) -> (String, bool) {
    let mut body = Vec::new();
    let mut has_last_chunk = false;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            break;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { break };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            break;
        }
        if size == 0 {
            has_last_chunk = true;
            break;
        }
        body.extend_from_slice(&chunk[..size]);
    }
    (String::from_utf8_lossy(&body).into_owned(), has_last_chunk)
}
