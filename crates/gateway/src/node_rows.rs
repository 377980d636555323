//! Registration of this node in the list of nodes, and discovery of the other nodes.

use std::rc::Rc;

use comfreyturn_ports::NodeEntry;

use crate::Gateway;

impl Gateway {
    /// Registers this node, then polls the list for other nodes. Never returns. The list is only
    /// needed to find a node for the first time; after that its heartbeats are authoritative.
    pub(crate) async fn keep_node_rows(self: Rc<Self>) {
        let settings = &self.state.settings;
        let entry = NodeEntry {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            peer_address: self.identity.peer_address,
        };
        while let Err(error) = self.ports.nodes.announce(&entry).await {
            log::warn!(cause:% = error; "nodes: registration failed.");
            self.ports.clock.sleep(settings.feed_retry_pause).await;
        }
        loop {
            match self.ports.nodes.list().await {
                Ok(entries) => self.add_entries(entries),
                Err(error) => log::warn!(cause:% = error; "nodes: list not read."),
            }
            self.ports.clock.sleep(settings.node_period).await;
        }
    }

    fn add_entries(&self, entries: Vec<NodeEntry>) {
        let mut peers = self.state.peers.borrow_mut();
        for entry in entries {
            if entry.node != self.identity.node {
                peers.add_listed(entry.node, entry.incarnation, entry.peer_address);
            }
        }
    }
}
