//! What clients frame: one reading, or none.

use lineroute_http1::{FramingValidator, ParseError};
use proptest::prelude::*;
use rstest::rstest;

const GOOD: [&str; 6] = [
    "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
    "PUT /a HTTP/1.1\r\nHost:x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nA\r\n0123456789\r\n0\r\n\r\n",
    "PUT /a HTTP/1.1\r\ntransfer-encoding:CHUNKED\r\n\r\n0\r\nTrailer: \t x \r\n\r\n",
    "\r\nDELETE * HTTP/1.1\r\n\r\n",
    "POST / HTTP/1.0\r\nContent-Length: 0\r\n\r\n",
];

fn feed(text: &[u8], cut: usize) -> Result<bool, ParseError> {
    let mut screen = FramingValidator::new();
    for piece in text.chunks(cut) {
        screen.feed(piece)?;
    }
    Ok(screen.is_between_requests())
}

#[test]
fn requests_pass_in_every_cut_and_one_behind_the_other() {
    let all = GOOD.concat();
    for cut in 1..all.len() {
        assert_eq!(feed(all.as_bytes(), cut), Ok(true), "cut {cut}");
    }
    assert_eq!(feed(&all.as_bytes()[..all.len() - 1], 9), Ok(false));
}

#[rstest]
#[case::both(
    "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    ParseError::InvalidLength
)]
#[case::both_the_other_way(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
    ParseError::InvalidLength
)]
#[case::doubled(
    "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
    ParseError::InvalidLength
)]
#[case::listed("POST / HTTP/1.1\r\nContent-Length: 5,5\r\n\r\n", ParseError::InvalidLength)]
#[case::signed("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", ParseError::InvalidLength)]
#[case::negative("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", ParseError::InvalidLength)]
#[case::hexadecimal("POST / HTTP/1.1\r\nContent-Length: 0x5\r\n\r\n", ParseError::InvalidLength)]
#[case::empty_length("POST / HTTP/1.1\r\nContent-Length: \r\n\r\n", ParseError::InvalidLength)]
#[case::too_large(
    "POST / HTTP/1.1\r\nContent-Length: 18446744073709551617\r\n\r\n",
    ParseError::InvalidLength
)]
#[case::other_coding(
    "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::two_codings(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::doubled_coding(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::old_and_chunked(
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    ParseError::UnsupportedTransferCoding
)]
#[case::space_before_the_colon(
    "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
    ParseError::InvalidHead("a field's name")
)]
#[case::folded("POST / HTTP/1.1\r\nA: b\r\n Transfer-Encoding: chunked\r\n\r\n", ParseError::FoldedHeader)]
#[case::folded_first("POST / HTTP/1.1\r\n A: b\r\n\r\n", ParseError::FoldedHeader)]
#[case::bare_lf("POST / HTTP/1.1\r\nA: b\nContent-Length: 5\r\n\r\n", ParseError::InvalidLineEnding)]
#[case::bare_lf_at_the_first_line("GET / HTTP/1.1\n\n", ParseError::InvalidLineEnding)]
#[case::bare_cr("GET / HTTP/1.1\r\nA: b\rContent-Length: 5\r\n\r\n", ParseError::InvalidLineEnding)]
#[case::no_colon("GET / HTTP/1.1\r\nA b\r\n\r\n", ParseError::InvalidHead("a field without a colon"))]
#[case::a_zero_byte("GET / HTTP/1.1\r\nA: b\0\r\n\r\n", ParseError::InvalidHead("a field's value"))]
#[case::four_words("GET / x HTTP/1.1\r\n\r\n", ParseError::InvalidHead("the first line"))]
#[case::two_blanks("GET  / HTTP/1.1\r\n\r\n", ParseError::InvalidHead("the first line"))]
#[case::another_version("GET / HTTP/2.0\r\n\r\n", ParseError::InvalidHead("the first line"))]
#[case::no_version("GET /\r\n\r\n", ParseError::InvalidHead("the first line"))]
#[case::two_empty_lines("\r\n\r\nGET / HTTP/1.1\r\n\r\n", ParseError::InvalidHead("the first line"))]
#[case::extension(
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
#[case::chunk_and_lf(
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
fn what_can_be_read_in_two_ways_is_a_fault_in_every_cut(#[case] text: &str, #[case] fault: ParseError) {
    for cut in 1..=text.len() {
        assert_eq!(feed(text.as_bytes(), cut), Err(fault), "cut {cut}");
    }
    // Behind a good one it is found as well.
    assert_eq!(feed((GOOD[2].to_owned() + text).as_bytes(), 11), Err(fault));
}

#[test]
fn heads_are_bounded() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(40_000));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(200));
    let endless = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned() + &"0".repeat(1000);
    assert_eq!(feed(long.as_bytes(), 100), Err(ParseError::HeadTooLong));
    assert_eq!(feed(many.as_bytes(), 100), Err(ParseError::HeadTooLong));
    assert_eq!(feed(endless.as_bytes(), 100), Err(ParseError::InvalidChunkSize));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// The verdict does not depend on how the bytes are cut.
    #[test]
    fn a_changed_request_is_judged_the_same_in_every_cut(
        which in 0..GOOD.len(),
        at in 0..200usize,
        byte in any::<u8>(),
        cut in 1..60usize,
    ) {
        let mut text = (GOOD[which].to_owned() + GOOD[0]).into_bytes();
        let at = at % text.len();
        text[at] = byte;
        prop_assert_eq!(feed(&text, cut), feed(&text, text.len()));
    }
}
