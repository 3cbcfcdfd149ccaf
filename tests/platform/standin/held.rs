//! What the stand-in of the key-value service holds, and what a copy of it brings back.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// What stands under a key.
#[derive(Clone, Debug)]
pub struct Item {
    /// In base64.
    pub value: String,
    revision: u64,
    lease: u64,
}

impl Item {
    /// The item as the service sends it.
    pub fn told(&self, key: &str) -> Value {
        json!({
            "privateKey": key,
            "value": self.value,
            "revision": self.revision,
            "created": self.revision,
            "lease": self.lease,
        })
    }
}

/// All that is lost where an older copy is brought back.
#[derive(Clone, Debug, Default)]
pub struct Held {
    pub revision: u64,
    pub items: BTreeMap<String, Item>,
    /// All changes that are kept, by revision.
    pub history: Vec<(u64, Value)>,
    /// How many leases have been granted; the numbers of those that have not ended.
    granted: u64,
    leases: Vec<u64>,
}

impl Held {
    /// Writes under a key, with a lease or none.
    pub fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let item = Item { value, revision: self.revision, lease };
        self.history.push((self.revision, item.told(key)));
        self.items.insert(key.to_owned(), item);
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let gone = json!({ "privateKey": key, "revision": self.revision, "tombstone": true });
        self.history.push((self.revision, gone));
    }

    /// Grants a lease.
    pub fn grant(&mut self) -> u64 {
        self.granted += 1;
        self.leases.push(self.granted);
        self.granted
    }

    /// Whether a lease is known.
    pub fn knows(&self, lease: u64) -> bool {
        self.leases.contains(&lease)
    }

    /// Ends a lease and removes what was written with it.
    pub fn end(&mut self, lease: u64) {
        self.leases.retain(|it| *it != lease);
        let of_it = |(_, item): &(&String, &Item)| item.lease == lease;
        let keys: Vec<_> = self.items.iter().filter(of_it).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}
