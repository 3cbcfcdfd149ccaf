//! A stand-in of an upstream that answers or fails as a test sets it.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use std::os::fd::AsRawFd;

use nix::sys::socket::{Shutdown, setsockopt, shutdown, sockopt};
use serde_json::{Value, json};

use super::feedback::Feedback;
use super::{Backoff, Endless, Request};

/// What the stand-in does with a request. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Action {
    /// A complete answer with this status and body.
    Answer(u16, &'static str),
    /// A complete answer after a delay.
    Delayed(u64, u16, &'static str),
    /// A complete answer with this text as its status.
    Status(&'static str),
    /// An answer with the id of another request.
    Crossed,
    /// A success without the seal.
    Unsigned,
    /// Two complete answers.
    Extra,
    /// A body shorter than its content length, then the end of the connection.
    Truncated,
    /// An answer whose head goes on with this text, without the last bytes of the head and all that
    /// follows; then the end of the connection.
    CutHead(&'static str, usize),
    /// A body without a length, ended by closing the connection.
    Unframed(&'static str),
    /// A body without a length, then a reset of the connection.
    Reset(&'static str),
    /// 503: the request was not executed.
    NotRun,
    /// 503: not executed, with a backoff for the router.
    Backoff(Duration),
    /// A complete answer without a load after a delay, or 503 (not executed) while this many
    /// requests are in progress.
    Capacity(usize, u64),
    /// 421 with the instance name of another upstream.
    Misdirected,
    /// The end of the connection without an answer.
    Close,
    /// The end of the connection after a delay, without an answer.
    Silent(u64),
    /// Events from the first number to the second, this far apart, then the end of the stream.
    Events(u64, u64, u64),
    /// Like `Events`, but without those that the client already has.
    Rest(u64, u64, u64),
    /// Like `Rest`, and a connection that breaks inside the event after the second number.
    BrokenRest(u64, u64, u64),
    /// Events from the first number to the second, then a connection that breaks inside an event.
    Broken(u64, u64),
    /// One event, then nothing until the client disconnects.
    Stalled,
    /// An answer of which a part never ends, sent at full speed.
    Endless(Endless),
    /// Like `Endless`, with a byte each 100 ms of the part that never ends.
    Drip(Endless),
    /// A crash of the upstream.
    Crash,
}

#[derive(Debug, Default)]
struct State {
    /// Actions for the next requests; the last one is repeated.
    actions: Vec<Action>,
    requests: Vec<Request>,
    /// Requests in progress under [`Action::Capacity`], and those refused for lack of it.
    in_progress: usize,
    over_capacity: usize,
    /// Connections that ended during an answer.
    disconnects: usize,
    /// Ids of the requests whose stream the client left.
    abandoned: Vec<String>,
    /// Connections with a lower number get no answers.
    first_answered: usize,
    connections: usize,
    /// Body of requests that crash the upstream.
    fatal: Option<&'static str>,
    /// Part of prompts that crashes the upstream, if it is not the last one.
    fatal_part: Option<&'static str>,
    /// Notices sent with answers.
    feedback: Feedback,
    /// `None` once the upstream has crashed.
    listener: Option<TcpListener>,
    open_connections: BTreeMap<usize, TcpStream>,
}

/// An upstream that serves until it crashes or the test process ends. Clones share its state.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub name: String,
    pub service: String,
    /// The version of its software.
    pub version: &'static str,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Upstream {
    /// Starts an upstream on `host` that gives complete answers.
    pub fn start(host: &str, name: &str, service: &str) -> Self {
        Self::start_version(host, name, service, "v1")
    }

    /// Like [`Upstream::start`], with a version of the software.
    pub fn start_version(host: &str, name: &str, service: &str, version: &'static str) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("the stand-in can listen");
        let address = listener.local_addr().expect("the stand-in has an address");
        let stored_listener = listener.try_clone().expect("a listener");
        let actions = vec![Action::Answer(200, "whole")];
        let state = State { actions, listener: Some(stored_listener), ..State::default() };
        let upstream = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            version,
            address,
            state: Arc::new(Mutex::new(state)),
        };
        let server = upstream.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let upstream = server.clone();
                std::thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    /// Sets the actions for the next requests; the last one is repeated.
    pub fn set_actions(&self, actions: &[Action]) {
        self.state.lock().expect("the lock is not poisoned").actions = actions.to_vec();
    }

    /// Makes requests with this body crash the upstream.
    pub fn set_fatal(&self, body: &'static str) {
        self.state.lock().expect("the lock is not poisoned").fatal = Some(body);
    }

    /// Makes requests whose prompt has this part before the last one crash the upstream.
    pub fn set_fatal_part(&self, part: &'static str) {
        self.state.lock().expect("the lock is not poisoned").fatal_part = Some(part);
    }

    /// Refuses every request with this backoff, or none.
    pub fn set_backoff(&self, backoff: Option<Duration>) {
        self.state.lock().expect("the lock is not poisoned").feedback.backoff = backoff;
    }

    /// Announces with every answer that the upstream is leaving.
    pub fn announce_leaving(&self) {
        self.state.lock().expect("the lock is not poisoned").feedback.is_leaving = true;
    }

    /// The backoffs sent to routers.
    pub fn backoffs(&self) -> Vec<Backoff> {
        self.state.lock().expect("the lock is not poisoned").feedback.backoffs.clone()
    }

    /// When each router was first sent the leaving notice, by the router's header value.
    pub fn leaving_sent_at(&self) -> BTreeMap<String, Instant> {
        self.state.lock().expect("the lock is not poisoned").feedback.leaving_sent_at.clone()
    }

    /// Closes the listener and all connections.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        if let Some(listener) = state.listener.take() {
            let _ = shutdown(listener.as_raw_fd(), Shutdown::Both);
        }
        for stream in state.open_connections.values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Stops answering on the connections that are open; new ones are served.
    pub fn silence_connections(&self) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.first_answered = state.connections;
    }

    /// All requests received.
    pub fn requests(&self) -> Vec<Request> {
        self.state.lock().expect("the lock is not poisoned").requests.clone()
    }

    /// Number of requests refused for lack of capacity.
    pub fn over_capacity(&self) -> usize {
        self.state.lock().expect("the lock is not poisoned").over_capacity
    }

    /// Number of clients that disconnected during an answer.
    pub fn disconnects(&self) -> usize {
        self.state.lock().expect("the lock is not poisoned").disconnects
    }

    /// Ids of the requests whose stream the client left.
    pub fn abandoned(&self) -> Vec<String> {
        self.state.lock().expect("the lock is not poisoned").abandoned.clone()
    }

    /// The key of the upstream's entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    /// The upstream's entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> Value {
        json!({
            "service": self.service,
            "address": self.address.to_string(),
            "zone": "zone-a",
            "version": self.version,
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "models": [{ "name": "m", "version": 1, "adapters": [] }],
            "sequence": sequence,
        })
    }

    fn serve(&self, stream: TcpStream) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        let number = state.connections;
        state.connections += 1;
        state
            .open_connections
            .insert(number, stream.try_clone().expect("the stand-in's connection"));
        drop(state);
        self.handle_requests(number, stream);
        self.state.lock().expect("the lock is not poisoned").open_connections.remove(&number);
    }

    /// Handles the requests of connection `number` until it ends.
    fn handle_requests(&self, number: usize, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("the stand-in's connection");
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            if number < self.state.lock().expect("the lock is not poisoned").first_answered {
                continue;
            }
            let action = self.next_action(&request);
            if !self.perform(&action, &request, &mut writer) {
                if !matches!(action, Action::Reset(_)) {
                    let _ = writer.shutdown(std::net::Shutdown::Both);
                }
                return;
            }
        }
    }

    fn next_action(&self, request: &Request) -> Action {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        let fatal = state.fatal.is_some_and(|body| request.body == body.as_bytes())
            || state.fatal_part.is_some_and(|part| request.has_shared_part(part));
        let backoff = state.feedback.backoff.filter(|_| !fatal);
        state.requests.push(Request { refused: backoff.is_some(), ..request.clone() });
        if fatal {
            return Action::Crash;
        }
        if let Some(backoff) = backoff {
            return Action::Backoff(backoff);
        }
        if state.actions.len() > 1 { state.actions.remove(0) } else { state.actions[0].clone() }
    }

    /// Performs an action; returns whether the connection stays open.
    fn perform(&self, action: &Action, request: &Request, writer: &mut TcpStream) -> bool {
        let id = request.header("attempt-identifier").unwrap_or("").to_owned();
        match action {
            Action::Answer(status, body) => {
                self.send_with_notice(writer, request, &complete_answer(*status, &id, body))
            }
            Action::Delayed(ms, status, body) => {
                std::thread::sleep(Duration::from_millis(*ms));
                self.send_with_notice(writer, request, &complete_answer(*status, &id, body))
            }
            Action::Status(status) => send(writer, &odd_answer(status, &id)),
            Action::Crossed => send(writer, &complete_answer(200, "another", "another's answer")),
            Action::Unsigned => send(writer, &unsigned_answer(&id)),
            Action::Extra => {
                send(writer, &complete_answer(200, &id, "whole"));
                send(writer, &complete_answer(200, &id, "surplus"))
            }
            Action::Truncated => {
                send(writer, &format!("{}content-length: 50\r\n\r\npart", answer_head(200, &id)));
                false
            }
            Action::CutHead(rest, missing) => {
                let answer = format!("{}{rest}", answer_head(200, &id));
                let head = answer.find("\r\n\r\n").expect("a head") + 4;
                send(writer, &answer[..head - missing]);
                false
            }
            Action::Unframed(body) => {
                send(writer, &unframed_answer(&id, body));
                false
            }
            Action::Reset(body) => {
                send(writer, &unframed_answer(&id, body));
                let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
                setsockopt(&*writer, sockopt::Linger, &linger).expect("an option");
                false
            }
            Action::NotRun => self.send_with_notice(writer, request, &not_run_answer(&id)),
            Action::Backoff(backoff) => {
                let line = format!("\r\nretry-after: {}\r\n", backoff.as_secs_f64());
                self.state
                    .lock()
                    .expect("the lock is not poisoned")
                    .feedback
                    .record_backoff(request, *backoff);
                self.send_with_notice(
                    writer,
                    request,
                    &not_run_answer(&id).replacen("\r\n", &line, 1),
                )
            }
            Action::Capacity(capacity, ms) => {
                let text = self.work(*capacity, *ms, &id);
                self.send_with_notice(writer, request, &text)
            }
            Action::Misdirected => {
                send(writer, "HTTP/1.1 421 .\r\ninstance: other\r\ncontent-length: 0\r\n\r\n")
            }
            Action::Close => false,
            Action::Crash => {
                self.crash();
                false
            }
            Action::Silent(ms) => {
                std::thread::sleep(Duration::from_millis(*ms));
                false
            }
            Action::Events(from, to, gap_ms) => {
                self.send_events(writer, request, *from..=*to, *gap_ms) && send(writer, "0\r\n\r\n")
            }
            Action::Rest(from, to, gap_ms) => {
                self.send_events(writer, request, next_event(request, *from)..=*to, *gap_ms)
                    && send(writer, "0\r\n\r\n")
            }
            Action::BrokenRest(from, to, gap_ms) => {
                self.send_events(writer, request, next_event(request, *from)..=*to, *gap_ms);
                send(writer, "9\r\nid: 99\nda\r\n");
                false
            }
            Action::Endless(part) => {
                self.send_endless(writer, *part, &id, false);
                false
            }
            Action::Drip(part) => {
                self.send_endless(writer, *part, &id, true);
                false
            }
            Action::Stalled => {
                self.stall(writer, request);
                false
            }
            Action::Broken(from, to) => {
                self.send_events(writer, request, *from..=*to, 1);
                send(writer, "9\r\nid: 99\nda\r\n");
                false
            }
        }
    }

    /// Processes a request if fewer than `capacity` are in progress; returns the answer.
    fn work(&self, capacity: usize, ms: u64, id: &str) -> String {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        if state.in_progress >= capacity {
            state.over_capacity += 1;
            return not_run_answer(id);
        }
        state.in_progress += 1;
        drop(state);
        std::thread::sleep(Duration::from_millis(ms));
        self.state.lock().expect("the lock is not poisoned").in_progress -= 1;
        complete_answer(200, id, "whole").replacen("server-load: 1,0,8\r\n", "", 1)
    }

    /// Sends an answer, with the leaving notice if it is announced.
    fn send_with_notice(&self, writer: &mut TcpStream, request: &Request, text: &str) -> bool {
        let line =
            self.state.lock().expect("the lock is not poisoned").feedback.leaving_line(request);
        send(writer, &text.replacen("\r\n", &line, 1))
    }

    /// Sends an endless answer until the client disconnects.
    fn send_endless(&self, writer: &mut TcpStream, part: Endless, id: &str, drip: bool) {
        part.send(writer, &answer_head(200, id), drip);
        self.state.lock().expect("the lock is not poisoned").disconnects += 1;
    }

    /// Sends one event and waits until the client disconnects.
    fn stall(&self, writer: &mut TcpStream, request: &Request) {
        self.send_events(writer, request, 1..=1, 0);
        let ended = writer.read(&mut [0]);
        self.state.lock().expect("the lock is not poisoned").disconnects +=
            usize::from(!matches!(ended, Ok(1)));
    }

    fn send_events(
        &self,
        writer: &mut TcpStream,
        request: &Request,
        numbers: std::ops::RangeInclusive<u64>,
        gap_ms: u64,
    ) -> bool {
        let head = answer_head(200, request.header("attempt-identifier").unwrap_or(""));
        let start = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        self.send_with_notice(writer, request, &format!("{head}{start}"));
        for number in numbers {
            let (name, version) = (&self.name, self.version);
            let event = format!("id: {number}\ndata: piece {number} of {name} at {version}\n\n");
            if !send(writer, &format!("{:x}\r\n{event}\r\n", event.len())) {
                let mut state = self.state.lock().expect("the lock is not poisoned");
                state.disconnects += 1;
                // A connection that the upstream's own crash has closed was not left by the client.
                if state.listener.is_some() {
                    state.abandoned.extend(request.header("attempt-identifier").map(str::to_owned));
                }
                return false;
            }
            std::thread::sleep(Duration::from_millis(gap_ms));
        }
        true
    }
}

