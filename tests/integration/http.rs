//! The HTTP parser on split, oversized and malformed input.

use lilacfork::http::{
    parse_request, parse_response, HttpError, Response, MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES,
};

const REQUEST: &[u8] = b"POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
const CHUNKED: &[u8] =
    b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nbod\r\n1\r\ny\r\n0\r\nT: v\r\n\r\n";

#[test]
fn a_request_is_whole_at_its_last_byte_and_not_before() {
    for (text, path) in [(REQUEST, "/v2/runs"), (CHUNKED, "/x")] {
        for n in 0..text.len() {
            assert!(
                parse_request(&text[..n], MAX_REQUEST_BODY_BYTES)
                    .unwrap()
                    .is_none(),
                "{n}"
            );
        }
        let mut longer = text.to_vec();
        longer.extend_from_slice(b"GET / HT");
        let parsed = parse_request(&longer, MAX_REQUEST_BODY_BYTES)
            .unwrap()
            .unwrap();
        assert_eq!(parsed.size, text.len());
        assert_eq!(parsed.message.path, path);
        assert_eq!(parsed.message.body, b"body");
        assert!(!parsed.close);
    }
}

/// Requests that break the protocol or exceed a limit, and what the parser reports.
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
fn what_is_broken_or_too_large_is_named() {
    for (text, error) in INVALID {
        let got =
            parse_request(text, MAX_REQUEST_BODY_BYTES).expect_err(&String::from_utf8_lossy(text));
        assert_eq!(got, *error, "{}", String::from_utf8_lossy(text));
    }
    let endless = vec![b'a'; MAX_HEAD_BYTES];
    assert_eq!(
        parse_request(&endless, MAX_REQUEST_BODY_BYTES).unwrap_err(),
        HttpError::HeadTooLarge
    );
    let big = format!(
        "POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        MAX_REQUEST_BODY_BYTES + 1
    );
    assert_eq!(
        parse_request(big.as_bytes(), MAX_REQUEST_BODY_BYTES).unwrap_err(),
        HttpError::BodyTooLarge
    );
}

#[test]
fn random_damage_never_panics() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..20_000 {
        let mut text = if rng.bool() { REQUEST } else { CHUNKED }.to_vec();
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(..text.len());
            match rng.u8(..3) {
                0 => text[at] = rng.u8(..),
                1 => text.truncate(at.max(1)),
                _ => text.insert(at, rng.u8(..)),
            }
        }
        if let Ok(Some(parsed)) = parse_request(&text, MAX_REQUEST_BODY_BYTES) {
            assert!(parsed.size <= text.len());
        }
        let _ = parse_response(&text, rng.bool());
    }
}

#[test]
fn responses_without_a_length_end_with_their_connection() {
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
