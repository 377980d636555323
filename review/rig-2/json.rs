//! A small JSON reader and writer.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = read(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Json::Num(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }

    pub fn texts(&self, key: &str) -> Vec<String> {
        self.list(key)
            .into_iter()
            .filter_map(|entry| match entry {
                Json::Str(text) => Some(text),
                _ => None,
            })
            .collect()
    }
}

/// A JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn read(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(bytes, at);
                if *bytes.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Map(map));
                }
                let Json::Str(key) = read(bytes, at)? else { return None };
                skip(bytes, at);
                if *bytes.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                let value = read(bytes, at)?;
                map.insert(key, value);
                skip(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                if *bytes.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(read(bytes, at)?);
                skip(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Str(String::from_utf8_lossy(&out).into_owned()));
                    }
                    b'\\' => {
                        let c = *bytes.get(*at + 1)?;
                        *at += 2;
                        match c {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                *at += 4;
                                let c = char::from_u32(code).unwrap_or('?');
                                out.extend(c.to_string().bytes());
                            }
                            c => out.push(c),
                        }
                    }
                    c => {
                        out.push(c);
                        *at += 1;
                    }
                }
            }
        }
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while *at < bytes.len() && b"+-.eE0123456789".contains(&bytes[*at]) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Num)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let end = *at + word.len();
    if bytes.get(*at..end)? != word.as_bytes() {
        return None;
    }
    *at = end;
    Some(value)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
