//! Answers over HTTP: those of upstreams, and errors of the fleet's own.

use errors::{Answer, Kind};
use ntex::http::StatusCode;
use ntex::web::{HttpResponse, HttpResponseBuilder};
use wire::Head;

/// The header that carries the request's id.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// The header that names the upstream that answered.
pub(crate) const UPSTREAM: &str = "x-upstream";

/// Status and headers of an upstream's answer.
pub(crate) fn passed_on(head: &Head) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in &head.headers {
        builder.header(&**name, &**value);
    }
    builder
}

/// The error as a whole HTTP response.
pub(crate) fn response(answer: &Answer) -> HttpResponse {
    let mut builder = error(answer);
    builder.header(REQUEST_ID, &*answer.request_id);
    if let Some(after) = answer.retry_after_ms {
        builder.header("retry-after", after.div_ceil(1000).to_string());
    }
    builder.body(answer.to_json())
}

/// Status and type of an error. The connection ends with it where the rest of
/// the request's body is not read.
pub(crate) fn error(answer: &Answer) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(answer.kind.row().status);
    let mut builder = HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    builder.content_type("application/json");
    if matches!(answer.kind, Kind::TooLarge | Kind::SlowBody) {
        builder.force_close();
    }
    builder
}

/// The fault that breaks the connection of an answer that will not be whole.
pub(crate) fn broken() -> std::io::Error {
    std::io::Error::other("the answer broke off")
}

/// The error as a server-sent event, for a stream that has begun.
pub(crate) fn event(answer: &Answer) -> String {
    format!("event: error\ndata: {}\n\n", answer.to_json())
}
