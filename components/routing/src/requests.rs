//! The life of a request, from arrival to its recorded decision.

pub(crate) mod arrival;
pub(crate) mod completion;
pub(crate) mod continuation;
pub(crate) mod decision;
pub(crate) mod dispatch;
pub(crate) mod ownership;
pub(crate) mod permits;
pub(crate) mod reply;
pub(crate) mod request;
pub(crate) mod targets;
pub(crate) mod unfinished;
