//! Which software build of an upstream began a stream of events.
//!
//! Events of different builds don't fit together, so a stream that broke off may be continued only
//! at its own build, and upstreams don't check this. A router knows the build of a stream that it
//! has relayed; others ask the routers that keep its record.

mod builds;
mod keepers;
mod ledger;

pub use builds::Builds;
pub use keepers::keepers;
pub use ledger::Ledger;

use clock::Millis;

/// The longest time between the first event of a stream and a request to continue it, as callers
/// have given up by then.
pub const MAX_STREAM_AGE: Millis = Millis(60_000);
