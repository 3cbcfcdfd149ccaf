//! The parts of the platform's key-value service that routers use.

use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::LocalBoxFuture;
use intents::Document;
use routing::{Crash, Host};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wire::Peer;

/// An entry of the service, or a change to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The operator's configuration.
    #[serde(with = "document")]
    Configuration(Box<Document>),
    /// An upstream's entry.
    Upstream {
        /// The upstream.
        host: Host,
        /// Grows with each write of the upstream since its start; a lower one is older.
        sequence: u64,
        /// How much longer it is cold.
        cold: Millis,
    },
    /// An upstream's entry was removed.
    UpstreamRemoved(Arc<str>),
    /// An upstream's entry is missing after an outage of the service, in which entries expire; it
    /// may come back.
    UpstreamMissing(Arc<str>),
    /// An upstream's entry can't be read.
    UnreadableUpstream {
        /// The entry's name.
        entry: Arc<str>,
        /// Why it can't be read.
        reason: String,
    },
    /// A failure domain takes no requests until it is restored.
    Evacuated(Arc<str>),
    /// A failure domain takes requests again.
    Restored(Arc<str>),
    /// All failure domains take requests, except those in later facts.
    AllRestored,
    /// A router's announcement.
    Router(Announcement),
    /// A router's announcement was removed or has expired.
    RouterRemoved(Arc<str>),
    /// The upstreams that a router has saved for starting routers.
    SavedHosts(Vec<Host>),
    /// The encoded warm prefixes that a router has saved for starting routers.
    SavedPrefixes(Bytes),
    /// The crashes that a router has reported.
    Crashes {
        /// The router.
        router: Arc<str>,
        /// All its reported crashes.
        crashes: Vec<Crash>,
    },
    /// A router's reported crashes were removed or have expired.
    CrashesRemoved(Arc<str>),
    /// An entry that can't be read.
    Unreadable {
        /// Its key.
        key: Arc<str>,
        /// Why it can't be read.
        reason: String,
    },
}

/// The entry of a router that polls the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The router.
    pub router: Peer,
    /// Its direct and indirect subscribers.
    #[serde(default)]
    pub hearers: Vec<Peer>,
    /// The largest number of routers that it has counted.
    #[serde(default)]
    pub most: usize,
}

impl Announcement {
    /// The router and its subscribers.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        std::iter::once(&self.router).chain(&self.hearers)
    }
}

/// How often the service has been restored from an older copy; zero if it does not report that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Era(pub u64);

/// A revision of the service's content. Each era reuses numbers of the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The era of the service.
    pub era: Era,
    /// The number, which grows with each change.
    pub number: u64,
}

/// An answer of the service.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Entries or changes, in order.
    pub facts: Vec<Fact>,
    /// The revision up to which all changes are included.
    pub revision: Revision,
    /// The latest revision, in the same era, that any fact may be of, as pages that are read one
    /// after the other differ in revision. Lower than `revision` if no fact is later.
    pub latest: u64,
    /// The length of the answers in bytes.
    pub bytes: usize,
}

/// Why a call of the service failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The changes since the requested revision have been compacted.
    #[snafu(display("the history is gone"))]
    HistoryGone,
    /// The changes since the requested revision are too long for a regular poll.
    #[snafu(display("the history is long"))]
    LongHistory,
    /// The service can't be reached, refused the call or broke off.
    #[snafu(display("{reason}"))]
    Unavailable {
        /// The cause.
        reason: String,
    },
}

/// The pending answer of a call.
pub type BatchFuture<'a> = LocalBoxFuture<'a, Result<Batch, Error>>;

/// A lease of the service; entries written with it are removed when it ends. After a restore from
/// an older copy, its number may belong to another writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The era in which it was granted.
    pub era: Era,
    /// Its number.
    pub number: u64,
}

/// The platform's key-value service.
pub trait Store {
    /// Reads all entries that concern routers. The pages of a long answer may differ in revision;
    /// the batch has the lowest.
    fn read(&self) -> BatchFuture<'_>;

    /// Returns the changes after `revision` as soon as there are any, or an empty batch after
    /// `wait`.
    ///
    /// Fails with [`Error::HistoryGone`] if the revision is of an earlier era, and with
    /// [`Error::LongHistory`] if the changes are too long.
    fn watch(&self, revision: Revision, wait: Millis) -> BatchFuture<'_>;

    /// Like [`Store::watch`] without a limit of the length. Leaves out outdated configurations if
    /// there are many, and the ends of announcements.
    fn catch_up(&self, revision: Revision, wait: Millis) -> BatchFuture<'_>;

    /// Reads the announcements of all routers. With `allow_stale`, the answer may be some seconds old and
    /// is cheaper for the service.
    fn announcements(
        &self,
        allow_stale: bool,
    ) -> LocalBoxFuture<'_, Result<Vec<Announcement>, Error>>;

    /// Writes a router's announcement, which is removed with the lease.
    fn announce(
        &self,
        announcement: Announcement,
        lease: Lease,
    ) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Saves upstreams for starting routers.
    fn save_hosts(&self, hosts: Vec<Host>) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Saves encoded warm prefixes for starting routers.
    fn save_prefixes(&self, prefixes: Bytes) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Grants a lease that ends `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Millis) -> LocalBoxFuture<'_, Result<Lease, Error>>;

    /// Writes the crashes that `router` has seen, replacing its previous report. The report is
    /// removed with the lease.
    fn report_crashes(
        &self,
        router: Arc<str>,
        crashes: Vec<Crash>,
        lease: Lease,
    ) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Renews a lease; returns `false` if it has ended, like all leases of an earlier era.
    fn renew_lease(&self, lease: Lease) -> LocalBoxFuture<'_, Result<bool, Error>>;

    /// Removes the announcement of router `name`. Its lease is left to expire, as its number may
    /// belong to another writer by now.
    fn withdraw(&self, name: Arc<str>) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// The latest era that an answer contained.
    fn era(&self) -> Era;
}

/// Serializes a configuration as JSON, its own format, in which empty fields are left out.
mod document {
    use intents::Document;
    use serde::de::Error as _;
    use serde::ser::Error as _;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<S: Serializer>(
        document: &Document,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let json = serde_json::to_string(document).map_err(S::Error::custom)?;
        json.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Box<Document>, D::Error> {
        let json = String::deserialize(deserializer)?;
        serde_json::from_str(&json).map_err(D::Error::custom)
    }
}
