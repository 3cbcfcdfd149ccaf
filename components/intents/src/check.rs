//! Validation of documents beyond their JSON structure.

use std::collections::HashSet;
use std::fmt::Debug;
use std::sync::Arc;

use serde::Serialize;
use snafu::ensure;

use crate::error::RuleSnafu;
use crate::{Document, Error, Intent, MAX_DEADLINE_MS, Workspace, digest};

/// Checks the rules that the types do not ensure.
///
/// # Errors
///
/// The first value that breaks a rule, with its path.
pub(crate) fn check(document: &Document) -> Result<(), Error> {
    let path = || "generation".to_owned();
    check_rule(document.generation > 0, path, &document.generation, "a number above 0")?;
    check_names("workspaces", document.workspaces.iter().map(|workspace| &workspace.name))?;
    check_names("kinds", document.kinds.iter().map(|kind| &kind.name))?;
    check_names("upstreams", document.upstreams.iter().map(|upstream| &upstream.name))?;
    check_names("intents", document.intents.iter().map(|intent| &intent.name))?;
    for (index, workspace) in document.workspaces.iter().enumerate() {
        check_workspace(index, workspace)?;
    }
    for (index, intent) in document.intents.iter().enumerate() {
        check_intent(index, intent, &document.models)?;
    }
    Ok(())
}

fn check_workspace(index: usize, workspace: &Workspace) -> Result<(), Error> {
    let path = || format!("workspaces[{index}].key_sha256");
    let is_digest = |key: &Arc<str>| key.len() == digest::LENGTH && key.bytes().all(is_lower_hex);
    let holds = workspace.key_sha256.iter().all(is_digest);
    check_rule(holds, path, &"(not shown)", "64 lower-case hexadecimal digits")
}

fn check_intent(index: usize, intent: &Intent, models: &[Arc<str>]) -> Result<(), Error> {
    let path = || format!("intents[{index}].deadline_ms");
    let holds = (1..=MAX_DEADLINE_MS).contains(&intent.deadline_ms);
    check_rule(holds, path, &intent.deadline_ms, "1 to 86400000")?;
    for (model, name) in intent.models.iter().enumerate() {
        let path = || format!("intents[{index}].models[{model}]");
        check_rule(models.contains(name), path, name, "one of the document's models")?;
    }
    Ok(())
}

fn check_names<'a>(list: &str, names: impl Iterator<Item = &'a Arc<str>>) -> Result<(), Error> {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        let path = || format!("{list}[{index}].name");
        check_rule(!name.is_empty(), path, name, "a name that is not empty")?;
        check_rule(seen.insert(name), path, name, "a name that stands once in the list")?;
    }
    Ok(())
}

/// Fails with `path` and `value` unless `holds`. `path` is only evaluated on failure.
fn check_rule(
    holds: bool,
    path: impl FnOnce() -> String,
    value: &(impl Serialize + Debug),
    rule: &'static str,
) -> Result<(), Error> {
    ensure!(
        holds,
        RuleSnafu {
            path: path(),
            value: serde_json::to_string(value).unwrap_or_else(|_| format!("{value:?}")),
            rule
        }
    );
    Ok(())
}

fn is_lower_hex(byte: u8) -> bool {
    byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte)
}
