//! Headers as the HTTP library holds them.

use edge::Header;
use ntex::http::HeaderMap;

/// Headers that concern one connection only.
const HOP: [&str; 11] = [
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
    headers.get(name).and_then(|it| it.to_str().ok())
}

/// All headers whose values are text.
pub(crate) fn collect(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect()
}

/// The headers that go on to the next connection.
pub(crate) fn end_to_end(headers: Vec<Header>) -> Vec<Header> {
    headers.into_iter().filter(|(name, _)| !HOP.contains(&&**name)).collect()
}
