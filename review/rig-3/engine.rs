//! Model servers: groups, orders, and streams of events.

use std::{
    collections::{HashMap, HashSet},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread::spawn,
    time::Duration,
};

use crate::{
    http::{Head, read_body, read_head, reader, request_framing},
    json::Json,
    store::{HEARTBEAT_S, Store},
    util::{new_id, now_s, random_below, record, reset_on_close, sleep_ms, unix_ms},
};

/// Time from an order to open a group until it is open.
const FORM_S: f64 = 0.3;

/// Time of a join in which no weights are read.
const REJOIN_S: f64 = 0.2;

/// Work that depends on a lost member stalls for this time.
const STALL_S: f64 = 4.0;

/// A server that crashed is back after this time.
const RESTART_S: f64 = 3.0;

/// Time from the arrival of a request until its first event.
const FIRST_EVENT_MS: u64 = 60;

pub struct EngineOptions {
    pub service: &'static str,
    pub slots: u32,
    pub load_s: f64,
    pub warm_s: f64,

    /// Events of an answer, and the time between two of them.
    pub events: u32,
    pub gap_ms: u64,

    /// Whether answers have neither a length nor chunks and end with their channel.
    pub has_no_length: bool,

    /// The part of a prompt that crashes servers.
    pub crash_part: Option<&'static str>,
}

#[derive(Clone, Debug)]
struct Place {
    group: String,
    epoch: u64,
    rank: usize,
    members: Vec<String>,
    state: &'static str,
    model: String,

    /// When `joining` or an order to open ends.
    due_at: f64,
    is_opening: bool,

    /// Since when a member is lost.
    lost_since: Option<f64>,
}

struct Engine {
    id: String,
    address: SocketAddr,
    born: u64,
    is_up: bool,
    place: Option<Place>,
    staged: Vec<String>,
    last_model: Option<String>,
    seq: u64,
    fence: u64,
    newest_epoch: u64,
    lists: HashMap<(String, u64), Vec<String>>,
    running: u32,
    open: Vec<TcpStream>,
    written_at: f64,
    is_changed: bool,
}

/// Model servers of one service.
pub struct Fleet {
    store: Store,
    options: EngineOptions,
    engines: Mutex<Vec<Engine>>,

    /// How often each request began to run, by id.
    pub starts: Mutex<HashMap<String, u32>>,

    /// When servers crashed.
    pub crashes: Mutex<Vec<f64>>,

    /// Whether the first request came.
    has_traffic: Mutex<bool>,

    /// Servers, by number, that can't write their entries.
    pub cut: Mutex<HashSet<usize>>,

    /// The percentage of orders that get no answer and are carried out 2 to 12 s later.
    pub late_percent: AtomicUsize,

    /// Servers that were ready in a group, with its name and epoch.
    been_ready: Mutex<HashSet<(String, String, u64)>>,

    /// What broke TWO or PARTIAL.
    pub violations: Mutex<Vec<String>>,
}

