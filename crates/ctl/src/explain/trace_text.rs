//! Trace of a request or of a time span, as text.

use std::collections::BTreeSet;
use std::fmt::Write;

use super::LogEntry;

/// How long before a request's first line other lines count as related to it, in seconds.
const CONTEXT_BEFORE_S: f64 = 3.0;

/// How long after a request's last line other lines count as related to it, in seconds.
const CONTEXT_AFTER_S: f64 = 1.0;

/// Components of a node whose lines report its view of the system.
const VIEW_COMPONENTS: [&str; 5] = ["config", "servers", "lease", "gateway", "node"];

/// The component that logs the actions of the holder of the fleet's lease.
const FLEET_COMPONENT: &str = "fleet";

/// Selects the lines of a trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceQuery {
    /// Only one request and what is related to it.
    pub request: Option<String>,

    /// Lines from this time on, in seconds as printed.
    pub from: Option<f64>,

    /// Lines up to this time, in seconds as printed.
    pub to: Option<f64>,
}

/// The trace that a query selects; `None` if no line matches. Entries must be in order of time.
///
/// The trace of a request holds its own lines and related ones: changes in its nodes' view of the
/// system, events of its servers and their groups, and the last state of the fleet before the
/// request ended.
pub fn trace_text(entries: &[LogEntry], query: &TraceQuery) -> Option<String> {
    let origin = entries.first()?.at;
    let in_span = |entry: &&LogEntry| {
        let at = entry.at - origin;
        query.from.is_none_or(|from| at >= from) && query.to.is_none_or(|to| at <= to)
    };
    let entries: Vec<&LogEntry> = entries.iter().filter(in_span).collect();
    let chosen = match &query.request {
        None => entries.iter().map(|entry| (*entry, true)).collect(),
        Some(request) => related_entries(&entries, request),
    };
    if chosen.is_empty() {
        return None;
    }
    let mut text = String::new();
    for (entry, own) in chosen {
        text += &line(entry, origin, own && query.request.is_some());
    }
    Some(text)
}

/// The lines of a request and those related to it, each with whether it is the request's own.
fn related_entries<'a>(entries: &[&'a LogEntry], request: &str) -> Vec<(&'a LogEntry, bool)> {
    let is_own = |entry: &LogEntry| entry.field("request").as_deref() == Some(request);
    let own: Vec<&LogEntry> = entries.iter().copied().filter(|entry| is_own(entry)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let context = TraceContext {
        from: first.at - CONTEXT_BEFORE_S,
        to: last.at + CONTEXT_AFTER_S,
        nodes: own.iter().map(|entry| entry.node.as_str()).collect(),
        servers: own.iter().filter_map(|entry| entry.field("server")).collect(),
    };
    let groups: BTreeSet<String> = entries
        .iter()
        .filter(|entry| context.names_server(entry))
        .filter_map(|entry| entry.field("group"))
        .collect();
    let fleet_state =
        entries.iter().rev().find(|entry| is_fleet_state(entry) && entry.at <= last.at);
    let fleet_state = fleet_state.map(|entry| std::ptr::from_ref(*entry));
    let chosen = entries.iter().filter_map(|entry| {
        let own = is_own(entry);
        let related = own
            || context.is_related(entry, &groups)
            || fleet_state.is_some_and(|state| std::ptr::eq(state, *entry));
        related.then_some((*entry, own))
    });
    chosen.collect()
}

/// The time span, nodes and servers of a request's own lines.
struct TraceContext<'a> {
    from: f64,
    to: f64,
    nodes: BTreeSet<&'a str>,
    servers: BTreeSet<String>,
}

impl TraceContext<'_> {
    fn is_related(&self, entry: &LogEntry, groups: &BTreeSet<String>) -> bool {
        if entry.at < self.from || entry.at > self.to || entry.fields.contains_key("request") {
            return false;
        }
        let component = component_of(entry);
        let own_view = VIEW_COMPONENTS.contains(&component)
            && self.nodes.contains(entry.node.as_str())
            && !entry.fields.contains_key("server");
        let group = entry.field("group");
        own_view || self.names_server(entry) || group.is_some_and(|group| groups.contains(&group))
    }

    fn names_server(&self, entry: &LogEntry) -> bool {
        entry.field("server").is_some_and(|server| self.servers.contains(&server))
    }
}

fn is_fleet_state(entry: &LogEntry) -> bool {
    component_of(entry) == FLEET_COMPONENT && entry.fields.contains_key("plan")
}

fn component_of(entry: &LogEntry) -> &str {
    entry.text.split(':').next().unwrap_or_default()
}

fn line(entry: &LogEntry, origin: f64, own: bool) -> String {
    let mark = if own { '>' } else { ' ' };
    let mut line = format!("{mark} {:9.3} {:20} {}", entry.at - origin, entry.node, entry.text);
    for name in entry.fields.keys().filter(|name| name.as_str() != "request" || !own) {
        if let Some(value) = entry.field(name) {
            // Writing to a string cannot fail.
            let _ = write!(line, " {name}={value}");
        }
    }
    line.push('\n');
    line
}
