//! A site for measurements: stand-ins on threads of this process, nodes as separate processes.
#![allow(
    dead_code,
    unused_imports,
    clippy::allow_attributes,
    reason = "each bench uses a part of it"
)]

mod echo_server;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use comfreyturn_standin::{EngineServer, EngineSettings, PlatformServer, PlatformSettings};
use comfreyturn_types::{FabricDomain, FailureDomain, VmId};
use compio::runtime::{Runtime, spawn};
use serde_json::Value;

pub use echo_server::EchoServer;

/// The customer that [`BenchSite::declare`] creates.
pub const CUSTOMER_KEY: &str = "key-of-bench";

/// Clock ticks per second in `/proc`.
const PROC_TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of a memory page in `/proc`.
const PAGE_BYTES: f64 = 4096.0;

/// A node process.
pub struct BenchNode {
    child: Child,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

/// Resources that a node has used since it started, and its present memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeUsage {
    pub cpu_seconds: f64,
    pub memory_bytes: f64,
    pub sent_bytes: f64,
    pub received_bytes: f64,
}

impl BenchNode {
    /// Reads the node's usage.
    pub fn usage(&self) -> NodeUsage {
        let directory = PathBuf::from(format!("/proc/{}", self.child.id()));
        let memory = fs::read_to_string(directory.join("statm")).expect("the node runs");
        let pages: f64 =
            memory.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or_default();
        let metrics = get(self.operators, "/metrics").unwrap_or_default();
        NodeUsage {
            cpu_seconds: cpu_seconds(directory.join("stat")),
            memory_bytes: pages * PAGE_BYTES,
            sent_bytes: metric(&metrics, "comfreyturn_control_bytes_total{direction=\"sent\"}"),
            received_bytes: metric(
                &metrics,
                "comfreyturn_control_bytes_total{direction=\"received\"}",
            ),
        }
    }
}

impl Drop for BenchNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A platform, engines and nodes.
pub struct BenchSite {
    pub platform: SocketAddr,
    pub nodes: Vec<BenchNode>,
    _stop: flume::Sender<()>,
}

impl BenchSite {
    /// Starts a site with this number of nodes and engines. Engines run on `threads` threads.
    pub fn start(
        name: &str,
        nodes: usize,
        engines: usize,
        threads: usize,
        engine: &EngineSettings,
    ) -> Self {
        let (stop, stopped) = flume::bounded(0);
        let platform = start_platform(stopped.clone());
        let engine = EngineSettings { platform: Some(platform), ..engine.clone() };
        let (ready, started) = flume::unbounded();
        for first in 0..threads {
            let numbers: Vec<usize> = (first..engines).step_by(threads).collect();
            let (engine, ready, stopped) = (engine.clone(), ready.clone(), stopped.clone());
            thread::spawn(move || run_engines(numbers, &engine, &ready, &stopped));
        }
        drop(ready);
        assert_eq!(started.iter().take(engines).count(), engines, "not all engines started");
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).expect("the directory of builds can be written");
        let nodes = (1..=nodes).map(|number| start_node(number, &directory, platform)).collect();
        Self { platform, nodes, _stop: stop }
    }

    /// Waits until every node is on the roster and reachable.
    pub fn wait_for_roster(&self) {
        self.wait_for("whole roster", |status| {
            let nodes = status["nodes"].as_array()?;
            let reachable = nodes.iter().filter(|node| node["reachable"] == true).count();
            (reachable == self.nodes.len()).then_some(())
        });
    }

    /// Waits until this number of groups serves.
    pub fn wait_for_groups(&self, groups: usize) {
        self.wait_for("whole groups", |status| {
            let listed = status["groups"].as_array()?;
            let serving = listed.iter().filter(|group| group["serving"] == true).count();
            (serving == groups).then_some(())
        });
    }

    /// Declares a service with this number of groups, and a customer.
    pub fn declare(&self, groups: usize, vms_per_group: usize) {
        let (groups, vms) = (groups.to_string(), vms_per_group.to_string());
        self.ctl(&[
            "create",
            "model-version",
            "large",
            "1",
            "--vms-per-group",
            &vms,
            "--weight-bytes",
            "1000",
        ]);
        self.ctl(&[
            "create",
            "service",
            "assistant",
            "--model",
            "large",
            "--model-version",
            "1",
            "--groups",
            &groups,
        ]);
        self.ctl(&[
            "create",
            "customer",
            "bench",
            "--key",
            CUSTOMER_KEY,
            "--requests-per-second",
            "1000000",
            "--tokens-per-second",
            "1000000000",
        ]);
    }

    /// Table reads and commits so far.
    pub fn table_calls(&self) -> (f64, f64) {
        let text = get(self.platform, "/records").unwrap_or_default();
        let records: Value = serde_json::from_str(&text).unwrap_or_default();
        let count = |name: &str| records[name].as_f64().unwrap_or_default();
        (count("reads"), count("commits"))
    }

    fn ctl(&self, arguments: &[&str]) {
        let output = Command::new(env!("CARGO_BIN_EXE_comfreyturnctl"))
            .args(["--to", &self.nodes[0].operators.to_string()])
            .args(arguments)
            .output()
            .expect("the command line runs");
        assert!(output.status.success(), "{arguments:?}: {output:?}");
    }

    fn wait_for(&self, what: &str, check: impl Fn(&Value) -> Option<()>) {
        const LIMIT: Duration = Duration::from_secs(600);
        const PAUSE: Duration = Duration::from_millis(250);
        let end = Instant::now() + LIMIT;
        loop {
            let output = Command::new(env!("CARGO_BIN_EXE_comfreyturnctl"))
                .args(["--to", &self.nodes[0].operators.to_string(), "status", "--json"])
                .output()
                .expect("the command line runs");
            let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            if check(&status).is_some() {
                return;
            }
            assert!(Instant::now() < end, "{what}: not within {LIMIT:?}");
            thread::sleep(PAUSE);
        }
    }
}

