//! A stand-in of the platform's store: rows, transactions, changes, eras.

use std::{
    collections::{BTreeMap, VecDeque},
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, listen, read_message},
    json::{Json, base64, quoted},
};

type Name = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    value: String,
    ver: u64,
}

/// What a copy of the store holds.
#[derive(Clone, Default)]
struct Content {
    rows: BTreeMap<Name, Row>,
    changes: Vec<(u64, Name, Option<String>)>,
    ver: u64,
}

struct State {
    content: Content,
    era: u64,
    away: bool,
    copies: VecDeque<(Instant, Content)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    since: Instant,
}

/// Time of a transaction, and of an answer.
const WRITE_TIME: Duration = Duration::from_millis(8);
const READ_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = State {
            content: Content { ver: 100, ..Content::default() },
            era: 1,
            away: false,
            copies: VecDeque::new(),
        };
        let mut store = Self { address, state: Arc::new(Mutex::new(state)), since: Instant::now() };
        let serving = store.clone();
        store.address = listen(address, move |stream| serving.serve(stream))?;
        let copying = store.clone();
        std::thread::spawn(move || {
            loop {
                copying.copy();
                sleep(Duration::from_millis(100));
            }
        });
        Ok(store)
    }

    fn copy(&self) {
        let mut state = self.state.lock().unwrap();
        let content = state.content.clone();
        state.copies.push_back((Instant::now(), content));
        while state.copies.len() > 400 {
            state.copies.pop_front();
        }
    }

    /// Writes a row for the operator or a server; false while the store is away.
    pub fn put(&self, table: &str, key: &str, value: &str) -> bool {
        self.write(table, key, Some(base64(value.as_bytes())))
    }

    pub fn remove(&self, table: &str, key: &str) -> bool {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.away {
            return false;
        }
        state.content.ver += 1;
        let name = (table.to_owned(), String::new(), key.to_owned());
        state.content.apply(name, value);
        true
    }

    /// The store answers nothing but 503 from now on.
    pub fn leave(&self) {
        self.state.lock().unwrap().away = true;
    }

    /// The store answers again. With `age`, it holds what it held that long ago, in a new era.
    pub fn come_back(&self, from: Option<Instant>) {
        let mut state = self.state.lock().unwrap();
        if let Some(from) = from {
            let copy = state.copies.iter().rev().find(|(at, _)| *at <= from);
            let content = copy.map(|(_, content)| content.clone());
            state.content = content.expect("a copy of that time");
            state.era += 1;
        }
        state.away = false;
    }

    fn now_ms(&self) -> u128 {
        self.since.elapsed().as_millis()
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let era = self.state.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            let found = fields.filter(|(own, _)| *own == name).next_back();
            found.map(|(_, value)| unescape(value))
        };
        if self.state.lock().unwrap().away {
            return (503, "{}".to_owned());
        }
        match path {
            "/rows-tx" => {
                sleep(WRITE_TIME);
                let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
                    return (400, "{}".to_owned());
                };
                self.transact(&body)
            }
            "/rows-get" => {
                sleep(READ_TIME);
                let (table, part) =
                    (field("table").unwrap_or_default(), field("part").unwrap_or_default());
                let (from, target) = (field("from").unwrap_or_default(), field("target"));
                let state = self.state.lock().unwrap();
                let rows = state.content.rows.iter().filter(|((own, own_part, key), _)| {
                    *own == table
                        && *own_part == part
                        && *key >= from
                        && target.as_ref().is_none_or(|target| key < target)
                });
                let rows: Vec<String> =
                    rows.map(|(name, row)| row_text(name, Some(&row.value), row.ver)).collect();
                (200, self.rows_text(&rows, state.content.ver))
            }
            "/rows-feed" => {
                sleep(READ_TIME);
                let table = field("table").unwrap_or_default();
                let after: u64 = field("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = field("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                let era = self.state.lock().unwrap().era;
                loop {
                    let state = self.state.lock().unwrap();
                    if state.away {
                        return (503, "{}".to_owned());
                    }
                    if after > state.content.ver || state.era != era {
                        return (410, "{}".to_owned());
                    }
                    let changed = state.content.changes.iter();
                    let changed =
                        changed.filter(|(ver, (own, _, _), _)| *ver > after && *own == table);
                    let mut newest: BTreeMap<&Name, (u64, &Option<String>)> = BTreeMap::new();
                    for (ver, name, value) in changed {
                        newest.insert(name, (*ver, value));
                    }
                    let mut rows: Vec<(u64, String)> = newest
                        .into_iter()
                        .map(|(name, (ver, value))| (ver, row_text(name, value.as_ref(), ver)))
                        .collect();
                    rows.sort();
                    if !rows.is_empty() || Instant::now() >= until {
                        let rows: Vec<String> = rows.into_iter().map(|(_, text)| text).collect();
                        return (200, self.rows_text(&rows, state.content.ver));
                    }
                    drop(state);
                    sleep(Duration::from_millis(3));
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn rows_text(&self, rows: &[String], ver: u64) -> String {
        format!(
            r#"{{"rows":[{}],"truncated":false,"ver":{ver},"nowMs":{}}}"#,
            rows.join(","),
            self.now_ms()
        )
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let name = |row: &Json| {
            (row.text("table").to_owned(), row.text("part").to_owned(), row.text("key").to_owned())
        };
        let mut state = self.state.lock().unwrap();
        if state.away {
            return (503, "{}".to_owned());
        }
        let mut current = Vec::new();
        let mut holds = true;
        for check in body.list("expectedRev") {
            let name = name(check);
            let row = state.content.rows.get(&name);
            holds &= row.map_or(0, |row| row.ver) == check.number("ver").unwrap_or(0);
            if let Some(row) = row {
                current.push(row_text(&name, Some(&row.value), row.ver));
            }
        }
        if !holds {
            return (412, self.rows_text(&current, state.content.ver));
        }
        let writes = body.list("puts").iter().chain(body.list("remove"));
        if writes.clone().any(|row| matches!(row.text("table"), "op" | "servers")) {
            return (403, "{}".to_owned());
        }
        state.content.ver += 1;
        for row in body.list("puts") {
            state.content.apply(name(row), Some(row.text("value").to_owned()));
        }
        for row in body.list("remove") {
            state.content.apply(name(row), None);
        }
        let ver = state.content.ver;
        (200, format!(r#"{{"ver":{ver},"nowMs":{}}}"#, self.now_ms()))
    }
}

impl Content {
    fn apply(&mut self, name: Name, value: Option<String>) {
        let ver = self.ver;
        match &value {
            Some(value) => {
                self.rows.insert(name.clone(), Row { value: value.clone(), ver });
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.changes.push((ver, name, value));
    }
}

fn row_text(name: &Name, value: Option<&String>, ver: u64) -> String {
    let (table, part, key) = (quoted(&name.0), quoted(&name.1), quoted(&name.2));
    match value {
        Some(value) => {
            format!(
                r#"{{"table":{table},"part":{part},"key":{key},"value":"{value}","ver":{ver}}}"#
            )
        }
        None => {
            format!(r#"{{"table":{table},"part":{part},"key":{key},"ver":{ver},"tombstone":true}}"#)
        }
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let code = std::str::from_utf8(&digits).ok();
            bytes.extend(code.and_then(|code| u8::from_str_radix(code, 16).ok()));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
