//! Stand-ins of model servers in groups. They follow the pages: orders with fence numbers and
//! epochs, work that stalls when a member of its group is missing, entries in the store.

use std::{
    collections::HashSet,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use crate::{
    http::{Message, listen, read_message},
    json::{Json, quoted},
    record::Record,
    store::Store,
};

pub const BEAT: Duration = Duration::from_millis(1200);
const STALL: Duration = Duration::from_millis(4000);
const FORM: Duration = Duration::from_millis(300);
const REJOIN: Duration = Duration::from_millis(200);
const FIRST_EVENT: Duration = Duration::from_millis(60);
const EVENT: Duration = Duration::from_millis(40);
pub const SLOTS: usize = 8;

#[derive(Clone, Debug)]
pub struct Model {
    pub name: &'static str,
    pub size: usize,
    pub load: Duration,
    pub warm: Duration,
}

pub const MODELS: [Model; 2] = [
    Model {
        name: "m-large",
        size: 4,
        load: Duration::from_secs(16),
        warm: Duration::from_millis(1600),
    },
    Model {
        name: "m-small",
        size: 2,
        load: Duration::from_secs(12),
        warm: Duration::from_millis(1100),
    },
];

#[derive(Clone, Debug)]
pub struct Membership {
    pub name: String,
    pub epoch: u64,
    pub rank: usize,
    pub model: Model,
    pub members: Vec<String>,
    pub state: &'static str,
    ready_at: Instant,
    open_at: Option<Instant>,
    running: usize,
    stalled_since: Option<Instant>,
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub domain: String,
    born: u128,
    seq: u64,
    fence: u64,
    epoch: u64,
    last_model: Option<Model>,
    staged: Option<&'static str>,
    staging: Option<(&'static str, Instant)>,
    pub group: Option<Membership>,
    beat_at: Instant,
    changed: bool,

    /// Whether it can write to the store.
    pub registers: bool,

    /// When it ends, if it is leaving.
    pub leaves_at: Option<Instant>,
    pub has_ended: bool,
}

pub struct World {
    pub engines: Vec<Engine>,

    /// Members that were ready, with group, epoch and list.
    was_ready: HashSet<(String, u64, Vec<String>, String)>,
    pub has_traffic: bool,
    pub joins: u32,
    pub runs: u32,
    pub cut_runs: u32,

    /// What broke the rule TWO, and PARTIAL.
    pub two: Vec<String>,
    pub partial: Vec<String>,
}

#[derive(Clone)]
pub struct Fleet {
    pub service: &'static str,
    world: Arc<Mutex<World>>,
    store: Store,
    pub record: Record,
}

fn unix_ms() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis()
}

impl Engine {
    pub fn new(number: usize, address: SocketAddr, zone: &str, domain: &str) -> Self {
        // The beats of the servers are spread over the period.
        let beat_at = Instant::now() + BEAT.mul_f64((number * 7 % 12) as f64 / 12.0);
        Self {
            id: format!("i-{:08x}", 0x7f3a_0000 + number * 37),
            address,
            zone: zone.to_owned(),
            domain: domain.to_owned(),
            born: unix_ms(),
            seq: 0,
            fence: 0,
            epoch: 0,
            last_model: None,
            staged: None,
            staging: None,
            group: None,
            beat_at,
            changed: false,
            registers: true,
            leaves_at: None,
            has_ended: false,
        }
    }

    pub fn entry(&self, service: &str) -> String {
        let models = self.last_model.as_ref().map_or(String::new(), |model| {
            format!(r#"{{"name":{},"version":1,"adapters":[]}}"#, quoted(model.name))
        });
        let staged = self.staged.map_or(String::new(), quoted);
        let group = self.group.as_ref().map_or("null".to_owned(), |group| {
            format!(
                r#"{{"name":{},"epoch":{},"rank":{},"state":{}}}"#,
                quoted(&group.name),
                group.epoch,
                group.rank,
                quoted(group.state)
            )
        });
        format!(
            r#"{{"service":{},"addr":"{}","zone":{},"version":"v1","slots":{SLOTS},"state":"{}","coldLeftMs":0,"stage":"prefill_decode","models":[{models}],"staged":[{staged}],"domain":{},"group":{group},"born":{},"seq":{}}}"#,
            quoted(service),
            self.address,
            quoted(&self.zone),
            if self.leaves_at.is_some() { "draining" } else { "ready" },
            quoted(&self.domain),
            self.born,
            self.seq
        )
    }

    fn is_in(&self, name: &str, epoch: u64) -> bool {
        !self.has_ended
            && self.group.as_ref().is_some_and(|group| group.name == name && group.epoch == epoch)
    }
}

impl World {
    fn find(&self, id: &str) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.id == id)
    }

    /// Whether all members of a group are in it.
    fn is_whole(&self, group: &Membership) -> bool {
        let is_in =
            |id: &String| self.find(id).is_some_and(|one| one.is_in(&group.name, group.epoch));
        group.members.iter().all(is_in)
    }

    /// The newest epoch of a group.
    pub fn newest_epoch(&self) -> u64 {
        let groups = self.engines.iter().filter_map(|engine| engine.group.as_ref());
        groups.map(|group| group.epoch).max().unwrap_or(0)
    }

    /// Open groups of a later epoch.
    pub fn open_since(&self, epoch: u64) -> usize {
        let groups = self.engines.iter().filter_map(|engine| engine.group.as_ref());
        groups
            .filter(|group| group.rank == 0 && group.state == "open" && group.epoch > epoch)
            .count()
    }

    pub fn open_groups(&self) -> usize {
        let groups = self.engines.iter().filter_map(|engine| engine.group.as_ref());
        groups
            .filter(|group| group.rank == 0 && group.state == "open" && self.is_whole(group))
            .count()
    }
}