fn start_platform(stopped: flume::Receiver<()>) -> SocketAddr {
    let (ready, started) = flume::bounded(1);
    thread::spawn(move || {
        Runtime::new().expect("a runtime").block_on(async move {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = PlatformServer::bind(any, PlatformSettings::default()).await;
            let server = server.expect("the platform listens");
            let _ = ready.send(server.local_address());
            server.serve(stopped).await;
        });
    });
    started.recv().expect("the platform starts")
}

fn run_engines(
    numbers: Vec<usize>,
    settings: &EngineSettings,
    ready: &flume::Sender<()>,
    stopped: &flume::Receiver<()>,
) {
    const VMS_PER_FABRIC: usize = 64;
    const FAILURE_DOMAINS: usize = 3;
    Runtime::new().expect("a runtime").block_on(async {
        let mut servers = Vec::new();
        for number in numbers {
            let fabric = number / VMS_PER_FABRIC;
            let settings = EngineSettings {
                vm: VmId::from(format!("vm-{number}")),
                fabric_domain: FabricDomain::from(format!("fabric-{fabric}")),
                failure_domain: FailureDomain::from(format!("fd-{}", fabric % FAILURE_DOMAINS)),
                ..settings.clone()
            };
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = EngineServer::bind(any, settings).await.expect("the engine listens");
            servers.push(spawn(server.serve(stopped.clone())));
            let _ = ready.send(());
        }
        for server in servers {
            let _ = server.await;
        }
    });
}

fn start_node(number: usize, directory: &Path, platform: SocketAddr) -> BenchNode {
    let (callers, operators, peers) = (free_address(), free_address(), free_address());
    let domain = number % 3;
    let text = format!(
        "cell: bench\nnode: node-{number}\nvm: vm-node-{number}\nfailure_domain: fd-{domain}\n\
         caller_address: {callers}\noperator_address: {operators}\npeer_address: {peers}\n\
         platform_address: {platform}\n"
    );
    let path = directory.join(format!("node-{number}.yaml"));
    fs::write(&path, text).expect("the directory of builds can be written");
    let binary = Path::new(env!("CARGO_BIN_EXE_comfreyturnctl")).with_file_name("comfreyturn");
    let child = Command::new(binary)
        .args(["--log", "error", "--settings"])
        .arg(&path)
        .stdin(Stdio::null())
        .spawn()
        .expect("the node is built: cargo build --release --bins");
    BenchNode { child, callers, operators }
}

/// A loopback address that is not in use, below the ephemeral ports: an outgoing connection could
/// take an ephemeral port before the server listens.
fn free_address() -> SocketAddr {
    const FIRST_PORT: u32 = 10_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(997);
    loop {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let port = u16::try_from(FIRST_PORT + offset).expect("below 30000");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// User and system CPU time from a `stat` file of `/proc`.
fn cpu_seconds(stat: impl AsRef<Path>) -> f64 {
    const USER_AND_SYSTEM: [usize; 2] = [11, 12];
    let stat = fs::read_to_string(stat).expect("the process runs");
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = USER_AND_SYSTEM.iter().filter_map(|at| fields[*at].parse::<f64>().ok());
    ticks.sum::<f64>() / PROC_TICKS_PER_SECOND
}

/// Sends a GET request and returns the body.
fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned())
}

fn metric(metrics: &str, name: &str) -> f64 {
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_default()
}
