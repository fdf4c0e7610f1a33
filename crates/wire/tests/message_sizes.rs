//! Sizes of HTTP messages.

use hyper::header::{DATE, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode};
use sesamedeal_wire::message_size::{request_size, response_size};

/// Guards against control traffic that looks smaller than it is on the network.
#[test]
fn whole_messages() {
    let text =
        "POST /peer/exchange HTTP/1.1\r\nhost: 10.0.0.1:8000\r\ncontent-length: 5\r\n\r\nhello";
    let headers = HeaderMap::new();
    let size = request_size(
        &Method::POST,
        "/peer/exchange",
        "10.0.0.1:8000",
        &headers,
        5,
    );
    assert_eq!(size, text.len());

    let text = "GET /peer/state HTTP/1.1\r\nhost: 10.0.0.1:8000\r\n\r\n";
    let size = request_size(&Method::GET, "/peer/state", "10.0.0.1:8000", &headers, 0);
    assert_eq!(size, text.len());

    let text = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\
                date: Fri, 04 Dec 2026 03:40:07 GMT\r\n\r\nhello, world";
    assert_eq!(response_size(StatusCode::OK, &headers, 12), text.len());

    let mut headers = HeaderMap::new();
    headers.insert(
        DATE,
        HeaderValue::from_static("Fri, 04 Dec 2026 03:40:07 GMT"),
    );
    headers.insert("sesamedeal-code", HeaderValue::from_static("1030"));
    let text = "HTTP/1.1 503 Service Unavailable\r\nsesamedeal-code: 1030\r\ncontent-length: 0\r\n\
                date: Fri, 04 Dec 2026 03:40:07 GMT\r\n\r\n";
    let size = response_size(StatusCode::SERVICE_UNAVAILABLE, &headers, 0);
    assert_eq!(size, text.len());
}
