//! A whole site of separate processes: platform, engines, a plain service and nodes.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use comfreyturn_standin::{
    EngineRecords, PlainRecords,
    invariants::{CheckSettings, DeathRecord, RunRecords, check_promises},
};
use comfreyturn_types::VmId;
use serde_json::Value;

use super::{
    caller::CallerTrace,
    http::{self, HttpAnswer},
    process::{
        OwnProcess, ctl_binary, free_address, node_binary, run_ctl, scratch_directory, wait_for,
    },
    relay::OwnRelay,
};

/// Limit for starting and settling; generous for a busy machine, as it is not a guarantee of the
/// system.
pub const START_LIMIT: Duration = Duration::from_secs(90);

/// Key of the customer that [`Site::declare`] creates.
pub const CUSTOMER_KEY: &str = "key-of-norte";

/// A node with its addresses.
pub struct SiteNode {
    pub process: OwnProcess,
    pub settings: PathBuf,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,

    /// The relay between the node and the platform.
    pub to_platform: OwnRelay,
}

/// A stand-in with its address.
pub struct SiteServer {
    pub process: OwnProcess,
    pub address: SocketAddr,
    pub name: String,
}

/// A site of separate processes.
pub struct Site {
    pub platform: SiteServer,
    pub engines: Vec<SiteServer>,
    pub plain: SiteServer,
    pub nodes: Vec<SiteNode>,
}

/// How a site is laid out.
pub struct SiteLayout {
    pub name: &'static str,
    pub nodes: usize,
    pub engines: usize,
    pub engine_flags: &'static [&'static str],
    pub address_validity_ms: u64,
    pub shutdown_limit_ms: Option<u64>,
}

impl Default for SiteLayout {
    fn default() -> Self {
        Self {
            name: "site",
            nodes: 3,
            engines: 2,
            engine_flags: &[],
            address_validity_ms: 1000,
            shutdown_limit_ms: None,
        }
    }
}

impl Site {
    /// Starts all processes. Engines share one fabric domain.
    pub fn start(layout: &SiteLayout) -> Self {
        let platform = start_server("platform", &["platform", "--listen", "127.0.0.1:0"]);
        let address = platform.address.to_string();
        let engines = (1..=layout.engines)
            .map(|number| {
                let name = format!("vm-{number}");
                let mut flags = vec!["engine", "--listen", "127.0.0.1:0", "--platform", &address];
                flags.extend(["--vm", &name, "--fabric", "fabric-1"]);
                flags.extend(["--failure-domain", "fd-1"]);
                flags.extend(layout.engine_flags);
                start_server(&name, &flags)
            })
            .collect();
        let mut flags = vec!["plain", "--listen", "127.0.0.1:0", "--platform", &address];
        flags.extend(["--vm", "vm-plain", "--service", "certificates"]);
        let plain = start_server("vm-plain", &flags);
        let directory = scratch_directory(layout.name);
        let nodes = (1..=layout.nodes)
            .map(|number| {
                let path = directory.join(format!("node-{number}.yaml"));
                start_node(number, path, platform.address, layout)
            })
            .collect();
        Self { platform, engines, plain, nodes }
    }

    /// Runs the operators' command line against the first node.
    pub fn ctl(&self, arguments: &[&str]) -> std::process::Output {
        let address = self.nodes[0].operators.to_string();
        let mut all = vec!["--to", &address];
        all.extend(arguments);
        run_ctl(&all)
    }

    /// Runs a command until it succeeds: it may fail while nodes are still joining.
    pub fn ctl_ok(&self, arguments: &[&str]) -> String {
        wait_for(&arguments.join(" "), START_LIMIT, || {
            let output = self.ctl(arguments);
            let shown = String::from_utf8_lossy(&output.stderr).into_owned();
            if !output.status.success() {
                eprintln!("{}: {shown}", arguments.join(" "));
                return None;
            }
            Some(String::from_utf8_lossy(&output.stdout).into_owned())
        })
    }

    /// Waits until every node is on the roster and reachable.
    pub fn wait_for_roster(&self) {
        wait_for("whole roster", START_LIMIT, || {
            let status = self.status()?;
            let nodes = status["nodes"].as_array()?;
            let reachable = nodes.iter().filter(|node| node["reachable"] == true).count();
            (reachable == self.nodes.len()).then_some(())
        });
    }

    /// Checks the system's guarantees with the records of callers and of all stand-ins that still
    /// run.
    pub fn assert_promises(&self, traces: Vec<CallerTrace>, crashes: Vec<DeathRecord>) {
        let mut records = RunRecords { deaths: crashes, ..RunRecords::default() };
        records.calls.extend(traces.into_iter().flat_map(|trace| trace.calls));
        for engine in &self.engines {
            let Some(answer) = http::send(engine.address, "GET", "/control/records", &[], "")
            else {
                continue;
            };
            let engine_records: EngineRecords = serde_json::from_str(&answer.body).unwrap();
            assert_eq!(engine_records.foreign_output, 0, "{} got foreign output", engine.name);
            records.add_engine(&VmId::from(engine.name.as_str()), engine_records);
        }
        if let Some(answer) = http::send(self.plain.address, "GET", "/control/records", &[], "") {
            let plain_records: PlainRecords = serde_json::from_str(&answer.body).unwrap();
            records.add_plain(&VmId::from(self.plain.name.as_str()), plain_records);
        }
        let violations = check_promises(&records, &CheckSettings::default());
        assert!(violations.is_empty(), "promises broken: {violations:#?}");
    }

