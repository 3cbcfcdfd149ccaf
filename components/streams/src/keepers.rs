//! The routers that keep the record of a stream.

use wire::Peer;

/// How many routers keep a record, so that it outlasts the crash of two.
const KEEPERS: usize = 3;

/// The routers that keep the record of a stream, among all of a fleet. Routers that know the same
/// fleet agree on them; with some routers unknown they still agree on most.
pub fn keepers<'a>(stream: u64, routers: impl Iterator<Item = &'a Peer>) -> Vec<&'a Peer> {
    placement::top(stream, routers, KEEPERS, |router| (&router.name, 1.0))
}
