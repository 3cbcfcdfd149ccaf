//! A stand-in of an upstream that answers, or fails to, as a test says.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use std::os::fd::AsRawFd;

use nix::sys::socket::{Shutdown, setsockopt, shutdown, sockopt};
use serde_json::{Value, json};

use super::word::Word;
use super::{Request, Rest};

/// What the stand-in does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// A whole answer.
    Answer(u16, &'static str),
    /// The same after some milliseconds.
    Late(u64, u16, &'static str),
    /// An answer with another request's id.
    Crossed,
    /// A success without the upstream's proof.
    Unsigned,
    /// A second whole answer right after the first.
    Extra,
    /// A body that is shorter than the head says; then the connection ends.
    Short,
    /// A body without a length that ends with the connection.
    Unframed(&'static str),
    /// The same, but the connection is reset.
    Reset(&'static str),
    /// 503: the request has not run.
    NotRun,
    /// The same, and nothing more is wanted of that router for a while.
    Rest(Duration),
    /// A whole answer after some milliseconds that tells no load, or 503 (not run) while so many
    /// requests are worked on.
    Room(usize, u64),
    /// 421: another upstream has this address.
    Misdirected,
    /// The connection ends without an answer.
    Close,
    /// Nothing for a while, in milliseconds; then the connection ends.
    Silent(u64),
    /// Events `from` to `to`, some milliseconds apart, then the regular end.
    Events(u64, u64, u64),
    /// The same, but the connection breaks inside the event after the last one.
    Broken(u64, u64),
    /// One event, then nothing until the caller leaves.
    Stalled,
    /// The upstream ends, and all that it was doing with it.
    Crash,
}

#[derive(Debug, Default)]
struct State {
    /// What to do next; the last one stays.
    acts: Vec<Act>,
    requests: Vec<Request>,
    /// Requests that are worked on, where there is room for a few only, and those that found none.
    working: usize,
    found_no_room: usize,
    /// Connections that ended while the stand-in was writing.
    left: usize,
    /// Connections with a lower number say nothing any more.
    silenced: usize,
    connections: usize,
    /// Requests with this body have the upstream end.
    fatal: Option<&'static str>,
    /// What it says of itself with its answers.
    word: Word,
    /// What ends with the upstream; empty once it has ended.
    listener: Option<TcpListener>,
    /// The connections that stand, by number.
    open: BTreeMap<usize, TcpStream>,
}

/// The upstream; it serves until the test ends.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Upstream {
    /// An upstream on `host` that gives whole answers.
    pub fn start(host: &str, name: &str, service: &str) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("the stand-in can listen");
        let address = listener.local_addr().expect("the stand-in has an address");
        let kept = listener.try_clone().expect("a listener");
        let acts = vec![Act::Answer(200, "whole")];
        let state = State { acts, listener: Some(kept), ..State::default() };
        let upstream = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            state: Arc::new(Mutex::new(state)),
        };
        let served = upstream.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let upstream = served.clone();
                std::thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    /// What to do with the next requests; the last act stays.
    pub fn set(&self, acts: &[Act]) {
        self.state.lock().expect("no stand-in panics").acts = acts.to_vec();
    }

    /// Has requests with this body end the upstream.
    pub fn set_fatal(&self, body: &'static str) {
        self.state.lock().expect("no stand-in panics").fatal = Some(body);
    }

    /// Has it turn every request away and ask for this rest each time, or no more.
    pub fn set_rest(&self, rest: Option<Duration>) {
        self.state.lock().expect("no stand-in panics").word.rest = rest;
    }

    /// Has it say with every answer that it leaves.
    pub fn leave(&self) {
        self.state.lock().expect("no stand-in panics").word.leaves = true;
    }

    /// The rests that it has asked for.
    pub fn rests(&self) -> Vec<Rest> {
        self.state.lock().expect("no stand-in panics").word.rests.clone()
    }

    /// When it first told each router that it leaves, by the routers' own names.
    pub fn told_leaving(&self) -> BTreeMap<String, Instant> {
        self.state.lock().expect("no stand-in panics").word.told_leaving.clone()
    }

    /// Ends the upstream: connections to it are refused, and those that stand end.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("no stand-in panics");
        if let Some(listener) = state.listener.take() {
            let _ = shutdown(listener.as_raw_fd(), Shutdown::Both);
        }
        for stream in state.open.values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Has the connections that are open fall silent for good; new ones work.
    pub fn silence_connections(&self) {
        let mut state = self.state.lock().expect("no stand-in panics");
        state.silenced = state.connections;
    }

    /// The requests that have come.
    pub fn requests(&self) -> Vec<Request> {
        self.state.lock().expect("no stand-in panics").requests.clone()
    }

    /// How many requests found no room.
    pub fn found_no_room(&self) -> usize {
        self.state.lock().expect("no stand-in panics").found_no_room
    }

    /// How many callers left while their answer was being written.
    pub fn left(&self) -> usize {
        self.state.lock().expect("no stand-in panics").left
    }

    /// The key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> Value {
        json!({
            "service": self.service,
            "address": self.address.to_string(),
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "models": [{ "name": "m", "version": 1, "adapters": [] }],
            "sequence": sequence,
        })
    }

    fn serve(&self, stream: TcpStream) {
        let mut state = self.state.lock().expect("no stand-in panics");
        let number = state.connections;
        state.connections += 1;
        state.open.insert(number, stream.try_clone().expect("the stand-in's connection"));
        drop(state);
        self.answer_all(number, stream);
        self.state.lock().expect("no stand-in panics").open.remove(&number);
    }

    /// Answers the requests of connection `number` until it ends.
    fn answer_all(&self, number: usize, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("the stand-in's connection");
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            if number < self.state.lock().expect("no stand-in panics").silenced {
                continue;
            }
            let act = self.next(&request);
            if !self.act(&act, &request, &mut writer) {
                if !matches!(act, Act::Reset(_)) {
                    let _ = writer.shutdown(std::net::Shutdown::Both);
                }
                return;
            }
        }
    }

    fn next(&self, request: &Request) -> Act {
        let mut state = self.state.lock().expect("no stand-in panics");
        let fatal = state.fatal.is_some_and(|body| request.body == body.as_bytes());
        let rest = state.word.rest.filter(|_| !fatal);
        state.requests.push(Request { turned_away: rest.is_some(), ..request.clone() });
        if fatal {
            return Act::Crash;
        }
        if let Some(rest) = rest {
            return Act::Rest(rest);
        }
        if state.acts.len() > 1 { state.acts.remove(0) } else { state.acts[0].clone() }
    }

    /// Carries out an act; returns whether the connection goes on.
    fn act(&self, act: &Act, request: &Request, writer: &mut TcpStream) -> bool {
        let id = request.header("attempt-identifier").unwrap_or("").to_owned();
        match act {
            Act::Answer(status, body) => self.say(writer, request, &whole(*status, &id, body)),
            Act::Late(ms, status, body) => {
                std::thread::sleep(Duration::from_millis(*ms));
                self.say(writer, request, &whole(*status, &id, body))
            }
            Act::Crossed => send(writer, &whole(200, "another", "another's answer")),
            Act::Unsigned => send(writer, &unsigned(&id)),
            Act::Extra => {
                send(writer, &whole(200, &id, "whole"));
                send(writer, &whole(200, &id, "surplus"))
            }
            Act::Short => {
                send(writer, &format!("{}content-length: 50\r\n\r\npart", head(200, &id)));
                false
            }
            Act::Unframed(body) => {
                send(writer, &unframed(&id, body));
                false
            }
            Act::Reset(body) => {
                send(writer, &unframed(&id, body));
                let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
                setsockopt(&*writer, sockopt::Linger, &linger).expect("an option");
                false
            }
            Act::NotRun => self.say(writer, request, &not_run(&id)),
            Act::Rest(rest) => {
                let line = format!("\r\nretry-after: {}\r\n", rest.as_secs_f64());
                self.state.lock().expect("no stand-in panics").word.ask(request, *rest);
                self.say(writer, request, &not_run(&id).replacen("\r\n", &line, 1))
            }
            Act::Room(room, ms) => {
                let text = self.work(*room, *ms, &id);
                self.say(writer, request, &text)
            }
            Act::Misdirected => {
                send(writer, "HTTP/1.1 421 .\r\ninstance: other\r\ncontent-length: 0\r\n\r\n")
            }
            Act::Close => false,
            Act::Crash => {
                self.crash();
                false
            }
            Act::Silent(ms) => {
                std::thread::sleep(Duration::from_millis(*ms));
                false
            }
            Act::Events(from, to, gap_ms) => {
                self.events(writer, request, *from..=*to, *gap_ms) && send(writer, "0\r\n\r\n")
            }
            Act::Stalled => {
                self.stall(writer, request);
                false
            }
            Act::Broken(from, to) => {
                self.events(writer, request, *from..=*to, 1);
                send(writer, "9\r\nid: 99\nda\r\n");
                false
            }
        }
    }

    /// Works on a request if there is room; returns the answer.
    fn work(&self, room: usize, ms: u64, id: &str) -> String {
        let mut state = self.state.lock().expect("no stand-in panics");
        if state.working >= room {
            state.found_no_room += 1;
            return not_run(id);
        }
        state.working += 1;
        drop(state);
        std::thread::sleep(Duration::from_millis(ms));
        self.state.lock().expect("no stand-in panics").working -= 1;
        whole(200, id, "whole").replacen("server-load: 1,0,8\r\n", "", 1)
    }

    /// Sends the head of an answer, with the word that it leaves if it does.
    fn say(&self, writer: &mut TcpStream, request: &Request, text: &str) -> bool {
        let line = self.state.lock().expect("no stand-in panics").word.leaving(request);
        send(writer, &text.replacen("\r\n", &line, 1))
    }

    /// Sends one event and waits for the caller to leave.
    fn stall(&self, writer: &mut TcpStream, request: &Request) {
        self.events(writer, request, 1..=1, 0);
        let ended = writer.read(&mut [0]);
        self.state.lock().expect("no stand-in panics").left += usize::from(!matches!(ended, Ok(1)));
    }

    fn events(
        &self,
        writer: &mut TcpStream,
        request: &Request,
        numbers: std::ops::RangeInclusive<u64>,
        gap_ms: u64,
    ) -> bool {
        let head = head(200, request.header("attempt-identifier").unwrap_or(""));
        let start = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        self.say(writer, request, &format!("{head}{start}"));
        for number in numbers {
            let event = format!("id: {number}\ndata: piece {number} of {}\n\n", self.name);
            if !send(writer, &format!("{:x}\r\n{event}\r\n", event.len())) {
                self.state.lock().expect("no stand-in panics").left += 1;
                return false;
            }
            std::thread::sleep(Duration::from_millis(gap_ms));
        }
        true
    }
}

fn head(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} .\r\nattempt-identifier: {id}\r\nserver-seal: proof.{id}\r\nserver-load: 1,0,8\r\n"
    )
}

/// A whole answer.
fn whole(status: u16, id: &str, body: &str) -> String {
    format!("{}content-length: {}\r\n\r\n{body}", head(status, id), body.len())
}

/// An answer without a length.
fn unframed(id: &str, body: &str) -> String {
    format!("{}connection: close\r\n\r\n{body}", head(200, id))
}

fn unsigned(id: &str) -> String {
    format!("HTTP/1.1 200 .\r\nattempt-identifier: {id}\r\ncontent-length: 4\r\n\r\nfake")
}

fn not_run(id: &str) -> String {
    let head = format!("HTTP/1.1 503 .\r\nattempt-identifier: {id}\r\n");
    format!("{head}not-executed: 1\r\ncontent-length: 0\r\n\r\n")
}

fn send(writer: &mut TcpStream, text: &str) -> bool {
    writer.write_all(text.as_bytes()).is_ok()
}
