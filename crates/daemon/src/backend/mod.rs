//! HTTP/1 calls to backend servers over a bounded set of connections.

mod answer_stream;
mod attempt_call;
mod attempt_status;
mod backend_answer;
mod backend_client;
mod backend_link;
mod link_pool;

pub(crate) use answer_stream::AnswerStream;
pub(crate) use attempt_call::{AttemptCall, AttemptId};
pub(crate) use attempt_status::AttemptStatus;
pub(crate) use backend_answer::{AnswerBytes, AttemptResult, BackendAnswer};
pub(crate) use backend_client::BackendClient;
