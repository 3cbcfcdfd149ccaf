//! Settings of every binary, read from JSON and checked at start.
//!
//! Every struct refuses unknown fields and has a default for each field that
//! may be left out. A fault names the path in the document, the value and what
//! is allowed.

mod check;
mod error;
mod load;
mod router;
mod sidecar;

pub use check::Check;
pub use error::Error;
pub use load::{load, parse};
pub use router::{Direct, Router};
pub use sidecar::{Service, Sidecar};
