//! The idempotency keys that this life of the sidecar owns.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use errors::Kind;
use xxhash_rust::xxh3::Xxh3;

use crate::Settings;
use crate::call::Answer;

/// The digest of a request, to tell a repeat from a reuse of its key.
pub(crate) type Digest = u128;

/// What is known of a key.
#[derive(Debug)]
enum Record {
    Running,
    Done(Option<Arc<Answer>>),
    Unknown(Kind),
}

/// What a call with a key is to get.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// It is the first; it may run.
    First,
    /// It ran; this is its answer.
    Replay(Arc<Answer>),
    /// It may not run.
    Refuse(Kind),
}

/// Keys and stored answers, both bounded.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    records: HashMap<Arc<str>, (Digest, Record)>,
    stored: VecDeque<(Arc<str>, usize)>,
    bytes: usize,
}

impl Keys {
    /// Takes a key; a full table takes no further one, since forgetting one
    /// could make it run twice.
    pub(crate) fn take(&mut self, key: &Arc<str>, digest: Digest, settings: &Settings) -> Verdict {
        match self.records.get(key) {
            Some((known, _)) if *known != digest => Verdict::Refuse(Kind::KeyReused),
            Some((_, Record::Running)) => Verdict::Refuse(Kind::KeyBusy),
            Some((_, Record::Done(Some(answer)))) => Verdict::Replay(answer.clone()),
            Some((_, Record::Done(None))) => Verdict::Refuse(Kind::AnswerDropped),
            Some((_, Record::Unknown(kind))) => Verdict::Refuse(*kind),
            None if self.records.len() >= settings.keys => Verdict::Refuse(Kind::QueueFull),
            None => {
                self.records.insert(key.clone(), (digest, Record::Running));
                Verdict::First
            }
        }
    }

    /// The call did not run after all; its key may come again.
    pub(crate) fn release(&mut self, key: &str) {
        self.records.remove(key);
    }

    /// The call ran and this is its answer.
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

    /// The call was handed over and its answer is not known.
    pub(crate) fn mark_unknown(&mut self, key: &str, kind: Kind) {
        if let Some((_, record)) = self.records.get_mut(key) {
            *record = Record::Unknown(kind);
        }
    }
}

/// The digest of method, path and body.
pub(crate) fn digest(open: &wire::Open) -> Digest {
    let mut hasher = Xxh3::new();
    for part in [open.method.as_bytes(), open.path.as_bytes(), &open.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
