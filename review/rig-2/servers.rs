//! Stand-ins for plain services and for model servers that form groups.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, Wire, respond},
    json::{Json, quote},
    record::Record,
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1200);
pub const STALL: Duration = Duration::from_millis(4000);

const FORM: Duration = Duration::from_millis(300);
const REJOIN: Duration = Duration::from_millis(200);

/// How a request is answered. Returns false to close the channel.
pub type Handler = dyn Fn(&Arc<Server>, &Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// Whether a new connection from this peer is cut off.
pub type Gate = dyn Fn(SocketAddr) -> bool + Send + Sync;

/// All servers that run, by id.
pub struct World {
    pub store: Arc<Store>,
    pub record: Record,
    pub servers: Mutex<BTreeMap<String, Arc<Server>>>,

    /// When the last entry of each server was written. Entries that are not written again lapse.
    written: Mutex<HashMap<String, Instant>>,
    pub has_traffic: AtomicBool,

    /// Violations that servers saw.
    pub broken: Mutex<Vec<String>>,

    /// Which connections are cut off.
    pub gate: Mutex<Option<Box<Gate>>>,
}

/// What a server is started with.
#[derive(Clone)]
pub struct Start {
    pub id: String,
    pub service: String,
    pub zone: String,

    /// The fabric domain of a model server; `None` for a plain one.
    pub domain: Option<String>,
    pub slots: u32,

    /// Weights on the host.
    pub staged: Vec<String>,
    pub address: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Joining(Instant),
    Ready,
    Opening(Instant),
    Open,
    Closing,
    Broken,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Joining(_) => "joining",
            Phase::Ready | Phase::Opening(_) => "ready",
            Phase::Open => "open",
            Phase::Closing => "closing",
            Phase::Broken => "broken",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub model: String,
    pub members: Vec<String>,
    pub phase: Phase,

    /// Since when a member is missing, as the head sees it.
    pub lacking: Option<Instant>,
}

#[derive(Default)]
pub struct EngineState {
    pub group: Option<Group>,
    pub staged: Vec<String>,

    /// Weights that are loading, and until when.
    loading: Option<(String, Instant)>,

    /// The model of the last group of this life.
    last_model: Option<String>,
    seen_epoch: u64,

    /// Members by group and epoch.
    seen: HashMap<(String, u64), Vec<String>>,
    fence: u64,
    seq: u64,
}

pub struct Server {
    pub start: Start,
    pub addr: SocketAddr,
    pub born: u64,
    pub world: Arc<World>,
    pub engine: Mutex<EngineState>,
    pub alive: AtomicBool,

    /// Whether it writes its entry.
    pub listed: AtomicBool,
    pub draining: AtomicBool,

    /// Until when it says nothing and works on nothing.
    pub silent_until: Mutex<Option<Instant>>,
    pub arrivals: AtomicU64,
    pub running: AtomicU64,
    handler: Arc<Handler>,
    connections: Mutex<Vec<TcpStream>>,

    /// What happens to orders before they are carried out; `None` if they are at once.
    pub order_hook: Mutex<Option<Arc<OrderHook>>>,
}

/// Decides whether an order is left unanswered. It is then carried out by whoever took it.
pub type OrderHook = dyn Fn(&Arc<Server>, &Json) -> bool + Send + Sync;

/// Times of the models, by name: loading, joining with weights on the host, size.
pub const MODELS: [(&str, u32, f64, f64); 1] = [("m0", 2, 12.0, 1.1)];

impl World {
    pub fn new(store: Arc<Store>, record: Record) -> Arc<Self> {
        let world = Arc::new(Self {
            store,
            record,
            servers: Mutex::default(),
            written: Mutex::default(),
            has_traffic: AtomicBool::new(false),
            broken: Mutex::default(),
            gate: Mutex::new(None),
        });
        let janitor = world.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                janitor.remove_lapsed();
            }
        });
        world
    }

    /// The store removes entries after three heartbeats of silence.
    fn remove_lapsed(&self) {
        let mut written = self.written.lock().unwrap();
        let lapsed = written.iter().filter(|(_, at)| at.elapsed() > HEARTBEAT * 3);
        let lapsed: Vec<String> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in lapsed {
            if self.store.put("servers", &id, None) {
                written.remove(&id);
                self.record.line(format!("entry of {id} has lapsed"));
            }
        }
    }

    pub fn write_entry(&self, id: &str, value: Option<&str>) -> bool {
        let done = self.store.put("servers", id, value);
        if done {
            let mut written = self.written.lock().unwrap();
            match value {
                Some(_) => written.insert(id.to_owned(), Instant::now()),
                None => written.remove(id),
            };
        }
        done
    }

    /// After the store came back from a copy: entries there count as written now.
    pub fn count_entries_anew(&self, ids: &[String]) {
        let mut written = self.written.lock().unwrap();
        for id in ids {
            written.insert(id.clone(), Instant::now());
        }
    }

    pub fn server(&self, id: &str) -> Option<Arc<Server>> {
        self.servers.lock().unwrap().get(id).cloned()
    }

    pub fn violation(&self, text: String) {
        self.record.say(format!("BROKEN {text}"));
        self.broken.lock().unwrap().push(text);
    }
}

