//! The compiled form of a document, for lookups.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use subtle::ConstantTimeEq;

use crate::check::check;
use crate::digest::digest;
use crate::matches::Matches;
use crate::{Document, Error, Intent, Kind, Labels, Pool, Selector, Workspace};

/// The label that holds the name of the labelled object.
pub(crate) const NAME: &str = "name";

/// The label that holds the model of an engine.
const MODEL: &str = "model";

/// A validated document with indices for lookups.
#[derive(Debug)]
pub struct Plan {
    document: Document,
    workspaces: HashMap<Arc<str>, usize>,
    kinds: HashMap<Arc<str>, usize>,
    models: HashSet<Arc<str>>,
    labels: HashMap<Arc<str>, Labels>,
    /// The workspace of each key, by the key's digest.
    keys: HashMap<Arc<str>, usize>,
    /// The path prefixes of each host with their kinds, longest first.
    paths: HashMap<Arc<str>, Vec<(Arc<str>, usize)>>,
    matches: Matches,
}

/// The result of a lookup: how a request is routed.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// The intent that applies.
    pub intent: &'a Intent,
    /// Whether the fleet may retry the request on its own.
    pub repeatable: bool,
    /// The kind of request.
    pub kind: &'a Kind,
    /// The priority of the workspace, or of the intent if the workspace has none.
    pub priority: i32,
    /// The workspace's conditions on upstreams, beside those of the intent.
    pub workspace_upstreams: &'a [Selector],
}

/// Why no intent applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Miss {
    /// The workspace or the kind is not in the document, or no intent matches.
    NoIntent,
    /// The model is not in the document.
    UnknownModel,
    /// These two intents match with the same rank.
    Ambiguous(Arc<str>, Arc<str>),
}

impl Plan {
    /// Validates and compiles `document`.
    ///
    /// # Errors
    ///
    /// The first value that breaks a rule, with its path.
    pub fn compile(document: Document) -> Result<Self, Error> {
        check(&document)?;
        let workspaces = index(document.workspaces.iter().map(|workspace| &workspace.name));
        let kinds = index(document.kinds.iter().map(|kind| &kind.name));
        let models = document.models.iter().cloned().collect();
        let labels = document
            .upstreams
            .iter()
            .map(|upstream| (upstream.name.clone(), upstream.labels.clone()))
            .collect();
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

    /// Whether `key` is a key of `workspace`. Takes the same time for any
    /// wrong key.
    pub fn authenticate(&self, workspace: &str, key: &str) -> bool {
        let digest = digest(key);
        let Some(index) = self.workspaces.get(workspace) else {
            return false;
        };
        let expected = &self.document.workspaces[*index].key_sha256;
        let is_equal = |key: &Arc<str>| bool::from(digest.as_bytes().ct_eq(key.as_bytes()));
        expected.iter().fold(false, |any, key| any | is_equal(key))
    }

    /// The workspace of `key`. The lookup is by digest, so that its time reveals
    /// nothing about keys.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Arc<str>> {
        let index = self.keys.get(digest(key).as_str())?;
        Some(&self.document.workspaces[*index].name)
    }

    /// The workspace of callers without a key: the first one without keys.
    pub fn anonymous_workspace(&self) -> Option<&Arc<str>> {
        let is_keyless = |workspace: &&Workspace| workspace.key_sha256.is_empty();
        self.document.workspaces.iter().find(is_keyless).map(|workspace| &workspace.name)
    }

