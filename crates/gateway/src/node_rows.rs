//! Registration of this node in the list of nodes, and discovery of the other nodes.

use std::{rc::Rc, time::Duration};

use comfreyturn_ports::NodeEntry;

use crate::{Gateway, peer_table::PeerStatus};

/// The longest pause between two attempts to register, in multiples of the first one.
const LONGEST_BACKOFF: u32 = 16;

/// A registration that is younger than this when the platform's store is restored from an older
/// copy may be lost with it.
const RECENT_REGISTRATION: Duration = Duration::from_secs(60);

impl Gateway {
    /// Registers this node, finds the other nodes, and reads their list again only while it hears
    /// none of them. Never returns.
    ///
    /// A node reads the list after it has registered, so of two nodes the later one knows the
    /// earlier one and tells it of itself. At the first start of a deployment nothing can be read
    /// before; a node that restarts reads the list first and registers later.
    pub(crate) async fn keep_node_rows(self: Rc<Self>) {
        let settings = &self.state.settings;
        if !self.identity.first_start {
            self.read_node_rows().await;
            self.join();
        }
        self.ports.clock.sleep(self.join_delay()).await;
        self.register().await;
        let mut registered_at = self.ports.clock.now();
        let mut era = self.state.list_version().era;
        loop {
            let now = self.ports.clock.now();
            let newest_era = self.state.list_version().era;
            let is_recent = now.saturating_duration_since(registered_at) < RECENT_REGISTRATION;
            let known_era = std::mem::replace(&mut era, newest_era);
            if known_era != 0 && known_era != newest_era && is_recent {
                self.register().await;
                registered_at = now;
            }
            let timeouts = settings.peer_timeouts;
            let is_alone = self.state.view.borrow().peers.alive(now, timeouts).next().is_none();
            if is_alone {
                self.read_node_rows().await;
                self.join();
            }
            self.ports.clock.sleep(settings.node_period).await;
        }
    }

    /// The time by which this node spreads its first call, longer for smaller nodes.
    fn join_delay(&self) -> Duration {
        let (least, spread) = self.state.settings.join_delay;
        let slowness = 1000.0 / f64::from(self.identity.capacity.max(1));
        (least + spread.mul_f64(rand::random())).mul_f64(slowness)
    }

    async fn register(&self) {
        let Self { identity, ports, state } = self;
        let entry = NodeEntry {
            node: identity.node.clone(),
            incarnation: identity.incarnation,
            peer_address: identity.peer_address,
            caller_address: identity.caller_address,
            failure_domain: identity.failure_domain.clone(),
            capacity: identity.capacity,
        };
        let mut backoff = 1;
        while let Err(error) = ports.nodes.announce(&entry).await {
            log::warn!(cause:% = error; "nodes: registration failed.");
            let longest = state.settings.feed_retry_pause * backoff;
            ports.clock.sleep(longest.mul_f64(rand::random())).await;
            backoff = (backoff * 2).min(LONGEST_BACKOFF);
        }
    }

    async fn read_node_rows(&self) {
        match self.ports.nodes.list().await {
            Ok(entries) => self.add_entries(entries),
            Err(error) => log::warn!(cause:% = error; "nodes: list not read."),
        }
    }

    /// Begins to exchange datagrams.
    fn join(&self) {
        if self.state.joined_at.get().is_none() {
            let now = self.ports.clock.now();
            self.update_roster(now);
            self.state.joined_at.set(Some(now));
        }
    }

    fn add_entries(&self, entries: Vec<NodeEntry>) {
        let now = self.ports.clock.now();
        let mut view = self.state.view.borrow_mut();
        for entry in entries.into_iter().filter(|entry| entry.node != self.identity.node) {
            let status = PeerStatus {
                incarnation: entry.incarnation,
                peer_address: entry.peer_address,
                caller_address: entry.caller_address,
                failure_domain: entry.failure_domain,
                capacity: entry.capacity,
                ready: false,
                lease_fencing: 0,
            };
            view.peers.add_listed(now, entry.node, status);
        }
    }
}
