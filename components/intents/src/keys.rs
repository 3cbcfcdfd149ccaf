//! How the digests of a workspace's keys stand in a document: one, or a list.

use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Keys {
    One(Arc<str>),
    Many(Vec<Arc<str>>),
}

pub(crate) fn serialize<S: Serializer>(
    keys: &[Arc<str>],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match keys {
        [key] => Keys::One(key.clone()).serialize(serializer),
        keys => Keys::Many(keys.to_vec()).serialize(serializer),
    }
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Arc<str>>, D::Error> {
    Ok(match Keys::deserialize(deserializer)? {
        Keys::One(key) => vec![key],
        Keys::Many(keys) => keys,
    })
}
