//! The examples load; each wrong file is refused with the path, the value and
//! what is allowed.

use std::path::Path;

use settings::{Check, Router, Sidecar, load};

fn refused<T: Check + serde::de::DeserializeOwned>(path: &Path) -> datatest_stable::Result<()> {
    let fault = load::<T>(path).err().ok_or("it was taken")?;
    let name = path.file_stem().and_then(|it| it.to_str()).ok_or("a name")?;
    insta::assert_snapshot!(format!("fault-{name}"), fault.to_string());
    Ok(())
}

fn bad_router(path: &Path) -> datatest_stable::Result<()> {
    refused::<Router>(path)
}

fn bad_sidecar(path: &Path) -> datatest_stable::Result<()> {
    refused::<Sidecar>(path)
}

fn example(path: &Path) -> datatest_stable::Result<()> {
    match path.file_stem().and_then(|it| it.to_str()) {
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
