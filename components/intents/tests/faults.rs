//! Invalid documents are rejected with the path, the value and the rule.

use std::path::Path;

use intents::{Document, Plan};

fn rejects(path: &Path) -> datatest_stable::Result<()> {
    let json = std::fs::read_to_string(path)?;
    let fault =
        Document::parse(&json).and_then(Plan::compile).err().ok_or("the document was accepted")?;
    let name = path.file_stem().and_then(|name| name.to_str()).ok_or("the file has no name")?;
    insta::assert_snapshot!(format!("fault-{name}"), fault.to_string());
    Ok(())
}

datatest_stable::harness! {
    { test = rejects, root = "tests/bad", pattern = r"\.json$" },
}
