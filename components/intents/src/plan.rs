//! The compiled form of a document.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use subtle::ConstantTimeEq;

use crate::check::check;
use crate::digest::digest;
use crate::matches::Matches;
use crate::{Document, Error, Intent, Kind, Labels, Pool, Selector, Workspace};

/// The label that holds a thing's own name.
pub(crate) const NAME: &str = "name";

/// The label that tells which model an engine serves.
const MODEL: &str = "model";

/// A document in force.
#[derive(Debug)]
pub struct Plan {
    document: Document,
    workspaces: HashMap<Arc<str>, usize>,
    kinds: HashMap<Arc<str>, usize>,
    models: HashSet<Arc<str>>,
    labels: HashMap<Arc<str>, Labels>,
    /// The workspace that holds each key, by the key's digest.
    keys: HashMap<Arc<str>, usize>,
    /// For each host, the prefixes and their kinds, the longest prefix first.
    paths: HashMap<Arc<str>, Vec<(Arc<str>, usize)>>,
    matches: Matches,
}

/// Where a request may go, and how.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// The intent that decided.
    pub intent: &'a Intent,
    /// Whether the fleet may run the request again by itself.
    pub repeatable: bool,
    /// The kind of request.
    pub kind: &'a Kind,
    /// The priority of the workspace, else of the intent.
    pub priority: i32,
    /// Which upstreams the workspace's work may go to, beside what the intent says.
    pub workspace_upstreams: &'a [Selector],
}

/// Why no intent decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Miss {
    /// The workspace or the kind is not in the document, or no intent matches.
    NoIntent,
    /// The model is not in the document.
    UnknownModel,
    /// These two intents match at the same rank.
    Ambiguous(Arc<str>, Arc<str>),
}

impl Plan {
    /// Checks `document` and compiles it.
    ///
    /// # Errors
    ///
    /// The first value that breaks a rule, with its path.
    pub fn compile(document: Document) -> Result<Self, Error> {
        check(&document)?;
        let workspaces = index(document.workspaces.iter().map(|it| &it.name));
        let kinds = index(document.kinds.iter().map(|it| &it.name));
        let models = document.models.iter().cloned().collect();
        let labels =
            document.upstreams.iter().map(|it| (it.name.clone(), it.labels.clone())).collect();
        let keys = keys(&document);
        let paths = paths(&document);
        let matches = Matches::new(&document, &kinds);
        Ok(Self { document, workspaces, kinds, models, labels, keys, paths, matches })
    }

    /// The generation of the document.
    pub fn generation(&self) -> u64 {
        self.document.generation
    }

    /// The document that was compiled.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Whether `key` is the key of `workspace`; takes the same time for any
    /// wrong key.
    pub fn authenticate(&self, workspace: &str, key: &str) -> bool {
        let digest = digest(key);
        let Some(place) = self.workspaces.get(workspace) else {
            return false;
        };
        let expected = &self.document.workspaces[*place].key_sha256;
        let same = |it: &Arc<str>| bool::from(digest.as_bytes().ct_eq(it.as_bytes()));
        expected.iter().fold(false, |any, it| any | same(it))
    }

