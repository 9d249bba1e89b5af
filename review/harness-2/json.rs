//! A small JSON reader and writer: enough for the bodies that the stand-ins exchange.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value. Numbers are integers; the system sends no others in the calls that are read here.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(i64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a value; `Null` if the text is not valid.
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at).unwrap_or(Json::Null)
    }

    /// The member of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(members) => members.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> i64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn is_true(&self) -> bool {
        *self == Json::Bool(true)
    }
}

/// Writes a string with quotes and escapes.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Number(n) => write!(f, "{n}"),
            Json::Text(text) => f.write_str(&quoted(text)),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Json::Object(members) => {
                let member = |(name, value): (&String, &Json)| format!("{}:{value}", quoted(name));
                let members: Vec<String> = members.iter().map(member).collect();
                write!(f, "{{{}}}", members.join(","))
            }
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn eat(bytes: &[u8], at: &mut usize, byte: u8) -> Option<()> {
    skip_space(bytes, at);
    (bytes.get(*at) == Some(&byte)).then(|| *at += 1)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => object(bytes, at),
        b'[' => list(bytes, at),
        b'"' => string(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => number(bytes, at),
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let found = bytes[*at..].starts_with(word.as_bytes());
    found.then(|| {
        *at += word.len();
        value
    })
}

fn number(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let start = *at;
    while bytes
        .get(*at)
        .is_some_and(|b| b"+-.eE0123456789".contains(b))
    {
        *at += 1;
    }
    let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
    let whole = text.parse::<i64>().ok();
    whole
        .or_else(|| text.parse::<f64>().ok().map(|n| n as i64))
        .map(Json::Number)
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    eat(bytes, at, b'"')?;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escape = *bytes.get(*at)?;
                *at += 1;
                match escape {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        out.extend_from_slice(c.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    eat(bytes, at, b'[')?;
    let mut items = Vec::new();
    if eat(bytes, at, b']').is_some() {
        return Some(Json::List(items));
    }
    loop {
        items.push(value(bytes, at)?);
        if eat(bytes, at, b']').is_some() {
            return Some(Json::List(items));
        }
        eat(bytes, at, b',')?;
    }
}

fn object(bytes: &[u8], at: &mut usize) -> Option<Json> {
    eat(bytes, at, b'{')?;
    let mut members = BTreeMap::new();
    if eat(bytes, at, b'}').is_some() {
        return Some(Json::Object(members));
    }
    loop {
        skip_space(bytes, at);
        let name = string(bytes, at)?;
        eat(bytes, at, b':')?;
        members.insert(name, value(bytes, at)?);
        if eat(bytes, at, b'}').is_some() {
            return Some(Json::Object(members));
        }
        eat(bytes, at, b',')?;
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk
            .iter()
            .enumerate()
            .fold(0u32, |n, (i, b)| n | u32::from(*b) << (16 - 8 * i));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Decodes standard Base64; characters that do not belong to it are left out.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for digit in text
        .bytes()
        .filter_map(|b| DIGITS.iter().position(|d| *d == b))
    {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}
