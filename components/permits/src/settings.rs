//! Settings for permits.

use serde::{Deserialize, Serialize};

/// Whether requests wait for a permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// A request is granted at once or refused.
    None,
    /// A request waits for part of its objective.
    #[default]
    Short,
}

/// The settings of an issuer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether requests wait for a permit.
    pub wait: Wait,
}
