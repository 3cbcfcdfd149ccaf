//! Labels and selectors.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The labels of a workspace, a kind of request or an upstream.
///
/// The label `name` always holds the name of the labelled object.
pub type Labels = BTreeMap<Arc<str>, Arc<str>>;

/// A condition on labels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum Selector {
    /// The label has this value.
    Equals {
        /// The label's name.
        label: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// The label has one of these values.
    In {
        /// The label's name.
        label: Arc<str>,
        /// The values.
        values: Vec<Arc<str>>,
    },
    /// The label exists with any value.
    Exists {
        /// The label's name.
        label: Arc<str>,
    },
    /// The inner condition does not hold.
    Not {
        /// The inner condition.
        selector: Box<Selector>,
    },
}

impl Selector {
    /// Whether `labels` meet the condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::Equals { label, value } => labels.get(label) == Some(value),
            Self::In { label, values } => {
                labels.get(label).is_some_and(|value| values.contains(value))
            }
            Self::Exists { label } => labels.contains_key(label),
            Self::Not { selector } => !selector.matches(labels),
        }
    }

    /// Whether `labels` meet all of `selectors`.
    pub fn all_match(selectors: &[Self], labels: &Labels) -> bool {
        selectors.iter().all(|selector| selector.matches(labels))
    }
}
