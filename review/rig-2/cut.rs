//! Tells which process of the test has a connection, so that a stand-in can cut off one node.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    thread,
    time::Duration,
};

/// Looks for a socket so many times; the tables change while they are read.
const LOOKS: u32 = 20;

/// Which of these processes, all started by the test, has the socket with this address.
pub fn owner_of(peer: SocketAddr, pids: &[u32]) -> Option<u32> {
    for _ in 0..LOOKS {
        if let Some(pid) = pids.iter().find(|pid| belongs_to(**pid, peer)) {
            return Some(*pid);
        }
        thread::sleep(Duration::from_millis(1));
    }
    None
}

fn belongs_to(pid: u32, peer: SocketAddr) -> bool {
    let Some(inode) = socket_inode(peer) else { return false };
    let name = format!("socket:[{inode}]");
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let mut links = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    links.any(|link| link.to_string_lossy() == name)
}

fn socket_inode(peer: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = peer.ip() else { return None };
    let address = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), peer.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let found = lines.find(|fields| fields.get(1) == Some(&address.as_str()))?;
    found.get(9).map(|inode| (*inode).to_owned())
}
