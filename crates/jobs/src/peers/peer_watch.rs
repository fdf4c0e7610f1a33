use std::io::ErrorKind;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_store::Result;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::peer_message::{PeerMessage, framed};
use crate::ports::{HandOverOffer, WatchCall, WatchOutcome};

/// Timeout for connecting. A machine that has lost power does not answer at all.
const CONNECT_DEADLINE: Duration = Duration::from_millis(500);

/// Watches an owner and forwards its offers, until the connection ends.
pub(super) async fn watch(call: WatchCall, capacity: InstanceCapacity) -> Result<WatchOutcome> {
    let stream = match timeout(CONNECT_DEADLINE, TcpStream::connect(call.address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Ok(WatchOutcome::ProcessEnded);
        }
        Ok(Err(_)) | Err(_) => return Ok(WatchOutcome::Unknown),
    };
    let mut frames = framed(stream);
    let Ok(hello) = (PeerMessage::Hello { capacity }).encode() else {
        return Ok(WatchOutcome::Unknown);
    };
    if frames.send(hello).await.is_err() {
        return Ok(WatchOutcome::Unknown);
    }
    while let Some(Ok(frame)) = frames.next().await {
        let Ok(PeerMessage::Request {
            number,
            epoch,
            is_binding,
        }) = PeerMessage::decode(&frame)
        else {
            break;
        };
        let (reply, answer) = oneshot::channel();
        let offer = HandOverOffer {
            epoch,
            is_binding,
            received: Instant::now(),
            reply,
        };
        // If the receiver is closed or busy, the offer is refused.
        let is_sent = call.offers.try_send(offer).is_ok();
        let is_accepted = is_sent && answer.await.unwrap_or(false);
        let answer = PeerMessage::Answer {
            number,
            is_accepted,
        };
        let Ok(answer) = answer.encode() else {
            break;
        };
        if frames.send(answer).await.is_err() {
            break;
        }
    }
    Ok(WatchOutcome::Unknown)
}
