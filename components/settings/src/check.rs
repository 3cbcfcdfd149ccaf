//! Validation of values beyond their types.

use std::fmt::Display;
use std::net::SocketAddr;

use placement::Bound;
use snafu::ensure;

use crate::Error;
use crate::error::RuleSnafu;

/// Minimum length of a link key.
const MIN_KEY_BYTES: usize = 16;

/// Settings that are validated after parsing.
pub trait Check {
    /// Validates all values.
    ///
    /// # Errors
    ///
    /// The first value that breaks a rule.
    fn check(&self) -> Result<(), Error>;
}

/// All values are switches, which need no validation.
impl Check for routing::Mechanisms {
    fn check(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Fails with `path` and `value` unless `holds`.
pub(crate) fn check_rule(
    holds: bool,
    path: &'static str,
    value: impl Display,
    rule: &'static str,
) -> Result<(), Error> {
    ensure!(holds, RuleSnafu { path, value: value.to_string(), rule });
    Ok(())
}

pub(crate) fn check_address(path: &'static str, value: &str) -> Result<(), Error> {
    check_rule(value.parse::<SocketAddr>().is_ok(), path, value, "an IP number and a port")
}

pub(crate) fn check_base_url(path: &'static str, value: &str) -> Result<(), Error> {
    let holds = value.starts_with("http://") && !value.ends_with('/');
    check_rule(holds, path, value, "an http:// address without a trailing slash")
}

pub(crate) fn check_name(path: &'static str, value: &str) -> Result<(), Error> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let holds = !value.is_empty() && value.bytes().all(is_allowed);
    check_rule(holds, path, value, "letters, digits, '-' and '_', at least one")
}

/// Checks a key; the error does not contain it.
pub(crate) fn check_key(path: &'static str, value: &str) -> Result<(), Error> {
    check_rule(value.len() >= MIN_KEY_BYTES, path, "the key", "at least 16 bytes")
}

pub(crate) fn check_bound(path: &'static str, value: &Bound) -> Result<(), Error> {
    let multiple = (1.0..=10.0).contains(&value.multiple);
    check_rule(multiple, path, value.multiple, "a multiple of 1 to 10")?;
    let margin = (0.0..1.0).contains(&value.margin);
    check_rule(margin, path, value.margin, "a margin of 0 to below 1")
}

pub(crate) fn check_positive(path: &'static str, value: u64) -> Result<(), Error> {
    check_rule(value > 0, path, value, "a number above 0")
}
