//! Processes of the system and its stand-ins.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use serde_json::Value;

/// A process that is killed on drop.
pub struct OwnProcess {
    child: Child,
    stdout: Option<BufReader<ChildStdout>>,
}

impl OwnProcess {
    /// Starts a binary of this workspace.
    pub fn start(binary: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", binary.display()));
        let stdout = child.stdout.take().map(BufReader::new);
        Self { child, stdout }
    }

    /// Reads the one line of JSON that a process prints once it is ready.
    pub fn ready_line(&mut self) -> Value {
        let mut line = String::new();
        self.stdout.as_mut().unwrap().read_line(&mut line).unwrap();
        serde_json::from_str(&line).unwrap_or_else(|_| panic!("no ready line: {line:?}"))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().unwrap();
        assert!(status.success(), "signal {name} to {id}");
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended by itself. Returns whether it succeeded, or `None` after
    /// `limit`.
    pub fn ended_within(&mut self, limit: Duration) -> Option<bool> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status.success());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for OwnProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The operators' command line.
pub fn ctl_binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_comfreyturnctl"))
}

/// The node, which the workspace's build puts beside the operators' command line.
pub fn node_binary() -> PathBuf {
    let binary = ctl_binary().with_file_name("comfreyturn");
    assert!(binary.exists(), "build the workspace's binaries first: cargo build --bins");
    binary
}

/// Runs the operators' command line to its end.
pub fn run_ctl(arguments: &[&str]) -> Output {
    Command::new(ctl_binary()).args(arguments).stdin(Stdio::null()).output().unwrap()
}

/// A loopback address that is not in use, below the ephemeral ports: an outgoing connection could
/// take an ephemeral port before the server listens.
pub fn free_address() -> SocketAddr {
    const FIRST_PORT: u32 = 10_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(997);
    loop {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let port = u16::try_from(FIRST_PORT + offset).unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Waits until `check` returns a value. Panics after `limit`.
pub fn wait_for<T>(what: &str, limit: Duration, mut check: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + limit;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(Instant::now() < end, "{what}: not within {limit:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A new empty directory for a test.
pub fn scratch_directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).unwrap();
    directory
}
