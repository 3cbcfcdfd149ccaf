//! What an operator may set about places.

use serde::{Deserialize, Serialize};

/// Whether requests wait for a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// A request gets a place at once or is refused.
    None,
    /// It waits for a part of its objective.
    #[default]
    Short,
}

/// What is set about places.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether requests wait for a place.
    pub wait: Wait,
}
