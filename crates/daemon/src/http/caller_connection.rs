use std::convert::Infallible;
use std::future::poll_fn;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sesamedeal_core::code::ResultCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use super::Router;
use super::answers::raw_answer;
use super::caller_phase::CallerPhase;
use super::caller_stream::CallerStream;
use super::request_head::random_id;

/// Largest size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Time for which the rest of a refused request is read, so that its answer is not lost when the
/// connection is closed while the caller still sends.
const LINGER: Duration = Duration::from_secs(1);

/// Bytes of a refused request that are read at most.
const LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Serves one caller's connection until it ends, or until `stop` is set and its request has ended.
pub(crate) async fn serve_caller(
    stream: TcpStream,
    router: Router,
    mut stop: watch::Receiver<bool>,
) {
    let phase = CallerPhase::default();
    let (answers, routes) = (phase.clone(), &router);
    let service = service_fn(|request| {
        answers.begin_answer();
        let phase = answers.clone();
        Box::pin(async move {
            let response = routes.answer(request).await;
            Ok::<_, Infallible>(response.map(|body| body.with_phase(phase)))
        })
    });
    let stream = CallerStream::new(stream, phase.clone());
    let mut connection = http1::Builder::new()
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = poll_fn(|context| connection.poll_without_shutdown(context)) => ended,
        () = wait_stop(&mut stop) => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    let stream = connection.into_parts().io.into_inner();
    let code = ended.err().and_then(|error| refusal_code(&error, &stream));
    let mut stream = stream.into_inner();
    if let Some(code) = code.filter(|_| phase.is_waiting()) {
        router.count_refusal(code);
        let answer = raw_answer(&random_id(), code);
        // A caller that does not take the answer is disconnected.
        drop(timeout(LINGER, stream.write_all(answer.as_bytes())).await);
    } else if !phase.is_waiting() {
        if code == Some(ResultCode::SlowCaller) {
            router.count_refusal(ResultCode::SlowCaller);
        }
        // An answer that was broken off has to be seen as such.
        return;
    }
    drop(timeout(LINGER, linger(&mut stream)).await);
}

/// Code of a request that was refused before its headers were complete.
fn refusal_code(error: &hyper::Error, stream: &CallerStream) -> Option<ResultCode> {
    if stream.is_slow() {
        Some(ResultCode::SlowCaller)
    } else if error.is_parse_too_large() {
        Some(ResultCode::TooLarge)
    } else if error.is_parse() {
        Some(ResultCode::BadRequest)
    } else {
        None
    }
}

async fn wait_stop(stop: &mut watch::Receiver<bool>) {
    // A sender that is gone means that the process ends.
    drop(stop.wait_for(|stopped| *stopped).await);
}

async fn linger(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.shutdown().await?;
    let mut scratch = vec![0; 16 * 1024];
    let mut total = 0;
    while total < LINGER_BYTES {
        match stream.read(&mut scratch).await? {
            0 => break,
            bytes => total += bytes,
        }
    }
    Ok(())
}
