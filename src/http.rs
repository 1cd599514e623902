//! The subset of HTTP/1.1 that the protocols need, with bounded message sizes. Parsing
//! is incremental: a parser gets all bytes received so far and returns `None` until the
//! message is complete.

use crate::messages::{Reply, Request};
use std::io::Write;
use thiserror::Error;

/// The largest message head (request or status line with all headers), in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The limit that the protocol of users and workers sets on request bodies, in bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// The limit on request bodies between controllers, in bytes. Controllers forward
/// several worker heartbeats in one message.
pub const MAX_PEER_BODY_BYTES: usize = 4 * MAX_REQUEST_BODY_BYTES;
/// The limit on response bodies, in bytes. The protocol has no limit on responses to
/// watches; this limit bounds the memory that a response takes.
pub const MAX_RESPONSE_BODY_BYTES: usize = 6 * 1024 * 1024;

const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a message is rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum HttpError {
    /// The message violates the HTTP grammar.
    #[error("malformed message")]
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`].
    #[error("head too large")]
    HeadTooLarge,
    /// The body exceeds the limit for the kind of message.
    #[error("body too large")]
    BodyTooLarge,
    /// The transfer coding isn't `chunked`.
    #[error("transfer coding not supported")]
    UnsupportedTransferCoding,
}

impl HttpError {
    /// Returns the HTTP status of the response that rejects a request for this reason.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::UnsupportedTransferCoding => 501,
        }
    }
}

/// The parsed head of a message.
#[derive(Debug, PartialEq, Eq)]
struct Head {
    /// The three parts of the request line (method, path, version) or of the status line
    /// (version, status, reason phrase).
    start_line: [String; 3],
    content_length: Option<usize>,
    chunked: bool,
    /// Whether the sender closes the connection after this message.
    close: bool,
    /// Bytes of the head, with the empty line that ends it.
    size: usize,
}

fn find_bytes(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

/// Returns the position of `needle` within the first `limit` bytes, or `None` if more
/// bytes are needed. Returns `reason` as an error once the buffer holds
/// [`MAX_HEAD_BYTES`] bytes without `needle`.
fn find_or_reject(
    buffer: &[u8],
    needle: &[u8],
    limit: usize,
    reason: HttpError,
) -> Result<Option<usize>, HttpError> {
    match find_bytes(&buffer[..buffer.len().min(limit)], needle) {
        None if buffer.len() >= MAX_HEAD_BYTES => Err(reason),
        position => Ok(position),
    }
}

fn parse_head(buffer: &[u8]) -> Result<Option<Head>, HttpError> {
    let Some(end) = find_or_reject(buffer, HEAD_END, MAX_HEAD_BYTES, HttpError::HeadTooLarge)?
    else {
        return Ok(None);
    };
    let text = std::str::from_utf8(&buffer[..end]).map_err(|_| HttpError::Malformed)?;
    let mut lines = text.split("\r\n");
    let mut parts = lines.next().unwrap_or("").splitn(3, ' ');
    let mut next_part = || parts.next().unwrap_or("").to_string();
    let start_line = [next_part(), next_part(), next_part()];
    if start_line[0].is_empty() || start_line[1].is_empty() {
        return Err(HttpError::Malformed);
    }
    let mut head = Head {
        close: start_line[0] == "HTTP/1.0" || start_line[2] == "HTTP/1.0",
        start_line,
        content_length: None,
        chunked: false,
        size: end + HEAD_END.len(),
    };
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(HttpError::Malformed)?;
        apply_header(&mut head, name, value.trim())?;
    }
    // A message with both `Transfer-Encoding` and `Content-Length` permits request
    // smuggling.
    if head.chunked && head.content_length.is_some() {
        return Err(HttpError::Malformed);
    }
    Ok(Some(head))
}

fn apply_header(head: &mut Head, name: &str, value: &str) -> Result<(), HttpError> {
    if name.eq_ignore_ascii_case("content-length") {
        let length = parse_content_length(value)?;
        if head.content_length.is_some_and(|other| other != length) {
            return Err(HttpError::Malformed);
        }
        head.content_length = Some(length);
    } else if name.eq_ignore_ascii_case("transfer-encoding") {
        if !value.eq_ignore_ascii_case("chunked") {
            return Err(HttpError::UnsupportedTransferCoding);
        }
        head.chunked = true;
    } else if name.eq_ignore_ascii_case("connection") {
        head.close |= value.eq_ignore_ascii_case("close");
    }
    Ok(())
}

fn parse_content_length(value: &str) -> Result<usize, HttpError> {
    // `parse` would accept a sign, but the grammar allows digits only.
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::Malformed);
    }
    value.parse().map_err(|_| HttpError::BodyTooLarge)
}

struct Body {
    bytes: Vec<u8>,
    /// Bytes that the body took in the buffer, with its framing.
    size: usize,
}

/// Parses the body of a chunked message. Returns `None` until the buffer holds all of
/// the body.
fn parse_chunks(buffer: &[u8], max_body: usize) -> Result<Option<Body>, HttpError> {
    let mut bytes = Vec::new();
    let mut position = 0;
    loop {
        let rest = &buffer[position..];
        let Some(line) = find_or_reject(rest, LINE_END, MAX_HEAD_BYTES, HttpError::Malformed)?
        else {
            return Ok(None);
        };
        let chunk_size = parse_chunk_size(&rest[..line])?;
        if chunk_size > max_body || bytes.len() + chunk_size > max_body {
            return Err(HttpError::BodyTooLarge);
        }
        position += line + LINE_END.len();
        if chunk_size == 0 {
            let trailers = skip_trailers(&buffer[position..])?;
            return Ok(trailers.map(|size| Body {
                bytes,
                size: position + size,
            }));
        }
        let chunk_end = position + chunk_size;
        let next = chunk_end + LINE_END.len();
        if buffer.len() < next {
            return Ok(None);
        }
        if &buffer[chunk_end..next] != LINE_END {
            return Err(HttpError::Malformed);
        }
        bytes.extend_from_slice(&buffer[position..chunk_end]);
        position = next;
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let text = std::str::from_utf8(line).map_err(|_| HttpError::Malformed)?;
    let digits = text.split(';').next().unwrap_or("").trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(HttpError::Malformed);
    }
    usize::from_str_radix(digits, 16).map_err(|_| HttpError::BodyTooLarge)
}

/// Returns the size in bytes of the trailers, with the empty line that ends them.
/// Returns `None` until that line has been received.
fn skip_trailers(buffer: &[u8]) -> Result<Option<usize>, HttpError> {
    let mut position = 0;
    loop {
        let rest = &buffer[position..];
        let Some(line) = find_or_reject(rest, LINE_END, usize::MAX, HttpError::HeadTooLarge)?
        else {
            return Ok(None);
        };
        position += line + LINE_END.len();
        if line == 0 {
            return Ok(Some(position));
        }
    }
}

/// A complete message, with what its framing says about the connection.
#[derive(Debug)]
pub struct Parsed<T> {
    /// The request or response, without framing.
    pub message: T,
    /// Bytes of the buffer that the message took, head and framing included.
    pub size: usize,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
}

fn parse_body(
    head: &Head,
    buffer: &[u8],
    content_length: usize,
    max_body: usize,
) -> Result<Option<Body>, HttpError> {
    if head.chunked {
        let chunks = parse_chunks(&buffer[head.size..], max_body)?;
        return Ok(chunks.map(|body| Body {
            size: head.size + body.size,
            ..body
        }));
    }
    if content_length > max_body {
        return Err(HttpError::BodyTooLarge);
    }
    let size = head.size + content_length;
    if buffer.len() < size {
        return Ok(None);
    }
    let bytes = buffer[head.size..size].to_vec();
    Ok(Some(Body { bytes, size }))
}

/// A response received to a call of this process.
#[derive(Clone, Default, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The decoded body; empty if the message has none.
    pub body: Vec<u8>,
}

/// Parses a request whose body may have at most `max_body` bytes. Returns `None` while
/// `buffer` doesn't hold the whole request.
pub fn parse_request(buffer: &[u8], max_body: usize) -> Result<Option<Parsed<Request>>, HttpError> {
    let Some(head) = parse_head(buffer)? else {
        return Ok(None);
    };
    if !head.start_line[2].starts_with("HTTP/1.") || !head.start_line[1].starts_with('/') {
        return Err(HttpError::Malformed);
    }
    let content_length = head.content_length.unwrap_or(0);
    let Some(body) = parse_body(&head, buffer, content_length, max_body)? else {
        return Ok(None);
    };
    let [method, path, _] = head.start_line;
    Ok(Some(Parsed {
        message: Request {
            method,
            path,
            body: body.bytes,
        },
        size: body.size,
        close: head.close,
    }))
}

/// Parses a response. Returns `None` while `buffer` doesn't hold the whole response.
/// `is_closed` says that the sender has closed the connection, which ends a body
/// without a length.
pub fn parse_response(
    buffer: &[u8],
    is_closed: bool,
) -> Result<Option<Parsed<Response>>, HttpError> {
    let Some(head) = parse_head(buffer)? else {
        return Ok(None);
    };
    if !head.start_line[0].starts_with("HTTP/1.") {
        return Err(HttpError::Malformed);
    }
    let status: u16 = head.start_line[1]
        .parse()
        .map_err(|_| HttpError::Malformed)?;
    let has_no_body = status == 204 || status == 304 || (100..200).contains(&status);
    let content_length = match head.content_length {
        _ if has_no_body => 0,
        Some(length) => length,
        None if head.chunked => 0,
        None if is_closed => buffer.len() - head.size,
        None => return Ok(None),
    };
    let Some(body) = parse_body(&head, buffer, content_length, MAX_RESPONSE_BODY_BYTES)? else {
        return Ok(None);
    };
    Ok(Some(Parsed {
        message: Response {
            status,
            body: body.bytes,
        },
        size: body.size,
        close: head.close,
    }))
}

fn reason_phrase(status: u16) -> &'static str {
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

/// Appends a response to an output buffer. `close` announces that the connection is
/// closed after the response.
pub fn write_reply(output: &mut Vec<u8>, reply: &Reply, close: bool) {
    // Writing to a Vec cannot fail.
    let _ = write!(
        output,
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        reply.status,
        reason_phrase(reply.status),
        reply.body.len()
    );
    if let Some(seconds) = reply.retry_after_s {
        let _ = write!(output, "Retry-After: {seconds}\r\n");
    }
    if close {
        output.extend_from_slice(b"Connection: close\r\n");
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(&reply.body);
}

/// Appends a request to an output buffer.
pub fn write_request(output: &mut Vec<u8>, method: &str, path: &str, host: &str, body: &[u8]) {
    let _ = write!(
        output,
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !body.is_empty() {
        output.extend_from_slice(b"Content-Type: application/json\r\n");
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(body);
}
