//! Each wrong document is refused with the path, the value and the rule.

use std::path::Path;

use intents::{Document, Plan};

fn refused(path: &Path) -> datatest_stable::Result<()> {
    let json = std::fs::read_to_string(path)?;
    let fault = Document::parse(&json).and_then(Plan::compile).err().ok_or("it was taken")?;
    let name = path.file_stem().and_then(|it| it.to_str()).ok_or("a name")?;
    insta::assert_snapshot!(format!("fault-{name}"), fault.to_string());
    Ok(())
}

datatest_stable::harness! {
    { test = refused, root = "tests/bad", pattern = r"\.json$" },
}
