//! Stand-ins of the platform's store and upstreams, served over HTTP.

mod contents;
mod http;
mod store;
mod upstream;
mod word;

pub use http::{Request, read_headers};
pub use store::{Mode, Store};
pub use upstream::{Action, Upstream};
pub use word::{Backoff, ROUTER_HEADER, sender};
