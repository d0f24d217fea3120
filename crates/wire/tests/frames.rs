//! Tests of frames from untrusted peers and from peers of another build, and of proofs.

use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use ragwortrill_core::{number::Offset, process::Process};
use ragwortrill_wire::{
    Cause, Error, Frame, Hello, MAX_FRAME_BYTES, Proof, Role, Stream, VERSION, decode, encode,
};
use serde::{Deserialize, Serialize};
use test_case::test_case;

fn hello(host: &str, nonce: u128) -> Hello {
    Hello {
        version: VERSION,
        process: Process {
            host: host.parse().expect("the name is valid"),
            incarnation: 7,
        },
        data_centre: "east".parse().expect("the name is valid"),
        offset: Offset(3),
        hash: 0,
        nonce,
    }
}

fn samples() -> Vec<Vec<u8>> {
    let stream = Stream(9);
    let frames = [
        Frame::Hello(hello("a", 1)),
        Frame::Chunk {
            stream,
            bytes: vec![1; 300],
            last: true,
        },
        Frame::Abort {
            stream,
            cause: Cause::Gone,
        },
    ];
    frames
        .iter()
        .map(|frame| encode(frame).expect("the frame fits"))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic when a peer sends arbitrary bytes.
    #[test]
    fn arbitrary_bytes_are_refused_without_a_panic(bytes in vec(any::<u8>(), 0..400)) {
        let _ = decode(&bytes);
    }

    /// Guards against a panic when a frame has a wrong byte or is cut off.
    #[test]
    fn damaged_frames_are_refused_without_a_panic(
        sample in 0..3_usize,
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        length in any::<prop::sample::Index>(),
    ) {
        let mut bytes = samples().swap_remove(sample);
        let position = position.index(bytes.len());
        bytes[position] = byte;
        let length = length.index(bytes.len()) + 1;
        let _ = decode(&bytes[..length]);
    }
}

/// Guards against allocating a length that a frame announces but does not contain.
#[test_case(&[0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]; "an array")]
#[test_case(&[0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]; "bytes")]
#[test_case(&[0x7b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]; "text")]
#[test_case(&[0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]; "a map")]
fn an_announced_length_is_not_trusted(value: &[u8]) {
    let chunk = [&[0xa1, 0x65], &b"Chunk"[..], &[0xa1, 0x65], &b"bytes"[..]].concat();
    let frame = [&chunk, value].concat();
    assert!(matches!(decode(&frame), Err(Error::Malformed(_))));
}

/// Guards against sending or decoding frames above the size limit.
#[test]
fn a_large_frame_is_refused_on_both_sides() {
    let frame = Frame::Chunk {
        stream: Stream(1),
        bytes: vec![0; MAX_FRAME_BYTES],
        last: false,
    };
    assert!(matches!(encode(&frame), Err(Error::TooLarge(_))));
    let bytes = vec![0; MAX_FRAME_BYTES + 1];
    assert_eq!(decode(&bytes), Err(Error::TooLarge(MAX_FRAME_BYTES + 1)));
}

/// [`Frame`] of a newer build, whose `Credit` has an additional optional field.
#[derive(Deserialize, Serialize)]
enum NewerFrame {
    Credit {
        stream: Stream,
        bytes: u32,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        reason: Option<String>,
    },
}

/// Guards against a rolling upgrade that breaks links because a build can't read the other's
/// frames.
#[test]
fn a_frame_with_an_added_optional_field_is_read_by_both_builds() {
    let newer = NewerFrame::Credit {
        stream: Stream(4),
        bytes: 5,
        reason: Some("more".to_owned()),
    };
    let current = Frame::Credit {
        stream: Stream(4),
        bytes: 5,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&newer, &mut bytes).expect("the frame can be encoded");
    assert_eq!(decode(&bytes), Ok(current.clone()));
    let bytes = encode(&current).expect("the frame fits");
    let NewerFrame::Credit { bytes, reason, .. } =
        ciborium::from_reader(&bytes[..]).expect("the newer build reads the frame");
    assert_eq!((bytes, reason), (5, None));
}

/// Guards against a proof that is valid for another secret, side, process, version or nonce.
#[test]
fn a_proof_is_valid_for_its_link_only() {
    let (own, peer) = (hello("a", 1), hello("b", 2));
    let proof = Proof::new("secret", Role::Connector, &own, &peer);
    assert!(proof.is_valid("secret", Role::Connector, &own, &peer));
    assert!(!proof.is_valid("other", Role::Connector, &own, &peer));
    assert!(!proof.is_valid("secret", Role::Acceptor, &own, &peer));
    assert!(!proof.is_valid("secret", Role::Connector, &peer, &own));
    assert!(!proof.is_valid("secret", Role::Connector, &hello("c", 1), &peer));
    assert!(!proof.is_valid("secret", Role::Connector, &hello("a", 3), &peer));
    assert!(!proof.is_valid("secret", Role::Connector, &own, &hello("b", 3)));
    let newer = Hello {
        version: VERSION + 1,
        ..own
    };
    assert!(!proof.is_valid("secret", Role::Connector, &newer, &peer));
}
