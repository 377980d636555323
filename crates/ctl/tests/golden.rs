//! Golden sessions: requests of callers and commands of operators, each session with its own lab.
//!
//! A session file holds requests and their answers. Lines of a request start with `> `, commands of
//! operators with `$ `. A line `? runs` counts the requests that all backend servers ran since the
//! previous `? runs`, or since the start. Lines that start with `< ` are the answers, with IDs, ports
//! and times normalised. `UPDATE_GOLDEN=1` rewrites the files.

mod support;

use std::{cell::Cell, fmt::Write as _, fs, net::SocketAddr, path::Path};

use serde_json::Value;
use similar::TextDiff;
use support::{
    http::{self, HttpAnswer},
    process::{OwnProcess, ctl_binary, run_ctl},
};

/// Headers that a session file records.
const SHOWN_HEADERS: [&str; 5] =
    ["allow", "content-type", "retry-after", "x-outcome", "connection"];

/// The lab that a session runs against.
struct SessionLab {
    callers: SocketAddr,
    operators: String,
    key: String,
    backends: Vec<SocketAddr>,
    runs: Cell<usize>,
    _process: OwnProcess,
}

impl SessionLab {
    fn start() -> Self {
        let mut process = OwnProcess::start(&ctl_binary(), &["lab", "--nodes", "1"]);
        let ready = process.ready_line();
        let text = |value: &Value| value.as_str().unwrap().to_owned();
        let backends = ready["backends"].as_array().unwrap();
        let backends = backends.iter().map(|address| text(address).parse().unwrap()).collect();
        let lab = Self {
            callers: text(&ready["callers"][0]).parse().unwrap(),
            operators: text(&ready["operators"][0]),
            key: text(&ready["customers"][0]["key"]),
            backends,
            runs: Cell::new(0),
            _process: process,
        };
        lab.new_runs();
        lab
    }

    /// Number of requests that backend servers ran since the previous call.
    fn new_runs(&self) -> usize {
        let records = |address: &SocketAddr| {
            let answer = http::send(*address, "GET", "/control/records", &[], "").unwrap();
            answer.json()["executions"].as_array().unwrap().len()
        };
        let runs: usize = self.backends.iter().map(records).sum();
        runs - self.runs.replace(runs)
    }

    fn substitute_key(&self, text: &str) -> String {
        text.replace("{KEY}", &self.key)
    }

    fn request(&self, lines: &[&str]) -> String {
        let (head, body) = match lines.iter().position(|line| line.is_empty()) {
            Some(gap) => (&lines[..gap], lines[gap + 1..].join("\n")),
            None => (lines, String::new()),
        };
        let body = body.strip_prefix("repeat:").map_or(body.clone(), repeated);
        let mut raw = format!("{}\r\nhost: test\r\nconnection: close\r\n", head[0]);
        for line in &head[1..] {
            let _ = write!(
                raw,
                "{}\r\n",
                line.strip_prefix("repeat:").map_or((*line).into(), repeated)
            );
        }
        if !head.iter().any(|line| line.starts_with("content-length")) && !body.is_empty() {
            let _ = write!(raw, "content-length: {}\r\n", body.len());
        }
        let raw = self.substitute_key(&format!("{raw}\r\n{body}"));
        match http::send_raw(self.callers, raw.as_bytes()) {
            Some(answer) => shown_answer(&answer),
            None => "connection closed\n".to_owned(),
        }
    }

    fn command(&self, line: &str) -> String {
        let line = self.substitute_key(line);
        let mut arguments: Vec<&str> = line.split_whitespace().collect();
        arguments.extend(["--to", &self.operators]);
        let output = run_ctl(&arguments);
        let code = output.status.code().unwrap_or(-1);
        let stdout = String::from_utf8_lossy(&output.stdout);
        let stderr = String::from_utf8_lossy(&output.stderr);
        format!("{stdout}{stderr}exit {code}\n")
    }
}

/// Expands `100 x` to a hundred times the letter `x`.
fn repeated(text: &str) -> String {
    let (count, letter) = text.split_once(' ').unwrap();
    letter.repeat(count.parse().unwrap())
}

fn shown_answer(answer: &HttpAnswer) -> String {
    let mut text = format!("{}\n", answer.status);
    for name in SHOWN_HEADERS {
        match answer.header(name) {
            Some(_) if name == "retry-after" => text.push_str("retry-after: <s>\n"),
            Some(value) => {
                let _ = writeln!(text, "{name}: {value}");
            }
            None => {}
        }
    }
    let _ = writeln!(text, "\n{}", answer.body.trim_end());
    text
}

/// Replaces what differs from run to run: IDs, addresses and retry times.
fn normalised(text: &str) -> String {
    let mut output = String::new();
    let mut rest = text;
    while let Some(letter) = rest.chars().next() {
        let word: &str =
            &rest[..rest.find(|c: char| !c.is_ascii_alphanumeric()).unwrap_or(rest.len())];
        if word.len() == 16 && word.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            output.push_str("<id>");
            rest = &rest[16..];
        } else if let Some(after) = rest.strip_prefix("127.0.0.1:") {
            output.push_str("<address>");
            rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
        } else if let Some(after) = rest.strip_prefix("\"retry_after_ms\":") {
            output.push_str("\"retry_after_ms\":<ms>");
            rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
        } else if word.is_empty() {
            output.push(letter);
            rest = &rest[letter.len_utf8()..];
        } else {
            output.push_str(word);
            rest = &rest[word.len()..];
        }
    }
    output
}

fn run_session(path: &Path) -> datatest_stable::Result<()> {
    let golden = fs::read_to_string(path)?;
    let lab = SessionLab::start();
    let mut output = String::new();
    let mut request = Vec::new();
    let input = golden.lines().filter(|line| !line.starts_with('<'));
    for line in input.chain([""]) {
        if let Some(part) = line.strip_prefix('>') {
            request.push(part.strip_prefix(' ').unwrap_or(part));
        } else if !request.is_empty() {
            push_answer(&mut output, &lab.request(&request));
            request.clear();
        }
        let _ = writeln!(output, "{line}");
        if line == "? runs" {
            push_answer(&mut output, &format!("{}\n", lab.new_runs()));
        }
        if let Some(command) = line.strip_prefix("$ ") {
            push_answer(&mut output, &lab.command(command));
        }
    }
    let output = format!("{}\n", output.trim_end());
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(path, &output)?;
        return Ok(());
    }
    if output == golden {
        return Ok(());
    }
    let diff = TextDiff::from_lines(&golden, &output);
    Err(format!("the session changed:\n{}", diff.unified_diff()).into())
}

fn push_answer(output: &mut String, answer: &str) {
    for line in normalised(answer).lines() {
        let _ = writeln!(output, "{}", format!("< {line}").trim_end());
    }
}

datatest_stable::harness! {
    { test = run_session, root = "../../tests/golden", pattern = r".*\.session$" },
}
