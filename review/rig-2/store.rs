//! A stand-in for the platform's store: rows, transactions, changes, eras.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, Wire, respond},
    json::{Json, base64, quote},
};

type Key = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    /// Base64.
    value: String,
    ver: u64,
}

/// A copy of the store's contents.
#[derive(Clone)]
pub struct Copy {
    rows: BTreeMap<Key, Row>,
    ver: u64,
}

struct Contents {
    rows: BTreeMap<Key, Row>,
    ver: u64,

    /// Changes, oldest first; `None` for a row that was dropped.
    history: Vec<(u64, Key, Option<String>)>,

    /// Changes up to this version are no longer in the history.
    floor: u64,
    era: u64,
    is_away: bool,
}

pub struct Store {
    pub addr: SocketAddr,
    started: Instant,
    contents: Mutex<Contents>,
    changed: Condvar,
}

const HISTORY: usize = 5_000;

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            addr: listener.local_addr()?,
            started: Instant::now(),
            contents: Mutex::new(Contents {
                rows: BTreeMap::new(),
                ver: 100,
                history: Vec::new(),
                floor: 100,
                era: 1,
                is_away: false,
            }),
            changed: Condvar::new(),
        });
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || {
                    let _ = store.serve(Wire::new(stream));
                });
            }
        });
        Ok(store)
    }

    fn serve(&self, mut wire: Wire) -> io::Result<()> {
        while let Some(request) = wire.request()? {
            if self.contents.lock().unwrap().is_away {
                // The channel ends without an answer, and nothing was done.
                return Ok(());
            }
            thread::sleep(Duration::from_millis(4));
            let (status, body) = match request.path() {
                "/rows-get" => self.rows_get(&request),
                "/rows-feed" => match self.rows_feed(&request) {
                    Some(answer) => answer,
                    None => return Ok(()),
                },
                "/rows-tx" => {
                    thread::sleep(Duration::from_millis(4));
                    self.rows_tx(&request)
                }
                "/rows-parts" => (200, "{\"parts\":[\"\"],\"truncated\":false}".to_owned()),
                _ => (404, "{}".to_owned()),
            };
            self.answer(&mut wire.stream, status, &body)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
        let era = self.contents.lock().unwrap().era;
        let headers =
            [("Content-Type", "application/json".to_owned()), ("Store-Era", era.to_string())];
        respond(stream, status, &headers, body.as_bytes())
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis() + 50_000
    }

    fn close(&self, rows: Vec<String>, ver: u64) -> String {
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver},\"nowMs\":{}}}",
            self.now_ms()
        )
    }

    fn rows_get(&self, request: &Request) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let until = request.query("target");
        let contents = self.contents.lock().unwrap();
        let rows = contents.rows.iter().filter(|((t, p, k), _)| {
            *t == table && *p == part && *k >= from && until.as_ref().is_none_or(|u| k < u)
        });
        let rows = rows.map(|(key, row)| row_json(key, Some(&row.value), row.ver)).collect();
        (200, self.close(rows, contents.ver))
    }

    /// `None` if the store went away meanwhile.
    fn rows_feed(&self, request: &Request) -> Option<(u16, String)> {
        let table = request.query("table").unwrap_or_default();
        let after = request.query("after").and_then(|a| a.parse().ok()).unwrap_or(0u64);
        let wait = request.query("waitMs").and_then(|a| a.parse().ok()).unwrap_or(0u64);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut contents = self.contents.lock().unwrap();
        let era = contents.era;
        loop {
            if contents.is_away || contents.era != era {
                return None;
            }
            if after > contents.ver || after < contents.floor {
                return Some((410, "{}".to_owned()));
            }
            let mut newest: BTreeMap<&Key, (u64, Option<&String>)> = BTreeMap::new();
            for (ver, key, value) in contents.history.iter().filter(|(ver, ..)| *ver > after) {
                if key.0 == table {
                    newest.insert(key, (*ver, value.as_ref()));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let mut rows: Vec<_> = newest.into_iter().collect();
                rows.sort_by_key(|(_, (ver, _))| *ver);
                let rows = rows.into_iter();
                let rows = rows.map(|(key, (ver, value))| row_json(key, value, ver)).collect();
                return Some((200, self.close(rows, contents.ver)));
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    fn rows_tx(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let mut contents = self.contents.lock().unwrap();
        let key = |entry: &Json| -> Key {
            let text = |name| entry.text(name).unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (puts, removes) = (body.list("puts"), body.list("remove"));
        if puts.iter().chain(&removes).any(|e| matches!(key(e).0.as_str(), "op" | "servers")) {
            return (403, "{}".to_owned());
        }
        let checks = body.list("expectedRev");
        let holds = checks.iter().all(|check| {
            let ver = contents.rows.get(&key(check)).map_or(0, |row| row.ver);
            Some(ver) == check.number("ver")
        });
        if !holds {
            let rows = checks.iter().filter_map(|check| {
                let key = key(check);
                let row = contents.rows.get(&key)?;
                Some(row_json(&key, Some(&row.value), row.ver))
            });
            let rows = rows.collect();
            return (412, self.close(rows, contents.ver));
        }
        contents.ver += 1;
        for put in &puts {
            contents.set(key(put), Some(put.text("value").unwrap_or_default().to_owned()));
        }
        for remove in &removes {
            contents.set(key(remove), None);
        }
        let ver = contents.ver;
        self.changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"nowMs\":{}}}", self.now_ms()))
    }

    // ---------------------------------------------------------------------------------------
    // The other side: operators, servers, drills

    /// What operators and servers write; false if the store is away.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> bool {
        let mut contents = self.contents.lock().unwrap();
        if contents.is_away {
            return false;
        }
        contents.ver += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        contents.set(key, value.map(|value| base64(value.as_bytes())));
        self.changed.notify_all();
        true
    }

    pub fn copy(&self) -> Copy {
        let contents = self.contents.lock().unwrap();
        Copy { rows: contents.rows.clone(), ver: contents.ver }
    }

    pub fn go_away(&self) {
        self.contents.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back from a copy, as a later era.
    pub fn come_back(&self, copy: Copy) {
        let mut contents = self.contents.lock().unwrap();
        contents.rows = copy.rows;
        contents.ver = copy.ver;
        contents.floor = copy.ver;
        contents.history.clear();
        contents.era += 1;
        contents.is_away = false;
        self.changed.notify_all();
    }
}

impl Contents {
    fn set(&mut self, key: Key, value: Option<String>) {
        let ver = self.ver;
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), Row { value: value.clone(), ver });
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.push((ver, key, value));
        if self.history.len() > HISTORY {
            let (ver, ..) = self.history.remove(0);
            self.floor = ver;
        }
    }
}

fn row_json((table, part, key): &Key, value: Option<&String>, ver: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    let (table, part, key) = (quote(table), quote(part), quote(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{value},\"ver\":{ver}}}")
}
