//! Encoding and decoding of frames: size limit, protocol version, unknown kinds, malformed bytes.

use basilgw::ids::Revision;
use basilgw::peer::frame::{decode, decode_hello, encode};
use basilgw::peer::{Blob, ConfigFetch, ConfigPart, Frame, FrameError, FrameKind, Hello, PROTOCOL};
use basilgw::units::Bytes;
use proptest::prelude::*;

const BOUND: Bytes = Bytes(1000);

fn fetch() -> Frame {
    Frame::Fetch(ConfigFetch {
        revision: Revision(7),
    })
}

fn hello(protocol: u32) -> Frame {
    Frame::Hello(Hello {
        protocol,
        vm: "vm-1".parse().unwrap(),
        generation: basilgw::ids::Generation(3),
        centre: "dc-1".parse().unwrap(),
        revision: Revision(7),
    })
}

#[test]
fn a_frame_survives_the_way_there() {
    let bytes = encode(&fetch(), BOUND).unwrap();
    assert_eq!(decode(&bytes, BOUND), Ok(fetch()));
}

#[test]
fn every_kind_has_the_name_it_has_on_the_wire() {
    for kind in FrameKind::ALL {
        let body = std::collections::BTreeMap::from([(kind.as_str(), 0)]);
        let mut bytes = Vec::new();
        ciborium::into_writer(&body, &mut bytes).unwrap();
        // Content of the wrong type under a known kind is malformed; the kind is not unknown.
        assert_eq!(decode(&bytes, BOUND), Err(FrameError::Malformed), "{kind}");
    }
}

#[test]
fn an_unknown_kind_is_named() {
    let mut bytes = Vec::new();
    let body = std::collections::BTreeMap::from([("novel", [1, 2, 3])]);
    ciborium::into_writer(&body, &mut bytes).unwrap();
    let error = decode(&bytes, BOUND);
    assert_eq!(error, Err(FrameError::UnknownKind("novel".into())));
}

#[test]
fn a_frame_beyond_the_bound_is_refused_both_ways() {
    let big = Frame::Config(ConfigPart {
        revision: Revision(1),
        part: 0,
        parts: 1,
        bytes: Blob(vec![200; 2000].into()),
    });
    let bytes = encode(&big, Bytes(10_000)).unwrap();
    assert!(matches!(
        encode(&big, BOUND),
        Err(FrameError::TooLarge { .. })
    ));
    assert!(matches!(
        decode(&bytes, BOUND),
        Err(FrameError::TooLarge { .. })
    ));
}

#[test]
fn a_part_takes_hardly_more_than_its_bytes() {
    let part = |bytes: Vec<u8>| {
        Frame::Config(ConfigPart {
            revision: Revision(1),
            part: 0,
            parts: 1,
            bytes: Blob(bytes.into()),
        })
    };
    let bytes = encode(&part(vec![200; 900]), BOUND).unwrap();
    assert!(bytes.len() < 950, "{}", bytes.len());
    assert_eq!(decode(&bytes, BOUND), Ok(part(vec![200; 900])));
}

#[test]
fn bytes_after_a_frame_are_refused() {
    let mut bytes = encode(&fetch(), BOUND).unwrap().to_vec();
    bytes.push(0);
    assert_eq!(decode(&bytes, BOUND), Err(FrameError::TrailingBytes(1)));
}

#[test]
fn another_protocol_version_is_named_even_with_other_fields() {
    let bytes = encode(&hello(PROTOCOL + 1), BOUND).unwrap();
    let error = decode_hello(&bytes, BOUND);
    assert_eq!(error, Err(FrameError::UnsupportedVersion(PROTOCOL + 1)));
    let later_version = serde_json::json!({"hello": {"protocol": 9, "colour": "red"}});
    let mut bytes = Vec::new();
    ciborium::into_writer(&later_version, &mut bytes).unwrap();
    assert_eq!(
        decode_hello(&bytes, BOUND),
        Err(FrameError::UnsupportedVersion(9))
    );
}

#[test]
fn only_a_greeting_may_come_first() {
    let bytes = encode(&fetch(), BOUND).unwrap();
    let error = decode_hello(&bytes, BOUND);
    assert_eq!(error, Err(FrameError::UnexpectedKind(FrameKind::Fetch)));
}

proptest! {
    #[test]
    fn no_bytes_upset_the_decoder(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(frame) = decode(&bytes, BOUND) {
            let again = encode(&frame, Bytes(10_000)).unwrap();
            prop_assert_eq!(decode(&again, Bytes(10_000)), Ok(frame));
        }
    }
}
