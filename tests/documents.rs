//! Names in the documentation stand in the source.

use std::collections::BTreeSet;
use std::path::Path;

/// A name of a test has at least this many underscores; other names in code style have fewer.
const MIN_TEST_UNDERSCORES: usize = 3;

fn read(path: &str) -> String {
    std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).expect("the file")
}

/// Appends the Rust files below `folder` to `text`, either tests or the others.
fn append_source(folder: &Path, of_tests: bool, text: &mut String) {
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let path = entry.expect("an entry").path();
        let is_test = path.components().any(|part| part.as_os_str() == "tests");
        if path.is_dir() && !path.ends_with("target") {
            append_source(&path, of_tests, text);
        } else if path.extension().is_some_and(|end| end == "rs") && is_test == of_tests {
            text.push_str(&std::fs::read_to_string(&path).expect("the file"));
        }
    }
}

fn source(of_tests: bool) -> String {
    let mut text = String::new();
    for folder in ["components", "platform", "src", "tests"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
        append_source(&folder, of_tests, &mut text);
    }
    text
}

/// The parts of `text` in backticks.
fn code(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// The maximal runs of lower-case letters, digits and underscores.
fn words(text: &str) -> impl Iterator<Item = &str> {
    let is_part = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    text.split(move |c| !is_part(c)).filter(|word| !word.is_empty())
}

fn is_word(text: &str) -> bool {
    words(text).eq([text])
}

/// The string literals of a source without their placeholders, and the fields of its log lines.
fn written(source: &str) -> BTreeSet<String> {
    let mut written = BTreeSet::new();
    for literal in source.split('"').skip(1).step_by(2) {
        let plain = literal.split('{').map(|part| part.split_once('}').map_or(part, |part| part.1));
        written.extend(plain.flat_map(words).map(str::to_owned));
    }
    for fields in source.split("kv: {").skip(1) {
        let fields = fields.split_once("})").map_or(fields, |part| part.0);
        let names = fields.split([',', '\n']).map(|field| field.split('=').next().unwrap_or(""));
        written.extend(names.flat_map(words).map(str::to_owned));
    }
    written
}

/// The variant that is written as `kind`.
fn variant(kind: &str) -> String {
    let capital = |part: &str| part[..1].to_uppercase() + &part[1..];
    kind.split('_').filter(|part| !part.is_empty()).map(capital).collect()
}

/// The cells of the rows of the table below `head`.
fn rows<'a>(text: &'a str, head: &str) -> Vec<Vec<&'a str>> {
    let table = text.split_once(head).expect("the table").1.lines().skip(2);
    let rows = table.take_while(|line| line.starts_with('|'));
    rows.map(|row| row.trim_matches('|').split(" | ").collect()).collect()
}

#[test]
fn documented_tests_exist() {
    let (tests, page) = (source(true), read("docs/guarantees.md"));
    let names = code(&page)
        .filter_map(|name| name.rsplit("::").next())
        .filter(|name| is_word(name) && name.matches('_').count() >= MIN_TEST_UNDERSCORES);
    let missing: Vec<_> = names.filter(|name| !tests.contains(&format!("fn {name}("))).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn documented_metrics_exist() {
    let source = source(false);
    for page in ["README.md", "docs/OPERATIONS.md", "docs/CAPACITY.md", "docs/benchmarks.md"] {
        let text = read(page);
        let names = code(&text).flat_map(words).filter(|word| word.starts_with("silverstack_"));
        for name in names {
            let base = name.trim_end_matches("_total").trim_end_matches("_seconds");
            assert!(source.contains(&format!("\"{base}\"")), "{page}: {name}");
        }
    }
}

#[test]
fn documented_log_messages_exist() {
    let (source, page) = (source(false), read("docs/OPERATIONS.md"));
    for row in rows(&page, "| router's line |") {
        for message in code(row[0]) {
            assert!(source.contains(&format!("\"{message}\"")), "{message}");
        }
    }
}

#[test]
fn documented_names_are_written_somewhere() {
    let (source, page) = (source(false), read("docs/OPERATIONS.md"));
    let settings = read("docs/settings.md");
    let is_variant = |name: &str| {
        let name = variant(name);
        [format!(" {name},\n"), format!(" {name}: ")].iter().any(|line| source.contains(line))
    };
    let (written, settings) = (written(&source), code(&settings).flat_map(words).collect());
    let is_known = |name: &str| {
        let settings: &BTreeSet<&str> = &settings;
        name.starts_with("silverstack_")
            || written.contains(name)
            || settings.contains(name)
            || is_variant(name)
    };
    let missing: BTreeSet<_> =
        code(&page).filter(|name| is_word(name) && !is_known(name)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn documented_settings_exist() {
    let (source, page) = (source(false), read("docs/settings.md"));
    let known: BTreeSet<_> = words(&source).collect();
    for table in page.split("| field | meaning | default |").skip(1) {
        for row in rows(table, "") {
            for name in code(row[0]) {
                let field = name.rsplit('.').next().expect("a name");
                assert!(known.contains(field), "{name}");
            }
        }
    }
}