impl Server {
    pub fn start(world: &Arc<World>, start: Start, handler: Arc<Handler>) -> io::Result<Arc<Self>> {
        let at = start.address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
        let engine = EngineState { staged: start.staged.clone(), ..EngineState::default() };
        let server = Arc::new(Self {
            addr: listener.local_addr()?,
            born: since.as_millis() as u64,
            world: world.clone(),
            engine: Mutex::new(engine),
            alive: AtomicBool::new(true),
            listed: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            silent_until: Mutex::default(),
            arrivals: AtomicU64::new(0),
            running: AtomicU64::new(0),
            handler,
            connections: Mutex::default(),
            order_hook: Mutex::default(),
            start,
        });
        let id = server.start.id.clone();
        world.record.line(format!("server {id} starts at {}", server.addr));
        world.servers.lock().unwrap().insert(id, server.clone());
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener));
        let beating = server.clone();
        thread::spawn(move || beating.beat());
        Ok(server)
    }

    pub fn id(&self) -> &str {
        &self.start.id
    }

    fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        while self.is_alive() {
            match listener.accept() {
                Ok((stream, peer)) => {
                    let _ = stream.set_nonblocking(false);
                    let server = self.clone();
                    thread::spawn(move || {
                        let copy = stream.try_clone();
                        let end = stream.try_clone();
                        if let Ok(copy) = copy {
                            let mut connections = server.connections.lock().unwrap();
                            connections.retain(|c| c.peer_addr().is_ok());
                            connections.push(copy);
                        }
                        let _ = server.serve(stream, peer);
                        if let Ok(end) = end {
                            let _ = end.shutdown(Shutdown::Both);
                        }
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    /// Stops at once, as a process that is killed.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        self.world.record.line(format!("server {} crashes", self.id()));
        self.world.servers.lock().unwrap().remove(self.id());
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr) -> io::Result<()> {
        let is_cut = |peer| self.world.gate.lock().unwrap().as_ref().is_some_and(|gate| gate(peer));
        if is_cut(peer) {
            // Closing with unread bytes resets the channel.
            let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
            let _ = stream.peek(&mut [0; 1]);
            return Ok(());
        }
        let mut wire = Wire::new(stream);
        while let Some(request) = wire.request()? {
            if !self.is_alive() {
                return Ok(());
            }
            let stream = &mut wire.stream;
            let expected = request.header("expect-instance");
            if expected.is_some_and(|id| id != self.id()) {
                self.misdirected(&request, stream)?;
                continue;
            }
            match request.path() {
                "/report" => self.report(stream)?,
                "/order" => {
                    if !self.order(&request, stream)? {
                        // The order is left unanswered.
                        thread::sleep(Duration::from_secs(3));
                        return Ok(());
                    }
                }
                "/health" => {
                    respond(stream, 200, &[("Instance-Id", self.id().to_owned())], b"")?;
                }
                _ => {
                    self.arrivals.fetch_add(1, Ordering::SeqCst);
                    let handler = self.handler.clone();
                    self.running.fetch_add(1, Ordering::SeqCst);
                    let result = handler(self, &request, stream);
                    self.running.fetch_sub(1, Ordering::SeqCst);
                    if !result? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    pub fn misdirected(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let headers = [("Attempt-Id", attempt), ("Instance-Id", self.id().to_owned())];
        respond(stream, 421, &headers, b"")
    }

    // ---------------------------------------------------------------------------------------
    // Entries and reports

    fn beat(self: Arc<Self>) {
        let (mut last, mut at) = (String::new(), Instant::now() - HEARTBEAT);
        while self.is_alive() {
            self.advance();
            let mine = self.fields();
            let due = mine != last || at.elapsed() >= HEARTBEAT;
            if self.listed.load(Ordering::SeqCst) && due {
                let seq = self.engine.lock().unwrap().seq;
                let entry = format!("{{{mine},\"seq\":{seq}}}");
                if self.world.write_entry(self.id(), Some(&entry)) {
                    (last, at) = (mine, Instant::now());
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Writes the entry again soon.
    fn fields(&self) -> String {
        let Start { service, zone, slots, .. } = &self.start;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let mut fields = format!(
            "\"service\":{},\"addr\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"born\":{}",
            quote(service),
            self.addr,
            quote(zone),
            self.born
        );
        if self.start.domain.is_some() {
            fields.push(',');
            fields.push_str(&self.place());
        }
        fields
    }

    fn place(&self) -> String {
        let engine = self.engine.lock().unwrap();
        let domain = self.start.domain.clone().unwrap_or_default();
        let staged: Vec<String> = engine.staged.iter().map(|model| quote(model)).collect();
        let models = engine.last_model.iter();
        let models: Vec<String> = models
            .map(|model| format!("{{\"name\":{},\"version\":1,\"adapters\":[]}}", quote(model)))
            .collect();
        let mut place = format!(
            "\"stage\":\"prefill_decode\",\"models\":[{}],\"domain\":{},\"staged\":[{}]",
            models.join(","),
            quote(&domain),
            staged.join(",")
        );
        if let Some(group) = &engine.group {
            let rank = group.members.iter().position(|id| id == self.id()).unwrap_or(0);
            place.push_str(&format!(
                ",\"group\":{{\"name\":{},\"epoch\":{},\"rank\":{rank},\"state\":\"{}\"}}",
                quote(&group.name),
                group.epoch,
                group.phase.name()
            ));
        }
        place
    }

    /// Whether it says nothing now.
    pub fn is_silent(&self) -> bool {
        self.silent_until.lock().unwrap().is_some_and(|until| Instant::now() < until)
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        while self.is_silent() {
            thread::sleep(Duration::from_millis(5));
        }
        self.advance();
        let running = self.running.load(Ordering::SeqCst);
        let (seq, busy) = {
            let engine = self.engine.lock().unwrap();
            (engine.seq, engine.loading.is_some())
        };
        let body = format!(
            "{{{},\"busy\":{busy},\"seq\":{seq},\"queued\":0,\"running\":{running},\"kvUsed\":0,\
             \"kvTotal\":1860000,\"handles\":0,\"pace\":1.0,\"born\":{}}}",
            self.place(),
            self.born
        );
        let json = ("Content-Type", "application/json".to_owned());
        respond(stream, 200, &[json], body.as_bytes())
    }

    // ---------------------------------------------------------------------------------------
    // Groups

    /// Carries on what takes time.
    pub fn advance(&self) {
        let now = Instant::now();
        let mut engine = self.engine.lock().unwrap();
        if let Some((model, until)) = engine.loading.clone()
            && now >= until
        {
            engine.loading = None;
            // A host keeps one model.
            engine.staged = vec![model];
        }
        let staged = engine.staged.clone();
        let Some(group) = &mut engine.group else { return };
        match group.phase {
            Phase::Joining(until) if now >= until => {
                group.phase = Phase::Ready;
                let model = group.model.clone();
                engine.last_model = Some(model.clone());
                if !staged.contains(&model) {
                    engine.staged = vec![model];
                }
            }
            Phase::Opening(until) if now >= until => group.phase = Phase::Open,
            _ => {}
        }
        drop(engine);
        self.watch_members();
    }

    /// A head whose group isn't whole stands still, and is broken after a while.
    fn watch_members(&self) {
        let group = self.engine.lock().unwrap().group.clone();
        let Some(group) = group else { return };
        if group.members.first().map(String::as_str) != Some(self.id()) {
            return;
        }
        if !matches!(group.phase, Phase::Open | Phase::Closing) {
            return;
        }
        let whole = group.members.iter().skip(1).all(|id| {
            self.world.server(id).is_some_and(|member| {
                let engine = member.engine.lock().unwrap();
                engine.group.as_ref().is_some_and(|g| {
                    g.name == group.name
                        && g.epoch == group.epoch
                        && !matches!(g.phase, Phase::Joining(_))
                })
            })
        });
        let mut engine = self.engine.lock().unwrap();
        let Some(own) = engine.group.as_mut().filter(|own| own.name == group.name) else { return };
        if whole {
            own.lacking = None;
            return;
        }
        let since = *own.lacking.get_or_insert(Instant::now());
        if since.elapsed() >= STALL {
            own.phase = Phase::Broken;
        }
    }

    /// Whether the group of this head takes requests, and whether its work moves.
    pub fn group_state(&self) -> Option<(Group, bool)> {
        self.advance();
        let group = self.engine.lock().unwrap().group.clone()?;
        let mut members = group.members.iter().filter_map(|id| self.world.server(id));
        let waits = members.any(|member| member.is_silent());
        let moves = group.lacking.is_none() && group.phase != Phase::Broken && !waits;
        Some((group, moves))
    }

    /// Takes an order; false if it is left unanswered.
    fn order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(order) = Json::parse(&text) else {
            respond(stream, 400, &[], b"{}")?;
            return Ok(true);
        };
        let hook = self.order_hook.lock().unwrap().clone();
        if hook.is_some_and(|hook| hook(self, &order)) {
            self.world.record.line(format!("order to {} left unanswered: {text}", self.id()));
            return Ok(false);
        }
        let status = self.carry_out(&order);
        self.world.record.line(format!("order to {}: {status} {text}", self.id()));
        respond(stream, status, &[], b"{}")?;
        Ok(true)
    }

    /// Carries out an order; returns the status of the answer.
    pub fn carry_out(&self, order: &Json) -> u16 {
        self.advance();
        let is_join = order.text("op") == Some("join");
        let two = self.joins_two(order.text("group").unwrap_or_default()).filter(|_| is_join);
        let status = self.apply(order);
        if let Some(text) = two.filter(|_| status == 202) {
            self.world.violation(text);
        }
        status
    }

    fn apply(&self, order: &Json) -> u16 {
        let fence = order.number("fence").unwrap_or(0);
        let op = order.text("op").unwrap_or_default().to_owned();
        let name = order.text("group").unwrap_or_default().to_owned();
        let epoch = order.number("epoch").unwrap_or(0);
        let model = order.text("model").unwrap_or_default().to_owned();
        let now = Instant::now();
        let has_traffic = self.world.has_traffic.load(Ordering::SeqCst);
        let times = MODELS.iter().find(|(known, ..)| *known == model);
        let load = |seconds: f64| {
            let seconds = if has_traffic { seconds } else { seconds / 10.0 };
            Duration::from_secs_f64(seconds)
        };
        let mut engine = self.engine.lock().unwrap();
        if fence < engine.fence {
            return 412;
        }
        engine.fence = fence;
        let is_in = engine.group.as_ref().is_some_and(|g| g.name == name && g.epoch == epoch);
        match op.as_str() {
            "join" => {
                let members = order.texts("members");
                let Some((_, _, load_s, warm_s)) = times else { return 409 };
                let known = engine.seen.get(&(name.clone(), epoch));
                if epoch < engine.seen_epoch || known.is_some_and(|known| *known != members) {
                    return 412;
                }
                if is_in {
                    return 200;
                }
                let time = if engine.last_model.as_ref() == Some(&model) {
                    REJOIN
                } else if engine.staged.contains(&model) {
                    load(*warm_s)
                } else {
                    load(*load_s)
                };
                engine.seen_epoch = epoch;
                engine.seen.insert((name.clone(), epoch), members.clone());
                engine.seq += 1;
                let phase = Phase::Joining(now + time);
                engine.group = Some(Group { name, epoch, model, members, phase, lacking: None });
                202
            }
            "open" => {
                let id = self.id().to_owned();
                let Some(group) = engine.group.as_mut().filter(|_| is_in) else { return 409 };
                if group.members.first() != Some(&id) {
                    return 409;
                }
                match group.phase {
                    Phase::Ready => {
                        group.phase = Phase::Opening(now + FORM);
                        engine.seq += 1;
                        202
                    }
                    Phase::Open | Phase::Opening(_) => 200,
                    _ => 409,
                }
            }
            "close" => {
                let Some(group) = engine.group.as_mut().filter(|_| is_in) else { return 409 };
                if matches!(group.phase, Phase::Open | Phase::Closing) {
                    group.phase = Phase::Ready;
                    engine.seq += 1;
                }
                200
            }
            "leave" => {
                if !is_in {
                    return 409;
                }
                engine.group = None;
                engine.seq += 1;
                200
            }
            "stage" => {
                let Some((_, _, load_s, _)) = times else { return 409 };
                if engine.staged.contains(&model) {
                    return 200;
                }
                if engine.loading.is_none() {
                    engine.loading = Some((model, now + load(*load_s)));
                    engine.seq += 1;
                }
                202
            }
            _ => 400,
        }
    }

    /// TWO: a server takes a join of another group while the head of its group is open or closing, or
    /// stands still and isn't yet broken.
    fn joins_two(&self, name: &str) -> Option<String> {
        let own = self.engine.lock().unwrap().group.clone();
        let own = own.filter(|own| own.name != name)?;
        let head = own.members.first().and_then(|id| self.world.server(id))?;
        let head = head.engine.lock().unwrap().group.clone();
        let serves = head.is_some_and(|head| {
            head.name == own.name
                && head.epoch == own.epoch
                && matches!(head.phase, Phase::Open | Phase::Closing)
        });
        serves.then(|| {
            format!(
                "TWO: {} takes a join of {name} while {}, epoch {}, is open",
                self.id(),
                own.name,
                own.epoch
            )
        })
    }
}

/// Streams of a model server: `events` events, one each `gap`.
pub fn stream_handler(events: u64, gap: Duration) -> Arc<Handler> {
    Arc::new(move |server: &Arc<Server>, request: &Request, stream: &mut TcpStream| {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let own = server.id().to_owned();
        let state = server.group_state();
        let is_head = |group: &Group| group.members.first() == Some(&own);
        let Some((group, _)) = state.filter(|(group, _)| is_head(group)) else {
            server.misdirected(request, stream)?;
            return Ok(true);
        };
        let refused = |stream: &mut TcpStream| {
            let headers = [("Attempt-Id", attempt.clone()), ("Not-Executed", "1".to_owned())];
            respond(stream, 503, &headers, b"")
        };
        if group.phase != Phase::Open {
            refused(stream)?;
            return Ok(true);
        }
        let first = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let first = first.unwrap_or(0) + 1;
        let is_in = || {
            let state = server.group_state();
            state.filter(|(now, _)| now.name == group.name && now.epoch == group.epoch)
        };
        server.world.record.line(format!("{own} runs {attempt} from event {first}"));
        let mut has_head = false;
        for event in first..=events {
            let began = Instant::now();
            thread::sleep(gap);
            loop {
                match is_in() {
                    Some((_, true)) => break,
                    Some((now, false)) if now.phase != Phase::Broken => {
                        thread::sleep(Duration::from_millis(20));
                    }
                    // The group left or broke: its work is cut off.
                    _ if !has_head => {
                        refused(stream)?;
                        return Ok(true);
                    }
                    _ => return Ok(false),
                }
                if began.elapsed() > STALL * 2 {
                    return Ok(false);
                }
            }
            if !has_head {
                has_head = true;
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{attempt}\r\n\
                     Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                )?;
            }
            let text = format!("id: {event}\ndata: {event}\n\n");
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
            stream.flush()?;
        }
        if !has_head {
            respond(
                stream,
                200,
                &[
                    ("Attempt-Id", attempt.clone()),
                    ("Response-Signature", format!("s.{attempt}")),
                    ("Content-Type", "text/event-stream".to_owned()),
                ],
                b"",
            )?;
            return Ok(true);
        }
        write!(stream, "0\r\n\r\n")?;
        Ok(true)
    })
}
