//! Idempotency keys that name their owner.
//!
//! Such a key is `sk1.UPSTREAM.INCARNATION.RANDOM`. Its calls run in that incarnation of the
//! upstream's sidecar or not at all, which prevents duplicate runs without a call to the platform.
//! A key made up by a caller is assigned an owner by one transaction in the platform's service.

use std::sync::Arc;

use routing::{IdempotencyKey, Owner};
use uuid::Uuid;

/// The prefix of generated keys.
const PREFIX: &str = "sk1";

/// The longest key, in bytes.
pub(crate) const MAX_KEY: usize = 200;

/// Generates a key for `owner`.
pub(crate) fn generate(owner: &Owner) -> String {
    format!("{PREFIX}.{}.{:x}.{}", owner.upstream, owner.incarnation, Uuid::now_v7().simple())
}

/// A key scoped to its workspace.
pub(crate) fn parse(workspace: &str, key: &str) -> IdempotencyKey {
    IdempotencyKey { key: format!("{workspace}/{key}").into(), owner: owner(key) }
}

fn owner(key: &str) -> Option<Owner> {
    let mut parts = key.split('.');
    let (prefix, upstream, incarnation) = (parts.next()?, parts.next()?, parts.next()?);
    if prefix != PREFIX || parts.next().is_none() || parts.next().is_some() {
        return None;
    }
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    Some(Owner { upstream: Arc::from(upstream), incarnation })
}

/// An owner in its stored form.
pub(crate) fn format_owner(owner: &Owner) -> String {
    format!("{}.{:x}", owner.upstream, owner.incarnation)
}

/// Parses the output of [`format_owner`].
pub(crate) fn parse_owner(text: &str) -> Option<Owner> {
    let (upstream, incarnation) = text.split_once('.')?;
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    Some(Owner { upstream: Arc::from(upstream), incarnation })
}
