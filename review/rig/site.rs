//! A small deployment on loopback addresses: nodes as processes, the store, servers and clients.

use std::{
    collections::BTreeMap,
    fs,
    io::{BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{JoinHandle, sleep, spawn},
    time::{Duration, Instant},
};

use crate::{
    http::{call, read_chunk, read_head},
    json::Json,
    record::Record,
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

const FRONT: u16 = 8227;
const READY: u16 = 8220;
const CONTROL: u16 = 8229;
const DIRECTORY: u16 = 8224;

/// A part of the loopback network that nothing listens in.
pub struct Net {
    second: u8,
}

impl Net {
    pub fn free() -> Option<Self> {
        let start = (std::process::id() % 200) as u8;
        (0..100).map(|step| Self { second: 20 + (start.wrapping_add(step * 2)) % 200 }).find(
            |net| {
                let probe = net.address(1, 1, FRONT);
                TcpListener::bind(probe).is_ok()
            },
        )
    }

    pub fn ip(&self, kind: u8, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, kind, number))
    }

    pub fn address(&self, kind: u8, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(kind, number), port)
    }
}

/// An entry machine with its process.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn write(
        net: &Net,
        number: u8,
        store: SocketAddr,
        folder: &std::path::Path,
    ) -> std::io::Result<Self> {
        let zone = ZONES[(number as usize - 1) % ZONES.len()].to_owned();
        let name = format!("edge-{zone}-{number}");
        let ip = net.ip(1, number);
        let settings = folder.join(format!("{name}.yaml"));
        let node = Self {
            front: SocketAddr::new(ip, FRONT),
            ready: SocketAddr::new(ip, READY),
            directory: SocketAddr::new(ip, DIRECTORY),
            log: folder.join(format!("{name}.log")),
            child: None,
            settings,
            name,
            zone,
        };
        node.write_settings(ip, store, true)?;
        Ok(node)
    }

    fn write_settings(&self, ip: IpAddr, store: SocketAddr, first: bool) -> std::io::Result<()> {
        let zones: String = ZONES.iter().map(|zone| format!("  {zone}: \"region\"\n")).collect();
        let text = format!(
            "node: \"{name}\"\nrole: \"node\"\nmachineClass: \"edge\"\nserves:\n  - \"edge\"\n  - \"registry\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"region\"\nzones:\n{zones}\
             listen:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  control: \"{ip}:{CONTROL}\"\n  directory: \"{directory}\"\n\
             portRange:\n  - 7340\n  - 7355\nseeds: []\nbootstrap: {first}\ninTolerance: false\n\
             limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n\
             dataDir: null\ndiscovery: \"platform\"\nentry: \"registry\"\nheartbeatMs: 1200\n\
             bounds:\n  seedLagS: 3\n  addrReuseS: 2\n  stableWindowMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n  drainMs: 2000\n\
             \x20 graceS: 8\n  lossSlackMs: 200\n  configApplyMs: 2000\n  backMs: 250\n  outerMs: 5000\n  failClosed: true\n\
             \x20 revokeMs: 5000\n  retryRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 109\n  recoveryS: 12\n  passMs: 120\n\
             \x20 retryAfterS: 0\n  stallMs: 4000\n  requireFencing: true\n  ceilingWindowS: 5\n  ceilingOver: 1.1\n  ttl_max_s: 5\n\
             provider:\n  addr: \"{store}\"\n  form: \"table\"\n  writesPerS: 400\n  readsPerS: 2000\n  txMs: 8.0\n\
             \x20 partitionWritesS: 150\n  rowBytes: 65536\n  across: false\n  historyS: 20\n",
            name = self.name,
            zone = self.zone,
            front = self.front,
            ready = self.ready,
            directory = self.directory,
        );
        fs::write(&self.settings, text)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/comfreyturn");
        command
            .args(["platform", "--metrics", "9464"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("COMFREYTURN_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The process ends with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Starts the process again; only the first start of the whole system is a `bootstrap`.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        let settings = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, settings.replace("bootstrap: true", "bootstrap: false"))?;
        self.start()
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = call(self.ready, request, Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

/// Waits until `holds`; false if it takes longer than `limit`.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        sleep(Duration::from_millis(20));
    }
    false
}

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete answer with this status.
    Answered(u16),

    /// An answer that ended before its end.
    CutAnswer,

    /// No answer.
    NoAnswer,
}

/// What clients send.
#[derive(Clone)]
pub struct Kind {
    /// The path; clients add the id of the request.
    pub path: String,
    pub method: &'static str,
    pub headers: String,
    pub deadline_ms: u64,
}

/// Clients that send requests at a steady rate, each on a new channel.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub outcomes: Arc<Mutex<BTreeMap<Outcome, u64>>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Clients {
    /// Starts `count` clients that send one request after the other, with a pause between.
    pub fn start(
        count: usize,
        pause: Duration,
        kinds: &[Kind],
        directories: &[SocketAddr],
        record: &Record,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<BTreeMap<Outcome, u64>>> = Arc::default();
        let threads = (0..count).map(|number| {
            let (stop, outcomes) = (stop.clone(), Arc::clone(&outcomes));
            let (kinds, directories, record) =
                (kinds.to_vec(), directories.to_vec(), record.clone());
            spawn(move || {
                let mut round = number;
                while !stop.load(Ordering::Relaxed) {
                    let kind = &kinds[round % kinds.len()];
                    let outcome = ask(kind, &directories, round, &record);
                    *outcomes.lock().unwrap().entry(outcome).or_insert(0) += 1;
                    round += 1;
                    sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Self { stop, threads, outcomes }
    }

    /// Waits for the last answers.
    pub fn finish(self) -> BTreeMap<Outcome, u64> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().ok();
        }
        self.outcomes.lock().unwrap().clone()
    }
}

/// The addresses that a directory names.
fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let request = format!(
        "GET /resolve?name={HOST}&region=region&zone={} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        ZONES[0]
    );
    let answer = call(directory, request.as_bytes(), Duration::from_secs(1));
    let body = answer.filter(|answer| answer.status() == 200).map(|answer| answer.body);
    let body = body.and_then(|body| Json::parse(&String::from_utf8_lossy(&body)));
    let Some(body) = body else { return Vec::new() };
    let addresses = body.list("addrs").iter().filter_map(|address| match address {
        Json::Str(text) => text.parse().ok(),
        _ => None,
    });
    addresses.collect()
}

fn ask(kind: &Kind, directories: &[SocketAddr], round: usize, record: &Record) -> Outcome {
    let found = (0..3).map(|step| resolve(directories[(round + step) % directories.len()]));
    let addresses = found.into_iter().find(|found| !found.is_empty()).unwrap_or_default();
    if addresses.is_empty() {
        record.line("client: no address");
        return Outcome::NoAnswer;
    }
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    let kind = &Kind { path: format!("{}{id}", kind.path), ..kind.clone() };
    let address = addresses[round % addresses.len()];
    let outcome = send(kind, &id, address, record);
    record.line(&format!("client: {id} {} {outcome:?} by {address}", kind.path));
    outcome
}

/// Sends one request on a new channel and reads the answer.
pub fn send(kind: &Kind, id: &str, address: SocketAddr, record: &Record) -> Outcome {
    record.line(&format!("client: sends {id} {} {} to {address}", kind.method, kind.path));
    let limit = Duration::from_millis(kind.deadline_ms);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Outcome::NoAnswer;
    };
    stream.set_read_timeout(Some(limit)).ok();
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n{}Content-Length: 0\r\n\r\n",
        kind.method, kind.path, kind.deadline_ms, kind.headers
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return Outcome::NoAnswer;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader) else { return Outcome::NoAnswer };
    if head.header("transfer-encoding").contains("chunked") {
        loop {
            match read_chunk(&mut reader) {
                Some(Some(_)) => {}
                Some(None) => return Outcome::Answered(head.status()),
                None => return Outcome::CutAnswer,
            }
        }
    }
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    match std::io::Read::read_exact(&mut reader, &mut body) {
        Ok(()) => Outcome::Answered(head.status()),
        Err(_) => Outcome::CutAnswer,
    }
}

/// The operator's configuration: streams to the model servers, and two routes to a plain service.
pub fn config(version: u64, service: &str, plain: &str) -> String {
    use crate::engines::{MODELS, SLOTS};
    let models = MODELS.iter().map(|model| {
        format!(
            r#"{{"name":"{}","size":{},"share":0.5,"pace":1.0,"loadS":{},"warmS":{}}}"#,
            model.name,
            model.size,
            model.load.as_secs_f64(),
            model.warm.as_secs_f64()
        )
    });
    let models: Vec<String> = models.collect();
    format!(
        r#"{{"version":{version},"routes":[
        {{"name":"r-stream","host":"{HOST}","prefix":"/lohu930/","kind":"streaming","timeoutMs":8000,"sloMs":400,"priority":1,"service":"{service}","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":300}},
        {{"name":"r-once","host":"{HOST}","prefix":"/puxa403/","kind":"non_idempotent","timeoutMs":3000,"sloMs":300,"priority":2,"service":"{plain}","maxAttempts":2,"public":false}},
        {{"name":"r-again","host":"{HOST}","prefix":"/cufi504/","kind":"idempotent","timeoutMs":3000,"sloMs":300,"priority":2,"service":"{plain}","maxAttempts":2,"public":false}}],
        "services":[{{"name":"{service}","healthPath":"/health","maxConns":378,"protocol":"h1","tls":false,"engine":{{"slots":{SLOTS},"kvCapacity":1860000,"tokenKvBytes":96256,"linkMbps":400000.0,"stride":5,"models":[{}],"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":5.0,"loads_at_once":7,"usual":{{"prompt":979,"answer":154}},"keeps":1,"far_x":2.5,"formMs":300.0}}}},
        {{"name":"{plain}","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
        "tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#,
        models.join(",")
    )
}
