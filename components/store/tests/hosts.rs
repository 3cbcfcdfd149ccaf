//! Reading the list of hosts.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;

use store::Hosts;

/// How deep a value is nested; far beyond what a parser that recurses can bear.
const DEPTH: usize = 10_000;

/// Starts a service that answers each request with `body` and closes the connection.
fn start(body: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let lines = BufReader::new(&socket).lines().map_while(Result::ok);
            lines.take_while(|line| !line.is_empty()).for_each(drop);
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            let _ = socket.write_all(format!("{head}{body}").as_bytes());
        }
    });
    format!("http://{address}")
}

/// Guards against losing the whole list to one entry that another writer has left there.
#[ntex::test]
async fn an_entry_that_cant_be_read_hides_no_other() {
    let sound = |name: &str| format!(r#"{{"name":"{name}","address":"127.0.0.1:1","domain":"z"}}"#);
    let nested = format!("{}1{}", r#"{"a":"#.repeat(DEPTH), "}".repeat(DEPTH));
    let odd = [
        nested.clone(),
        format!(r#"{{"name":"deep","address":"a:1","domain":"z","labels":{nested}}}"#),
        r#"{"name":"n","address":"a:1","domain":"z","labels":{"l":1e999}}"#.to_owned(),
        r#"{"name":"n","address":"a:1"}"#.to_owned(),
        r#"{"name":7,"address":"a:1","domain":"z"}"#.to_owned(),
        "99999999999999999999999999999999999999999".to_owned(),
        "null".to_owned(),
    ];
    for odd in odd {
        let list = format!("[{},{odd},{}]", sound("first"), sound("last"));
        let mut hosts = Hosts::new(&start(list)).await.expect("a client");
        let update = hosts.fetch().await.expect("a list");
        let entries = update.entries.expect("a changed list");
        let names: Vec<_> = entries.iter().map(|entry| &*entry.name).collect();
        assert_eq!(names, ["first", "last"], "{}", &odd[..odd.len().min(80)]);
        assert_eq!(update.unreadable.len(), 1);
    }
}
