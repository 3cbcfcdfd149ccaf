//! Conversion of HTTP headers.

use edge::Header;
use ntex::http::HeaderMap;

/// Headers that apply to one connection only.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// The value of the first header called `name`, if it is text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// All headers whose values are text.
pub(crate) fn collect(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect()
}

/// The headers to forward to the next connection.
pub(crate) fn end_to_end(headers: Vec<Header>) -> Vec<Header> {
    headers.into_iter().filter(|(name, _)| !HOP_BY_HOP.contains(&&**name)).collect()
}
