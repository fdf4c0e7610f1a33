//! Encoding of messages between entry instances.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// Largest message between entry instances, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Reason why a message cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The message exceeds the size bound.
    #[snafu(display("message of {size} bytes exceeds the bound of {limit} bytes"))]
    TooLarge {
        /// Size of the message.
        size: usize,
        /// Largest size allowed.
        limit: usize,
    },
    /// The message cannot be encoded.
    #[snafu(display("message cannot be encoded: {source}"))]
    Encode {
        /// Error of the codec.
        source: rmp_serde::encode::Error,
    },
    /// The sender uses another message version.
    #[snafu(display("message of version {found}; this process uses version {expected}"))]
    Version {
        /// Version of the message.
        found: u16,
        /// Version of this process.
        expected: u16,
    },
    /// The bytes are not a message of this type.
    #[snafu(display("message cannot be decoded: {source}"))]
    Decode {
        /// Error of the codec.
        source: rmp_serde::decode::Error,
    },
}

/// Encodes a message of at most `limit` bytes. Fields are named, so that readers can skip new ones.
///
/// # Errors
///
/// Fails when the message is too large or has a type that the codec does not know.
pub fn encode<T: Serialize>(message: &T, limit: usize) -> Result<Bytes, CodecError> {
    let encoded = rmp_serde::to_vec_named(message).context(EncodeSnafu)?;
    ensure!(
        encoded.len() <= limit,
        TooLargeSnafu {
            size: encoded.len(),
            limit
        }
    );
    Ok(encoded.into())
}

/// Decodes a message of at most `limit` bytes.
///
/// # Errors
///
/// Fails when the bytes are too many or not a message of this type.
pub fn decode<T: DeserializeOwned>(encoded: &[u8], limit: usize) -> Result<T, CodecError> {
    ensure!(
        encoded.len() <= limit,
        TooLargeSnafu {
            size: encoded.len(),
            limit
        }
    );
    rmp_serde::from_slice(encoded).context(DecodeSnafu)
}

/// Whether the names of fields are part of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldNames {
    /// Readers can skip fields that they do not know.
    Kept,
    /// Fields are told apart by their order, which makes small messages much smaller.
    Omitted,
}

/// Encodes a message of at most `limit` bytes after its version.
///
/// # Errors
///
/// Fails when the message is too large or has a type that the codec does not know.
pub fn encode_versioned<T: Serialize>(
    message: &T,
    names: FieldNames,
    version: u16,
    limit: usize,
) -> Result<Bytes, CodecError> {
    let mut encoded = version.to_be_bytes().to_vec();
    match names {
        FieldNames::Kept => rmp_serde::encode::write_named(&mut encoded, message),
        FieldNames::Omitted => rmp_serde::encode::write(&mut encoded, message),
    }
    .context(EncodeSnafu)?;
    let size = encoded.len();
    ensure!(size <= limit, TooLargeSnafu { size, limit });
    Ok(encoded.into())
}

/// Decodes a message of at most `limit` bytes after checking its version.
///
/// # Errors
///
/// Fails when the version differs, or the bytes are too many or not a message of this type.
pub fn decode_versioned<T: DeserializeOwned>(
    encoded: &[u8],
    version: u16,
    limit: usize,
) -> Result<T, CodecError> {
    let size = encoded.len();
    ensure!(size <= limit, TooLargeSnafu { size, limit });
    let (found, body) = encoded.split_first_chunk().unwrap_or((&[0, 0], &[]));
    let found = u16::from_be_bytes(*found);
    ensure!(
        found == version,
        VersionSnafu {
            found,
            expected: version
        }
    );
    rmp_serde::from_slice(body).context(DecodeSnafu)
}
