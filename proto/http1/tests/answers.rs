//! Decoding of valid and invalid upstream responses, split at every position, and encoding of requests.

use bytes::BytesMut;
use http::{HeaderMap, HeaderValue, Method};
use lineroute_http1::{
    forward_headers, strip_hop_by_hop_headers, BodyDecoder, BodyEncoder, BodyPart, Forwarding, Framing,
    ParseError, RequestHead, ResponseDecoder, ResponseEvent,
};
use proptest::prelude::*;
use rstest::rstest;

/// Decodes a response in chunks of `chunk_size` bytes. Returns status, body, number of trailers, and whether the
/// connection is reusable.
fn read(
    method: Method,
    bytes: &[u8],
    chunk_size: usize,
    is_closed: bool,
) -> Result<(u16, Vec<u8>, usize, Option<bool>), ParseError> {
    let mut decoder = ResponseDecoder::new(method);
    let (mut input, mut status, mut body, mut trailers, mut end) = (BytesMut::new(), 0, Vec::new(), 0, None);
    let mut handle = |event| match event {
        ResponseEvent::Interim(_) => {}
        ResponseEvent::Head(head) => status = head.status.as_u16(),
        ResponseEvent::Data(data) => body.extend_from_slice(&data),
        ResponseEvent::Trailers(fields) => trailers = fields.len(),
        ResponseEvent::End { reusable } => end = Some(reusable),
    };
    for chunk in bytes.chunks(chunk_size) {
        input.extend_from_slice(chunk);
        while let Some(event) = decoder.next(&mut input)? {
            handle(event);
        }
    }
    if is_closed && !decoder.is_finished() {
        while let Some(event) = decoder.eof()? {
            handle(event);
        }
    }
    Ok((status, body, trailers, end))
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", 0, Some(true))]
#[case::none("HTTP/1.1 204 No Content\r\n\r\n", "", 0, Some(true))]
#[case::not_modified("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "", 0, Some(true))]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n",
    "hello",
    0,
    Some(true)
)]
#[case::trailers(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\nC: d\r\n\r\n",
    "hello",
    2,
    Some(true)
)]
#[case::connection_close(
    "HTTP/1.1 200 OK\r\nConnection: x, close\r\nContent-Length: 5\r\n\r\nhello",
    "hello",
    0,
    Some(false)
)]
#[case::http_1_0("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", 0, Some(false))]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", 0, Some(true))]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\nhello", "hello", 0, Some(false))]
fn a_response_is_decoded_however_it_is_split(
    #[case] text: &str,
    #[case] body: &str,
    #[case] trailers: usize,
    #[case] end: Option<bool>,
) {
    for chunk_size in 1..=text.len() {
        let (_, got, fields, reusable) =
            read(Method::GET, text.as_bytes(), chunk_size, true).expect("a valid response");
        assert_eq!((&got[..], fields, reusable), (body.as_bytes(), trailers, end), "chunk size {chunk_size}");
    }
}

#[test]
fn a_response_to_head_has_no_body_whatever_its_content_length() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(read(Method::HEAD, text, 7, false), Ok((200, Vec::new(), 0, Some(true))));
    // Bytes after a response make its connection unusable.
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n";
    assert_eq!(read(Method::GET, text, 1000, false), Ok((200, b"x".to_vec(), 0, Some(false))));
}

