//! Simulates patterns of load on the routing reducer, without sockets or clocks.

use std::process::ExitCode;

use experiment::overload::{Pattern, run};
use gumdrop::Options;
use routing::Mechanisms;
use silverstack::cli;

/// The program's name.
const NAME: &str = "silverstack-experiment";

/// Runs a pattern of load and prints the outcomes of its requests for each second.
#[derive(Debug, Options)]
#[expect(clippy::struct_excessive_bools, reason = "they are flags")]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Print name and version.
    version: bool,
    /// The pattern: calm, surge, engines-lost, slow-engines, short-memory or short-memory-untold;
    /// all if none is given.
    #[options(free)]
    pattern: Option<String>,
    /// The seed of all random numbers.
    #[options(meta = "N", default = "1")]
    seed: u64,
    /// Disable admission control, for comparison.
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
        Err(error) => return cli::fail(NAME, error, cli::EXIT_USAGE),
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

/// Returns the pattern with that name, or all patterns.
fn patterns(name: Option<&str>) -> Result<Vec<Pattern>, String> {
    let Some(name) = name else {
        return Ok(Pattern::ALL.to_vec());
    };
    let names = Pattern::ALL.map(Pattern::name).join(", ");
    let unknown = || format!("unknown pattern {name}, expected one of: {names}");
    Pattern::find(name).map(|pattern| vec![pattern]).ok_or_else(unknown)
}
