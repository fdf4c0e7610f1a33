//! A TCP link that can be cut.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

use parking_lot::Mutex;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::cluster::loopback;

/// Forwards connections to a target until it is cut.
#[derive(Debug)]
pub struct TestLink {
    address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl TestLink {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(loopback()).await.expect("link");
        let address = listener.local_addr().expect("address");
        let (cut, mut is_cut) = watch::channel(false);
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = is_cut.wait_for(|cut| *cut) => return,
                };
                let Ok((mut stream, _)) = accepted else {
                    continue;
                };
                let mut is_cut = is_cut.clone();
                tokio::spawn(async move {
                    let Ok(mut other) = TcpStream::connect(target).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut stream, &mut other) => {}
                        _ = is_cut.wait_for(|cut| *cut) => {}
                    }
                });
            }
        });
        Self { address, cut }
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Breaks all connections and refuses new ones.
    pub fn cut(&self) {
        self.cut.send_replace(true);
    }
}

/// First port that `free_address` hands out. The system takes the ports of outgoing connections
/// from 32768 on, so that none of them can take the address before a process listens on it.
const FIRST_PORT: u16 = 21_000;

/// Reservations of this process. A UDP socket does not stand in the way of a TCP listener, and no
/// other test process can bind it as long as this one runs.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// A loopback address that is free and that no other caller gets, in this or another process.
pub async fn free_address() -> SocketAddr {
    for port in FIRST_PORT.. {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if let Ok(socket) = UdpSocket::bind(address)
            && TcpListener::bind(address).await.is_ok()
        {
            RESERVED.lock().push(socket);
            return address;
        }
    }
    panic!("no free port");
}
