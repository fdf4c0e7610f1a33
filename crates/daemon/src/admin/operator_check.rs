use std::net::SocketAddr;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Whether the sender of a request may act as an operator.
///
/// With a key in the settings, the request has to carry it; without one, it has to come from a
/// loopback address.
pub(super) fn is_operator(
    key_hash: Option<&[u8; 32]>,
    headers: &HeaderMap,
    remote: Option<SocketAddr>,
) -> bool {
    let Some(expected) = key_hash else {
        return remote.is_some_and(|remote| remote.ip().to_canonical().is_loopback());
    };
    let value = headers.get(AUTHORIZATION);
    let value = value.and_then(|value| value.to_str().ok());
    let Some(key) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
        return false;
    };
    let hash: [u8; 32] = Sha256::digest(key.trim().as_bytes()).into();
    hash.ct_eq(expected).into()
}