impl Fleet {
    pub fn start(
        service: &'static str,
        engines: Vec<Engine>,
        store: Store,
        record: Record,
    ) -> std::io::Result<Self> {
        let count = engines.len();
        let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
        let world = World {
            engines,
            was_ready: HashSet::new(),
            has_traffic: false,
            joins: 0,
            runs: 0,
            cut_runs: 0,
            two: Vec::new(),
            partial: Vec::new(),
        };
        let fleet = Self { service, world: Arc::new(Mutex::new(world)), store, record };
        for number in 0..count {
            let serving = fleet.clone();
            listen(addresses[number], move |stream| serving.serve(number, stream))?;
            fleet.beat(&mut fleet.lock(), number);
        }
        let ticking = fleet.clone();
        spawn(move || {
            loop {
                ticking.tick();
                sleep(Duration::from_millis(5));
            }
        });
        Ok(fleet)
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap()
    }

    /// Writes the entry of a server; tried again soon if the store is away.
    fn beat(&self, world: &mut World, number: usize) {
        let engine = &mut world.engines[number];
        if engine.has_ended {
            self.store.remove("servers", &engine.id);
            engine.beat_at = Instant::now() + BEAT;
            engine.changed = false;
            return;
        }
        let written =
            engine.registers && self.store.put("servers", &engine.id, &engine.entry(self.service));
        engine.beat_at = Instant::now() + BEAT;
        engine.changed &= !written && engine.registers;
    }

