use std::fmt;

use rand::Rng;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::fleet::KeyRecord;
use crate::ids::{KeyId, TeamName};

/// Bytes of a secret (256 bits).
const SECRET_BYTES: usize = 32;
/// Bytes of a key id; 128 random bits make a repeated id practically impossible.
const ID_BYTES: usize = 16;
/// Prefix of the credentials in the `authorization` header.
const BEARER: &str = "Bearer ";

/// Secret part of a team key. It is shown to the operator once and never stored or logged.
#[derive(Clone)]
pub struct KeySecret([u8; SECRET_BYTES]);

impl KeySecret {
    /// Creates a secret from random bytes.
    #[must_use]
    pub const fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Reads a secret from its 64 hexadecimal digits.
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

    /// Hash that is stored in the agreed state.
    #[must_use]
    pub fn hash(&self) -> [u8; 32] {
        Sha256::digest(self.0).into()
    }

    /// Whether the secret has this hash; the time taken does not depend on the bytes.
    #[must_use]
    pub fn matches(&self, hash: &[u8; 32]) -> bool {
        self.hash().ct_eq(hash).into()
    }

    /// The secret in hexadecimal, for the operator who granted it.
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

/// Key as it came with a request.
#[derive(Debug, Clone)]
pub struct PresentedKey {
    /// Public part.
    pub id: KeyId,
    /// Secret part.
    pub secret: KeySecret,
}

impl PresentedKey {
    /// Reads the value of an `authorization` header, `Bearer <key id>.<secret>`.
    #[must_use]
    pub fn with_header(value: &str) -> Option<Self> {
        let (id, secret) = value.strip_prefix(BEARER)?.trim().rsplit_once('.')?;
        if id.is_empty() {
            return None;
        }
        Some(Self {
            id: KeyId::new(id),
            secret: KeySecret::with_hex(secret)?,
        })
    }

    /// Value of the `authorization` header.
    #[must_use]
    pub fn header(&self) -> String {
        format!("{BEARER}{}.{}", self.id, self.secret.reveal())
    }
}

/// Mints a key for a team. `rng` must be a cryptographically secure generator.
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
