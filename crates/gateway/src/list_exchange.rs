//! Changes of the list of servers in the datagrams between nodes.

use std::time::Instant;

use comfreyturn_proto::peer;
use comfreyturn_types::{Incarnation, NodeId};
use prost::Message;

use crate::{
    Gateway, HeartbeatLoop, LogPosition,
    beat_codec::{decode_change, decode_version, encode_change, encode_version},
    peer_view::ListCursor,
};

/// Changes of the list of servers in a datagram.
const CHANGES_PER_DATAGRAM: usize = 128;

/// Bytes of the changes of the list in a datagram. UDP carries less than 64 KiB, and a datagram has
/// other content as well.
const CHANGE_BYTES_PER_DATAGRAM: usize = 24 * 1024;

impl HeartbeatLoop {
    /// The relay from which this relay gets the list, unless it reads the list itself.
    pub(crate) fn choose_list_source(&self, now: Instant) -> Option<NodeId> {
        let state = &self.gateway.state;
        if self.gateway.reads_list(now) {
            return None;
        }
        let view = state.view.borrow();
        view.list_source(now, state.settings.peer_timeouts, state.list_version())
    }

    /// Asks a node for changes; continues at the position in its log, if this node has one.
    pub(crate) fn list_request(&self, node: &NodeId) -> peer::ListRequest {
        let state = &self.gateway.state;
        let complete = state.list_version();
        let mut view = state.view.borrow_mut();
        let incarnation = view.peers.get(node).map(|record| record.status.incarnation);
        let current = view
            .list_cursor
            .as_ref()
            .filter(|cursor| cursor.node == *node && Some(cursor.incarnation) == incarnation);
        if current.is_none() {
            let position = LogPosition { complete, position: 0 };
            let incarnation = incarnation.unwrap_or(Incarnation(0));
            view.list_cursor = Some(ListCursor { node: node.clone(), incarnation, position });
        }
        let cursor = view.list_cursor.as_ref();
        let position = cursor.map(|cursor| cursor.position).unwrap_or_default();
        peer::ListRequest {
            complete: Some(encode_version(position.complete)),
            incarnation: incarnation.map_or(0, |incarnation| incarnation.0),
            position: position.position,
        }
    }

    /// The position of a relay that didn't ask for changes but has an older list than this node.
    pub(crate) fn missed_position(&self, relay: &NodeId) -> Option<LogPosition> {
        let state = &self.gateway.state;
        let complete = state.view.borrow().peers.get(relay)?.progress.list_version;
        (complete < state.list_version()).then_some(LogPosition { complete, position: 0 })
    }

    /// The position of a reader in this node's log.
    pub(crate) fn log_position(&self, request: &peer::ListRequest) -> LogPosition {
        let is_own = request.incarnation == self.gateway.identity.incarnation.0;
        LogPosition {
            complete: decode_version(request.complete.as_ref()),
            position: if is_own { request.position } else { 0 },
        }
    }

    /// The next changes for a reader, as many as a datagram holds.
    pub(crate) fn list_changes(&self, position: LogPosition) -> peer::ListChanges {
        let mut limit = CHANGES_PER_DATAGRAM;
        loop {
            let changes = self.encode_changes(position, limit);
            if limit == 1 || changes.encoded_len() <= CHANGE_BYTES_PER_DATAGRAM {
                return changes;
            }
            limit /= 2;
        }
    }

    fn encode_changes(&self, position: LogPosition, limit: usize) -> peer::ListChanges {
        let Gateway { identity, state, .. } = &*self.gateway;
        let slice = state.list_log.borrow().changes_after(position, limit);
        peer::ListChanges {
            incarnation: identity.incarnation.0,
            position: slice.position,
            complete: slice.complete.map(encode_version),
            has_hole: slice.has_hole,
            servers: slice.changes.iter().map(encode_change).collect(),
        }
    }

    /// Applies changes of the list. They include all changes since a version that this node has,
    /// whether it asked for them or not. `read_at` is when the sender's list was read from the
    /// platform.
    pub(crate) fn apply_changes(
        &self,
        now: Instant,
        node: &NodeId,
        changes: &peer::ListChanges,
        read_at: Option<Instant>,
    ) {
        let state = &self.gateway.state;
        let mut view = state.view.borrow_mut();
        let cursor = view
            .list_cursor
            .as_mut()
            .filter(|cursor| cursor.node == *node && cursor.incarnation.0 == changes.incarnation);
        if changes.has_hole {
            state.needs_whole_list.set(cursor.is_some());
            return;
        }
        if let Some(cursor) = cursor {
            cursor.position.position = cursor.position.position.max(changes.position);
        }
        let complete = changes.complete.as_ref().map(|version| decode_version(Some(version)));
        drop(view);
        let mut decoded = Vec::new();
        for message in &changes.servers {
            match decode_change(message) {
                Some(change) => decoded.push(change),
                None => log::warn!(server = message.vm; "servers: malformed entry from a node."),
            }
        }
        state.apply_listed(now, decoded, complete);
        if let (Some(_), Some(read_at)) = (complete, read_at) {
            state.record_list_read(read_at);
        }
    }
}
