//! Which mechanisms of the reducer are in use.

use serde::{Deserialize, Serialize};

/// Switches for mechanisms, each but `shares` on unless it is switched off: for operators who suspect
/// one, and for measuring what each is worth. Promises to callers rest on none of them.
#[expect(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mechanisms {
    /// A request goes where all that it shares is warm, before rank.
    pub warm_first: bool,
    /// What an upstream lacks of a prompt is copied from another one.
    pub copies: bool,
    /// Short parts are not copied from an upstream that has failed.
    pub doubts: bool,
    /// A request waits a little for a reading that it would repeat.
    pub waits: bool,
    /// Routers tell each other where parts of prompts are warm.
    pub hints: bool,
    /// Routers go by the loads that the others tell.
    pub loads: bool,
    /// A router that starts recalls where parts of prompts were warm.
    pub parts: bool,
    /// A router that starts recalls the upstreams.
    pub upstreams: bool,
    /// An upstream is passed over that fails more than its pool.
    pub health: bool,
    /// A request leaves an upstream that says nothing.
    pub silence: bool,
    /// A request may go to another upstream after one has failed.
    pub retries: bool,
    /// A request is refused that would be late wherever it went.
    pub admission: bool,
    /// Where a pool is short, what is over its workspace's share is refused first.
    pub shares: bool,
    /// A router that stops takes what will have ended in time.
    pub late_takes: bool,
    /// Most routers hear from others what the platform's store holds.
    pub shared_looks: bool,
    /// Routers reckon with how fast upstreams say that they are.
    pub pace: bool,
    /// Routers deal out the room of upstreams among them while much of a pool takes nothing.
    pub dealt_room: bool,
    /// Where a pool is short of places, routers ask its owner for one before they send.
    pub places: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            warm_first: true,
            copies: true,
            doubts: true,
            waits: true,
            hints: true,
            loads: true,
            parts: true,
            upstreams: true,
            health: true,
            silence: true,
            retries: true,
            admission: true,
            shares: false,
            late_takes: true,
            shared_looks: true,
            pace: true,
            dealt_room: true,
            places: true,
        }
    }
}
