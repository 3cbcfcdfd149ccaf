//! Odd entries that another writer has left among those of the upstreams: routers go on, follow the
//! list, and use the others.

use serde_json::Value;

use crate::router::{Router, configuration, plain_pair, unused_host};
use crate::standin::Upstream;

/// How deep values are nested; far beyond what a parser that recurses can bear on a thread's stack.
const DEPTH: usize = 10_000;

/// A JSON value of nested lists.
fn nested_lists() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// A JSON value of nested objects.
fn nested_objects() -> String {
    format!("{}1{}", r#"{"a":"#.repeat(DEPTH), "}".repeat(DEPTH))
}

/// The entry of `upstream` as JSON text, with the field `name` set to the text `value`.
fn with_field(upstream: &Upstream, name: &str, value: &str) -> String {
    let mut entry = upstream.entry("ready", 1);
    entry[name] = "MARK".into();
    entry.to_string().replace("\"MARK\"", value)
}

/// Odd values of an entry, with a name for messages.
fn odd_entries(upstream: &Upstream) -> Vec<(String, String)> {
    let mut entries = vec![
        ("nested lists".to_owned(), nested_lists()),
        ("nested objects".to_owned(), nested_objects()),
        ("unclosed lists".to_owned(), "[".repeat(DEPTH)),
    ];
    let numbers = [
        "1e400",
        "-1e400",
        "1e308",
        "1e19",
        "1e18",
        "18446744073709551615",
        "18446744073709551616",
        "9223372036854775808",
        "99999999999999999999999999999999999999999",
        "-1",
        "0.5",
    ];
    for field in ["slots", "sequence", "born", "coldRemainingMs"] {
        for number in numbers {
            entries.push((format!("{field} {number}"), with_field(upstream, field, number)));
        }
    }
    for address in ["127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:", "[::1]:70000"] {
        let value = Value::from(address).to_string();
        entries.push((format!("address {address}"), with_field(upstream, "address", &value)));
    }
    for field in ["models", "service", "further", "version", "zone"] {
        for value in [nested_lists(), nested_objects()] {
            entries.push((format!("nested {field}"), with_field(upstream, field, &value)));
        }
    }
    entries
}

/// The status of each of some requests.
fn statuses(router: &Router) -> Vec<u16> {
    let status = |number: usize| {
        let id = format!("id-{number}");
        let answer = router.request("GET /safe/x", &[("Attempt-Identifier", &id)], "");
        answer.map_or(0, |answer| answer.status)
    };
    (0..20).map(status).collect()
}

/// Guards against routers that end, or no longer follow the list of upstreams, because of an odd entry.
#[test]
fn routers_follow_the_list_beside_odd_entries() {
    let [one, two] = plain_pair();
    let odd = Upstream::start(&unused_host(), "i-odd", "plain");
    let mut first = Router::start(&configuration(1), &[&one]);
    let mut others = ["front-2", "front-3", "front-4"].map(|name| Router::join(&first.store, name));
    for (number, (_, text)) in odd_entries(&odd).iter().enumerate() {
        first.store.put_text(&format!("servers/odd-{number}"), text);
    }
    for name in odd_names() {
        first.store.put(&format!("servers/{name}"), &odd.entry("ready", 1));
    }
    first.store.put(&two.key(), &two.entry("ready", 1));
    first.store.remove(&one.key());
    let mut later = Router::join(&first.store, "front-5");
    for router in others.iter_mut().chain([&mut first, &mut later]) {
        router.wait_until("using the upstream that was added", || {
            let before = two.requests().len();
            statuses(router);
            two.requests().len() > before
        });
        let before = one.requests().len();
        let statuses = statuses(router);
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        assert_eq!(one.requests().len(), before, "the removed upstream gets requests");
        assert!(router.is_running(), "the router has ended");
        assert!(
            router.has_logged("an entry can't be read")
                || router.has_logged("store source changed")
        );
    }
}

/// Names of entries that no request can name, or that other keys begin with.
fn odd_names() -> [String; 6] {
    ["", "a@1", "a/b", "line\r\nbreak", "\u{0}", "\u{fc}\u{1f600}"].map(str::to_owned)
}