    /// Status of nodes, groups and VMs according to the first node.
    pub fn status(&self) -> Option<Value> {
        let output = self.ctl(&["status", "--json"]);
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Declares a model service with groups of two VMs, a plain service and a customer.
    pub fn declare(&self, groups: usize) {
        let groups = groups.to_string();
        self.ctl_ok(&[
            "create",
            "model-version",
            "large",
            "1",
            "--vms-per-group",
            "2",
            "--weight-bytes",
            "1000000",
        ]);
        self.ctl_ok(&[
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
        self.ctl_ok(&["create", "service", "certificates", "--plain"]);
        self.ctl_ok(&[
            "create",
            "customer",
            "norte",
            "--key",
            CUSTOMER_KEY,
            "--requests-per-second",
            "10000",
            "--tokens-per-second",
            "10000000",
        ]);
    }

    /// Waits until every node sees this number of whole groups.
    pub fn wait_for_groups(&self, groups: usize) {
        wait_for("whole groups", START_LIMIT, || {
            let whole = self.nodes.iter().filter(|node| {
                let address = node.operators.to_string();
                let output = run_ctl(&["--to", &address, "status", "--json"]);
                let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
                let serving = status["groups"].as_array().into_iter().flatten();
                serving.filter(|group| group["serving"] == true).count() == groups
            });
            (whole.count() == self.nodes.len()).then_some(())
        });
    }

    /// Waits until every node holds its share of the customer's limits.
    pub fn wait_until_admitted(&self) {
        for node in &self.nodes {
            wait_for("share of the limits", START_LIMIT, || {
                let answer = complete(node.callers, "warm up", 1, &[])?;
                (answer.status == 200).then_some(())
            });
        }
    }

    /// Starts a site and waits until this number of groups serves.
    pub fn start_serving(layout: &SiteLayout, groups: usize) -> Self {
        let site = Self::start(layout);
        site.wait_for_roster();
        site.declare(groups);
        site.wait_for_groups(groups);
        site.wait_until_admitted();
        site
    }
}

/// Requests the addresses to use from a node.
pub fn request_addresses(node: SocketAddr) -> Vec<SocketAddr> {
    let path = "/v1/addresses?service=assistant&customer=norte";
    let answer = http::send(node, "GET", path, &[], "").expect("an answer");
    let addresses = answer.json()["addresses"].as_array().expect("addresses").clone();
    addresses.iter().map(|address| address.as_str().unwrap().parse().unwrap()).collect()
}

/// Sends a completion request and reads its streamed answer.
pub fn complete(
    node: SocketAddr,
    prompt: &str,
    max_tokens: u32,
    headers: &[(&str, &str)],
) -> Option<HttpAnswer> {
    let bearer = format!("Bearer {CUSTOMER_KEY}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend(headers);
    let body = serde_json::json!({
        "model": "assistant", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
    });
    http::send(node, "POST", "/v1/completions", &all, &body.to_string())
}

/// Starts a stand-in and reads where it listens.
fn start_server(name: &str, flags: &[&str]) -> SiteServer {
    let mut arguments = vec!["standin"];
    arguments.extend(flags);
    let mut process = OwnProcess::start(&ctl_binary(), &arguments);
    let ready = process.ready_line();
    let address = ready["address"].as_str().unwrap_or_else(|| panic!("no address: {ready}"));
    SiteServer { address: address.parse().unwrap(), process, name: name.to_owned() }
}

/// Writes a node's settings and starts it.
fn start_node(number: usize, path: PathBuf, platform: SocketAddr, layout: &SiteLayout) -> SiteNode {
    let relay = OwnRelay::start(platform);
    let platform = relay.address;
    let (callers, operators, peers) = (free_address(), free_address(), free_address());
    let address_validity_ms = layout.address_validity_ms;
    let limit = layout.shutdown_limit_ms.map(|limit| format!("shutdown_limit_ms: {limit}\n"));
    let limit = limit.unwrap_or_default();
    let text = format!(
        "cell: test\nnode: node-{number}\nvm: vm-node-{number}\nfailure_domain: fd-{number}\n\
         caller_address: {callers}\noperator_address: {operators}\npeer_address: {peers}\n\
         platform_address: {platform}\n{limit}callers:\n  address_validity_ms: {address_validity_ms}\n"
    );
    fs::write(&path, text).unwrap();
    let process = run_node(&path);
    SiteNode { process, settings: path, callers, operators, peers, to_platform: relay }
}

/// Starts a node with an existing settings file.
pub fn run_node(settings: &std::path::Path) -> OwnProcess {
    OwnProcess::start(&node_binary(), &["--settings", settings.to_str().unwrap(), "--log", "warn"])
}
