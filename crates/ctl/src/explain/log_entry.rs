//! One log line of a node.

use std::collections::BTreeMap;

use chrono::DateTime;
use serde::Deserialize;
use serde_json::Value;

/// How a node writes the time of day.
const TIME_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.f %:z";

/// One log line of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Seconds: as the collector of the log put it before the line, or else the node's time of day
    /// since 1970.
    pub at: f64,

    /// The node.
    pub node: String,

    /// The level, such as `WARN`.
    pub level: String,

    /// What happened, with the part of the node before a colon.
    pub text: String,

    /// The fields, without the node's name.
    pub fields: BTreeMap<String, Value>,
}

/// A line as the nodes write it.
#[derive(Deserialize)]
struct JsonLine {
    timestamp: String,
    level: String,
    text: String,
    #[serde(default)]
    kv: BTreeMap<String, Value>,
}

impl LogEntry {
    /// A field as text; none if it is absent or empty.
    pub fn field(&self, name: &str) -> Option<String> {
        let text = match self.fields.get(name)? {
            Value::Null => return None,
            Value::String(text) => text.clone(),
            value => value.to_string(),
        };
        (!text.is_empty()).then_some(text)
    }
}

/// Reads a line; none if no node wrote it, or it is torn. A collector may put something before
/// the line: if that begins with a number, it is when the line came, in seconds.
pub fn parse_line(line: &str) -> Option<LogEntry> {
    let (before, json) = line.split_at(line.find('{')?);
    let JsonLine { timestamp, level, text, mut kv } = serde_json::from_str(json.trim_end()).ok()?;
    let node = kv.remove("node")?.as_str()?.to_owned();
    let collected_at = before.split_whitespace().next().and_then(|word| word.parse().ok());
    let at = match collected_at {
        Some(at) => at,
        None => seconds_of_day(&timestamp)?,
    };
    Some(LogEntry { at, node, level, text, fields: kv })
}

#[expect(clippy::cast_precision_loss, reason = "microseconds since 1970 fit into 53 bits")]
fn seconds_of_day(timestamp: &str) -> Option<f64> {
    let time = DateTime::parse_from_str(timestamp, TIME_FORMAT).ok()?;
    Some(time.timestamp_micros() as f64 / 1e6)
}
