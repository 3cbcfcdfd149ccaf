//! Reading a settings file.

use std::path::Path;

use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{ReadSnafu, ShapeSnafu};
use crate::{Check, Error};

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// A file that can't be read, or the first fault in it.
pub fn load<T: Check + DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let json = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&json)
}

/// Reads and checks settings from JSON.
///
/// # Errors
///
/// The first fault.
pub fn parse<T: Check + DeserializeOwned>(json: &str) -> Result<T, Error> {
    let mut reader = serde_json::Deserializer::from_str(json);
    let settings: T = serde_path_to_error::deserialize(&mut reader).map_err(|fault| {
        let path = fault.path().to_string();
        Err::<(), _>(fault.into_inner()).context(ShapeSnafu { path }).unwrap_err()
    })?;
    settings.check()?;
    Ok(settings)
}
