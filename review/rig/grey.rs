//! A server of a plain service fails part of its requests with a 503 of its own, after it has run
//! them.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{
    engines::reply,
    http::{listen, read_message},
    record::Record,
    setup::{PLAIN, SERVICE},
    site::{HOST, KEY, Net, Node, config, wait_until},
    store::Store,
};

const NODES: u8 = 3;
const SERVERS: u8 = 3;
const CLIENTS: usize = 10;
const DURATION: Duration = Duration::from_secs(6);

/// The part of its requests that one of the three servers fails, in tenths.
const FAILED_TENTHS: u64 = 4;

/// What servers ran, and what clients were answered, by the id of the request.
#[derive(Default)]
struct Book {
    ran: HashMap<String, u32>,
    answered: HashMap<String, u16>,
}

pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> Option<bool> {
    let record = Record::create(&folder.join("record.txt")).ok()?;
    let net = Net::free()?;
    let store = Store::start(net.address(4, 1, 8223)).ok()?;
    store.put("op", "config", &config(7, SERVICE, PLAIN));
    let book: Arc<Mutex<Book>> = Arc::default();
    for number in 1..=SERVERS {
        let address = net.address(3, number, 8080);
        let is_grey = trouble && number == 1;
        let server = Server {
            number,
            is_grey,
            book: book.clone(),
            record: record.clone(),
            count: Arc::default(),
        };
        listen(address, move |stream| server.serve(stream)).ok()?;
        let entry = format!(
            r#"{{"service":"{PLAIN}","addr":"{address}","zone":"zone-a","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"born":1700000000000,"seq":1}}"#
        );
        let store = store.clone();
        spawn(move || {
            loop {
                store.put("servers", &format!("p-{number}"), &entry);
                sleep(Duration::from_millis(1200));
            }
        });
    }
    let mut nodes = Vec::new();
    for number in 1..=NODES {
        let mut node = Node::write(&net, number, store.address, temporary).ok()?;
        node.start().ok()?;
        nodes.push(node);
    }
    if !wait_until(Duration::from_secs(15), || nodes.iter().all(Node::is_ready)) {
        record.say("the nodes are not ready");
        return None;
    }
    sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let clients = (0..CLIENTS).map(|number| {
        let front = nodes[number % nodes.len()].front;
        let (stop, book, record) = (stop.clone(), book.clone(), record.clone());
        spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                ask(front, &book, &record);
                sleep(Duration::from_millis(50));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    sleep(DURATION);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    Some(judge(&book.lock().unwrap(), &record))
}

#[derive(Clone)]
struct Server {
    number: u8,
    is_grey: bool,
    book: Arc<Mutex<Book>>,
    record: Record,
    count: Arc<AtomicU64>,
}

impl Server {
    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        let own = format!("p-{}", self.number);
        while let Some(request) = read_message(&mut reader) {
            let id = request.header("attempt-id").to_owned();
            let echo = format!("Instance-Id: {own}\r\nAttempt-Id: {id}\r\n");
            if request.header("expect-instance") != own {
                reply(&mut writer, 421, &format!("{echo}Not-Executed: 1\r\n"), "");
                continue;
            }
            *self.book.lock().unwrap().ran.entry(id.clone()).or_insert(0) += 1;
            sleep(Duration::from_millis(30));
            let fails =
                self.is_grey && self.count.fetch_add(1, Ordering::Relaxed) % 10 < FAILED_TENTHS;
            let status = if fails { 503 } else { 200 };
            self.record.line(&format!("server {own} ran {id}, answers {status}"));
            reply(&mut writer, status, &format!("{echo}Response-Signature: s.{id}\r\n"), "{}");
        }
    }
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Sends a request that may not be repeated.
fn ask(front: SocketAddr, book: &Mutex<Book>, record: &Record) {
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    let text = format!(
        "POST /puxa403/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    );
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else { return };
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok();
    if stream.write_all(text.as_bytes()).is_err() {
        return;
    }
    let answer = read_message(&mut BufReader::new(stream));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("client: {id} is answered {status}"));
    book.lock().unwrap().answered.insert(id, status);
}

/// REFUSED: a request that isn't idempotent is answered 429 or 503, 408 or 421, and has run.
fn judge(book: &Book, record: &Record) -> bool {
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    let mut refused = 0;
    for (id, status) in &book.answered {
        *statuses.entry(*status).or_insert(0) += 1;
        if matches!(status, 408 | 421 | 429 | 503) && book.ran.contains_key(id) {
            refused += 1;
            record.line(&format!("BROKEN REFUSED: {id} has run and is answered {status}"));
        }
    }
    let twice = book.ran.values().filter(|runs| **runs > 1).count();
    record.say(&format!("answers by status: {statuses:?}"));
    record
        .say(&format!("REFUSED broken {refused} times; requests that ran more than once: {twice}"));
    refused > 0
}