    /// Lets time pass at all servers.
    fn tick(&self) {
        let now = Instant::now();
        let mut world = self.lock();
        for number in 0..world.engines.len() {
            let engine = &mut world.engines[number];
            if let Some((model, at)) = engine.staging.filter(|(_, at)| now >= *at) {
                let _ = at;
                engine.staged = Some(model);
                engine.staging = None;
                engine.changed = true;
            }
            let id = engine.id.clone();
            if engine.leaves_at.is_some_and(|at| now >= at) && !engine.has_ended {
                // A member that drains stays while the head of its group has work.
                let own = world.engines[number].group.clone();
                let head = own.and_then(|own| {
                    world
                        .find(own.members.first()?)
                        .cloned()
                        .filter(|head| head.is_in(&own.name, own.epoch))
                });
                let has_work =
                    head.and_then(|head| head.group).is_some_and(|group| group.running > 0);
                if !has_work
                    || world.engines[number]
                        .leaves_at
                        .is_some_and(|at| now >= at + Duration::from_secs(10))
                {
                    self.record.line(&format!("server {id} ends"));
                    world.engines[number].has_ended = true;
                    world.engines[number].changed = true;
                }
            }
            let engine = &mut world.engines[number];
            if let Some(group) = &mut engine.group {
                let mut turned = None;
                if group.state == "joining" && now >= group.ready_at {
                    turned = Some("ready");
                } else if group.state == "ready" && group.open_at.is_some_and(|at| now >= at) {
                    group.open_at = None;
                    turned = Some("open");
                } else if group.state == "closing" && group.running == 0 {
                    turned = Some("ready");
                }
                if let Some(state) = turned {
                    group.state = state;
                    let (name, epoch, members) =
                        (group.name.clone(), group.epoch, group.members.clone());
                    let model = group.model.clone();
                    engine.changed = true;
                    if state == "ready" {
                        let rejoins =
                            engine.last_model.as_ref().is_some_and(|last| last.name == model.name);
                        // A load stages the model; a host keeps one.
                        if !rejoins {
                            engine.staged = Some(model.name);
                        }
                        engine.last_model = Some(model);
                    }
                    self.record.line(&format!("server {id} {state} in {name}"));
                    if state == "ready" {
                        world.was_ready.insert((name, epoch, members, id));
                    }
                }
            }
            // Work of a head whose group lacks a member stands still, and is cut off after a while.
            let head = world.engines[number].group.clone();
            if let Some(group) =
                head.filter(|group| group.rank == 0 && matches!(group.state, "open" | "closing"))
            {
                let whole = world.is_whole(&group);
                let engine = &mut world.engines[number];
                let id = engine.id.clone();
                let own = engine.group.as_mut().unwrap();
                if whole {
                    own.stalled_since = None;
                } else if now - *own.stalled_since.get_or_insert(now) >= STALL {
                    own.state = "broken";
                    engine.changed = true;
                    self.record.line(&format!("server {id} broken in {}", group.name));
                }
            }
            let engine = &world.engines[number];
            if engine.changed || now >= engine.beat_at {
                self.beat(&mut world, number);
            }
        }
    }