/// The event after those that the client already has, or `first`.
fn next_event(request: &Request, first: u64) -> u64 {
    let had = request.header("last-event-id").and_then(|value| value.parse::<u64>().ok());
    had.map_or(first, |had| had + 1)
}

fn answer_head(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} .\r\nattempt-identifier: {id}\r\nserver-seal: proof.{id}\r\nserver-load: 1,0,8\r\n"
    )
}

/// A complete answer with this status and body.
fn complete_answer(status: u16, id: &str, body: &str) -> String {
    format!("{}content-length: {}\r\n\r\n{body}", answer_head(status, id), body.len())
}

/// A complete answer with this text as its status.
fn odd_answer(status: &str, id: &str) -> String {
    complete_answer(200, id, "odd").replacen("200", status, 1)
}

/// An answer without a content length.
fn unframed_answer(id: &str, body: &str) -> String {
    format!("{}connection: close\r\n\r\n{body}", answer_head(200, id))
}

fn unsigned_answer(id: &str) -> String {
    format!("HTTP/1.1 200 .\r\nattempt-identifier: {id}\r\ncontent-length: 4\r\n\r\nfake")
}

fn not_run_answer(id: &str) -> String {
    let head = format!("HTTP/1.1 503 .\r\nattempt-identifier: {id}\r\n");
    format!("{head}not-executed: 1\r\ncontent-length: 0\r\n\r\n")
}

fn send(writer: &mut TcpStream, text: &str) -> bool {
    writer.write_all(text.as_bytes()).is_ok()
}
