//! Rules that a type alone can't hold.

use std::fmt::Display;
use std::net::SocketAddr;

use placement::Bound;
use snafu::ensure;

use crate::Error;
use crate::error::RuleSnafu;

/// The shortest key that a process may use, in bytes.
const SHORTEST_KEY: usize = 16;

/// Settings that can be checked after reading.
pub trait Check {
    /// Checks every value.
    ///
    /// # Errors
    ///
    /// The first value that breaks a rule.
    fn check(&self) -> Result<(), Error>;
}

/// Switches are all that a type can hold.
impl Check for routing::Mechanisms {
    fn check(&self) -> Result<(), Error> {
        Ok(())
    }
}

pub(crate) fn rule(
    holds: bool,
    path: &'static str,
    value: impl Display,
    rule: &'static str,
) -> Result<(), Error> {
    ensure!(holds, RuleSnafu { path, value: value.to_string(), rule });
    Ok(())
}

pub(crate) fn address(path: &'static str, value: &str) -> Result<(), Error> {
    rule(value.parse::<SocketAddr>().is_ok(), path, value, "an IP number and a port")
}

pub(crate) fn base(path: &'static str, value: &str) -> Result<(), Error> {
    let holds = value.starts_with("http://") && !value.ends_with('/');
    rule(holds, path, value, "an http:// address without a trailing slash")
}

pub(crate) fn name(path: &'static str, value: &str) -> Result<(), Error> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let holds = !value.is_empty() && value.bytes().all(allowed);
    rule(holds, path, value, "letters, digits, '-' and '_', at least one")
}

/// The value of a key is never shown.
pub(crate) fn key(path: &'static str, value: &str) -> Result<(), Error> {
    rule(value.len() >= SHORTEST_KEY, path, "the key", "at least 16 bytes")
}

pub(crate) fn bound(path: &'static str, value: &Bound) -> Result<(), Error> {
    let multiple = (1.0..=10.0).contains(&value.multiple);
    rule(multiple, path, value.multiple, "a multiple of 1 to 10")?;
    let margin = (0.0..1.0).contains(&value.margin);
    rule(margin, path, value.margin, "a margin of 0 to below 1")
}

pub(crate) fn positive(path: &'static str, value: u64) -> Result<(), Error> {
    rule(value > 0, path, value, "a number above 0")
}
