//! The idempotency keys owned by this incarnation of the sidecar.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use errors::Kind;
use xxhash_rust::xxh3::Xxh3;

use crate::Settings;
use crate::call::Answer;

/// The digest of a request, which distinguishes a repeat from a reuse of its key.
pub(crate) type Digest = u128;

/// The state of a key.
#[derive(Debug)]
enum Record {
    Running,
    Done(Option<Arc<Answer>>),
    Unknown(Kind),
}

/// How to handle a request with a key.
#[derive(Debug)]
pub(crate) enum Action {
    /// Run it: the key is new.
    Run,
    /// Replay the stored answer.
    Replay(Arc<Answer>),
    /// Refuse it.
    Refuse(Kind),
}

/// Keys and stored answers. Both are bounded.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    records: HashMap<Arc<str>, (Digest, Record)>,
    stored: VecDeque<(Arc<str>, usize)>,
    bytes: usize,
}

impl Keys {
    /// Registers a key. A full table refuses new keys, as dropping one could run a request twice.
    pub(crate) fn register(
        &mut self,
        key: &Arc<str>,
        digest: Digest,
        settings: &Settings,
    ) -> Action {
        match self.records.get(key) {
            Some((known, _)) if *known != digest => Action::Refuse(Kind::KeyReused),
            Some((_, Record::Running)) => Action::Refuse(Kind::KeyBusy),
            Some((_, Record::Done(Some(answer)))) => Action::Replay(answer.clone()),
            Some((_, Record::Done(None))) => Action::Refuse(Kind::AnswerDropped),
            Some((_, Record::Unknown(kind))) => Action::Refuse(*kind),
            None if self.records.len() >= settings.keys => Action::Refuse(Kind::QueueFull),
            None => {
                self.records.insert(key.clone(), (digest, Record::Running));
                Action::Run
            }
        }
    }

    /// Removes the key of a call that did not run.
    pub(crate) fn release(&mut self, key: &str) {
        self.records.remove(key);
    }

    /// Stores the answer of a call. Answers that are too large are not replayed, and the oldest are
    /// dropped beyond the total size.
    pub(crate) fn store(&mut self, key: &Arc<str>, answer: Answer, settings: &Settings) {
        let size = answer.size;
        let keep = size <= settings.answer_bytes;
        if let Some((_, record)) = self.records.get_mut(key) {
            *record = Record::Done(keep.then(|| Arc::new(answer)));
        }
        if !keep {
            return;
        }
        self.stored.push_back((key.clone(), size));
        self.bytes += size;
        while self.bytes > settings.answers_bytes {
            let Some((oldest, size)) = self.stored.pop_front() else {
                break;
            };
            self.bytes -= size;
            if let Some((_, record)) = self.records.get_mut(&oldest) {
                *record = Record::Done(None);
            }
        }
    }

    /// Marks the key of a call that was sent to the upstream and has no known answer.
    pub(crate) fn mark_unknown(&mut self, key: &str, kind: Kind) {
        if let Some((_, record)) = self.records.get_mut(key) {
            *record = Record::Unknown(kind);
        }
    }
}

/// Hashes method, path and body.
pub(crate) fn digest(open: &wire::Open) -> Digest {
    let mut hasher = Xxh3::new();
    for part in [open.method.as_bytes(), open.path.as_bytes(), &open.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
