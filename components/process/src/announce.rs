//! Prints the process's addresses for the parent process.

use std::io::Write;

/// Prints the addresses to standard output as one JSON line, such as
/// `{"ready":{"listen":"127.0.0.1:4000"}}`.
pub fn announce(addresses: &[(&str, String)]) {
    let map: serde_json::Map<_, _> = addresses
        .iter()
        .map(|(name, address)| ((*name).to_owned(), address.clone().into()))
        .collect();
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{}", serde_json::json!({ "ready": map }));
    let _ = out.flush();
}
