//! Request heads: an accepted head must state the length of the body in one way only, so that every HTTP implementation finds the
//! same end of the request.

use bh_net::http_server::Framing;
use bh_net::http_server::Limits;
use bh_net::http_server::check_head;
use bh_protocol::Code;
use proptest::prelude::*;
use rstest::rstest;

fn head(lines: &str) -> Vec<u8> {
    format!("POST / HTTP/1.1\r\nhost: x\r\n{lines}\r\n").into_bytes()
}

#[rstest]
#[case::none("", Ok(Framing::Length(0)))]
#[case::length("Content-Length: 12\r\n", Ok(Framing::Length(12)))]
#[case::chunks("Transfer-Encoding: Chunked\r\n", Ok(Framing::Chunked))]
#[case::both(
    "content-length: 1\r\ntransfer-encoding: chunked\r\n",
    Err(Code::AmbiguousLength)
)]
#[case::twice(
    "content-length: 1\r\ncontent-length: 1\r\n",
    Err(Code::AmbiguousLength)
)]
#[case::hidden("transfer-encoding: \x0bchunked\r\n", Err(Code::MalformedHead))]
#[case::identity("transfer-encoding: identity\r\n", Err(Code::AmbiguousLength))]
#[case::hex("content-length: 0x10\r\n", Err(Code::MalformedHead))]
#[case::empty("content-length:\r\n", Err(Code::MalformedHead))]
#[case::overflow(
    "content-length: 99999999999999999999999\r\n",
    Err(Code::MalformedHead)
)]
#[case::large("content-length: 9000000\r\n", Err(Code::BodyTooLarge))]
fn lengths(#[case] lines: &str, #[case] expected: Result<Framing, Code>) {
    assert_eq!(check_head(&head(lines), &Limits::new(1_000)), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    /// Arbitrary heads never crash the check, and an accepted head has at most one Content-Length.
    #[test]
    fn fuzz_heads(lines in "[a-z:\\-0-9 \r\n\0]{0,80}") {
        if check_head(&head(&lines), &Limits::new(1_000)).is_ok() {
            prop_assert!(lines.matches("content-length").count() <= 1);
        }
    }
}
