//! Answers of upstreams, well and badly framed, in every cut.

use bytes::BytesMut;
use http::{HeaderMap, HeaderValue, Method};
use lineroute_http1::{
    forward_headers, strip_hop_by_hop_headers, BodyDecoder, BodyEncoder, BodyPart, Forwarding, Framing,
    ParseError, RequestHead, ResponseDecoder, ResponseEvent,
};
use proptest::prelude::*;
use rstest::rstest;

/// All that an answer comes to, fed in pieces of that size: status, body, trailers, whether reusable.
fn read(
    method: Method,
    bytes: &[u8],
    cut: usize,
    ends: bool,
) -> Result<(u16, Vec<u8>, usize, Option<bool>), ParseError> {
    let mut incoming = ResponseDecoder::new(method);
    let (mut input, mut status, mut body, mut trailers, mut end) = (BytesMut::new(), 0, Vec::new(), 0, None);
    let mut take = |event| match event {
        ResponseEvent::Interim(_) => {}
        ResponseEvent::Head(head) => status = head.status.as_u16(),
        ResponseEvent::Data(data) => body.extend_from_slice(&data),
        ResponseEvent::Trailers(fields) => trailers = fields.len(),
        ResponseEvent::End { reusable } => end = Some(reusable),
    };
    for piece in bytes.chunks(cut) {
        input.extend_from_slice(piece);
        while let Some(event) = incoming.next(&mut input)? {
            take(event);
        }
    }
    if ends && !incoming.is_finished() {
        while let Some(event) = incoming.eof()? {
            take(event);
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
#[case::closes(
    "HTTP/1.1 200 OK\r\nConnection: x, close\r\nContent-Length: 5\r\n\r\nhello",
    "hello",
    0,
    Some(false)
)]
#[case::old("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", 0, Some(false))]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", 0, Some(true))]
#[case::until_end("HTTP/1.1 200 OK\r\n\r\nhello", "hello", 0, Some(false))]
fn an_answer_is_read_in_every_cut(
    #[case] text: &str,
    #[case] body: &str,
    #[case] trailers: usize,
    #[case] end: Option<bool>,
) {
    for cut in 1..=text.len() {
        let (_, got, fields, over) = read(Method::GET, text.as_bytes(), cut, true).expect("an answer");
        assert_eq!((&got[..], fields, over), (body.as_bytes(), trailers, end), "cut {cut}");
    }
}

#[test]
fn an_answer_to_head_has_no_body_whatever_it_says() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(read(Method::HEAD, text, 7, false), Ok((200, Vec::new(), 0, Some(true))));
    // What comes behind an answer makes its connection useless.
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n";
    assert_eq!(read(Method::GET, text, 1000, false), Ok((200, b"x".to_vec(), 0, Some(false))));
}

#[rstest]
#[case::both_lengths("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", ParseError::InvalidLength)]
#[case::two_lengths("Content-Length: 5\r\nContent-Length: 5\r\n\r\n", ParseError::InvalidLength)]
#[case::a_list_of_lengths("Content-Length: 5, 5\r\n\r\n", ParseError::InvalidLength)]
#[case::signed("Content-Length: +5\r\n\r\n", ParseError::InvalidLength)]
#[case::huge("Content-Length: 9999999999999999999\r\n\r\n", ParseError::InvalidLength)]
#[case::another_coding("Transfer-Encoding: gzip, chunked\r\n\r\n", ParseError::UnsupportedTransferCoding)]
#[case::two_codings(
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::bare_lf("Content-Length: 5\n\r\nhello", ParseError::InvalidLineEnding)]
#[case::folded("A: b\r\n c\r\n\r\n", ParseError::FoldedHeader)]
#[case::no_size("Transfer-Encoding: chunked\r\n\r\n\r\n", ParseError::InvalidChunkSize)]
#[case::signed_size("Transfer-Encoding: chunked\r\n\r\n+5\r\nhello", ParseError::InvalidChunkSize)]
#[case::huge_size("Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", ParseError::InvalidChunkSize)]
#[case::a_longer_size(
    "Transfer-Encoding: chunked\r\n\r\n00000000000000005\r\n",
    ParseError::InvalidChunkSize
)]
#[case::bare_lf_in_chunks("Transfer-Encoding: chunked\r\n\r\n5\nhello", ParseError::InvalidLineEnding)]
#[case::a_longer_chunk("Transfer-Encoding: chunked\r\n\r\n5\r\nhello!", ParseError::InvalidChunkSize)]
#[case::cut("Content-Length: 5\r\n\r\nhell", ParseError::Truncated)]
#[case::cut_in_a_chunk("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ParseError::Truncated)]
#[case::cut_before_the_head_ends("Content-Le", ParseError::Truncated)]
fn a_badly_framed_answer_is_a_fault_in_every_cut(#[case] rest: &str, #[case] fault: ParseError) {
    let text = format!("HTTP/1.1 200 OK\r\n{rest}");
    for cut in 1..=text.len() {
        assert_eq!(read(Method::GET, text.as_bytes(), cut, true), Err(fault), "cut {cut}");
    }
}

