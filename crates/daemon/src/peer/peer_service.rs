use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::exchange::MESSAGE_VERSION;
use sesamedeal_core::ids::Generation;
use sesamedeal_wire::codec::{
    CodecError, FieldNames, MAX_MESSAGE_BYTES, decode_versioned, encode_versioned,
};
use sesamedeal_wire::header;
use sesamedeal_wire::message_size::{request_size, response_size};
use sesamedeal_wire::peer::{MAX_STATE_BYTES, PeerAddress, PeerMessage, PeerState};

use super::peer_loop::{message_to, note_sender};
use crate::control::note_health;
use crate::dispatch::TakeExchange;
use crate::entry_context::EntryContext;

/// Answers requests of other entry instances.
#[derive(Debug, Clone)]
pub(crate) struct PeerService {
    pub context: Arc<EntryContext>,
}

impl PeerService {
    /// Answers a request below `/peer/`.
    pub(crate) async fn answer<B>(&self, request: Request<B>) -> Response<Bytes>
    where
        B: hyper::body::Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let response = match (request.method(), request.uri().path()) {
            (&Method::POST, "/peer/exchange") => self.exchange(request).await,
            (&Method::POST, "/peer/health") => self.health(request).await,
            (&Method::GET, "/peer/state") => self.state(),
            _ => empty(StatusCode::NOT_FOUND),
        };
        let (status, body) = (response.status(), response.body().len());
        let sent = response_size(status, response.headers(), body);
        self.context.traffic.note_sent(sent);
        response
    }

    async fn exchange<B>(&self, request: Request<B>) -> Response<Bytes>
    where
        B: hyper::body::Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let Some(body) = self.receive(request).await else {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        };
        if self.context.gate.was_paused() {
            // The request may have waited during the pause, and its ages would be wrong.
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let message: PeerMessage = match decoded(&body) {
            Ok(message) => message,
            Err(code) => return refused(code),
        };
        let peer = message.exchange.from;
        note_sender(&self.context, &message);
        let message = message.exchange;
        let taken = self.context.dispatcher.send(TakeExchange { message }).await;
        let answer = message_to(&self.context, peer).await;
        let (Ok(()), Some(answer)) = (taken, answer) else {
            return refused(ResultCode::ShuttingDown);
        };
        self.encoded(&answer, FieldNames::Omitted, MAX_MESSAGE_BYTES)
    }

    /// Takes reports about workers. They stay unread unless this entry instance is the controller.
    async fn health<B>(&self, request: Request<B>) -> Response<Bytes>
    where
        B: hyper::body::Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let Some(body) = self.receive(request).await else {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match decoded(&body) {
            Ok(reports) => note_health(&self.context, reports),
            Err(code) => return refused(code),
        }
        empty(StatusCode::OK)
    }

    /// Reads the body of a message and counts its bytes; none if it is too large or broken off.
    async fn receive<B>(&self, request: Request<B>) -> Option<Bytes>
    where
        B: hyper::body::Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let (parts, body) = request.into_parts();
        let body = Limited::new(body, MAX_MESSAGE_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        let path = parts.uri.path();
        // The request names its host and length itself.
        let received = request_size(&parts.method, path, "", &parts.headers, body.len());
        self.context.traffic.note_received(received);
        Some(body)
    }

    fn state(&self) -> Response<Bytes> {
        let context = &self.context;
        let state = context.keeper.state();
        if state.generation == Generation::ZERO {
            return refused(ResultCode::NotReady);
        }
        let own = PeerAddress {
            session: context.session,
            address: context.address_text(),
        };
        let mut peers = context.peers.entries();
        peers.push(own);
        let reply = PeerState {
            state: (*state).clone(),
            settled: context.keeper.settled(),
            peers,
        };
        self.encoded(&reply, FieldNames::Kept, MAX_STATE_BYTES)
    }

    fn encoded<T: serde::Serialize>(
        &self,
        message: &T,
        names: FieldNames,
        limit: usize,
    ) -> Response<Bytes> {
        match encode_versioned(message, names, MESSAGE_VERSION, limit) {
            Ok(body) => Response::new(body),
            Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

fn decoded<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, ResultCode> {
    decode_versioned(body, MESSAGE_VERSION, MAX_MESSAGE_BYTES).map_err(|error| match error {
        CodecError::Version { .. } => ResultCode::VersionMismatch,
        _ => ResultCode::BadRequest,
    })
}

fn refused(code: ResultCode) -> Response<Bytes> {
    let status = StatusCode::from_u16(code.http_status());
    let mut response = empty(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    let value = HeaderValue::from(code.number());
    response.headers_mut().insert(header::CODE, value);
    response
}

fn empty(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
