//! Which intents match which workspaces and kinds.
//!
//! Most intents of a large document are for all workspaces and one kind. They stand in one
//! list by kind; only those that select workspaces are kept by workspace and kind. A row for
//! each workspace and kind took 41,000 lists with 1,600 kinds and 25 workspaces.

use std::collections::HashMap;
use std::sync::Arc;

use crate::plan::{NAME, named};
use crate::{Document, Intent, Labels, Selector};

/// The matching intents, by their places in the document.
#[derive(Debug, Default)]
pub(crate) struct Matches {
    /// Kinds and the intents for all workspaces that match them, sorted.
    general: Vec<(usize, usize)>,
    /// For a workspace and a kind, the matching intents that select workspaces.
    selective: HashMap<(usize, usize), Vec<usize>>,
}

impl Matches {
    /// The matches of `document`, whose kinds stand at `places`.
    pub(crate) fn new(document: &Document, places: &HashMap<Arc<str>, usize>) -> Self {
        let workspaces: Vec<_> =
            document.workspaces.iter().map(|it| named(&it.name, &it.labels)).collect();
        let mut kinds = Kinds { document, places, labels: Vec::new() };
        let mut matches = Self::default();
        for (place, intent) in document.intents.iter().enumerate() {
            let fitting = kinds.fitting(intent);
            if intent.workspaces.is_empty() {
                matches.general.extend(fitting.into_iter().map(|kind| (kind, place)));
                continue;
            }
            let selected = workspaces.iter().enumerate();
            for (workspace, _) in
                selected.filter(|(_, labels)| Selector::all_match(&intent.workspaces, labels))
            {
                for kind in &fitting {
                    matches.selective.entry((workspace, *kind)).or_default().push(place);
                }
            }
        }
        matches.general.sort_unstable();
        matches
    }

    /// The intents that match a workspace and a kind.
    pub(crate) fn of(&self, workspace: usize, kind: usize) -> impl Iterator<Item = usize> {
        let start = self.general.partition_point(|(it, _)| *it < kind);
        let general = self.general[start..].iter().take_while(move |(it, _)| *it == kind);
        let selective = self.selective.get(&(workspace, kind)).into_iter().flatten();
        general.map(|(_, place)| *place).chain(selective.copied())
    }
}

/// The kinds of a document, and their labels once an intent asks for them.
struct Kinds<'a> {
    document: &'a Document,
    places: &'a HashMap<Arc<str>, usize>,
    labels: Vec<Labels>,
}

impl Kinds<'_> {
    /// The places of the kinds that an intent names. Most intents select one kind by its
    /// name, which needs no look at the others.
    fn fitting(&mut self, intent: &Intent) -> Vec<usize> {
        if let [Selector::Equals { label, value }] = &*intent.kinds
            && &**label == NAME
        {
            return self.places.get(value).copied().into_iter().collect();
        }
        if self.labels.is_empty() {
            let kinds = self.document.kinds.iter();
            self.labels = kinds.map(|it| named(&it.name, &it.labels)).collect();
        }
        let fits = |it: &usize| Selector::all_match(&intent.kinds, &self.labels[*it]);
        (0..self.labels.len()).filter(fits).collect()
    }
}
