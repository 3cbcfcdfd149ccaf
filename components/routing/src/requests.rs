//! A request on its way, from its arrival to its recorded decision.

pub(crate) mod ask;
pub(crate) mod decision;
pub(crate) mod ending;
pub(crate) mod ownership;
pub(crate) mod placing;
pub(crate) mod reply;
pub(crate) mod request;
pub(crate) mod sending;