    /// Whether `model` may be requested.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.contains(model)
    }

    /// The kind of requests to `path` at `host`: the one with the longest matching prefix.
    pub fn match_path(&self, host: &str, path: &str) -> Option<&Kind> {
        let prefixes = self.paths.get(host)?;
        let (_, index) = prefixes.iter().find(|(prefix, _)| path.starts_with(&**prefix))?;
        Some(&self.document.kinds[*index])
    }

    /// Finds the intent that applies to a request.
    ///
    /// # Errors
    ///
    /// The reason why none does.
    pub fn find(
        &self,
        workspace: &str,
        kind: &str,
        model: Option<&str>,
    ) -> Result<Target<'_>, Miss> {
        if model.is_some_and(|model| !self.models.contains(model)) {
            return Err(Miss::UnknownModel);
        }
        let index = *self.workspaces.get(workspace).ok_or(Miss::NoIntent)?;
        let workspace = &self.document.workspaces[index];
        let kind = *self.kinds.get(kind).ok_or(Miss::NoIntent)?;
        let intent = self.highest_ranked(index, kind, model)?;
        let kind = &self.document.kinds[kind];
        let priority = workspace.priority.unwrap_or(intent.priority);
        let workspace_upstreams = &workspace.upstreams;
        Ok(Target { intent, repeatable: kind.repeatable, kind, priority, workspace_upstreams })
    }

    /// The intent of the highest rank that matches a workspace and a kind, given by their indices.
    fn highest_ranked(
        &self,
        workspace: usize,
        kind: usize,
        model: Option<&str>,
    ) -> Result<&Intent, Miss> {
        let intents = &self.document.intents;
        let candidates = || self.matches.of(workspace, kind);
        let matching =
            || candidates().filter(|intent| matches_model(&intents[*intent].models, model));
        let rank = matching().map(|intent| intents[intent].rank).max().ok_or(Miss::NoIntent)?;
        let highest = || matching().filter(|intent| intents[*intent].rank == rank);
        let first = highest().min().ok_or(Miss::NoIntent)?;
        let Some(second) = highest().filter(|intent| *intent != first).min() else {
            return Ok(&intents[first]);
        };
        Err(Miss::Ambiguous(intents[first].name.clone(), intents[second].name.clone()))
    }

    /// The properties of the pool `name`.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.document.pools.iter().find(|pool| &*pool.name == name)
    }

    /// The labels of an upstream: those that the platform reports, those that operators add, and its
    /// name.
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

    /// Like [`Intent::matches_upstream`], without the intent's conditions on upstreams.
    pub fn matches_model_and_domain(
        &self,
        labels: &Labels,
        domain: &str,
        model: Option<&str>,
    ) -> bool {
        let served = labels.get(MODEL).map(AsRef::as_ref);
        (model.is_none() || served == model)
            && (self.domains.is_empty() || self.domains.iter().any(|allowed| &**allowed == domain))
    }
}

/// Whether `models` is empty or contains `model`.
fn matches_model(models: &[Arc<str>], model: Option<&str>) -> bool {
    models.is_empty() || model.is_some_and(|model| models.iter().any(|name| &**name == model))
}

fn index<'a>(names: impl Iterator<Item = &'a Arc<str>>) -> HashMap<Arc<str>, usize> {
    names.enumerate().map(|(index, name)| (name.clone(), index)).collect()
}

/// `labels` with the label [`NAME`].
pub(crate) fn with_name(name: &Arc<str>, labels: &Labels) -> Labels {
    let mut labels = labels.clone();
    labels.insert(NAME.into(), name.clone());
    labels
}

fn keys(document: &Document) -> HashMap<Arc<str>, usize> {
    let workspaces = document.workspaces.iter().enumerate();
    workspaces
        .flat_map(|(index, workspace)| {
            workspace.key_sha256.iter().map(move |key| (key.clone(), index))
        })
        .collect()
}

fn paths(document: &Document) -> HashMap<Arc<str>, Vec<(Arc<str>, usize)>> {
    let mut paths: HashMap<Arc<str>, Vec<_>> = HashMap::new();
    for (index, kind) in document.kinds.iter().enumerate() {
        for path in &kind.paths {
            paths.entry(path.host.clone()).or_default().push((path.prefix.clone(), index));
        }
    }
    for prefixes in paths.values_mut() {
        prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
    }
    paths
}
