//! HTTP/1.1, as much as the protocols need: bounded and incremental. A parser
//! is fed whatever bytes have come and says whether a message is complete.

use crate::messages::{Reply, Request};
use thiserror::Error;

/// A request or status line with all headers may take this much.
pub const MAX_HEAD: usize = 16 * 1024;
/// The protocol's limit on request bodies.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// Controllers pass several reports on in one message.
pub const MAX_PEER_BODY: usize = 4 * MAX_REQUEST_BODY;
/// Watches have no limit of their own; this one guards memory.
pub const MAX_RESPONSE_BODY: usize = 6 * 1024 * 1024;

/// Why a message can't be taken.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum HttpError {
    /// It breaks the grammar.
    #[error("malformed message")]
    Malformed,
    /// Its head is larger than is taken.
    #[error("head too large")]
    HeadTooLarge,
    /// Its body is larger than is taken.
    #[error("body too large")]
    BodyTooLarge,
    /// It has a transfer coding that isn't supported.
    #[error("transfer coding not supported")]
    Coding,
}

impl HttpError {
    /// The status that tells a client what was wrong.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::Coding => 501,
        }
    }
}

/// A parsed head, before its body.
#[derive(Debug, PartialEq, Eq)]
struct Head {
    first: [String; 3],
    length: Option<usize>,
    chunked: bool,
    close: bool,
    size: usize,
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

fn parse_head(buf: &[u8]) -> Result<Option<Head>, HttpError> {
    let Some(end) = find(&buf[..buf.len().min(MAX_HEAD)], b"\r\n\r\n") else {
        return if buf.len() >= MAX_HEAD {
            Err(HttpError::HeadTooLarge)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&buf[..end]).map_err(|_| HttpError::Malformed)?;
    let mut lines = text.split("\r\n");
    let mut parts = lines.next().unwrap_or("").splitn(3, ' ');
    let mut part = || parts.next().unwrap_or("").to_string();
    let first = [part(), part(), part()];
    if first[0].is_empty() || first[1].is_empty() {
        return Err(HttpError::Malformed);
    }
    let mut head = Head {
        close: first[0] == "HTTP/1.0" || first[2] == "HTTP/1.0",
        first,
        length: None,
        chunked: false,
        size: end + 4,
    };
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(HttpError::Malformed)?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            // `parse` would take a sign; the grammar has digits alone.
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed);
            }
            let n = value.parse().map_err(|_| HttpError::BodyTooLarge)?;
            if head.length.is_some_and(|old| old != n) {
                return Err(HttpError::Malformed);
            }
            head.length = Some(n);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Coding);
            }
            head.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            head.close |= value.eq_ignore_ascii_case("close");
        }
    }
    // Both at once is how requests get smuggled.
    if head.chunked && head.length.is_some() {
        return Err(HttpError::Malformed);
    }
    Ok(Some(head))
}

/// The body of a chunked message and the bytes it took, once all is there.
fn parse_chunks(buf: &[u8], max: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let rest = &buf[at..];
        let Some(line) = find(&rest[..rest.len().min(MAX_HEAD)], b"\r\n") else {
            return if rest.len() >= MAX_HEAD {
                Err(HttpError::Malformed)
            } else {
                Ok(None)
            };
        };
        let text = std::str::from_utf8(&rest[..line]).map_err(|_| HttpError::Malformed)?;
        let digits = text.split(';').next().unwrap_or("").trim();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(HttpError::Malformed);
        }
        let n = usize::from_str_radix(digits, 16).map_err(|_| HttpError::BodyTooLarge)?;
        if n > max || body.len() + n > max {
            return Err(HttpError::BodyTooLarge);
        }
        at += line + 2;
        if n == 0 {
            // Trailers, if any, up to the empty line.
            loop {
                let rest = &buf[at..];
                let Some(line) = find(rest, b"\r\n") else {
                    return if rest.len() >= MAX_HEAD {
                        Err(HttpError::HeadTooLarge)
                    } else {
                        Ok(None)
                    };
                };
                at += line + 2;
                if line == 0 {
                    return Ok(Some((body, at)));
                }
            }
        }
        if buf.len() < at + n + 2 {
            return Ok(None);
        }
        if &buf[at + n..at + n + 2] != b"\r\n" {
            return Err(HttpError::Malformed);
        }
        body.extend_from_slice(&buf[at..at + n]);
        at += n + 2;
    }
}

/// A whole message, how many bytes it took, and whether the sender closes.
#[derive(Debug)]
pub struct Parsed<T> {
    /// The message itself.
    pub message: T,
    /// How many bytes it took.
    pub size: usize,
    /// The other side closes the connection after it.
    pub close: bool,
}

fn parse_body(
    head: &Head,
    buf: &[u8],
    length: usize,
    max: usize,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    if head.chunked {
        let chunks = parse_chunks(&buf[head.size..], max)?;
        return Ok(chunks.map(|(body, n)| (body, head.size + n)));
    }
    if length > max {
        return Err(HttpError::BodyTooLarge);
    }
    if buf.len() < head.size + length {
        return Ok(None);
    }
    let body = buf[head.size..head.size + length].to_vec();
    Ok(Some((body, head.size + length)))
}

/// A status and a body.
pub type Response = (u16, Vec<u8>);

/// A request, once `buf` holds all of it.
pub fn parse_request(buf: &[u8], max_body: usize) -> Result<Option<Parsed<Request>>, HttpError> {
    let Some(head) = parse_head(buf)? else {
        return Ok(None);
    };
    if !head.first[2].starts_with("HTTP/1.") || !head.first[1].starts_with('/') {
        return Err(HttpError::Malformed);
    }
    let Some((body, size)) = parse_body(&head, buf, head.length.unwrap_or(0), max_body)? else {
        return Ok(None);
    };
    let [method, path, _] = head.first;
    Ok(Some(Parsed {
        message: Request { method, path, body },
        size,
        close: head.close,
    }))
}

/// A response, once `buf` holds all of it. `ended`: the sender has closed, so
/// a body without a length is complete.
pub fn parse_response(buf: &[u8], ended: bool) -> Result<Option<Parsed<Response>>, HttpError> {
    let Some(head) = parse_head(buf)? else {
        return Ok(None);
    };
    if !head.first[0].starts_with("HTTP/1.") {
        return Err(HttpError::Malformed);
    }
    let status: u16 = head.first[1].parse().map_err(|_| HttpError::Malformed)?;
    let bodiless = status == 204 || status == 304 || (100..200).contains(&status);
    let length = match head.length {
        _ if bodiless => 0,
        Some(n) => n,
        None if head.chunked => 0,
        None if ended => buf.len() - head.size,
        None => return Ok(None),
    };
    let Some((body, size)) = parse_body(&head, buf, length, MAX_RESPONSE_BODY)? else {
        return Ok(None);
    };
    Ok(Some(Parsed {
        message: (status, body),
        size,
        close: head.close,
    }))
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

/// Appends a response.
pub fn write_reply(out: &mut Vec<u8>, reply: &Reply, close: bool) {
    use std::io::Write;
    // Writing to a Vec cannot fail.
    let _ = write!(
        out,
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        reply.status,
        reason(reply.status),
        reply.body.len()
    );
    if let Some(s) = reply.retry_after_s {
        let _ = write!(out, "Retry-After: {s}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&reply.body);
}

/// Appends a request.
pub fn write_request(out: &mut Vec<u8>, method: &str, path: &str, host: &str, body: &[u8]) {
    use std::io::Write;
    let _ = write!(
        out,
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !body.is_empty() {
        out.extend_from_slice(b"Content-Type: application/json\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}
