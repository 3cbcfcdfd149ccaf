//! Telling whoever started the process where it listens.

use std::io::Write;

/// Prints one JSON line with the addresses, such as
/// `{"ready":{"listen":"127.0.0.1:4000"}}`, and flushes it.
pub fn announce(addresses: &[(&str, String)]) {
    let map: serde_json::Map<_, _> = addresses
        .iter()
        .map(|(name, address)| ((*name).to_owned(), address.clone().into()))
        .collect();
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{}", serde_json::json!({ "ready": map }));
    let _ = out.flush();
}
