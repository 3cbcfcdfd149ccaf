//! Idempotency keys that name their owner.
//!
//! Such a key is `sk1.UPSTREAM.INCARNATION.RANDOM`. Its calls run in that life
//! of that upstream's sidecar or nowhere, so no platform call is needed to keep
//! them from running twice. A key that a caller made up is given an owner by
//! one transaction in the platform's service.

use std::sync::Arc;

use routing::{IdempotencyKey, Owner};
use uuid::Uuid;

/// What a key of the fleet begins with.
const PREFIX: &str = "sk1";

/// The longest key, in bytes.
pub(crate) const MAX_KEY: usize = 200;

/// A fresh key of `owner`.
pub(crate) fn mint(owner: &Owner) -> String {
    format!("{PREFIX}.{}.{:x}.{}", owner.upstream, owner.incarnation, Uuid::now_v7().simple())
}

/// The key as the fleet knows it, within its workspace.
pub(crate) fn read(workspace: &str, key: &str) -> IdempotencyKey {
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

/// An owner as it is kept in the platform's service.
pub(crate) fn write_owner(owner: &Owner) -> String {
    format!("{}.{:x}", owner.upstream, owner.incarnation)
}

/// The owner that [`write_owner`] wrote.
pub(crate) fn read_owner(text: &str) -> Option<Owner> {
    let (upstream, incarnation) = text.split_once('.')?;
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    Some(Owner { upstream: Arc::from(upstream), incarnation })
}
