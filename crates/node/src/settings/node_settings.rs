//! The settings of a node.

use std::{collections::BTreeSet, fs, net::SocketAddr, path::Path, time::Duration};

use comfreyturn_types::{CellName, FailureDomain, Incarnation, NodeId, RosterMember, VmId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{CallerSettings, SettingsError, SettingsResult, StoreSettings};

/// Smallest limit on the size of a request's head that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// The settings of a node.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The cell that the node belongs to.
    pub cell: CellName,

    /// The node's name, stable over restarts. Invariant: unique within the cell.
    pub node: NodeId,

    /// The VM that the node runs on, as the platform names it.
    pub vm: VmId,

    /// The failure domain that the VM is in.
    pub failure_domain: FailureDomain,

    /// Where callers connect.
    pub caller_address: SocketAddr,

    /// Where operators connect, and where metrics are read.
    pub operator_address: SocketAddr,

    /// Where peers connect. Invariant: no other process listens here, so that a successor that
    /// listens here proves that its predecessor has ended.
    pub peer_address: SocketAddr,

    /// Where the platform's table service and list of VMs are.
    pub platform_address: SocketAddr,

    /// Longest time from the stop signal to the end of the node, in milliseconds; absent means no
    /// limit. Requests that may take longer are refused.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "shutdown_limit_ms")]
    pub shutdown_limit: Option<Duration>,

    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub callers: CallerSettings,

    /// Throughput of the platform's weight store.
    #[serde(default)]
    pub weight_store: StoreSettings,
}

impl Default for NodeSettings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            cell: "cell".into(),
            node: "node-1".into(),
            vm: "vm-node-1".into(),
            failure_domain: "fd-1".into(),
            caller_address: loopback(8080),
            operator_address: loopback(8081),
            peer_address: loopback(8082),
            platform_address: loopback(9000),
            shutdown_limit: None,
            callers: CallerSettings::default(),
            weight_store: StoreSettings::default(),
        }
    }
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Names the file, the line and the key of the first error.
    pub fn read(path: &Path) -> SettingsResult<Self> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { file: file.clone(), source })?;
        Self::parse(&file, &text)
    }

    /// Reads and checks settings from `text`; errors name `file`.
    ///
    /// # Errors
    /// Names the line and the key of the first error.
    pub fn parse(file: &str, text: &str) -> SettingsResult<Self> {
        let settings: Self =
            serde_saphyr::from_str(text).map_err(|error| malformed(file, &error))?;
        match settings.fault() {
            None => Ok(settings),
            Some((key, reason)) => Err(SettingsError::Invalid {
                file: file.to_owned(),
                line: line_of(text, key),
                key,
                reason,
            }),
        }
    }

    /// This node as a member of the roster, with a new random incarnation.
    pub fn roster_member(&self) -> RosterMember {
        RosterMember {
            node: self.node.clone(),
            incarnation: Incarnation::random(),
            vm: self.vm.clone(),
            failure_domain: self.failure_domain.clone(),
            peer_address: self.peer_address,
            caller_address: self.caller_address,
            operator_address: self.operator_address,
        }
    }

    /// The first key whose value is out of range or conflicts with another, and the reason.
    fn fault(&self) -> Option<(&'static str, &'static str)> {
        let names = [
            ("cell", self.cell.as_str()),
            ("node", self.node.as_str()),
            ("vm", self.vm.as_str()),
            ("failure_domain", self.failure_domain.as_str()),
        ];
        if let Some((key, _)) = names.into_iter().find(|(_, name)| !is_plain_name(name)) {
            return Some((key, "must be 1 to 128 letters, digits, '-', '_' or '.'"));
        }
        let listeners = [self.caller_address, self.operator_address, self.peer_address];
        if BTreeSet::from(listeners).len() < listeners.len() {
            return Some(("peer_address", "the three listening addresses must differ"));
        }
        if listeners.iter().any(|address| address.ip().is_unspecified() || address.port() == 0) {
            return Some((
                "caller_address",
                "listening addresses need an IP number and a port that others can reach",
            ));
        }
        self.callers_fault().or_else(|| self.store_fault())
    }

    fn store_fault(&self) -> Option<(&'static str, &'static str)> {
        let store = &self.weight_store;
        if store.vm_bytes_per_second == 0 {
            return Some(("vm_bytes_per_second", "must be above zero"));
        }
        if store.store_bytes_per_second < store.vm_bytes_per_second {
            return Some(("store_bytes_per_second", "must be at least vm_bytes_per_second"));
        }
        None
    }

    fn callers_fault(&self) -> Option<(&'static str, &'static str)> {
        let callers = &self.callers;
        if callers.max_head_bytes < MIN_HEAD_BYTES {
            return Some(("max_head_bytes", "must be at least 8192"));
        }
        if callers.max_body_bytes == 0 {
            return Some(("max_body_bytes", "must be above zero"));
        }
        if callers.max_connections == 0 {
            return Some(("max_connections", "must be above zero"));
        }
        if callers.head_timeout.is_zero() {
            return Some(("head_timeout_ms", "must be above zero"));
        }
        if callers.body_timeout.is_zero() {
            return Some(("body_timeout_ms", "must be above zero"));
        }
        if callers.address_validity.is_zero() {
            return Some(("address_validity_ms", "must be above zero"));
        }
        if callers.default_max_tokens == 0 || callers.default_max_tokens > callers.max_tokens {
            return Some(("default_max_tokens", "must be from 1 to max_tokens"));
        }
        None
    }
}

fn malformed(file: &str, error: &serde_saphyr::Error) -> SettingsError {
    let line = error.location().map_or(0, |location| location.line());
    let text = error.to_string();
    let reason = text.lines().next().unwrap_or_default().to_owned();
    SettingsError::Malformed { file: file.to_owned(), line, reason }
}

fn line_of(text: &str, key: &str) -> u64 {
    let mut lines = (1u64..).zip(text.lines());
    let starts =
        |line: &str| line.trim_start().strip_prefix(key).is_some_and(|r| r.starts_with(':'));
    lines.find(|(_, line)| starts(line)).map_or(0, |(number, _)| number)
}

fn is_plain_name(name: &str) -> bool {
    const MAX_NAME_BYTES: usize = 128;
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(plain)
}
