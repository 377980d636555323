//! Servers of a plain service.

use std::{
    collections::HashMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread::spawn,
    time::Duration,
};

use crate::{
    http::{read_body, read_head, reader, request_framing},
    store::{HEARTBEAT_S, Store},
    util::{new_id, record, reset_on_close, sleep_ms, unix_ms},
};

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: String,

    /// Whether the server ran it; it didn't if it turned it away.
    pub has_run: bool,

    /// Whether its answer was written completely.
    pub is_answered: bool,
}

/// The arrivals at all servers, by the id of the request.
#[derive(Clone, Default)]
pub struct Arrivals(pub Arc<Mutex<HashMap<String, Vec<Arrival>>>>);

impl Arrivals {
    fn add(&self, request: &str, arrival: Arrival) -> usize {
        let mut arrivals = self.0.lock().unwrap();
        let list = arrivals.entry(request.to_owned()).or_default();
        list.push(arrival);
        list.len() - 1
    }

    fn change(&self, request: &str, index: usize, change: impl FnOnce(&mut Arrival)) {
        if let Some(list) = self.0.lock().unwrap().get_mut(request) {
            change(&mut list[index]);
        }
    }

    pub fn of(&self, request: &str) -> Vec<Arrival> {
        self.0.lock().unwrap().get(request).cloned().unwrap_or_default()
    }
}

/// Decides whether a new connection is cut: the port of its other end is given.
pub type CutCheck = Box<dyn Fn(u16) -> bool + Send + Sync>;

pub struct PlainServer {
    pub id: String,
    pub address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    slots: u32,
    born: u64,
    work_ms: u64,

    /// Whether answers have no length and end with their channel.
    has_no_length: bool,

    /// The pause after each 64 KiB of a request that the server reads, in microseconds.
    pub read_pause_us: AtomicU64,

    /// Whether the server writes its entry.
    pub is_listed: AtomicBool,

    /// Whether its answers say that it is leaving.
    pub is_leaving: AtomicBool,
    is_up: AtomicBool,
    running: AtomicU32,
    arrivals: Arrivals,
    open: Mutex<Vec<TcpStream>>,
    cut: Option<CutCheck>,
}

pub struct PlainOptions {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub work_ms: u64,
    pub has_no_length: bool,
}

impl PlainServer {
    pub fn start(
        store: &Store,
        arrivals: &Arrivals,
        options: &PlainOptions,
        cut: Option<CutCheck>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: format!("i-{}", &new_id()[..8]),
            address: listener.local_addr().expect("bound"),
            service: options.service,
            zone: options.zone,
            slots: options.slots,
            born: unix_ms(),
            work_ms: options.work_ms,
            has_no_length: options.has_no_length,
            read_pause_us: AtomicU64::new(0),
            is_listed: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            is_up: AtomicBool::new(true),
            running: AtomicU32::new(0),
            arrivals: arrivals.clone(),
            open: Mutex::default(),
            cut,
        });
        let (beating, serving, store) = (server.clone(), server.clone(), store.clone());
        spawn(move || {
            while beating.is_up.load(Ordering::SeqCst) {
                if beating.is_listed.load(Ordering::SeqCst) {
                    store.put_server(&beating.id, &beating.entry());
                }
                sleep_ms((HEARTBEAT_S * 1000.0) as u64);
            }
        });
        listener.set_nonblocking(true).expect("a socket option");
        spawn(move || {
            while serving.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let server = serving.clone();
                        spawn(move || server.serve(stream));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        server
    }

    fn entry(&self) -> String {
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","coldLeftMs":0,"born":{},"seq":0}}"#,
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    /// The server ends. Requests in progress are cut off.
    pub fn exit(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        record(&format!("server {}: ended", self.id));
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        let _ = stream.set_nodelay(true);
        let port = stream.peer_addr().ok()?.port();
        if self.cut.as_ref().is_some_and(|cut| cut(port)) {
            reset_on_close(&stream);
            return None;
        }
        self.open.lock().unwrap().push(stream.try_clone().ok()?);
        let mut reader = reader(&stream)?;
        loop {
            let Some(head) = read_head(&mut reader) else {
                // The node has closed the connection; it keeps no state of it.
                reset_on_close(&stream);
                return None;
            };
            let request = head.field("attempt-id").unwrap_or_default().to_owned();
            if head.target() == "/health" || head.target() == "/report" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 2\r\n\r\n{{}}",
                    self.id
                );
                stream.write_all(text.as_bytes()).ok()?;
                continue;
            }
            let is_meant = head.field("expect-instance").is_none_or(|id| id == self.id);
            if !is_meant {
                let text = format!(
                    "HTTP/1.1 421 Misdirected\r\nAttempt-Id: {request}\r\nInstance-Id: {}\r\n\
                     Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                    self.id
                );
                return stream.write_all(text.as_bytes()).ok();
            }
            let arrival = Arrival { server: self.id.clone(), has_run: false, is_answered: false };
            let index = self.arrivals.add(&request, arrival);
            let pause = Duration::from_micros(self.read_pause_us.load(Ordering::SeqCst));
            let (_, is_whole) = read_body(&mut reader, request_framing(&head), pause);
            if !is_whole {
                return None;
            }
            if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots * 2 {
                self.running.fetch_sub(1, Ordering::SeqCst);
                let text = format!(
                    "HTTP/1.1 503 Full\r\nAttempt-Id: {request}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes()).ok()?;
                continue;
            }
            self.arrivals.change(&request, index, |arrival| arrival.has_run = true);
            sleep_ms(self.work_ms);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !self.is_up.load(Ordering::SeqCst) {
                return None;
            }
            let body = format!("answer to {request}, {}", "x".repeat(700));
            let leaving =
                if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
            let framing = match self.has_no_length {
                true => "Connection: close\r\n".to_owned(),
                false => format!("Content-Length: {}\r\n", body.len()),
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nResponse-Signature: s.{request}\r\n\
                 {leaving}{framing}\r\n{body}"
            );
            stream.write_all(text.as_bytes()).ok()?;
            self.arrivals.change(&request, index, |arrival| arrival.is_answered = true);
            if self.has_no_length {
                return stream.shutdown(Shutdown::Both).ok();
            }
        }
    }
}

impl Drop for PlainServer {
    fn drop(&mut self) {
        self.exit();
    }
}
