//! Serializes the digests of a workspace's keys: a single one as a string, otherwise a list.

use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Keys {
    Single(Arc<str>),
    List(Vec<Arc<str>>),
}

pub(crate) fn serialize<S: Serializer>(
    keys: &[Arc<str>],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match keys {
        [key] => Keys::Single(key.clone()).serialize(serializer),
        keys => Keys::List(keys.to_vec()).serialize(serializer),
    }
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Arc<str>>, D::Error> {
    Ok(match Keys::deserialize(deserializer)? {
        Keys::Single(key) => vec![key],
        Keys::List(keys) => keys,
    })
}