impl Fleet {
    pub fn start(store: &Store, count: usize, options: EngineOptions) -> Arc<Self> {
        let fleet = Arc::new(Self {
            store: store.clone(),
            options,
            engines: Mutex::default(),
            starts: Mutex::default(),
            crashes: Mutex::default(),
            has_traffic: Mutex::new(false),
            cut: Mutex::default(),
            late_percent: AtomicUsize::new(0),
            been_ready: Mutex::default(),
            violations: Mutex::default(),
        });
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            fleet.engines.lock().unwrap().push(Engine {
                id: format!("i-{}", &new_id()[..8]),
                address: listener.local_addr().expect("bound"),
                born: unix_ms(),
                is_up: true,
                place: None,
                staged: Vec::new(),
                last_model: None,
                seq: 0,
                fence: 0,
                newest_epoch: 0,
                lists: HashMap::new(),
                running: 0,
                open: Vec::new(),
                written_at: 0.0,
                is_changed: true,
            });
            fleet.clone().listen(index, listener);
        }
        let ticking = fleet.clone();
        spawn(move || {
            loop {
                ticking.tick();
                sleep_ms(20);
            }
        });
        fleet
    }

    /// The number of groups whose head is open.
    pub fn open_groups(&self) -> usize {
        let engines = self.engines.lock().unwrap();
        let places = engines.iter().filter_map(|engine| engine.place.as_ref());
        places.filter(|place| place.rank == 0 && place.state == "open").count()
    }

    fn listen(self: Arc<Self>, index: usize, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket option");
        spawn(move || {
            while self.engines.lock().unwrap()[index].is_up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let fleet = self.clone();
                        spawn(move || fleet.serve(index, stream));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }

    // -----------------------------------------------------------------------------------------
    // Groups

    fn tick(&self) {
        let now = now_s();
        let mut engines = self.engines.lock().unwrap();
        let places: HashMap<String, (String, u64)> = engines
            .iter()
            .filter(|engine| engine.is_up)
            .filter_map(|engine| {
                let place = engine.place.as_ref()?;
                Some((engine.id.clone(), (place.group.clone(), place.epoch)))
            })
            .collect();
        let cut = self.cut.lock().unwrap().clone();
        for (number, engine) in engines.iter_mut().enumerate().filter(|(_, engine)| engine.is_up) {
            let running = engine.running;
            if let Some(place) = &mut engine.place {
                let before = place.state;
                if place.state == "joining" && now >= place.due_at {
                    place.state = "ready";
                    let ready = (engine.id.clone(), place.group.clone(), place.epoch);
                    self.been_ready.lock().unwrap().insert(ready);
                    engine.last_model = Some(place.model.clone());
                    if !engine.staged.contains(&place.model) {
                        engine.staged = vec![place.model.clone()];
                    }
                }
                if place.state == "ready" && place.is_opening && now >= place.due_at {
                    place.state = "open";
                    place.is_opening = false;
                }
                if place.state == "closing" && running == 0 {
                    place.state = "ready";
                }
                let own = (place.group.clone(), place.epoch);
                let is_lost = place.members.iter().any(|member| places.get(member) != Some(&own));
                place.lost_since =
                    is_lost.then(|| place.lost_since.unwrap_or(now)).filter(|_| place.rank == 0);
                let is_broken = place.lost_since.is_some_and(|since| now - since >= STALL_S);
                if is_broken && ["open", "closing"].contains(&place.state) {
                    place.state = "broken";
                }
                engine.is_changed |= place.state != before;
            }
            if cut.contains(&number) {
                continue;
            }
            if engine.is_changed || now - engine.written_at >= HEARTBEAT_S {
                engine.is_changed = false;
                engine.written_at = now;
                self.store.put_server(&engine.id, &self.entry(engine));
            }
        }
    }

    fn models(&self, engine: &Engine) -> String {
        let model = engine.place.as_ref().map(|place| place.model.clone());
        let model = model.or(engine.last_model.clone());
        let models = model.map(|name| format!(r#"{{"name":"{name}","version":1,"adapters":[]}}"#));
        let staged: Vec<String> =
            engine.staged.iter().map(|model| format!("\"{model}\"")).collect();
        let group = engine.place.as_ref().map_or("null".to_owned(), |place| {
            format!(
                r#"{{"name":"{}","epoch":{},"rank":{},"state":"{}"}}"#,
                place.group, place.epoch, place.rank, place.state
            )
        });
        format!(
            r#""born":{},"domain":"d1","models":[{}],"staged":[{}],"group":{group}"#,
            engine.born,
            models.unwrap_or_default(),
            staged.join(",")
        )
    }

    fn entry(&self, engine: &Engine) -> String {
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"a","version":"v1","slots":{},"state":"ready","coldLeftMs":0,"stage":"prefill_decode",{},"seq":{}}}"#,
            self.options.service,
            engine.address,
            self.options.slots,
            self.models(engine),
            engine.seq
        )
    }

    fn report(&self, engine: &Engine) -> String {
        format!(
            r#"{{"stage":"prefill_decode",{},"busy":false,"seq":{},"queued":0,"running":{},"kvUsed":0,"kvTotal":90000,"handles":0,"pace":1.0}}"#,
            self.models(engine),
            engine.seq,
            engine.running
        )
    }

    /// Carries out an order; the status of the answer.
    fn order(&self, index: usize, order: &Json) -> u16 {
        let now = now_s();
        let has_traffic = *self.has_traffic.lock().unwrap();
        let mut engines = self.engines.lock().unwrap();
        let serving: Vec<(String, String, u64)> = engines
            .iter()
            .filter(|engine| engine.is_up)
            .filter_map(|engine| {
                let place = engine.place.as_ref().filter(|place| place.rank == 0)?;
                let serves = ["open", "closing"].contains(&place.state);
                serves.then(|| (engine.id.clone(), place.group.clone(), place.epoch))
            })
            .collect();
        let engine = &mut engines[index];
        let fence = order.number("fence").unwrap_or(0.0) as u64;
        if fence < engine.fence {
            return 412;
        }
        engine.fence = fence;
        let (group, epoch) = (order.text("group"), order.number("epoch").unwrap_or(0.0) as u64);
        let load_s = self.options.load_s / if has_traffic { 1.0 } else { 10.0 };
        let is_own = |engine: &Engine| {
            engine.place.as_ref().is_some_and(|place| place.group == group && place.epoch == epoch)
        };
        let status = match order.text("op").as_str() {
            "stage" => {
                let model = order.text("model");
                if !engine.staged.contains(&model) {
                    engine.staged = vec![model];
                }
                200
            }
            "join" => {
                let members: Vec<String> = order
                    .list("members")
                    .iter()
                    .filter_map(|member| match member {
                        Json::Text(text) => Some(text.clone()),
                        _ => None,
                    })
                    .collect();
                let known = engine.lists.get(&(group.clone(), epoch));
                if epoch < engine.newest_epoch || known.is_some_and(|known| *known != members) {
                    return 412;
                }
                if is_own(engine) {
                    return 200;
                }
                let Some(rank) = members.iter().position(|member| *member == engine.id) else {
                    return 400;
                };
                let model = order.text("model");
                let time = if engine.last_model.as_ref() == Some(&model) {
                    REJOIN_S
                } else if engine.staged.contains(&model) {
                    self.options.warm_s
                } else {
                    load_s
                };
                if let Some(old) = engine.place.as_ref().filter(|old| old.group != group) {
                    let served = serving.iter().any(|(head, group, epoch)| {
                        *head == old.members[0] && *group == old.group && *epoch == old.epoch
                    });
                    if served {
                        let text = format!(
                            "TWO: at {now:.3} {} joins {group} out of {}, whose head serves",
                            engine.id, old.group
                        );
                        record(&text);
                        self.violations.lock().unwrap().push(text);
                    }
                }
                engine.newest_epoch = epoch;
                engine.lists.insert((group.clone(), epoch), members.clone());
                engine.place = Some(Place {
                    group: group.clone(),
                    epoch,
                    rank,
                    members,
                    state: "joining",
                    model,
                    due_at: now + time,
                    is_opening: false,
                    lost_since: None,
                });
                202
            }
            "open" if is_own(engine) => {
                let place = engine.place.as_mut().expect("checked");
                match place.state {
                    "open" => 200,
                    "ready" if place.rank == 0 => {
                        if !place.is_opening {
                            place.is_opening = true;
                            place.due_at = now + FORM_S;
                        }
                        202
                    }
                    _ => 409,
                }
            }
            "close" if is_own(engine) => {
                let place = engine.place.as_mut().expect("checked");
                if place.state == "open" {
                    place.state = "closing";
                }
                202
            }
            "leave" if is_own(engine) => {
                engine.place = None;
                200
            }
            "open" | "close" | "leave" => 409,
            _ => 400,
        };
        if status == 202 || status == 200 {
            engine.seq += 1;
            engine.is_changed = true;
        }
        record(&format!(
            "server {}: order {} {group} epoch {epoch} fence {fence}: {status}",
            engine.id,
            order.text("op")
        ));
        status
    }

    // -----------------------------------------------------------------------------------------
    // Requests

    /// Carries out an order 2 to 12 s later, unless the server has started again since.
    fn carry_out_late(self: Arc<Self>, index: usize, born: u64, body: Vec<u8>) {
        spawn(move || {
            sleep_ms(2000 + random_below(10_000) as u64);
            let is_same = {
                let engines = self.engines.lock().unwrap();
                engines[index].is_up && engines[index].born == born
            };
            if let Some(order) = Json::parse(&body).filter(|_| is_same) {
                record("a late order is carried out:");
                self.order(index, &order);
            }
        });
    }

    fn serve(self: &Arc<Self>, index: usize, mut stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        let _ = stream.set_nodelay(true);
        let born = {
            let mut engines = self.engines.lock().unwrap();
            let engine = &mut engines[index];
            if !engine.is_up {
                return None;
            }
            engine.open.push(stream.try_clone().ok()?);
            engine.born
        };
        let mut reader = reader(&stream)?;
        loop {
            let head = read_head(&mut reader)?;
            let (body, is_whole) = read_body(&mut reader, request_framing(&head), Duration::ZERO);
            if !is_whole {
                return None;
            }
            let id = self.engines.lock().unwrap()[index].id.clone();
            let is_meant = head.field("expect-instance").is_none_or(|expected| expected == id);
            let request = head.field("attempt-id").unwrap_or_default().to_owned();
            if !is_meant {
                self.refuse(&mut stream, 421, &request, &id)?;
                continue;
            }
            match head.target() {
                "/report" => {
                    let text = self.report(&self.engines.lock().unwrap()[index]);
                    write_json(&mut stream, 200, &text)?;
                }
                "/health" => write_json(&mut stream, 200, "{}")?,
                "/order" if random_below(100) < self.late_percent.load(Ordering::SeqCst) => {
                    self.clone().carry_out_late(index, born, body);
                    sleep_ms(3000);
                    return None;
                }
                "/order" => {
                    let status = match Json::parse(&body) {
                        Some(order) => self.order(index, &order),
                        None => 400,
                    };
                    write_json(&mut stream, status, "{}")?;
                }
                _ => {
                    *self.has_traffic.lock().unwrap() = true;
                    if let Err(status) = self.admit(index) {
                        self.refuse(&mut stream, status, &request, &id)?;
                        continue;
                    }
                    let ended = self.answer(index, born, &mut stream, &head, &request);
                    let mut engines = self.engines.lock().unwrap();
                    if engines[index].born == born {
                        engines[index].running -= 1;
                    }
                    drop(engines);
                    ended?;
                    if self.options.has_no_length {
                        return stream.shutdown(std::net::Shutdown::Both).ok();
                    }
                }
            }
        }
    }

    /// Admits a request, or tells the status of the refusal.
    fn admit(&self, index: usize) -> Result<(), u16> {
        let mut engines = self.engines.lock().unwrap();
        let engine = &mut engines[index];
        let place = engine.place.as_ref().filter(|place| place.rank == 0);
        match place.map(|place| place.state) {
            Some("open") if engine.running < self.options.slots * 2 => {
                self.check_members(place.expect("it is open"));
                engine.running += 1;
                Ok(())
            }
            Some(_) => Err(503),
            None => Err(421),
        }
    }

    /// A request begins to run in a group of which every member must have been ready.
    fn check_members(&self, place: &Place) {
        let been_ready = self.been_ready.lock().unwrap();
        let was_ready = |member: &&String| {
            been_ready.contains(&((*member).clone(), place.group.clone(), place.epoch))
        };
        if let Some(member) = place.members.iter().find(|member| !was_ready(member)) {
            let text = format!("PARTIAL: at {:.3} {member} of {}", now_s(), place.group);
            record(&text);
            self.violations.lock().unwrap().push(text);
        }
    }

    fn refuse(&self, stream: &mut TcpStream, status: u16, request: &str, id: &str) -> Option<()> {
        let text = format!(
            "HTTP/1.1 {status} Refused\r\nAttempt-Id: {request}\r\nInstance-Id: {id}\r\n\
             Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).ok()
    }

    fn answer(
        &self,
        index: usize,
        born: u64,
        stream: &mut TcpStream,
        head: &Head,
        request: &str,
    ) -> Option<()> {
        sleep_ms(FIRST_EVENT_MS);
        let id = {
            let engines = self.engines.lock().unwrap();
            let engine = &engines[index];
            if !engine.is_up || engine.born != born {
                return None;
            }
            engine.id.clone()
        };
        record(&format!("server {id}: begins request {request}"));
        *self.starts.lock().unwrap().entry(request.to_owned()).or_default() += 1;
        let framing = match self.options.has_no_length {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nResponse-Signature: s.{request}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
        );
        stream.write_all(text.as_bytes()).ok()?;
        let prompt = head.field("prompt-prefix").unwrap_or_default();
        if self.options.crash_part.is_some_and(|part| prompt.contains(part)) {
            let _ = self.write_piece(stream, "id: 1\nda");
            record(&format!("server {id}: crashes on request {request}"));
            self.crash(index);
            return None;
        }
        let after: u32 =
            head.field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        for number in after + 1..=self.options.events {
            if number > after + 1 {
                sleep_ms(self.options.gap_ms);
            }
            self.write_piece(
                stream,
                &format!("id: {number}\ndata: piece {number} of {request}\n\n"),
            )?;
        }
        if !self.options.has_no_length {
            stream.write_all(b"0\r\n\r\n").ok()?;
        }
        Some(())
    }

    fn write_piece(&self, stream: &mut TcpStream, text: &str) -> Option<()> {
        let text = match self.options.has_no_length {
            true => text.to_owned(),
            false => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        stream.write_all(text.as_bytes()).ok()
    }

    /// The server crashes: its connections are reset, and it starts again under its id, knowing
    /// nothing but the models on its host.
    pub fn crash(&self, index: usize) {
        self.crashes.lock().unwrap().push(now_s());
        let mut engines = self.engines.lock().unwrap();
        let engine = &mut engines[index];
        engine.is_up = false;
        engine.place = None;
        for stream in engine.open.drain(..) {
            reset_on_close(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts servers again that crashed.
    pub fn keep_restarting(self: &Arc<Self>) {
        let fleet = self.clone();
        spawn(move || {
            loop {
                sleep_ms(50);
                let down: Vec<usize> = {
                    let engines = fleet.engines.lock().unwrap();
                    let down = engines.iter().enumerate().filter(|(_, engine)| !engine.is_up);
                    down.map(|(index, _)| index).collect()
                };
                if down.is_empty() {
                    continue;
                }
                sleep_ms((RESTART_S * 1000.0) as u64);
                for index in down {
                    let address = fleet.engines.lock().unwrap()[index].address;
                    let Ok(listener) = TcpListener::bind(address) else { continue };
                    let mut engines = fleet.engines.lock().unwrap();
                    let engine = &mut engines[index];
                    engine.born = unix_ms();
                    engine.is_up = true;
                    engine.last_model = None;
                    engine.seq = 0;
                    engine.fence = 0;
                    engine.newest_epoch = 0;
                    engine.lists.clear();
                    engine.running = 0;
                    engine.is_changed = true;
                    record(&format!("server {}: started again", engine.id));
                    drop(engines);
                    fleet.clone().listen(index, listener);
                }
            }
        });
    }
}

fn write_json(stream: &mut TcpStream, status: u16, text: &str) -> Option<()> {
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: \
         {}\r\n\r\n{text}",
        text.len()
    );
    stream.write_all(text.as_bytes()).ok()
}