#[rstest]
#[case::content_length_and_chunked(
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    ParseError::InvalidLength
)]
#[case::two_lengths("Content-Length: 5\r\nContent-Length: 5\r\n\r\n", ParseError::InvalidLength)]
#[case::list_of_lengths("Content-Length: 5, 5\r\n\r\n", ParseError::InvalidLength)]
#[case::signed_length("Content-Length: +5\r\n\r\n", ParseError::InvalidLength)]
#[case::huge_length("Content-Length: 9999999999999999999\r\n\r\n", ParseError::InvalidLength)]
#[case::unsupported_coding("Transfer-Encoding: gzip, chunked\r\n\r\n", ParseError::UnsupportedTransferCoding)]
#[case::two_codings(
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::bare_lf("Content-Length: 5\n\r\nhello", ParseError::InvalidLineEnding)]
#[case::folded("A: b\r\n c\r\n\r\n", ParseError::FoldedHeader)]
#[case::missing_chunk_size("Transfer-Encoding: chunked\r\n\r\n\r\n", ParseError::InvalidChunkSize)]
#[case::signed_chunk_size("Transfer-Encoding: chunked\r\n\r\n+5\r\nhello", ParseError::InvalidChunkSize)]
#[case::huge_chunk_size(
    "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
    ParseError::InvalidChunkSize
)]
#[case::chunk_size_with_too_many_digits(
    "Transfer-Encoding: chunked\r\n\r\n00000000000000005\r\n",
    ParseError::InvalidChunkSize
)]
#[case::bare_lf_in_chunks("Transfer-Encoding: chunked\r\n\r\n5\nhello", ParseError::InvalidLineEnding)]
#[case::chunk_longer_than_its_size(
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello!",
    ParseError::InvalidChunkSize
)]
#[case::truncated_body("Content-Length: 5\r\n\r\nhell", ParseError::Truncated)]
#[case::truncated_chunked_body("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ParseError::Truncated)]
#[case::truncated_head("Content-Le", ParseError::Truncated)]
fn an_invalid_response_is_rejected_however_it_is_split(#[case] rest: &str, #[case] error: ParseError) {
    let text = format!("HTTP/1.1 200 OK\r\n{rest}");
    for chunk_size in 1..=text.len() {
        assert_eq!(
            read(Method::GET, text.as_bytes(), chunk_size, true),
            Err(error),
            "chunk size {chunk_size}"
        );
    }
}

#[test]
fn oversized_heads_and_other_protocols_are_rejected() {
    let many = format!("HTTP/1.1 200 OK\r\n{}\r\n", "A: b\r\n".repeat(101));
    assert_eq!(read(Method::GET, many.as_bytes(), 1000, true), Err(ParseError::HeadTooLong));
    let long = format!("HTTP/1.1 200 OK\r\nA: {}\r\n\r\n", "b".repeat(40_000));
    assert_eq!(read(Method::GET, long.as_bytes(), 1000, true), Err(ParseError::HeadTooLong));
    let interims = "HTTP/1.1 102 Processing\r\n\r\n".repeat(20);
    for text in ["HTTP/1.1 101 Switch\r\n\r\n", &interims, "SSH-2.0-x\r\n\r\n", "HTTP/1.1 999999 x\r\n\r\n"] {
        assert!(
            matches!(read(Method::GET, text.as_bytes(), 1000, true), Err(ParseError::InvalidHead(_))),
            "{text}"
        );
    }
}

#[test]
fn a_request_head_declares_its_body_length_exactly_once() {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("app"));
    headers.insert("content-length", HeaderValue::from_static("99"));
    let head = RequestHead { method: Method::PUT, target: "/a?b=c".into(), headers };
    let text = |framing| String::from_utf8(head.encode(framing).expect("a valid head")).expect("valid UTF-8");
    assert_eq!(
        text(Framing::Chunked),
        "PUT /a?b=c HTTP/1.1\r\nhost: app\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    assert!(text(Framing::Length(7)).ends_with("content-length: 7\r\n\r\n"));
    assert!(text(Framing::None).ends_with("content-length: 0\r\n\r\n"));
    assert!(head.encode(Framing::UntilClose).is_err());
    for target in ["", "a", "/a b", "/a\r\nX: y", "/\u{7f}", "/ä"] {
        assert!(
            RequestHead { target: target.into(), ..head.clone() }.encode(Framing::None).is_err(),
            "{target:?}"
        );
    }
}

