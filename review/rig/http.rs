//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread::spawn,
    time::Duration,
};

/// A request or a response: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(own, _)| own == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it is complete.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    message.first = line.trim().to_owned();
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let text = line.trim();
        if text.is_empty() {
            return Some(message);
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with a length or in chunks.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").contains("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

/// The next chunk; `Some(None)` after the last one, `None` if the connection ends before.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Option<Vec<u8>>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some((size > 0).then_some(chunk))
}

/// Serves connections, each in a thread of its own.
pub fn listen<F>(address: SocketAddr, serve: F) -> std::io::Result<SocketAddr>
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            stream.set_nodelay(true).ok();
            spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// Sends a request and reads the whole answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut BufReader::new(stream))
}
