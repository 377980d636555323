//! The story of a request or of a time span, as text.

use std::collections::BTreeSet;
use std::fmt::Write;

use super::LogEntry;

/// How long before a request's first line and after its last one other lines may bear on it, in
/// seconds.
const CONTEXT_BEFORE_S: f64 = 3.0;
const CONTEXT_AFTER_S: f64 = 1.0;

/// Parts of a node whose lines tell what it believes.
const BELIEF_PARTS: [&str; 5] = ["config", "servers", "lease", "gateway", "node"];

/// The part that tells what the holder of the fleet's lease does.
const FLEET_PART: &str = "fleet";

/// What is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoryQuery {
    /// One request.
    pub request: Option<String>,

    /// Lines from this time on, in seconds as printed.
    pub from: Option<f64>,

    /// Lines up to this time, in seconds as printed.
    pub to: Option<f64>,
}

/// The story that a query asks for; none if no line fits. Entries must be in order of time.
///
/// The story of a request holds its own lines, and those that bear on it: what its nodes came to
/// believe, what befell its servers and their groups, and the state of the fleet before its end.
pub fn story_text(entries: &[LogEntry], query: &StoryQuery) -> Option<String> {
    let origin = entries.first()?.at;
    let in_span = |entry: &&LogEntry| {
        let at = entry.at - origin;
        query.from.is_none_or(|from| at >= from) && query.to.is_none_or(|to| at <= to)
    };
    let entries: Vec<&LogEntry> = entries.iter().filter(in_span).collect();
    let chosen = match &query.request {
        None => entries.iter().map(|entry| (*entry, true)).collect(),
        Some(request) => story_of(&entries, request),
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

/// The lines that bear on a request, each with whether it is the request's own.
fn story_of<'a>(entries: &[&'a LogEntry], request: &str) -> Vec<(&'a LogEntry, bool)> {
    let is_own = |entry: &LogEntry| entry.field("request").as_deref() == Some(request);
    let own: Vec<&LogEntry> = entries.iter().copied().filter(|entry| is_own(entry)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let context = StoryContext {
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
    let state = entries.iter().rev().find(|entry| is_state(entry) && entry.at <= last.at);
    let state = state.map(|entry| std::ptr::from_ref(*entry));
    let chosen = entries.iter().filter_map(|entry| {
        let own = is_own(entry);
        let bears = own
            || context.bears(entry, &groups)
            || state.is_some_and(|state| std::ptr::eq(state, *entry));
        bears.then_some((*entry, own))
    });
    chosen.collect()
}

/// What a request's own lines name.
struct StoryContext<'a> {
    from: f64,
    to: f64,
    nodes: BTreeSet<&'a str>,
    servers: BTreeSet<String>,
}

impl StoryContext<'_> {
    fn bears(&self, entry: &LogEntry, groups: &BTreeSet<String>) -> bool {
        if entry.at < self.from || entry.at > self.to || entry.fields.contains_key("request") {
            return false;
        }
        let part = part_of(entry);
        let own_belief = BELIEF_PARTS.contains(&part)
            && self.nodes.contains(entry.node.as_str())
            && !entry.fields.contains_key("server");
        let group = entry.field("group");
        own_belief || self.names_server(entry) || group.is_some_and(|group| groups.contains(&group))
    }

    fn names_server(&self, entry: &LogEntry) -> bool {
        entry.field("server").is_some_and(|server| self.servers.contains(&server))
    }
}

fn is_state(entry: &LogEntry) -> bool {
    part_of(entry) == FLEET_PART && entry.fields.contains_key("plan")
}

fn part_of(entry: &LogEntry) -> &str {
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
