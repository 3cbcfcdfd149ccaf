//! HTTP responses: those of upstreams, and the router's own errors.

use errors::{Answer, Kind};
use ntex::http::StatusCode;
use ntex::web::{HttpResponse, HttpResponseBuilder};
use wire::Head;

pub(crate) const REQUEST_ID: &str = "x-request-id";

/// The header that names the upstream that answered.
pub(crate) const UPSTREAM: &str = "x-upstream";

/// Status and headers of an upstream's response.
pub(crate) fn forwarded(head: &Head) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in &head.headers {
        builder.header(&**name, &**value);
    }
    builder
}

/// A complete HTTP response for an error.
pub(crate) fn response(answer: &Answer) -> HttpResponse {
    let mut builder = error(answer);
    builder.header(REQUEST_ID, &*answer.request_id);
    if let Some(after) = answer.retry_after_ms {
        builder.header("retry-after", after.div_ceil(1000).to_string());
    }
    builder.body(answer.to_json())
}

/// Status and content type of an error. Closes the connection if the rest of the request body is
/// left unread.
pub(crate) fn error(answer: &Answer) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(answer.kind.row().status);
    let mut builder = HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    builder.content_type("application/json");
    if matches!(answer.kind, Kind::TooLarge | Kind::SlowBody | Kind::OutOfMemory) {
        builder.force_close();
    }
    builder
}

/// The error that aborts the connection of an incomplete response.
pub(crate) fn aborted() -> std::io::Error {
    std::io::Error::other("the answer broke off")
}

/// An error as a server-sent event, for a stream that has already begun.
pub(crate) fn event(answer: &Answer) -> String {
    format!("event: error\ndata: {}\n\n", answer.to_json())
}
