//! Error answers over HTTP.

use errors::{Answer, Kind};
use ntex::http::StatusCode;
use ntex::web::HttpResponse;

/// The header that carries the request's id.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// The header that names the upstream that answered.
pub(crate) const UPSTREAM: &str = "x-upstream";

/// The answer as a whole HTTP response.
pub(crate) fn response(answer: &Answer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.kind.row().status);
    let mut builder = HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    builder.header(REQUEST_ID, &*answer.request_id).content_type("application/json");
    if let Some(after) = answer.retry_after_ms {
        builder.header("retry-after", after.div_ceil(1000).to_string());
    }
    if matches!(answer.kind, Kind::TooLarge | Kind::SlowBody) {
        builder.force_close();
    }
    builder.body(answer.to_json())
}

/// The answer as a server-sent event, for a stream that has begun.
pub(crate) fn event(answer: &Answer) -> String {
    format!("event: error\ndata: {}\n\n", answer.to_json())
}
