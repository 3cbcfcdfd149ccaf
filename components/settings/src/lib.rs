//! Settings of all binaries, read from JSON and validated at start.
//!
//! Unknown fields are rejected; optional fields have defaults. An error contains
//! the path in the document, the value and the allowed values.

mod check;
mod error;
mod load;
mod resources;
mod router;
mod sidecar;

pub use check::Check;
pub use error::Error;
pub use load::{load, parse};
pub use resources::Resources;
pub use router::{Direct, Router};
pub use sidecar::{Service, Sidecar};
