//! Loading of settings files.

use std::path::Path;

use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{ReadSnafu, ShapeSnafu};
use crate::{Check, Error};

/// Reads and validates the settings file at `path`.
///
/// # Errors
///
/// A file that can't be read, or the first error in it.
pub fn load<T: Check + DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let json = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&json)
}

/// Parses and validates settings from JSON.
///
/// # Errors
///
/// The first error.
pub fn parse<T: Check + DeserializeOwned>(json: &str) -> Result<T, Error> {
    let mut deserializer = serde_json::Deserializer::from_str(json);
    let settings: T = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        Err::<(), _>(error.into_inner()).context(ShapeSnafu { path }).unwrap_err()
    })?;
    settings.check()?;
    Ok(settings)
}
