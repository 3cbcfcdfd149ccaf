//! The platform's key-value service, as far as a router follows it.

use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::LocalBoxFuture;
use intents::Document;
use routing::{Crash, Host};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wire::Peer;

/// Something that the service holds or that has changed there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The operator's configuration.
    #[serde(with = "document")]
    Configuration(Box<Document>),
    /// An upstream has an entry.
    Upstream {
        /// The upstream.
        host: Host,
        /// Grows with what the upstream says of itself since its start; a lower one is older.
        sequence: u64,
        /// How much longer it is cold.
        cold: Millis,
    },
    /// An upstream's entry was removed.
    UpstreamRemoved(Arc<str>),
    /// An upstream's entry was missing as the service answered again after an outage, in which
    /// entries lapse: it may come back.
    UpstreamMissing(Arc<str>),
    /// An upstream's entry can't be read.
    UnreadableUpstream {
        /// The entry's name.
        entry: Arc<str>,
        /// What is wrong.
        reason: String,
    },
    /// A failure domain is to take nothing until that is taken back.
    Evacuated(Arc<str>),
    /// A failure domain may take work again.
    Restored(Arc<str>),
    /// All failure domains may take work, but for those that are named after this.
    AllRestored,
    /// A router of the fleet has announced itself.
    Router(Announcement),
    /// A router's announcement was removed or has lapsed.
    RouterRemoved(Arc<str>),
    /// The upstreams that a router has remembered.
    SavedHosts(Vec<Host>),
    /// What a router has remembered of warm parts of prompts, as it wrote it.
    SavedPrefixes(Bytes),
    /// Under what work upstreams ended, as a router told.
    Crashes {
        /// The router.
        router: Arc<str>,
        /// All that it told.
        crashes: Vec<Crash>,
    },
    /// What a router told of that is no longer kept.
    CrashesRemoved(Arc<str>),
    /// An entry that can't be read.
    Unreadable {
        /// Its key.
        key: Arc<str>,
        /// What is wrong.
        reason: String,
    },
}

/// What a router that follows the service tells of itself there, and of those that hear from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The router.
    pub router: Peer,
    /// The routers that hear from it.
    #[serde(default)]
    pub hearers: Vec<Peer>,
    /// The most routers that it has ever counted.
    #[serde(default)]
    pub most: usize,
}

impl Announcement {
    /// The router and all that hear from it.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        std::iter::once(&self.router).chain(&self.hearers)
    }
}

/// How often the service has come back from an older copy of itself, as it counts that; zero
/// where it does not tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Era(pub u64);

/// A place in the service's history. The numbers of one era are given out again in the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The era in which it was told.
    pub era: Era,
    /// Its number, which grows with each change.
    pub number: u64,
}

/// A part of what the service told.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// What is held or has changed, in order.
    pub facts: Vec<Fact>,
    /// The revision that the facts are of.
    pub revision: Revision,
    /// The latest revision, in the same era, that any of them may be of: parts that are read one
    /// after the other are of different ones. Lower than `revision` where none is later.
    pub latest: u64,
    /// How long the answers were, in bytes.
    pub bytes: usize,
}

/// Why the service told nothing.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The changes since the revision that was asked for are no longer kept.
    #[snafu(display("the history is gone"))]
    HistoryGone,
    /// The changes since the revision that was asked for are longer than a look may take.
    #[snafu(display("the history is long"))]
    LongHistory,
    /// The service can't be reached, refused or broke off.
    #[snafu(display("{reason}"))]
    Unavailable {
        /// What happened.
        reason: String,
    },
}

/// A call under way.
pub type BatchFuture<'a> = LocalBoxFuture<'a, Result<Batch, Error>>;

/// A lease of the service: what is written with it is removed with it. Where the service comes
/// back from an older copy, its number may become another writer's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The era in which it was granted.
    pub era: Era,
    /// Its number.
    pub number: u64,
}

/// The platform's key-value service.
pub trait Store {
    /// All that concerns routers, as it is now. The pages of a long answer are
    /// not of one revision; the batch has the lowest.
    fn read(&self) -> BatchFuture<'_>;

    /// What has changed after `revision`, as soon as there is something, or
    /// nothing after `wait`. The history of an earlier era is gone; one that is long is not read.
    fn watch(&self, revision: Revision, wait: Millis) -> BatchFuture<'_>;

    /// The same however long it is, without changes to the configuration that others have
    /// followed where these are many, and without routers whose announcements have ended.
    fn catch_up(&self, revision: Revision, wait: Millis) -> BatchFuture<'_>;

    /// The routers that announce themselves. Where it may be `old`, it may lack those of the
    /// last seconds, and costs the service little.
    fn announcements(&self, old: bool) -> LocalBoxFuture<'_, Result<Vec<Announcement>, Error>>;

    /// Announces a router; it lasts until the lease ends.
    fn announce(
        &self,
        announcement: Announcement,
        lease: Lease,
    ) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Remembers upstreams for routers that start.
    fn save_hosts(&self, hosts: Vec<Host>) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Remembers warm parts of prompts for routers that start.
    fn save_prefixes(&self, parts: Bytes) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// A lease that lasts for `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Millis) -> LocalBoxFuture<'_, Result<Lease, Error>>;

    /// Tells under what work upstreams ended, in place of what `router` told before; it is kept
    /// until the lease ends.
    fn report_crashes(
        &self,
        router: Arc<str>,
        crashes: Vec<Crash>,
        lease: Lease,
    ) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// Renews a lease; `false` means that it is over, as all of an earlier era are.
    fn renew_lease(&self, lease: Lease) -> LocalBoxFuture<'_, Result<bool, Error>>;

    /// Takes the announcement of router `name` back. Its lease is left to lapse: by the time its
    /// number may be another writer's.
    fn withdraw(&self, name: Arc<str>) -> LocalBoxFuture<'_, Result<(), Error>>;

    /// The latest era that an answer told of.
    fn era(&self) -> Era;
}

/// A configuration between routers: its own format is JSON, in which what is empty is left out.
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
