//! Entering this node into the list of nodes, and reading the others there.

use std::rc::Rc;

use comfreyturn_ports::NodeEntry;

use crate::Gateway;

impl Gateway {
    /// Enters this node, then looks for others for ever. Nodes that speak are known by what they
    /// say; the list is only needed to find them first.
    pub(crate) async fn keep_node_rows(self: Rc<Self>) {
        let settings = &self.state.settings;
        let entry = NodeEntry {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            peer_address: self.identity.peer_address,
        };
        while let Err(error) = self.ports.nodes.announce(&entry).await {
            log::warn!(cause:% = error; "nodes: not entered.");
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
