//! Encoding and size bounds of messages.

use assert_matches::assert_matches;
use serde::{Deserialize, Serialize};
use sesamedeal_wire::codec::{CodecError, decode, encode};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldMessage {
    generation: u64,
    note: String,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct NewMessage {
    note: String,
    added: Option<u64>,
    generation: u64,
}

fn message() -> OldMessage {
    OldMessage {
        generation: 7,
        note: "text".to_owned(),
    }
}

/// A message must survive a peer of another release with further or reordered fields.
#[test]
fn other_fields() {
    let encoded = encode(&message(), 100).unwrap();
    let new: NewMessage = decode(&encoded, 100).unwrap();
    assert_eq!((new.generation, new.added), (7, None));
    let new = NewMessage {
        added: Some(1),
        ..new
    };
    let encoded = encode(&new, 100).unwrap();
    assert_eq!(decode::<OldMessage>(&encoded, 100).unwrap(), message());
}

/// A message above the bound must be refused by the sender and by the receiver.
#[test]
fn size_bound() {
    let size = encode(&message(), 100).unwrap().len();
    assert_matches!(encode(&message(), size), Ok(encoded) if encoded.len() == size);
    assert_matches!(
        encode(&message(), size - 1),
        Err(CodecError::TooLarge { size: found, limit }) if found == size && limit == size - 1
    );
    let encoded = encode(&message(), size).unwrap();
    assert_matches!(
        decode::<OldMessage>(&encoded, size - 1),
        Err(CodecError::TooLarge { .. })
    );
}

/// Truncated or foreign bytes must give an error and no message.
#[test]
fn broken_bytes() {
    let encoded = encode(&message(), 100).unwrap();
    for length in 0..encoded.len() {
        let part = &encoded[..length];
        assert_matches!(
            decode::<OldMessage>(part, 100),
            Err(CodecError::Decode { .. })
        );
    }
    assert_matches!(
        decode::<OldMessage>(b"{\"generation\":7}", 100),
        Err(CodecError::Decode { .. })
    );
}
