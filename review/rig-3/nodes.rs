//! Nodes: the project's own program, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    http::{answer_framing, read_body, read_head, reader},
    json::Json,
    util::{SIGKILL, end_with_parent, now_s, record, signal, sleep_ms},
};

/// The processes that were started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Whether the case is over, so that no process is started any more.
static IS_OVER: AtomicBool = AtomicBool::new(false);

/// Ends all processes when it is dropped.
pub struct ProcessGuard;

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        IS_OVER.store(true, Ordering::SeqCst);
        running.iter().for_each(|pid| signal(*pid, SIGKILL));
    }
}

pub struct NodeOptions {
    pub zone: &'static str,
    pub memory_mb: u64,
    pub is_first_start: bool,
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub memory_mb: u64,
    settings: String,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Mutex<Option<Child>>,
    is_first_start: Mutex<bool>,
}

/// A temporary folder of this case, removed at its end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("rig-3-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("RIG_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Ports that are free on an address, for TCP and UDP.
fn free_port(ip: Ipv4Addr) -> u16 {
    loop {
        let listener = TcpListener::bind(SocketAddrV4::new(ip, 0)).expect("a loopback address");
        let port = listener.local_addr().expect("bound").port();
        if port < 60_000 && UdpSocket::bind(SocketAddrV4::new(ip, port)).is_ok() {
            return port;
        }
    }
}

/// The command of the deploy file: the program and its arguments.
fn deploy_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("a command");
    let command = line.trim_start_matches("run = ").trim_matches('"');
    command.split(' ').map(str::to_owned).collect()
}

impl Node {
    pub fn new(
        number: usize,
        folder: &TempFolder,
        store: SocketAddr,
        bounds: &str,
        options: &NodeOptions,
    ) -> Arc<Self> {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, high.max(2), low, number as u8 + 1);
        let ports: Vec<u16> = (0..5).map(|_| free_port(ip)).collect();
        let at = |index: usize| SocketAddr::from((ip, ports[index]));
        let name = format!("edge-{}-{number}", options.zone);
        let NodeOptions { zone, memory_mb, is_first_start } = options;
        let settings = format!(
            "node: \"{name}\"\nrole: \"node\"\nmachineClass: \"edge\"\nserves:\n  - \"edge\"\n  - \
             \"registry\"\nip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"r\"\nlisten:\n  front: \
             \"{}\"\n  ready: \"{}\"\n  control: \"{}\"\n  directory: \"{}\"\nportRange:\n  - \
             {}\n  - {}\nseeds: []\nbootstrap: $FIRST\ninTolerance: false\nlimits:\n  cpuShare: \
             1.0\n  cores: 1\n  memoryMb: {memory_mb}\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: \
             0\ndataDir: null\ndiscovery: \"platform\"\nentry: \"registry\"\nheartbeatMs: \
             1200\nbounds:\n{bounds}provider:\n  addr: \"{store}\"\n  form: \"table\"\n  writesPerS: \
             400\n  readsPerS: 2000\n  txMs: 8.0\n  partitionWritesS: 150\n  rowBytes: 65536\n  \
             across: false\n  historyS: 20\n",
            at(0),
            at(1),
            at(2),
            at(3),
            ports[4],
            ports[4],
        );
        Arc::new(Self {
            settings_file: folder.0.join(format!("{name}.yaml")),
            log_file: folder.0.join(format!("{name}.log")),
            name,
            front: at(0),
            ready: at(1),
            directory: at(3),
            memory_mb: *memory_mb,
            settings,
            child: Mutex::new(None),
            is_first_start: Mutex::new(*is_first_start),
        })
    }

    pub fn start(&self) {
        let mut is_first = self.is_first_start.lock().unwrap();
        let text = self.settings.replace("$FIRST", &is_first.to_string());
        *is_first = false;
        File::create(&self.settings_file)
            .and_then(|mut file| file.write_all(text.as_bytes()))
            .expect("the settings can be written");
        let log = File::options().create(true).append(true).open(&self.log_file).expect("a log");
        let words = deploy_command();
        let mut command = Command::new(&words[0]);
        command
            .args(&words[1..])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("COMFREYTURN_CONFIG", &self.settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        // SAFETY: the call is allowed between fork and exec.
        unsafe { command.pre_exec(|| end_with_parent()) };
        let mut running = RUNNING.lock().unwrap();
        if IS_OVER.load(Ordering::SeqCst) {
            return;
        }
        let child = command.spawn().expect("the build of the deploy file");
        running.push(child.id());
        drop(running);
        record(&format!("{}: started, process {}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            signal(child.id(), SIGKILL);
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
            record(&format!("{}: killed", self.name));
        }
    }

    /// The memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/readiness").is_some_and(|(status, _)| status == 200)
    }

    /// Waits until the node is ready; whether it is.
    pub fn await_ready(&self, limit_s: f64) -> bool {
        let end = now_s() + limit_s;
        while now_s() < end {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// The addresses that the node names to callers.
    pub fn resolve(&self, zone: &str) -> Option<Vec<SocketAddr>> {
        let path = format!("/resolve?name=app.example&region=r&zone={zone}");
        let (status, body) = get(self.directory, &path)?;
        let Json::List(list) = Json::parse(&body)?.get("addrs")?.clone() else { return None };
        let addresses: Vec<SocketAddr> = list
            .iter()
            .filter_map(|entry| match entry {
                Json::Text(text) => text.parse().ok(),
                _ => None,
            })
            .collect();
        (status == 200 && !addresses.is_empty()).then_some(addresses)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A GET request on a new connection.
fn get(address: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = reader(&stream)?;
    let head = read_head(&mut reader)?;
    let (body, _) = read_body(&mut reader, answer_framing(&head, false), Duration::ZERO);
    Some((head.status(), body))
}
