//! Which process a connection comes from, so that a server can be cut off from one node only.

use std::fs;

/// Whether the process has a socket with this local port. Sockets of a process are found in `/proc`.
pub fn has_port(pid: u32, port: u16) -> bool {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let suffix = format!(":{port:04X}");
    let inodes: Vec<String> = table
        .lines()
        .skip(1)
        .filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let is_local = fields.get(1)?.ends_with(&suffix);
            is_local.then(|| format!("socket:[{}]", fields.get(9).unwrap_or(&"")))
        })
        .collect();
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    files.flatten().any(|file| {
        let target = fs::read_link(file.path()).unwrap_or_default();
        inodes.iter().any(|inode| target.as_os_str() == inode.as_str())
    })
}
