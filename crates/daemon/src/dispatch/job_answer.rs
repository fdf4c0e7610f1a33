use hyper::StatusCode;
use hyper::header::HeaderMap;

use super::JobBody;

/// Answer to a job that ran.
#[derive(Debug)]
pub(crate) struct JobAnswer {
    pub status: StatusCode,
    /// Headers of the backend server that are passed on.
    pub headers: HeaderMap,
    pub body: JobBody,
}
