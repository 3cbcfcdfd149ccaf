//! The platform's key-value store, as far as routers use it.

use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::LocalBoxFuture;
use intents::Document;
use routing::{Crash, Host};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wire::{Build, Peer};

/// An entry of the store, or a change to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The operator's configuration.
    #[serde(with = "document")]
    Configuration(Box<Document>),
    /// An upstream's entry.
    Upstream {
        /// The upstream.
        host: Host,
        /// Grows with each write of the entry by the same start of the upstream.
        sequence: u64,
        /// The remaining time of its cold start.
        cold: Millis,
    },
    /// An upstream's entry was removed.
    UpstreamRemoved(Arc<str>),
    /// An upstream's entry is missing after an outage of the store, in which entries expire; it may
    /// come back.
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
    /// The upstreams that a router has saved for routers that start later.
    SavedHosts(Vec<Host>),
    /// The builds that may have begun a stream, as a router has saved them.
    SavedBuilds(Vec<Build>),
    /// The encoded warm prefixes that a router has saved for routers that start later.
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
    /// The store holds no configuration that can be read. Not passed on to other routers.
    UnreadableConfiguration {
        /// Why there is none.
        reason: String,
    },
}

/// The entry of a router that polls the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The router.
    pub router: Peer,
    /// Its direct and indirect subscribers.
    #[serde(default)]
    pub hearers: Vec<Peer>,
    /// The largest fleet size that the router has counted.
    #[serde(default)]
    pub most: usize,
}

impl Announcement {
    /// The router and its subscribers.
    pub fn routers(&self) -> impl Iterator<Item = &Peer> {
        std::iter::once(&self.router).chain(&self.hearers)
    }
}

/// How often the store has been restored from an older copy; zero if it does not report that.
///
/// After a restore, numbers of revisions and leases are issued again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Era(pub u64);

/// A revision of the store's content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The era of the store.
    pub era: Era,
    /// The number, which grows with each change.
    pub number: u64,
}

/// The result of one or more calls.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Entries or changes, in order.
    pub facts: Vec<Fact>,
    /// The revision up to which all changes are included.
    pub revision: Revision,
    /// The latest revision, in the same era, that any fact may be of. Above `revision` only if the
    /// pages of a read differ in revision.
    pub latest: u64,
    /// The total length of the answers in bytes.
    pub bytes: usize,
}

/// Why a call of the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The changes since the requested revision are compacted, or the revision is of another era.
    #[snafu(display("the changes since the revision are not available"))]
    HistoryGone,
    /// The changes since the requested revision are too long for a regular poll.
    #[snafu(display("the changes since the revision are too long for one poll"))]
    LongHistory,
    /// The store can't be reached, refused the call or closed the connection.
    #[snafu(display("{reason}"))]
    Unavailable {
        /// The cause.
        reason: String,
    },
}

/// The pending answer of a call.
pub type BatchFuture<'a> = LocalBoxFuture<'a, Result<Batch, Error>>;

/// A lease of the store; entries written with it are removed when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The era in which it was granted.
    pub era: Era,
    /// Its number.
    pub number: u64,
}

/// The platform's key-value store.
pub trait Store {
    /// Reads all entries that concern routers. The batch includes all changes up to its revision.
    fn read(&self) -> BatchFuture<'_>;

    /// Returns the changes after `revision` as soon as there are any, or an empty batch after
    /// `wait`.
    ///
    /// Fails with [`Error::HistoryGone`] if the revision is of an earlier era, and with
    /// [`Error::LongHistory`] if the changes are too long.
    fn watch(&self, revision: Revision, wait: Millis) -> BatchFuture<'_>;

    /// Returns the changes of upstreams after `revision`, also beyond the length limit of
    /// [`Store::watch`], and the current configuration, evacuations, crashes and announcements.
    /// Removed announcements are left out.
    ///
    /// Fails with [`Error::HistoryGone`] like [`Store::watch`].
    fn catch_up(&self, revision: Revision, wait: Millis) -> BatchFuture<'_>;

    /// Reads the announcements of all routers. With `allow_stale`, the answer may be some seconds
    /// old and is cheaper for the store.
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

    /// Saves upstreams for routers that start later, and the builds that may have begun a stream,
    /// if given, for all routers.
    fn save_hosts(
        &self,
        hosts: Vec<Host>,
        builds: Option<Vec<Build>>,
    ) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Saves encoded warm prefixes for routers that start later.
    fn save_prefixes(&self, prefixes: Bytes) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Saves encoded records of streams that `router` began, replacing those in the same `slot`.
    /// They are removed with the lease.
    fn save_streams(
        &self,
        router: Arc<str>,
        slot: u32,
        records: Bytes,
        lease: Lease,
    ) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Reads the saved records of streams that `router` began, by slot.
    fn load_streams(
        &self,
        router: Arc<str>,
    ) -> LocalBoxFuture<'_, Result<Vec<(u32, Bytes)>, Error>>;

    /// Grants a lease that ends `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Millis) -> LocalBoxFuture<'_, Result<Lease, Error>>;

    /// Writes the crashes that `router` has observed, replacing its previous report. The report is
    /// removed with the lease.
    fn report_crashes(
        &self,
        router: Arc<str>,
        crashes: Vec<Crash>,
        lease: Lease,
    ) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Renews a lease; returns `false` if it has ended, like all leases of an earlier era.
    fn renew_lease(&self, lease: Lease) -> LocalBoxFuture<'_, Result<bool, Error>>;

    /// Removes the announcement of router `name`. Its lease is left to expire: after a restore, the
    /// lease's number may belong to another writer.
    fn withdraw(&self, name: Arc<str>) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// The latest era that an answer contained.
    fn era(&self) -> Era;
}

/// Serializes a configuration as a JSON string, as `bincode` can't decode omitted fields.
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
