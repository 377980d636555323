//! One log line of a node.

use std::collections::BTreeMap;

use chrono::DateTime;
use serde::Deserialize;
use serde_json::Value;

/// Format of the timestamps in nodes' log lines.
const TIME_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.f %:z";

/// One log line of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Time in seconds: the one that the log collector put before the line, or else the node's
    /// timestamp as seconds since 1970.
    pub at: f64,

    /// The node.
    pub node: String,

    /// The level, such as `WARN`.
    pub level: String,

    /// The message: the node's component, a colon, and the event.
    pub text: String,

    /// The fields, without the node's name.
    pub fields: BTreeMap<String, Value>,
}

/// The JSON of a log line.
#[derive(Deserialize)]
struct JsonLine {
    timestamp: String,
    level: String,
    text: String,
    #[serde(default)]
    kv: BTreeMap<String, Value>,
}

impl LogEntry {
    /// A field as text; `None` if it is absent or empty.
    pub fn field(&self, name: &str) -> Option<String> {
        let text = match self.fields.get(name)? {
            Value::Null => return None,
            Value::String(text) => text.clone(),
            value => value.to_string(),
        };
        (!text.is_empty()).then_some(text)
    }
}

/// Parses a line; `None` if it is truncated or not a node's. A log collector may put a prefix
/// before the line: if the prefix starts with a number, that is the line's time in seconds.
pub fn parse_line(line: &str) -> Option<LogEntry> {
    let (before, json) = line.split_at(line.find('{')?);
    let JsonLine { timestamp, level, text, mut kv } = serde_json::from_str(json.trim_end()).ok()?;
    let node = kv.remove("node")?.as_str()?.to_owned();
    let collected_at = before.split_whitespace().next().and_then(|word| word.parse().ok());
    let at = match collected_at {
        Some(at) => at,
        None => seconds_since_1970(&timestamp)?,
    };
    Some(LogEntry { at, node, level, text, fields: kv })
}

#[expect(clippy::cast_precision_loss, reason = "microseconds since 1970 fit into 53 bits")]
fn seconds_since_1970(timestamp: &str) -> Option<f64> {
    let time = DateTime::parse_from_str(timestamp, TIME_FORMAT).ok()?;
    Some(time.timestamp_micros() as f64 / 1e6)
}
