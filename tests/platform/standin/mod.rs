//! Stand-ins of the platform's store and upstreams, spoken to over HTTP.

mod held;
mod http;
mod store;
mod upstream;
mod word;

pub use http::{Request, read_headers};
pub use store::{Mode, Store};
pub use upstream::{Act, Upstream};
pub use word::{ROUTER, Rest, router};
