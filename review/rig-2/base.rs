//! JSON, HTTP and small helpers. Only the standard library is used.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A JSON value. Numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn get(&self, key: &str) -> Option<&J> {
        match self {
            J::Obj(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn str(&self) -> Option<&str> {
        match self {
            J::Str(text) => Some(text),
            _ => None,
        }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            J::Num(text) => text.parse().ok(),
            _ => None,
        }
    }
    pub fn f64(&self) -> Option<f64> {
        match self {
            J::Num(text) => text.parse().ok(),
            _ => None,
        }
    }
    pub fn arr(&self) -> &[J] {
        match self {
            J::Arr(items) => items,
            _ => &[],
        }
    }
    pub fn text(&self, key: &str) -> String {
        self.get(key).and_then(J::str).unwrap_or("").to_string()
    }
    pub fn num(&self, key: &str) -> u64 {
        self.get(key).and_then(J::u64).unwrap_or(0)
    }
    pub fn float(&self, key: &str) -> f64 {
        self.get(key).and_then(J::f64).unwrap_or(0.0)
    }
    pub fn write(&self, out: &mut String) {
        match self {
            J::Null => out.push_str("null"),
            J::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            J::Num(text) => out.push_str(text),
            J::Str(text) => quote(text, out),
            J::Arr(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            J::Obj(fields) => {
                out.push('{');
                for (i, (key, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    quote(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn quote(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

pub fn parse(text: &str) -> Option<J> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = parse_value(bytes, &mut at)?;
    skip_space(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn skip_space(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<J> {
    skip_space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(b, at);
                if b.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(J::Obj(fields));
                }
                let key = parse_string(b, at)?;
                skip_space(b, at);
                if b.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                fields.push((key, parse_value(b, at)?));
                skip_space(b, at);
                if b.get(*at) == Some(&b',') {
                    *at += 1;
                } else if b.get(*at) != Some(&b'}') {
                    return None;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(b, at);
                if b.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(J::Arr(items));
                }
                items.push(parse_value(b, at)?);
                skip_space(b, at);
                if b.get(*at) == Some(&b',') {
                    *at += 1;
                } else if b.get(*at) != Some(&b']') {
                    return None;
                }
            }
        }
        b'"' => parse_string(b, at).map(J::Str),
        b't' => literal(b, at, b"true", J::Bool(true)),
        b'f' => literal(b, at, b"false", J::Bool(false)),
        b'n' => literal(b, at, b"null", J::Null),
        _ => {
            let start = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[start..*at]).ok()?;
            text.parse::<f64>().ok()?;
            Some(J::Num(text.to_string()))
        }
    }
}

fn literal(b: &[u8], at: &mut usize, word: &[u8], value: J) -> Option<J> {
    if b[*at..].starts_with(word) {
        *at += word.len();
        Some(value)
    } else {
        None
    }
}

fn parse_string(b: &[u8], at: &mut usize) -> Option<String> {
    if b.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let c = *b.get(*at + 1)?;
                *at += 2;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?');
                        let mut buffer = [0; 4];
                        out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
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

// ---- HTTP ----

pub struct Req {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: String,
}

impl Req {
    pub fn json(&self) -> J {
        parse(&self.body).unwrap_or(J::Null)
    }
}

pub enum Answer {
    Reply(u16, String),
    /// The connection is closed without an answer.
    Close,
}

pub fn reply(status: u16, body: impl Into<String>) -> Answer {
    Answer::Reply(status, body.into())
}

/// Reads one message; returns its start line and its body.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    let mut chunk = [0u8; 16384];
    let mut head_end = None;
    let mut length = 0usize;
    loop {
        if head_end.is_none() {
            if let Some(position) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                head_end = Some(position + 4);
                let head = String::from_utf8_lossy(&buffer[..position]).to_string();
                for line in head.split("\r\n").skip(1) {
                    if let Some((name, value)) = line.split_once(':') {
                        if name.eq_ignore_ascii_case("content-length") {
                            length = value.trim().parse().ok()?;
                        }
                    }
                }
            }
        }
        if let Some(end) = head_end {
            if buffer.len() >= end + length {
                let head = String::from_utf8_lossy(&buffer[..end]).to_string();
                let body = String::from_utf8_lossy(&buffer[end..end + length]).to_string();
                buffer.drain(..end + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

fn serve_connection(mut stream: TcpStream, handler: &(dyn Fn(&Req) -> Answer + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer) {
        let mut parts = head.split("\r\n").next().unwrap_or("").split(' ');
        let method = parts.next().unwrap_or("").to_string();
        let target = parts.next().unwrap_or("").to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        let request = Req {
            method,
            path: path.to_string(),
            query,
            body,
        };
        let close = head.to_ascii_lowercase().contains("connection: close");
        match handler(&request) {
            Answer::Close => return,
            Answer::Reply(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{body}",
                    body.len(),
                    if close { "Connection: close\r\n" } else { "" },
                );
                if stream.write_all(text.as_bytes()).is_err() || close {
                    return;
                }
            }
        }
    }
}

/// Serves until `stop` is set, one thread for each connection.
pub fn serve(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    handler: Arc<dyn Fn(&Req) -> Answer + Send + Sync>,
) {
    let _ = listener.set_nonblocking(true);
    std::thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let handler = handler.clone();
                    std::thread::spawn(move || serve_connection(stream, &*handler));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

/// Sends one request on a connection of its own.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let address: SocketAddr = addr.parse().map_err(|_| "bad address".to_string())?;
    let began = Instant::now();
    let mut stream =
        TcpStream::connect_timeout(&address, timeout).map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let left = timeout
        .saturating_sub(began.elapsed())
        .max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: rig\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(text.as_bytes())
        .map_err(|error| error.to_string())?;
    let mut buffer = Vec::new();
    let (head, body) =
        read_message(&mut stream, &mut buffer).ok_or_else(|| "no answer".to_string())?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .ok_or_else(|| "no status".to_string())?;
    Ok((status, body))
}

// ---- record, time, ports ----

/// What was sent, answered and run, with seconds since the start.
pub struct Record {
    pub began: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record {
            began: Instant::now(),
            lines: Mutex::new(Vec::new()),
        })
    }
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }
    pub fn save(&self, path: &std::path::Path) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        let _ = std::fs::write(path, text);
    }
}

pub fn sleep_s(seconds: f64) {
    if seconds > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }
}

/// A free loopback address, below the ports that the system gives to outgoing
/// connections. It is free again when this returns.
pub fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let seed = std::process::id().wrapping_mul(2_654_435_761) >> 16;
    for _ in 0..2000 {
        let step = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 11_000 + (seed.wrapping_add(step * 7)) % 20_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("address").to_string();
        }
    }
    panic!("no free port");
}