    fn serve(&self, number: usize, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            if self.lock().engines[number].has_ended {
                return;
            }
            let attempt = request.header("attempt-id").to_owned();
            let expected = request.header("expect-instance").to_owned();
            let own = self.lock().engines[number].id.clone();
            let mut echo = format!("Instance-Id: {own}\r\n");
            if !attempt.is_empty() {
                echo.push_str(&format!("Attempt-Id: {attempt}\r\n"));
            }
            let (path, _) = request.target().split_once('?').unwrap_or((request.target(), ""));
            if !expected.is_empty() && expected != own {
                reply(&mut writer, 421, &echo, "");
            } else if path == "/report" {
                let body = self.lock().engines[number].entry(self.service);
                reply(&mut writer, 200, &echo, &body);
            } else if path == "/order" {
                let (status, text) = self.order(number, &request);
                let body = String::from_utf8_lossy(&request.body);
                self.record.line(&format!("server {own} order {body} -> {status} {text}"));
                reply(&mut writer, status, &echo, "{}");
            } else if path == "/health" {
                reply(&mut writer, 200, &echo, "");
            } else if self.run(number, &request, &echo, &mut writer).is_none() {
                return;
            }
        }
    }

    /// A planned shutdown of a server.
    pub fn drain(&self, number: usize) {
        let mut world = self.lock();
        let engine = &mut world.engines[number];
        engine.leaves_at = Some(Instant::now() + Duration::from_millis(2300));
        engine.changed = true;
        self.record.line(&format!("server {} reports draining", engine.id));
    }

    fn order(&self, number: usize, request: &Message) -> (u16, &'static str) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "");
        };
        let now = Instant::now();
        let mut world = self.lock();
        let fence = body.number("fence").unwrap_or(0);
        if fence < world.engines[number].fence {
            return (412, "fence");
        }
        world.engines[number].fence = fence;
        let (name, epoch) = (body.text("group").to_owned(), body.number("epoch").unwrap_or(0));
        match body.text("op") {
            "join" => self.join(now, &mut world, number, &body, &name, epoch),
            "stage" => {
                let model = MODELS.iter().find(|model| model.name == body.text("model"));
                let Some(model) = model else { return (400, "") };
                let time = load_time(&world, model);
                let engine = &mut world.engines[number];
                if engine.staged == Some(model.name) {
                    return (200, "");
                }
                if engine.staging.is_none() {
                    engine.staging = Some((model.name, now + time));
                    engine.seq += 1;
                }
                (202, "")
            }
            op @ ("open" | "close" | "leave") => {
                let engine = &mut world.engines[number];
                if !engine.is_in(&name, epoch) {
                    return (409, "not in it");
                }
                let group = engine.group.as_mut().unwrap();
                match (op, group.state) {
                    ("open", "open") | ("close", "ready" | "closing") => return (200, ""),
                    ("open", "ready") if group.rank == 0 => {
                        group.open_at.get_or_insert(now + FORM);
                    }
                    ("close", "open") => group.state = "closing",
                    ("leave", _) => engine.group = None,
                    _ => return (409, "state"),
                }
                engine.seq += 1;
                engine.changed = true;
                (202, "")
            }
            _ => (400, ""),
        }
    }

    fn join(
        &self,
        now: Instant,
        world: &mut World,
        number: usize,
        body: &Json,
        name: &str,
        epoch: u64,
    ) -> (u16, &'static str) {
        let members: Vec<String> = body
            .list("members")
            .iter()
            .filter_map(|member| match member {
                Json::Str(text) => Some(text.clone()),
                _ => None,
            })
            .collect();
        let Some(model) = MODELS.iter().find(|model| model.name == body.text("model")) else {
            return (400, "");
        };
        let engine = &world.engines[number];
        let id = engine.id.clone();
        let Some(rank) = members.iter().position(|member| *member == id) else { return (400, "") };
        if epoch < engine.epoch {
            return (412, "epoch");
        }
        if let Some(own) = &engine.group
            && own.name == name
            && own.epoch == epoch
        {
            return if own.members == members { (200, "") } else { (412, "members") };
        }
        let before = engine.clone();
        self.check_two(world, &before, name, epoch);
        let engine = &world.engines[number];
        let time = match &engine.last_model {
            Some(last) if last.name == model.name => REJOIN,
            _ if engine.staged == Some(model.name) => model.warm,
            _ => load_time(world, model),
        };
        world.joins += 1;
        let engine = &mut world.engines[number];
        engine.epoch = epoch;
        engine.seq += 1;
        engine.changed = true;
        engine.group = Some(Membership {
            name: name.to_owned(),
            epoch,
            rank,
            model: model.clone(),
            members,
            state: "joining",
            ready_at: now + time,
            open_at: None,
            running: 0,
            stalled_since: None,
        });
        (202, "")
    }

    /// TWO: a server takes a join of another group while the head of its group is open or closing, or
    /// stands still and isn't yet broken.
    fn check_two(&self, world: &mut World, engine: &Engine, name: &str, epoch: u64) {
        let Some(old) = &engine.group else { return };
        let head = old.members.first().and_then(|id| world.find(id));
        let Some(head) = head.filter(|head| head.is_in(&old.name, old.epoch)) else { return };
        let (head_id, own) = (head.id.clone(), head.group.as_ref().unwrap());
        if matches!(own.state, "open" | "closing") {
            let text = format!(
                "server {} of group {} epoch {} took a join of {name} epoch {epoch} while the head {head_id} is {} with {} requests running",
                engine.id, old.name, old.epoch, own.state, own.running
            );
            self.record.line(&format!("BROKEN TWO: {text}"));
            world.two.push(text);
        }
    }

    /// Runs a request. `None` if its connection was cut.
    fn run(
        &self,
        number: usize,
        request: &Message,
        echo: &str,
        writer: &mut TcpStream,
    ) -> Option<()> {
        let attempt = request.header("attempt-id");
        let mut world = self.lock();
        let engine = &world.engines[number];
        let not_run = |writer: &mut TcpStream, status: u16| {
            reply(writer, status, &format!("{echo}Not-Executed: 1\r\n"), "");
            Some(())
        };
        let Some(group) = engine.group.clone() else { return not_run(writer, 421) };
        if group.rank != 0 || group.model.name != request.header("model") {
            return not_run(writer, 421);
        }
        if group.state != "open" || group.running >= SLOTS {
            return not_run(writer, 503);
        }
        world.runs += 1;
        let id = world.engines[number].id.clone();
        let had_all = group.members.iter().all(|member| {
            let key = (group.name.clone(), group.epoch, group.members.clone(), member.clone());
            world.was_ready.contains(&key)
        });
        if group.members.len() != group.model.size || !had_all {
            let text = format!("request {attempt} began to run in {} at {id}", group.name);
            self.record.line(&format!("BROKEN PARTIAL: {text}"));
            world.partial.push(text);
        }
        world.engines[number].group.as_mut().unwrap().running += 1;
        drop(world);
        self.record.line(&format!("server {id} runs {attempt} in {}", group.name));
        let written = self.write_events(number, &group, request, echo, writer);
        let mut world = self.lock();
        if let Some(own) = world.engines[number].group.as_mut()
            && own.name == group.name
            && own.epoch == group.epoch
        {
            own.running = own.running.saturating_sub(1);
        }
        if written.is_err() {
            world.cut_runs += 1;
            drop(world);
            self.record.line(&format!("server {id} cut {attempt}"));
            writer.shutdown(std::net::Shutdown::Both).ok();
            return None;
        }
        drop(world);
        self.record.line(&format!("server {id} finished {attempt}"));
        Some(())
    }

    fn write_events(
        &self,
        number: usize,
        group: &Membership,
        request: &Message,
        echo: &str,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let count: u64 = request.header("x-events").parse().unwrap_or(34);
        let signature = format!("Response-Signature: s.{}\r\n", request.header("attempt-id"));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}{signature}Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        sleep(FIRST_EVENT);
        for event in from + 1..=count {
            loop {
                let world = self.lock();
                let own = world.engines[number].group.as_ref();
                let own = own.filter(|own| own.name == group.name && own.epoch == group.epoch);
                match own {
                    Some(own) if own.state != "broken" => {
                        if own.stalled_since.is_none() {
                            break;
                        }
                    }
                    _ => return Err(std::io::ErrorKind::ConnectionAborted.into()),
                }
                drop(world);
                sleep(Duration::from_millis(5));
            }
            if event == from + 1 {
                writer.write_all(head.as_bytes())?;
            }
            let text = format!("id: {event}\ndata: {event} of {count}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            sleep(EVENT);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// How long a load from the weight store takes: a tenth before the first request.
fn load_time(world: &World, model: &Model) -> Duration {
    if world.has_traffic { model.load } else { model.load / 10 }
}

pub fn reply(writer: &mut TcpStream, status: u16, headers: &str, body: &str) {
    let text = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(text.as_bytes()).ok();
}
