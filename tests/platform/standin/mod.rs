//! Stand-ins of the platform's store and upstreams, served over HTTP.

mod contents;
mod endless;
mod feedback;
mod http;
mod store;
mod upstream;

pub use endless::Endless;
pub use feedback::{Backoff, ROUTER_HEADER, sender};
pub use http::{Request, read_headers};
pub use store::{Framing, Mode, Store};
pub use upstream::{Action, Upstream};