    /// The workspace that holds `key`. The look-up is by digest, so that its
    /// time tells nothing about keys.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Arc<str>> {
        let place = self.keys.get(digest(key).as_str())?;
        Some(&self.document.workspaces[*place].name)
    }

    /// The workspace of callers without a key: the first that has none.
    pub fn anonymous_workspace(&self) -> Option<&Arc<str>> {
        let keyless = |it: &&Workspace| it.key_sha256.is_empty();
        self.document.workspaces.iter().find(keyless).map(|it| &it.name)
    }

    /// Whether the document names `model`.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.contains(model)
    }

    /// The kind of request at `path` of `host`: the one with the longest prefix.
    pub fn match_path(&self, host: &str, path: &str) -> Option<&Kind> {
        let prefixes = self.paths.get(host)?;
        let (_, place) = prefixes.iter().find(|(prefix, _)| path.starts_with(&**prefix))?;
        Some(&self.document.kinds[*place])
    }

    /// The intent that decides over a request.
    ///
    /// # Errors
    ///
    /// Why none does.
    pub fn find(
        &self,
        workspace: &str,
        kind: &str,
        model: Option<&str>,
    ) -> Result<Target<'_>, Miss> {
        if model.is_some_and(|model| !self.models.contains(model)) {
            return Err(Miss::UnknownModel);
        }
        let place = *self.workspaces.get(workspace).ok_or(Miss::NoIntent)?;
        let workspace = &self.document.workspaces[place];
        let kind = *self.kinds.get(kind).ok_or(Miss::NoIntent)?;
        let intent = self.decides(place, kind, model)?;
        let kind = &self.document.kinds[kind];
        let priority = workspace.priority.unwrap_or(intent.priority);
        let workspace_upstreams = &workspace.upstreams;
        Ok(Target { intent, repeatable: kind.repeatable, kind, priority, workspace_upstreams })
    }

    /// The intent of the highest rank that matches a workspace and a kind, by their places.
    fn decides(&self, workspace: usize, kind: usize, model: Option<&str>) -> Result<&Intent, Miss> {
        let intents = &self.document.intents;
        let matching = || self.matches.of(workspace, kind);
        let fitting = || matching().filter(|it| names(&intents[*it].models, model));
        let rank = fitting().map(|it| intents[it].rank).max().ok_or(Miss::NoIntent)?;
        let highest = || fitting().filter(|it| intents[*it].rank == rank);
        let first = highest().min().ok_or(Miss::NoIntent)?;
        let Some(rival) = highest().filter(|it| *it != first).min() else {
            return Ok(&intents[first]);
        };
        Err(Miss::Ambiguous(intents[first].name.clone(), intents[rival].name.clone()))
    }

    /// What is known of the pool called `name`.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.document.pools.iter().find(|it| &*it.name == name)
    }

    /// The labels of an upstream: what its host reports and what operators add.
    pub fn labels(&self, upstream: &str, reported: &Labels) -> Labels {
        let mut labels = reported.clone();
        if let Some(added) = self.labels.get(upstream) {
            labels.extend(added.iter().map(|(label, value)| (label.clone(), value.clone())));
        }
        labels.insert(NAME.into(), upstream.into());
        labels
    }
}

impl Intent {
    /// Whether an upstream with `labels` in `domain` may take a request for
    /// `model` under this intent.
    pub fn matches_upstream(&self, labels: &Labels, domain: &str, model: Option<&str>) -> bool {
        self.matches_model_and_domain(labels, domain, model)
            && Selector::all_match(&self.upstreams, labels)
    }

    /// The same, but for the intent's own selectors of upstreams.
    pub fn matches_model_and_domain(
        &self,
        labels: &Labels,
        domain: &str,
        model: Option<&str>,
    ) -> bool {
        let served = labels.get(MODEL).map(AsRef::as_ref);
        (model.is_none() || served == model)
            && (self.domains.is_empty() || self.domains.iter().any(|it| &**it == domain))
    }
}

fn names(models: &[Arc<str>], model: Option<&str>) -> bool {
    models.is_empty() || model.is_some_and(|model| models.iter().any(|it| &**it == model))
}

fn index<'a>(names: impl Iterator<Item = &'a Arc<str>>) -> HashMap<Arc<str>, usize> {
    names.enumerate().map(|(place, name)| (name.clone(), place)).collect()
}

pub(crate) fn named(name: &Arc<str>, labels: &Labels) -> Labels {
    let mut labels = labels.clone();
    labels.insert(NAME.into(), name.clone());
    labels
}

fn keys(document: &Document) -> HashMap<Arc<str>, usize> {
    let workspaces = document.workspaces.iter().enumerate();
    workspaces
        .flat_map(|(place, it)| it.key_sha256.iter().map(move |key| (key.clone(), place)))
        .collect()
}

fn paths(document: &Document) -> HashMap<Arc<str>, Vec<(Arc<str>, usize)>> {
    let mut paths: HashMap<Arc<str>, Vec<_>> = HashMap::new();
    for (place, kind) in document.kinds.iter().enumerate() {
        for path in &kind.paths {
            paths.entry(path.host.clone()).or_default().push((path.prefix.clone(), place));
        }
    }
    for prefixes in paths.values_mut() {
        prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
    }
    paths
}
