//! The project's nodes, as separate processes.

use std::{
    fs, io,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{http::once, record::Record};

/// What the settings of all nodes have in common.
#[derive(Clone)]
pub struct Site {
    /// The root of the repository.
    pub root: PathBuf,

    /// A temporary folder.
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub record: Record,
}

/// A node's process; killed when dropped.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub ip: IpAddr,
    settings: PathBuf,
    child: Option<Child>,
    site: Site,
}

/// The command of the deploy file.
const RUN: [&str; 4] = ["target/release/comfreyturn", "platform", "--metrics", "9464"];

const PORTS: [u16; 6] = [8227, 8220, 8229, 8224, 9464, 7340];

/// A loopback address on which all ports of a node are free.
fn free_ip(index: usize) -> io::Result<IpAddr> {
    let pid = std::process::id() as usize;
    for attempt in 0..200 {
        let n = pid * 7 + index * 41 + attempt * 1009;
        let ip: IpAddr = format!("127.{}.{}.{}", 16 + n % 200, 1 + n / 200 % 250, 10 + index)
            .parse()
            .map_err(io::Error::other)?;
        if PORTS.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return Ok(ip);
        }
    }
    Err(io::Error::other("no free loopback address"))
}

impl Node {
    /// Writes the settings and starts the process.
    pub fn start(site: &Site, index: usize, zone: &str, bootstrap: bool) -> io::Result<Self> {
        let ip = free_ip(index)?;
        let at = |port| SocketAddr::new(ip, port);
        let name = format!("edge-{zone}-{index}");
        let settings = site.folder.join(format!("{name}.yaml"));
        let mut node = Self {
            name,
            zone: zone.to_owned(),
            front: at(8227),
            ready: at(8220),
            directory: at(8224),
            ip,
            settings,
            child: None,
            site: site.clone(),
        };
        node.write_settings(bootstrap)?;
        node.run()?;
        Ok(node)
    }

    pub fn write_settings(&self, bootstrap: bool) -> io::Result<()> {
        let Self { name, zone, ip, .. } = self;
        let text = format!(
            "node: \"{name}\"
role: \"node\"
machineClass: \"edge\"
serves:
  - \"edge\"
  - \"registry\"
ip: \"{ip}\"
zone: \"{zone}\"
region: \"hn\"
zones:
  hn-a: \"hn\"
  hn-b: \"hn\"
  hn-c: \"hn\"
listen:
  front: \"{ip}:8227\"
  ready: \"{ip}:8220\"
  control: \"{ip}:8229\"
  directory: \"{ip}:8224\"
portRange:
  - 7340
  - 7355
seeds: []
bootstrap: {bootstrap}
inTolerance: false
limits:
  cpuShare: 0.25
  cores: 1
  memoryMb: 260
  maxFds: 4200
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: \"platform\"
entry: \"registry\"
heartbeatMs: 1200
faultTolerance:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  addrReuseS: 2
  stableWindowMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  backMs: 250
  outerMs: 5000
  failClosed: true
  revokeMs: 5000
  retryRatio: 0.2
  retryWindowS: 10
  retrySlack: 105
  recoveryS: 12
  passMs: 120
  retryAfterS: 0
  stallMs: 4000
  requireFencing: true
  ceilingWindowS: 5
  ceilingOver: 1.1
  ttl_max_s: 5
provider:
  addr: \"{store}\"
  form: \"table\"
  writesPerS: 400
  readsPerS: 2000
  txMs: 8.0
  partitionWritesS: 150
  rowBytes: 65536
  across: false
  historyS: 20
  blobBytes: 8388608
  blobMs: 25.0
  blobMbS: 80.0
",
            store = self.site.store
        );
        fs::write(&self.settings, text)
    }

    pub fn run(&mut self) -> io::Result<()> {
        let log = fs::File::create(self.site.folder.join(format!("{}.log", self.name)))?;
        let mut command = Command::new(self.site.root.join(RUN[0]));
        command.args(&RUN[1..]);
        command.current_dir(&self.site.root);
        command.env_clear();
        command.env("COMFREYTURN_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        self.site.record.line(format!("node {} starts at {}", self.name, self.ip));
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        once(self.ready, "GET", "/readiness", &Vec::new(), b"", limit).status == 200
    }

    /// The process's end, if it has ended.
    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.site.record.line(format!("node {} is killed", self.name));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until all nodes say that they are ready.
pub fn await_ready(nodes: &[Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A temporary folder; removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("comfreyturn-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
