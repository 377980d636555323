//! The platform's store, as the pages describe it: rows, transactions under conditions, a feed of
//! changes, an era. The operator and the servers write to it directly.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread::spawn,
    time::{Duration, Instant},
};

use crate::{
    http::{read_body, read_head, reader, request_framing},
    json::Json,
    util::{base64_decode, base64_encode, now_s, record, sleep_ms},
};

/// Time between two entries of a server.
pub const HEARTBEAT_S: f64 = 1.2;

/// An entry that is not written again for so many heartbeats is removed.
const LIFETIME: f64 = 3.0 * HEARTBEAT_S;

/// A call takes this long.
const CALL_MS: u64 = 4;

/// Copies that are kept for a drill.
const COPIES: usize = 400;

type Name = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    value: Vec<u8>,
    ver: u64,
}

#[derive(Clone, Default)]
struct Contents {
    rows: BTreeMap<Name, Row>,

    /// Version, name, and whether the row was dropped.
    changes: Vec<(u64, Name, bool)>,
    ver: u64,
}

struct State {
    contents: Contents,
    era: u64,
    is_away: bool,
    copies: Vec<(f64, Contents)>,

    /// When each server last wrote its entry.
    beats: BTreeMap<String, f64>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            contents: Contents::default(),
            era: 1,
            is_away: false,
            copies: Vec::new(),
            beats: BTreeMap::new(),
        };
        let address = listener.local_addr().expect("bound");
        let store = Self { address, state: Arc::new(Mutex::new(state)) };
        let (serving, keeping) = (store.clone(), store.clone());
        let since = Instant::now();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                spawn(move || store.serve(stream, since));
            }
        });
        spawn(move || {
            loop {
                keeping.expire_and_copy();
                sleep_ms(100);
            }
        });
        store
    }

    // -----------------------------------------------------------------------------------------
    // The operator and the servers

    /// The operator writes a configuration; the return is the ack.
    pub fn put_config(&self, text: &str) {
        self.put("op", "config", text.as_bytes());
    }

    /// A server writes its entry.
    pub fn put_server(&self, id: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return;
        }
        state.beats.insert(id.to_owned(), now_s());
        let name = ("servers".to_owned(), String::new(), id.to_owned());
        if state.contents.rows.get(&name).is_none_or(|row| row.value != text.as_bytes()) {
            state.contents.put(name, text.as_bytes());
        }
    }

    /// A server's entry is removed; whether it was there.
    pub fn drop_server(&self, id: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.beats.remove(id);
        let name = ("servers".to_owned(), String::new(), id.to_owned());
        state.contents.drop_row(&name)
    }

    fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.contents.put((table.to_owned(), String::new(), key.to_owned()), value);
    }

    // -----------------------------------------------------------------------------------------
    // The drill

    /// The store goes away.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        record("store: away");
    }

    /// The store comes back from a copy of `at_s` or shortly before.
    pub fn come_back_from(&self, at_s: f64) {
        let mut state = self.state.lock().unwrap();
        let copy = state.copies.iter().rev().find(|(made_at, _)| *made_at <= at_s).cloned();
        let (made_at, contents) = copy.expect("a copy of that time");
        let lost = state.contents.ver.saturating_sub(contents.ver);
        state.contents = contents;
        state.era += 1;
        state.is_away = false;
        // Entries count from now on, as after any outage.
        let now = now_s();
        let listed: Vec<String> = state.contents.servers();
        state.beats = listed.into_iter().map(|id| (id, now)).collect();
        let era = state.era;
        drop(state);
        record(&format!(
            "store: back from the copy made at {made_at:.3}, era {era}, {lost} versions lost"
        ));
    }

    /// The store comes back with all that it had. Entries count from now on.
    pub fn come_back(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_away = false;
        let now = now_s();
        state.beats.values_mut().for_each(|at| *at = now);
        record("store: back");
    }

    fn expire_and_copy(&self) {
        let mut state = self.state.lock().unwrap();
        let now = now_s();
        if state.is_away {
            return;
        }
        let is_late = |(_, at): &(&String, &f64)| now - **at > LIFETIME;
        let late: Vec<String> =
            state.beats.iter().filter(is_late).map(|(id, _)| id.clone()).collect();
        for id in late {
            state.beats.remove(&id);
            state.contents.drop_row(&("servers".to_owned(), String::new(), id.clone()));
            record(&format!("store: entry of {id} expired"));
        }
        let copy = (now, state.contents.clone());
        state.copies.push(copy);
        if state.copies.len() > COPIES {
            state.copies.remove(0);
        }
    }

    // -----------------------------------------------------------------------------------------
    // Calls of nodes

    fn serve(&self, mut stream: TcpStream, since: Instant) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = reader(&stream)?;
        loop {
            let head = read_head(&mut reader)?;
            let (body, is_whole) = read_body(&mut reader, request_framing(&head), Duration::ZERO);
            if !is_whole {
                return None;
            }
            sleep_ms(CALL_MS);
            let path = head.target().split('?').next().unwrap_or_default().to_owned();
            let (status, content) = match (head.method(), path.as_str()) {
                ("POST", "/rows-tx") => self.transact(&body),
                ("GET", "/rows-get") => self.rows(&head),
                ("GET", "/rows-feed") => self.feed(&head),
                _ => (404, "{}".to_owned()),
            };
            let state = self.state.lock().unwrap();
            let (era, is_away) = (state.era, state.is_away);
            drop(state);
            let (status, content) =
                if is_away { (503, "{}".to_owned()) } else { (status, content) };
            let now_ms = since.elapsed().as_millis();
            let content = content.replace("$NOW", &now_ms.to_string());
            let text = format!(
                "HTTP/1.1 {status} Status\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{content}",
                content.len()
            );
            stream.write_all(text.as_bytes()).ok()?;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let name = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return (503, "{}".to_owned());
        }
        let writes = call.list("puts").iter().chain(call.list("remove"));
        if writes.clone().any(|entry| ["op", "servers"].contains(&entry.text("table").as_str())) {
            return (403, "{}".to_owned());
        }
        let contents = &mut state.contents;
        let is_met = |entry: &Json| {
            let ver = contents.rows.get(&name(entry)).map_or(0, |row| row.ver);
            entry.number("ver").unwrap_or(0.0) as u64 == ver
        };
        if !call.list("expectedRev").iter().all(is_met) {
            let checks = call.list("expectedRev").iter().map(name);
            let rows: Vec<String> = checks
                .filter_map(|name| Some(row_text(&name, Some(contents.rows.get(&name)?))))
                .collect();
            let text =
                format!(r#"{{"rows":[{}],"ver":{},"nowMs":$NOW}}"#, rows.join(","), contents.ver);
            return (412, text);
        }
        contents.ver += 1;
        for entry in call.list("puts") {
            contents.write(name(entry), &base64_decode(&entry.text("value")));
        }
        for entry in call.list("remove") {
            contents.remove(&name(entry));
        }
        (200, format!(r#"{{"ver":{},"nowMs":$NOW}}"#, contents.ver))
    }

    fn rows(&self, head: &crate::http::Head) -> (u16, String) {
        let field = |name: &str| head.query(name).unwrap_or_default();
        let (table, part, from, until) =
            (field("table"), field("part"), field("from"), field("target"));
        let state = self.state.lock().unwrap();
        let rows: Vec<String> = state
            .contents
            .rows
            .iter()
            .filter(|((own_table, own_part, key), _)| {
                *own_table == table
                    && *own_part == part
                    && *key >= from
                    && (until.is_empty() || *key < until)
            })
            .map(|(name, row)| row_text(name, Some(row)))
            .collect();
        let ver = state.contents.ver;
        (
            200,
            format!(
                r#"{{"rows":[{}],"truncated":false,"ver":{ver},"nowMs":$NOW}}"#,
                rows.join(",")
            ),
        )
    }

    fn feed(&self, head: &crate::http::Head) -> (u16, String) {
        let field = |name: &str| head.query(name).unwrap_or_default();
        let table = field("table");
        let after: u64 = field("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let first_era = self.state.lock().unwrap().era;
        loop {
            let state = self.state.lock().unwrap();
            if state.is_away || state.era != first_era || after > state.contents.ver {
                return (410, "{}".to_owned());
            }
            let contents = &state.contents;
            let changed = contents.changes.iter().filter(|(ver, name, _)| {
                *ver > after && name.0 == table && contents.is_newest(*ver, name)
            });
            let rows: Vec<String> = changed
                .map(|(ver, name, is_dropped)| match contents.rows.get(name) {
                    Some(row) if !is_dropped => row_text(name, Some(row)),
                    _ => dropped_text(name, *ver),
                })
                .collect();
            if !rows.is_empty() || Instant::now() >= until {
                let ver = contents.ver;
                return (
                    200,
                    format!(r#"{{"rows":[{}],"ver":{ver},"nowMs":$NOW}}"#, rows.join(",")),
                );
            }
            drop(state);
            sleep_ms(3);
        }
    }
}

impl Contents {
    fn put(&mut self, name: Name, value: &[u8]) {
        self.ver += 1;
        self.write(name, value);
    }

    fn write(&mut self, name: Name, value: &[u8]) {
        self.changes.push((self.ver, name.clone(), false));
        self.rows.insert(name, Row { value: value.to_vec(), ver: self.ver });
    }

    fn drop_row(&mut self, name: &Name) -> bool {
        if !self.rows.contains_key(name) {
            return false;
        }
        self.ver += 1;
        self.remove(name);
        true
    }

    fn remove(&mut self, name: &Name) {
        if self.rows.remove(name).is_some() {
            self.changes.push((self.ver, name.clone(), true));
        }
    }

    /// Whether a row has no later change.
    fn is_newest(&self, ver: u64, name: &Name) -> bool {
        let last = self.changes.iter().rev().find(|(_, known, _)| known == name);
        last.is_some_and(|(last, _, _)| *last == ver)
    }

    fn servers(&self) -> Vec<String> {
        let rows = self.rows.keys().filter(|(table, _, _)| table == "servers");
        rows.map(|(_, _, key)| key.clone()).collect()
    }
}

fn row_text((table, part, key): &Name, row: Option<&Row>) -> String {
    let row = row.expect("a row");
    format!(
        r#"{{"table":"{table}","part":"{part}","key":"{key}","value":"{}","ver":{}}}"#,
        base64_encode(&row.value),
        row.ver
    )
}

fn dropped_text((table, part, key): &Name, ver: u64) -> String {
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}","ver":{ver},"tombstone":true}}"#)
}
