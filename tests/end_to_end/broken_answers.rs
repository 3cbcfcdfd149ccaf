//! Answers of upstreams that break off, and answers that end with their connection, on the path with
//! sidecars.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use load::Error;
use nix::sys::socket::{setsockopt, sockopt};
use serde_json::json;

use crate::fleet::{Fleet, Layout};

/// Answers with a length, in chunks, and with neither.
const WHOLE: [&str; 3] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-last: 1\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-last: 1\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nconnection: close\r\nx-last: 1\r\n\r\nwhole",
];

/// How an upstream ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Closes it in order.
    Close,
    /// Resets it.
    Reset,
}

/// The bytes of the next answer, and how their connection ends.
type Script = Arc<Mutex<(&'static str, End)>>;

/// Starts an upstream that answers each request by the script; returns its URL.
fn start_upstream(script: &Script) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let script = script.clone();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            read_request(&mut socket);
            let (answer, end) = *script.lock().expect("the lock is not poisoned");
            let _ = socket.write_all(answer.as_bytes());
            if end == End::Reset {
                // The client reads what was written before the reset.
                std::thread::sleep(std::time::Duration::from_millis(20));
                let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
                setsockopt(&socket, sockopt::Linger, &linger).expect("an option");
            } else {
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
    });
    format!("http://{address}")
}

/// Reads a request with its body.
fn read_request(socket: &mut TcpStream) {
    let mut reader = BufReader::new(socket);
    let (mut line, mut length) = (String::new(), 0);
    while reader.read_line(&mut line).is_ok_and(|bytes| bytes > 2) {
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        line.clear();
    }
    let _ = reader.read_exact(&mut vec![0; length]);
}

/// A fleet of one router and one sidecar, whose upstream answers by the script.
async fn start(script: &Script) -> Fleet {
    let layout = Layout { routers: 1, engines: 0, services: 0, ..Layout::default() };
    let mut fleet = Fleet::start(layout).await;
    let url = start_upstream(script);
    let pool = json!({ "service": "pickup" });
    fleet.start_sidecar_for("pickup-1", &url, "plain", "domain-1", &pool);
    fleet.wait_until_met().await;
    fleet
}

/// The body of the answer to a new call, or the outcome that its caller is told.
async fn call(fleet: &Fleet, number: usize) -> Result<String, String> {
    let caller = fleet.call_caller(0).await;
    let (path, key) = (format!("/orders/{number}"), format!("key-{number}"));
    let answer = caller.call("pickup", &path, Some(&key), "{}").await;
    answer.map(|answer| answer.body).map_err(|error| error.outcome().to_owned())
}

/// Guards against passing on an answer without a length as an empty one.
#[ntex::test]
async fn an_answer_is_whole_however_its_end_is_marked() {
    let script = Script::new(Mutex::new(("", End::Close)));
    let fleet = start(&script).await;
    for (number, answer) in WHOLE.into_iter().enumerate() {
        *script.lock().expect("the lock is not poisoned") = (answer, End::Close);
        assert_eq!(call(&fleet, number).await, Ok("whole".to_owned()), "{answer:?}");
    }
}

/// Guards against refusing a whole stream of events because its lines don't end in LF alone.
#[ntex::test]
async fn a_stream_is_whole_whatever_ends_its_lines() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    let script = Script::new(Mutex::new(("", End::Close)));
    let fleet = start(&script).await;
    let ends = ["\n", "\r\n", "\r"].into_iter();
    for (number, (end, lines)) in ends.flat_map(|end| [(end, 1), (end, 2)]).enumerate() {
        let body = format!("data: x{end}{end}data: [DONE]{}", end.repeat(lines));
        let answer = format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len());
        *script.lock().expect("the lock is not poisoned") = (answer.leak(), End::Close);
        let told = call(&fleet, number).await;
        assert_eq!(told.is_ok(), lines == 2, "{body:?}: {told:?}");
        assert!(told.is_err() || told == Ok(body));
    }
}

/// Guards against passing on an answer as a whole one that broke off in its head or body.
#[ntex::test]
async fn an_answer_that_breaks_off_is_no_answer() {
    let script = Script::new(Mutex::new(("", End::Close)));
    let fleet = start(&script).await;
    let mut number = 0;
    for answer in WHOLE {
        let head = answer.find("\r\n\r\n").expect("a head") + 4;
        let unframed = answer == WHOLE[2];
        for cut in (0..answer.len()).step_by(3).chain([head - 1, head, head + 2]) {
            for end in [End::Close, End::Reset] {
                // Without a length, an orderly close is the end of the body.
                if unframed && cut >= head && end == End::Close {
                    continue;
                }
                let part = &answer[..cut];
                *script.lock().expect("the lock is not poisoned") = (part, end);
                number += 1;
                let told = call(&fleet, number).await;
                assert!(told.is_err(), "{part:?}, {end:?}: {told:?}");
            }
        }
    }
}

/// Guards against passing on an answer whose status is none.
#[ntex::test]
async fn an_odd_status_never_reaches_a_caller() {
    let script = Script::new(Mutex::new(("", End::Close)));
    let fleet = start(&script).await;
    let caller = fleet.call_caller(0).await;
    let mut passed_on = Vec::new();
    let statuses =
        ["000", "001", "099", "100", "101", "102", "199", "600", "999", "1000", "0200", "2x0", ""];
    for (number, status) in statuses.into_iter().enumerate() {
        let answer = format!("HTTP/1.1 {status} .\r\ncontent-length: 3\r\n\r\nodd");
        *script.lock().expect("the lock is not poisoned") = (answer.leak(), End::Close);
        let path = format!("/orders/{number}");
        let told = caller.call("pickup", &path, Some(&format!("odd-{number}")), "{}").await;
        let is_own =
            matches!(&told, Err(Error::Refused { status: 500..600, kind, .. }) if !kind.is_empty());
        if !is_own {
            passed_on.push((status, told));
        }
    }
    assert!(passed_on.is_empty(), "{passed_on:?}");
}