#[test]
fn a_body_that_differs_from_its_declared_length_is_rejected() {
    let mut out = Vec::new();
    let mut encoder = BodyEncoder::new(Framing::Length(5));
    assert!(encoder.data(3, &mut out).is_ok() && encoder.end(None, &mut out).is_err());
    assert!(encoder.data(3, &mut out).is_err());
    assert!(encoder.data(2, &mut out).is_ok() && encoder.end(None, &mut out).is_ok() && out.is_empty());
    assert!(BodyEncoder::new(Framing::None).data(1, &mut out).is_err());
}

#[test]
fn hop_by_hop_fields_are_removed_and_the_proxys_fields_are_added() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Secret"),
        ("x-secret", "1"),
        ("keep-alive", "5"),
        ("te", "trailers"),
        ("upgrade", "h2c"),
        ("transfer-encoding", "chunked"),
        ("content-length", "5"),
        ("host", "shop"),
        ("x-forwarded-for", "192.0.2.1"),
        ("via", "1.0 old"),
        ("accept", "*/*"),
    ] {
        headers.append(name, HeaderValue::from_static(value));
    }
    let mut stripped = headers.clone();
    strip_hop_by_hop_headers(&mut stripped);
    let mut remaining: Vec<&str> = stripped.keys().map(|k| k.as_str()).collect();
    remaining.sort_unstable();
    assert_eq!(remaining, ["accept", "host", "via", "x-forwarded-for"]);
    let config =
        Forwarding { host: Some("up".into()), via: Some("n1".into()), x_forwarded: true, forwarded: true };
    forward_headers(&mut headers, &config, Some([203, 0, 113, 9].into()), "10.0.0.1:80");
    for (name, value) in [
        ("host", "up"),
        ("x-forwarded-for", "192.0.2.1, 203.0.113.9"),
        ("x-forwarded-host", "shop"),
        ("via", "1.0 old, 1.1 n1"),
        ("forwarded", "for=203.0.113.9;host=\"shop\";proto=http"),
    ] {
        assert_eq!(headers[name], value);
    }
    let mut none = HeaderMap::new();
    forward_headers(&mut none, &Forwarding::default(), None, "10.0.0.1:80");
    assert_eq!((none.len(), &none["host"]), (1, &HeaderValue::from_static("10.0.0.1:80")));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// The decoder recovers what the encoder wrote, however it is split, and consumes no byte of what follows.
    #[test]
    fn an_encoded_body_is_decoded_unchanged(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..12),
        chunk_size in 1..50usize,
        chunked in any::<bool>(),
    ) {
        let expected: Vec<u8> = chunks.concat();
        let framing = if chunked { Framing::Chunked } else { Framing::Length(expected.len() as u64) };
        let (mut encoder, mut wire) = (BodyEncoder::new(framing), Vec::new());
        for chunk in &chunks {
            let suffix = encoder.data(chunk.len(), &mut wire).expect("the declared length");
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(suffix);
        }
        encoder.end(None, &mut wire).expect("the declared length");
        wire.extend_from_slice(b"NEXT");
        let (mut decoder, mut input, mut body) = (BodyDecoder::new(framing, false), BytesMut::new(), Vec::new());
        for chunk in wire.chunks(chunk_size) {
            input.extend_from_slice(chunk);
            while let Some(part) = decoder.next(&mut input).expect("valid framing") {
                if let BodyPart::Data(data) = part {
                    body.extend_from_slice(&data);
                }
            }
        }
        prop_assert!(decoder.is_finished());
        prop_assert_eq!(body, expected);
        prop_assert_eq!(&input[..], b"NEXT");
    }

    /// Arbitrary bytes are decoded or rejected, without a panic, an endless loop, or invented content.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300), chunk_size in 1..40usize) {
        let mut text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        text.extend_from_slice(&bytes);
        if let Ok((_, body, ..)) = read(Method::GET, &text, chunk_size, true) {
            prop_assert!(body.len() <= bytes.len());
        }
        let _ = read(Method::GET, &bytes, chunk_size, true);
    }
}
