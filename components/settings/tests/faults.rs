//! The examples load; invalid files are rejected with the path, the value and
//! the allowed values.

use std::path::Path;

use settings::{Check, Router, Sidecar, load};

fn rejects<T: Check + serde::de::DeserializeOwned>(path: &Path) -> datatest_stable::Result<()> {
    let fault = load::<T>(path).err().ok_or("the file was accepted")?;
    let name = path.file_stem().and_then(|name| name.to_str()).ok_or("the file has no name")?;
    insta::assert_snapshot!(format!("fault-{name}"), fault.to_string());
    Ok(())
}

fn bad_router(path: &Path) -> datatest_stable::Result<()> {
    rejects::<Router>(path)
}

fn bad_sidecar(path: &Path) -> datatest_stable::Result<()> {
    rejects::<Sidecar>(path)
}

fn example(path: &Path) -> datatest_stable::Result<()> {
    match path.file_stem().and_then(|name| name.to_str()) {
        Some("router") => load::<Router>(path).map(|_| ())?,
        Some("sidecar") => load::<Sidecar>(path).map(|_| ())?,
        _ => {}
    }
    Ok(())
}

datatest_stable::harness! {
    { test = bad_router, root = "tests/bad-router", pattern = r"\.json$" },
    { test = bad_sidecar, root = "tests/bad-sidecar", pattern = r"\.json$" },
    { test = example, root = "../../examples", pattern = r"\.json$" },
}
