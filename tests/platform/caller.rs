//! A caller that sees every byte of its connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// How long an answer may take at most.
const TIMEOUT: Duration = Duration::from_secs(20);

/// An answer, whole or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether the body came to the end that its framing says.
    pub whole: bool,
    /// What came after the part of the body that could be read.
    pub surplus: String,
}

/// A connection.
#[derive(Debug)]
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn connect(address: &str) -> Self {
        let stream = TcpStream::connect(address).expect("the router listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        Self { reader: BufReader::new(stream) }
    }

    /// The same for a router that may not listen, within `limit` for each answer.
    pub fn try_connect(address: &str, limit: Duration) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        Some(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request to a router that may be gone.
    pub fn try_ask(&mut self, line: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
        let text = write(line, headers, body);
        self.reader.get_mut().write_all(text.as_bytes()).ok()?;
        self.answer()
    }

    /// Sends raw text.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).expect("the router reads");
    }

    /// Sends a request with these header lines and returns the answer.
    pub fn ask(&mut self, line: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
        self.request(line, headers, body);
        self.answer()
    }

    /// Sends a request.
    pub fn request(&mut self, line: &str, headers: &[(&str, &str)], body: &str) {
        self.send(&write(line, headers, body));
    }

    /// The next answer; `None` if the connection ends before it.
    pub fn answer(&mut self) -> Option<Answer> {
        let mut line = String::new();
        if self.reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let headers = crate::standin::read_headers(&mut self.reader)?;
        let mut answer =
            Answer { status, headers, body: String::new(), whole: false, surplus: String::new() };
        match answer.headers.get("content-length").and_then(|it| it.parse::<usize>().ok()) {
            Some(length) => {
                let mut body = vec![0; length];
                answer.whole = self.reader.read_exact(&mut body).is_ok();
                answer.body = String::from_utf8_lossy(&body).into_owned();
            }
            None => self.chunks(&mut answer),
        }
        Some(answer)
    }

    /// Reads a chunked body as far as it is one.
    fn chunks(&mut self, answer: &mut Answer) {
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim_end(), 16) else {
                answer.surplus = line;
                let _ = self.reader.read_to_string(&mut answer.surplus);
                return;
            };
            let mut chunk = vec![0; size + 2];
            if self.reader.read_exact(&mut chunk).is_err() {
                return;
            }
            if size == 0 {
                answer.whole = true;
                return;
            }
            answer.body.push_str(&String::from_utf8_lossy(&chunk[..size]));
        }
    }
}

/// A request as it goes over the connection.
fn write(line: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &[name, ": ", value, "\r\n"].concat();
    }
    if !body.is_empty() {
        text += &["content-length: ", &body.len().to_string(), "\r\n"].concat();
    }
    format!("{text}\r\n{body}")
}
