//! The rules that a document has to keep.

use std::collections::HashSet;
use std::fmt::Debug;
use std::sync::Arc;

use serde::Serialize;
use snafu::ensure;

use crate::error::RuleSnafu;
use crate::{Document, Error, Intent, Workspace, digest};

/// The longest deadline an intent may set, in milliseconds: a day.
const LONGEST_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// Checks what the shape of a document does not ensure.
///
/// # Errors
///
/// The first value that breaks a rule, with its path.
pub(crate) fn check(document: &Document) -> Result<(), Error> {
    let path = || "generation".to_owned();
    rule(document.generation > 0, path, &document.generation, "a number above 0")?;
    unique("workspaces", document.workspaces.iter().map(|it| &it.name))?;
    unique("kinds", document.kinds.iter().map(|it| &it.name))?;
    unique("upstreams", document.upstreams.iter().map(|it| &it.name))?;
    unique("intents", document.intents.iter().map(|it| &it.name))?;
    for (place, workspace) in document.workspaces.iter().enumerate() {
        check_workspace(place, workspace)?;
    }
    for (place, intent) in document.intents.iter().enumerate() {
        check_intent(place, intent, &document.models)?;
    }
    Ok(())
}

fn check_workspace(place: usize, workspace: &Workspace) -> Result<(), Error> {
    let path = || format!("workspaces[{place}].key_sha256");
    let is_digest = |it: &Arc<str>| it.len() == digest::LENGTH && it.bytes().all(is_lower_hex);
    let whole = workspace.key_sha256.iter().all(is_digest);
    rule(whole, path, &"(not shown)", "64 lower-case hexadecimal digits")
}

fn check_intent(place: usize, intent: &Intent, models: &[Arc<str>]) -> Result<(), Error> {
    let path = || format!("intents[{place}].deadline_ms");
    let allowed = (1..=LONGEST_DEADLINE_MS).contains(&intent.deadline_ms);
    rule(allowed, path, &intent.deadline_ms, "1 to 86400000")?;
    for (model, name) in intent.models.iter().enumerate() {
        let path = || format!("intents[{place}].models[{model}]");
        rule(models.contains(name), path, name, "one of the document's models")?;
    }
    Ok(())
}

fn unique<'a>(list: &str, names: impl Iterator<Item = &'a Arc<str>>) -> Result<(), Error> {
    let mut seen = HashSet::new();
    for (place, name) in names.enumerate() {
        let path = || format!("{list}[{place}].name");
        rule(!name.is_empty(), path, name, "a name that is not empty")?;
        rule(seen.insert(name), path, name, "a name that stands once in the list")?;
    }
    Ok(())
}

/// `path` is made only where the rule is broken: a document has thousands of values.
fn rule(
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
