//! Tests of the HTTP parser with split, oversized and malformed input.

use lilacfork::http::{
    parse_request, parse_response, HttpError, Response, MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES,
};

const PLAIN_REQUEST: &[u8] = b"POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
const CHUNKED_REQUEST: &[u8] =
    b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nbod\r\n1\r\ny\r\n0\r\nT: v\r\n\r\n";

#[test]
fn request_is_parsed_only_after_its_last_byte() {
    for (text, path) in [(PLAIN_REQUEST, "/v2/runs"), (CHUNKED_REQUEST, "/x")] {
        for n in 0..text.len() {
            assert!(
                parse_request(&text[..n], MAX_REQUEST_BODY_BYTES)
                    .unwrap()
                    .is_none(),
                "{n} bytes"
            );
        }
        let mut input = text.to_vec();
        input.extend_from_slice(b"GET / HT");
        let parsed = parse_request(&input, MAX_REQUEST_BODY_BYTES)
            .unwrap()
            .unwrap();
        assert_eq!(parsed.size, text.len());
        assert_eq!(parsed.message.path, path);
        assert_eq!(parsed.message.body, b"body");
        assert!(!parsed.close);
    }
}

/// Requests that violate the protocol or exceed a limit, with the error that the parser returns.
const INVALID: &[(&[u8], HttpError)] = &[
    (b"\r\n\r\n", HttpError::Malformed),
    (b"GET\r\n\r\n", HttpError::Malformed),
    (b"GET / HTTP/2\r\n\r\n", HttpError::Malformed),
    (b"GET nowhere HTTP/1.1\r\n\r\n", HttpError::Malformed),
    (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", HttpError::Malformed),
    (
        b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        HttpError::Malformed,
    ),
    (
        b"GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
        HttpError::Malformed,
    ),
    (
        b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        HttpError::Malformed,
    ),
    (
        b"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        HttpError::Malformed,
    ),
    (
        b"GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        HttpError::BodyTooLarge,
    ),
    (
        b"GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        HttpError::UnsupportedTransferCoding,
    ),
    (
        b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        HttpError::Malformed,
    ),
    (
        b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
        HttpError::BodyTooLarge,
    ),
    (
        b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
        HttpError::Malformed,
    ),
    (b"GET /\xff HTTP/1.1\r\n\r\n", HttpError::Malformed),
];

#[test]
fn malformed_or_oversized_request_is_rejected_with_its_error() {
    for (text, error) in INVALID {
        let got =
            parse_request(text, MAX_REQUEST_BODY_BYTES).expect_err(&String::from_utf8_lossy(text));
        assert_eq!(got, *error, "{}", String::from_utf8_lossy(text));
    }
    let unterminated_head = vec![b'a'; MAX_HEAD_BYTES];
    assert_eq!(
        parse_request(&unterminated_head, MAX_REQUEST_BODY_BYTES).unwrap_err(),
        HttpError::HeadTooLarge
    );
    let oversized = format!(
        "POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        MAX_REQUEST_BODY_BYTES + 1
    );
    assert_eq!(
        parse_request(oversized.as_bytes(), MAX_REQUEST_BODY_BYTES).unwrap_err(),
        HttpError::BodyTooLarge
    );
}

#[test]
fn randomly_corrupted_messages_cause_no_panic() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..20_000 {
        let mut text = if rng.bool() {
            PLAIN_REQUEST
        } else {
            CHUNKED_REQUEST
        }
        .to_vec();
        for _ in 0..rng.usize(1..6) {
            let index = rng.usize(..text.len());
            match rng.u8(..3) {
                0 => text[index] = rng.u8(..),
                1 => text.truncate(index.max(1)),
                _ => text.insert(index, rng.u8(..)),
            }
        }
        if let Ok(Some(parsed)) = parse_request(&text, MAX_REQUEST_BODY_BYTES) {
            assert!(parsed.size <= text.len());
        }
        let _ = parse_response(&text, rng.bool());
    }
}

#[test]
fn response_without_length_ends_when_its_connection_closes() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n{}";
    assert!(parse_response(text, false).unwrap().is_none());
    let parsed = parse_response(text, true).unwrap().unwrap();
    let response = Response {
        status: 200,
        body: b"{}".to_vec(),
    };
    assert_eq!(parsed.message, response);
    let empty = parse_response(
        b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
        false,
    );
    let empty = empty.unwrap().unwrap();
    assert!(empty.close && empty.message.body.is_empty());
}
