use std::fmt;

use rand::Rng;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::fleet::KeyRecord;
use crate::ids::{KeyId, TeamName};

/// Length of a secret in bytes (256 bits).
const SECRET_BYTES: usize = 32;
/// Length of a key id in bytes; 128 random bits make collisions negligible.
const ID_BYTES: usize = 16;
/// Authentication scheme that precedes the credentials in the `authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// Secret part of a team key. It is shown to the operator once and never stored or logged.
#[derive(Clone)]
pub struct KeySecret([u8; SECRET_BYTES]);

impl KeySecret {
    /// Creates a secret from random bytes.
    #[must_use]
    pub const fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Parses a secret from 64 hexadecimal digits; `None` if the text is malformed.
    #[must_use]
    pub fn with_hex(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if digits.len() != 2 * SECRET_BYTES {
            return None;
        }
        let mut bytes = [0; SECRET_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let high = char::from(pair[0]).to_digit(16)?;
            let low = char::from(pair[1]).to_digit(16)?;
            *byte = u8::try_from(high * 16 + low).ok()?;
        }
        Some(Self(bytes))
    }

    /// SHA-256 hash that the fleet state stores instead of the secret.
    #[must_use]
    pub fn hash(&self) -> [u8; 32] {
        Sha256::digest(self.0).into()
    }

    /// Whether the secret has this hash, compared in constant time.
    #[must_use]
    pub fn matches(&self, hash: &[u8; 32]) -> bool {
        self.hash().ct_eq(hash).into()
    }

    /// The secret in hexadecimal, for display to the operator who granted the key.
    #[must_use]
    pub fn reveal(&self) -> String {
        hex_text(&self.0)
    }
}

impl fmt::Debug for KeySecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeySecret(..)")
    }
}

/// Key presented with a request.
#[derive(Debug, Clone)]
pub struct PresentedKey {
    /// Public part of the key.
    pub id: KeyId,
    /// Secret part of the key.
    pub secret: KeySecret,
}

impl PresentedKey {
    /// Parses the value of an `authorization` header, `Bearer <key id>.<secret>`; `None` if it is
    /// malformed.
    #[must_use]
    pub fn with_header(value: &str) -> Option<Self> {
        let (id, secret) = value.strip_prefix(BEARER_PREFIX)?.trim().rsplit_once('.')?;
        if id.is_empty() {
            return None;
        }
        Some(Self {
            id: KeyId::new(id),
            secret: KeySecret::with_hex(secret)?,
        })
    }

    /// Formats the key as the value of an `authorization` header.
    #[must_use]
    pub fn header(&self) -> String {
        format!("{BEARER_PREFIX}{}.{}", self.id, self.secret.reveal())
    }
}

/// Generates a key for a team. `rng` must be a cryptographically secure generator.
#[must_use]
pub fn mint_key(team: TeamName, rng: &mut impl Rng) -> (PresentedKey, KeyRecord) {
    let mut id = [0; ID_BYTES];
    let mut secret = [0; SECRET_BYTES];
    rng.fill_bytes(&mut id);
    rng.fill_bytes(&mut secret);
    let secret = KeySecret::new(secret);
    let record = KeyRecord {
        team,
        hash: secret.hash(),
        withdrawn: false,
    };
    let id = KeyId::new(hex_text(&id));
    (PresentedKey { id, secret }, record)
}

fn hex_text(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
