//! Patterns of load against the real reducer, without sockets or clocks.

use std::process::ExitCode;

use experiment::overload::{Pattern, run};
use gumdrop::Options;
use routing::Mechanisms;
use silverstack::cli;

/// The program's name.
const NAME: &str = "silverstack-experiment";

/// Plays a pattern of load and prints, for each second, what became of its requests.
#[derive(Debug, Options)]
#[expect(clippy::struct_excessive_bools, reason = "they are flags")]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Print name and version.
    version: bool,
    /// The pattern: calm, surge, engines-lost or slow-engines; all if none is named.
    #[options(free)]
    pattern: Option<String>,
    /// What everything is drawn from.
    #[options(meta = "N", default = "1")]
    seed: u64,
    /// Turn nothing away, to compare with.
    no_admission: bool,
    /// Print JSON lines.
    json: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        return cli::version(NAME);
    }
    let patterns = match patterns(arguments.pattern.as_deref()) {
        Ok(patterns) => patterns,
        Err(fault) => return cli::fail(NAME, fault, cli::EXIT_USAGE),
    };
    let admission = !arguments.no_admission;
    let mechanisms = Mechanisms { admission, ..Mechanisms::default() };
    for pattern in patterns {
        let report = run(pattern, mechanisms, arguments.seed);
        if arguments.json {
            let name = pattern.name();
            println!("{}", serde_json::json!({ "pattern": name, "report": report }));
        } else {
            println!("{}\n{}", pattern.name(), report.table());
        }
    }
    ExitCode::from(cli::EXIT_OK)
}

/// The pattern of that name, or all.
fn patterns(name: Option<&str>) -> Result<Vec<Pattern>, String> {
    let Some(name) = name else {
        return Ok(Pattern::ALL.to_vec());
    };
    let known = Pattern::ALL.map(Pattern::name).join(", ");
    let unknown = || format!("there is no pattern {name}: {known}");
    Pattern::find(name).map(|it| vec![it]).ok_or_else(unknown)
}
