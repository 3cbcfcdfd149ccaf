//! The index of the intents that match each workspace and kind.
//!
//! Intents without conditions on the workspace, as most of a large document are, are stored by kind
//! only.

use std::collections::HashMap;
use std::sync::Arc;

use crate::plan::{NAME, with_name};
use crate::{Document, Intent, Labels, Selector};

/// The matching intents, by their indices in the document.
#[derive(Debug, Default)]
pub(crate) struct Matches {
    /// Pairs of a kind and a matching intent for all workspaces, sorted.
    general: Vec<(usize, usize)>,
    /// The matching intents with conditions on the workspace, by workspace and kind.
    selective: HashMap<(usize, usize), Vec<usize>>,
}

impl Matches {
    /// Indexes the intents of `document`; `kind_indices` maps the names of its kinds to indices.
    pub(crate) fn new(document: &Document, kind_indices: &HashMap<Arc<str>, usize>) -> Self {
        let workspaces: Vec<_> = document
            .workspaces
            .iter()
            .map(|workspace| with_name(&workspace.name, &workspace.labels))
            .collect();
        let mut kinds = Kinds { document, indices: kind_indices, labels: Vec::new() };
        let mut matches = Self::default();
        for (index, intent) in document.intents.iter().enumerate() {
            let matching = kinds.matching(intent);
            if intent.workspaces.is_empty() {
                matches.general.extend(matching.into_iter().map(|kind| (kind, index)));
                continue;
            }
            let candidates = workspaces.iter().enumerate();
            for (workspace, _) in
                candidates.filter(|(_, labels)| Selector::all_match(&intent.workspaces, labels))
            {
                for kind in &matching {
                    matches.selective.entry((workspace, *kind)).or_default().push(index);
                }
            }
        }
        matches.general.sort_unstable();
        matches
    }

    /// The intents that match a workspace and a kind.
    pub(crate) fn of(&self, workspace: usize, kind: usize) -> impl Iterator<Item = usize> {
        let start = self.general.partition_point(|(other, _)| *other < kind);
        let general = self.general[start..].iter().take_while(move |(other, _)| *other == kind);
        let selective = self.selective.get(&(workspace, kind)).into_iter().flatten();
        general.map(|(_, index)| *index).chain(selective.copied())
    }
}

/// The kinds of a document, with their labels once they are needed.
struct Kinds<'a> {
    document: &'a Document,
    indices: &'a HashMap<Arc<str>, usize>,
    labels: Vec<Labels>,
}

impl Kinds<'_> {
    /// The indices of the kinds that match an intent. Most intents select one kind by its name, which
    /// needs no iteration.
    fn matching(&mut self, intent: &Intent) -> Vec<usize> {
        if let [Selector::Equals { label, value }] = &*intent.kinds
            && &**label == NAME
        {
            return self.indices.get(value).copied().into_iter().collect();
        }
        if self.labels.is_empty() {
            let kinds = self.document.kinds.iter();
            self.labels = kinds.map(|kind| with_name(&kind.name, &kind.labels)).collect();
        }
        let is_match = |kind: &usize| Selector::all_match(&intent.kinds, &self.labels[*kind]);
        (0..self.labels.len()).filter(is_match).collect()
    }
}
