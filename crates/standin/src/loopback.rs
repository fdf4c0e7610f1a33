use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;

/// Fails unless the address is on loopback: stand-ins and load have no protection against others.
pub(crate) fn check_loopback(address: SocketAddr) -> Result<()> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    let message = format!("{address} is not a loopback address");
    Err(Error::new(ErrorKind::InvalidInput, message))
}
