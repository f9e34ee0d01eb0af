//! Validation of client framing: requests with more than one interpretation are rejected.

use lineroute_http1::{FramingValidator, ParseError};
use proptest::prelude::*;
use rstest::rstest;

const VALID_REQUESTS: [&str; 6] = [
    "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
    "PUT /a HTTP/1.1\r\nHost:x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nA\r\n0123456789\r\n0\r\n\r\n",
    "PUT /a HTTP/1.1\r\ntransfer-encoding:CHUNKED\r\n\r\n0\r\nTrailer: \t x \r\n\r\n",
    "\r\nDELETE * HTTP/1.1\r\n\r\n",
    "POST / HTTP/1.0\r\nContent-Length: 0\r\n\r\n",
];

fn validate(text: &[u8], chunk_size: usize) -> Result<bool, ParseError> {
    let mut validator = FramingValidator::new();
    for chunk in text.chunks(chunk_size) {
        validator.feed(chunk)?;
    }
    Ok(validator.is_between_requests())
}

#[test]
fn pipelined_requests_pass_however_they_are_split() {
    let all = VALID_REQUESTS.concat();
    for chunk_size in 1..all.len() {
        assert_eq!(validate(all.as_bytes(), chunk_size), Ok(true), "chunk size {chunk_size}");
    }
    assert_eq!(validate(&all.as_bytes()[..all.len() - 1], 9), Ok(false));
}

#[rstest]
#[case::content_length_and_chunked(
    "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    ParseError::InvalidLength
)]
#[case::chunked_and_content_length(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
    ParseError::InvalidLength
)]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
    ParseError::InvalidLength
)]
#[case::list_of_lengths("POST / HTTP/1.1\r\nContent-Length: 5,5\r\n\r\n", ParseError::InvalidLength)]
#[case::signed_length("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", ParseError::InvalidLength)]
#[case::negative_length("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", ParseError::InvalidLength)]
#[case::hexadecimal_length("POST / HTTP/1.1\r\nContent-Length: 0x5\r\n\r\n", ParseError::InvalidLength)]
#[case::empty_length("POST / HTTP/1.1\r\nContent-Length: \r\n\r\n", ParseError::InvalidLength)]
#[case::length_overflow(
    "POST / HTTP/1.1\r\nContent-Length: 18446744073709551617\r\n\r\n",
    ParseError::InvalidLength
)]
#[case::unsupported_coding(
    "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::two_codings(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::repeated_coding(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::http_1_0_and_chunked(
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::space_before_the_colon(
    "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
    ParseError::InvalidHead("invalid field name")
)]
#[case::folded("POST / HTTP/1.1\r\nA: b\r\n Transfer-Encoding: chunked\r\n\r\n", ParseError::FoldedHeader)]
#[case::folded_first_header("POST / HTTP/1.1\r\n A: b\r\n\r\n", ParseError::FoldedHeader)]
#[case::bare_lf("POST / HTTP/1.1\r\nA: b\nContent-Length: 5\r\n\r\n", ParseError::InvalidLineEnding)]
#[case::bare_lf_after_the_request_line("GET / HTTP/1.1\n\n", ParseError::InvalidLineEnding)]
#[case::bare_cr("GET / HTTP/1.1\r\nA: b\rContent-Length: 5\r\n\r\n", ParseError::InvalidLineEnding)]
#[case::no_colon("GET / HTTP/1.1\r\nA b\r\n\r\n", ParseError::InvalidHead("field without a colon"))]
#[case::nul_byte("GET / HTTP/1.1\r\nA: b\0\r\n\r\n", ParseError::InvalidHead("invalid field value"))]
#[case::four_words("GET / x HTTP/1.1\r\n\r\n", ParseError::InvalidHead("invalid request line"))]
#[case::two_spaces("GET  / HTTP/1.1\r\n\r\n", ParseError::InvalidHead("invalid request line"))]
#[case::unsupported_version("GET / HTTP/2.0\r\n\r\n", ParseError::InvalidHead("invalid request line"))]
#[case::no_version("GET /\r\n\r\n", ParseError::InvalidHead("invalid request line"))]
#[case::two_empty_lines("\r\n\r\nGET / HTTP/1.1\r\n\r\n", ParseError::InvalidHead("invalid request line"))]
#[case::chunk_extension(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n",
    ParseError::ChunkExtension
)]
#[case::signed_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\n",
    ParseError::InvalidChunkSize
)]
#[case::spaced_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5 \r\n",
    ParseError::InvalidChunkSize
)]
#[case::prefixed_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\n",
    ParseError::InvalidChunkSize
)]
#[case::huge_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
    ParseError::InvalidChunkSize
)]
#[case::wrapping_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
    ParseError::InvalidChunkSize
)]
#[case::bare_lf_after_chunk_size(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello\r\n",
    ParseError::InvalidLineEnding
)]
#[case::chunk_too_short(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nhello\r\n0\r\n\r\n",
    ParseError::InvalidChunkSize
)]
#[case::chunk_too_long(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n",
    ParseError::InvalidChunkSize
)]
fn ambiguous_requests_are_rejected_however_they_are_split(#[case] text: &str, #[case] error: ParseError) {
    for chunk_size in 1..=text.len() {
        assert_eq!(validate(text.as_bytes(), chunk_size), Err(error), "chunk size {chunk_size}");
    }
    // It is also detected after a valid request.
    assert_eq!(validate((VALID_REQUESTS[2].to_owned() + text).as_bytes(), 11), Err(error));
}

#[test]
fn oversized_heads_are_rejected() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(40_000));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(200));
    let endless = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned() + &"0".repeat(1000);
    assert_eq!(validate(long.as_bytes(), 100), Err(ParseError::HeadTooLong));
    assert_eq!(validate(many.as_bytes(), 100), Err(ParseError::HeadTooLong));
    assert_eq!(validate(endless.as_bytes(), 100), Err(ParseError::InvalidChunkSize));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// The result does not depend on how the bytes are split.
    #[test]
    fn the_result_for_a_modified_request_does_not_depend_on_the_split(
        which in 0..VALID_REQUESTS.len(),
        at in 0..200usize,
        byte in any::<u8>(),
        chunk_size in 1..60usize,
    ) {
        let mut text = (VALID_REQUESTS[which].to_owned() + VALID_REQUESTS[0]).into_bytes();
        let at = at % text.len();
        text[at] = byte;
        prop_assert_eq!(validate(&text, chunk_size), validate(&text, text.len()));
    }
}
