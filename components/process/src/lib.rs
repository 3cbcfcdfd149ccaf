//! What every process of the fleet does alike: listen, announce, stop.

mod announce;
mod bind;
mod client;
mod stop;

pub use announce::announce;
pub use bind::{Error, bind};
pub use client::client;
pub use stop::Stop;
