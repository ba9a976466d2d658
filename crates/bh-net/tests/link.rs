//! Authentication of the link: frames without the key, replayed frames and damaged frames are refused.

use bh_net::link::LinkKey;
use bh_net::link::RawCodec;
use bytes::BytesMut;
use monoio_codec::Decoder;
use proptest::prelude::*;

/// A message authentication code is valid only for one frame, one sequence number, one direction and one connection.
#[test]
fn a_code_is_valid_once() {
    let shared = LinkKey::new(b"shared-key-shared-key-shared-key".to_vec());
    let connection_key = shared.derive(b"nonce-a", b"nonce-b", b"dialer to acceptor");
    let mac = connection_key.mac(5, b"frame");
    assert!(connection_key.verify(5, b"frame", &mac));
    assert!(
        !connection_key.verify(6, b"frame", &mac),
        "replayed under another sequence number"
    );
    assert!(!connection_key.verify(5, b"frane", &mac), "changed");
    assert!(
        !shared
            .derive(b"nonce-a", b"nonce-c", b"dialer to acceptor")
            .verify(5, b"frame", &mac),
        "another connection"
    );
    assert!(
        !shared
            .derive(b"nonce-a", b"nonce-b", b"acceptor to dialer")
            .verify(5, b"frame", &mac),
        "the other direction"
    );
    let other_key =
        LinkKey::new(b"another-key".to_vec()).derive(b"nonce-a", b"nonce-b", b"dialer to acceptor");
    assert!(!other_key.verify(5, b"frame", &mac), "another shared key");
    assert!(
        !connection_key.verify(5, b"frame", &mac[..8]),
        "a truncated code"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    /// Arbitrary bytes never crash the codec or the decoding of a frame.
    #[test]
    fn fuzz_arbitrary_frames(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        use prost::Message;
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = RawCodec::new().decode(&mut buffer);
        let _ = bh_protocol::wire::Frame::decode(&bytes[..]);
    }
}
