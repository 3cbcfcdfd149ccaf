//! The contents of the key-value store's stand-in, as saved and restored by a backup.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// The value of a key with its metadata.
#[derive(Clone, Debug)]
pub struct Item {
    /// In base64.
    pub value: String,
    revision: u64,
    lease: u64,
}

impl Item {
    /// The item in the JSON form of the service.
    pub fn to_json(&self, key: &str) -> Value {
        json!({
            "privateKey": key,
            "value": self.value,
            "revision": self.revision,
            "created": self.revision,
            "lease": self.lease,
        })
    }
}

/// Everything that a restore replaces.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    pub revision: u64,
    pub items: BTreeMap<String, Item>,
    /// The changes that are not compacted, by revision.
    pub history: Vec<(u64, Value)>,
    /// Number of leases granted; the last one's id.
    granted: u64,
    /// Ids of the leases that have not ended.
    leases: Vec<u64>,
}

impl Contents {
    /// Writes a key; `lease` 0 stands for none.
    pub fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let item = Item { value, revision: self.revision, lease };
        self.history.push((self.revision, item.to_json(key)));
        self.items.insert(key.to_owned(), item);
    }

    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let gone = json!({ "privateKey": key, "revision": self.revision, "tombstone": true });
        self.history.push((self.revision, gone));
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self) -> u64 {
        self.granted += 1;
        self.leases.push(self.granted);
        self.granted
    }

    /// Whether a lease was granted and has not ended.
    pub fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains(&lease)
    }

    /// Ends a lease and removes its keys.
    pub fn end(&mut self, lease: u64) {
        self.leases.retain(|other| *other != lease);
        let has_lease = |(_, item): &(&String, &Item)| item.lease == lease;
        let keys: Vec<_> =
            self.items.iter().filter(has_lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}