#[test]
fn heads_are_bounded_and_other_protocols_are_not_taken() {
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
fn a_head_goes_out_with_one_word_on_its_length() {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("app"));
    headers.insert("content-length", HeaderValue::from_static("99"));
    let head = RequestHead { method: Method::PUT, target: "/a?b=c".into(), headers };
    let text = |framing| String::from_utf8(head.encode(framing).expect("a head")).expect("text");
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
fn a_body_is_neither_longer_nor_shorter_than_was_stated() {
    let mut out = Vec::new();
    let mut encoder = BodyEncoder::new(Framing::Length(5));
    assert!(encoder.data(3, &mut out).is_ok() && encoder.end(None, &mut out).is_err());
    assert!(encoder.data(3, &mut out).is_err());
    assert!(encoder.data(2, &mut out).is_ok() && encoder.end(None, &mut out).is_ok() && out.is_empty());
    assert!(BodyEncoder::new(Framing::None).data(1, &mut out).is_err());
}

#[test]
fn fields_of_the_hop_end_here_and_the_proxys_own_are_added() {
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
    let mut bare = headers.clone();
    strip_hop_by_hop_headers(&mut bare);
    let mut left: Vec<&str> = bare.keys().map(|k| k.as_str()).collect();
    left.sort_unstable();
    assert_eq!(left, ["accept", "host", "via", "x-forwarded-for"]);
    let how =
        Forwarding { host: Some("up".into()), via: Some("n1".into()), x_forwarded: true, forwarded: true };
    forward_headers(&mut headers, &how, Some([203, 0, 113, 9].into()), "10.0.0.1:80");
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

    /// What the encoder writes the decoder reads, however it is cut; and no byte of what follows is taken.
    #[test]
    fn a_body_survives_framing(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..12),
        cut in 1..50usize,
        chunked in any::<bool>(),
    ) {
        let whole: Vec<u8> = chunks.concat();
        let framing = if chunked { Framing::Chunked } else { Framing::Length(whole.len() as u64) };
        let (mut encoder, mut wire) = (BodyEncoder::new(framing), Vec::new());
        for chunk in &chunks {
            let behind = encoder.data(chunk.len(), &mut wire).expect("as stated");
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(behind);
        }
        encoder.end(None, &mut wire).expect("as stated");
        wire.extend_from_slice(b"NEXT");
        let (mut decoder, mut input, mut body) = (BodyDecoder::new(framing, false), BytesMut::new(), Vec::new());
        for piece in wire.chunks(cut) {
            input.extend_from_slice(piece);
            while let Some(piece) = decoder.next(&mut input).expect("well framed") {
                if let BodyPart::Data(data) = piece {
                    body.extend_from_slice(&data);
                }
            }
        }
        prop_assert!(decoder.is_finished());
        prop_assert_eq!(body, whole);
        prop_assert_eq!(&input[..], b"NEXT");
    }

    /// Any bytes are read or refused: no panic, no endless loop, and nothing is made up.
    #[test]
    fn any_answer_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 1..40usize) {
        let mut text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        text.extend_from_slice(&bytes);
        if let Ok((_, body, ..)) = read(Method::GET, &text, cut, true) {
            prop_assert!(body.len() <= bytes.len());
        }
        let _ = read(Method::GET, &bytes, cut, true);
    }
}
