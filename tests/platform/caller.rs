//! An HTTP/1.1 client that exposes how an answer was framed.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Read timeout of a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer, complete or cut off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether the body reached the end given by its framing.
    pub whole: bool,
    /// Bytes after the last valid chunk.
    pub trailing: String,
}

/// A client connection.
#[derive(Debug)]
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn connect(address: &str) -> Self {
        let stream = TcpStream::connect(address).expect("the router listens");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket");
        Self { reader: BufReader::new(stream) }
    }

    /// Connects with this read timeout; `None` if the router does not listen.
    pub fn try_connect(address: &str, read_timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(read_timeout)).ok()?;
        Some(Self { reader: BufReader::new(stream) })
    }

    /// Like [`Caller::request`], but returns `None` if the request can't be sent.
    pub fn try_request(
        &mut self,
        line: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        let text = encode_request(line, headers, body);
        self.reader.get_mut().write_all(text.as_bytes()).ok()?;
        self.read_answer()
    }

    /// Sends bytes unchanged.
    pub fn send_raw(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).expect("the router reads");
    }

    /// Sends a request and reads its answer.
    pub fn request(&mut self, line: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
        self.send(line, headers, body);
        self.read_answer()
    }

    /// Sends a request without reading the answer.
    pub fn send(&mut self, line: &str, headers: &[(&str, &str)], body: &str) {
        self.send_raw(&encode_request(line, headers, body));
    }

    /// Reads the next answer; `None` if the connection ends before its body.
    pub fn read_answer(&mut self) -> Option<Answer> {
        let mut line = String::new();
        if self.reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let headers = crate::standin::read_headers(&mut self.reader)?;
        let mut answer =
            Answer { status, headers, body: String::new(), whole: false, trailing: String::new() };
        match answer.headers.get("content-length").and_then(|value| value.parse::<usize>().ok()) {
            Some(length) => {
                let mut body = vec![0; length];
                answer.whole = self.reader.read_exact(&mut body).is_ok();
                answer.body = String::from_utf8_lossy(&body).into_owned();
            }
            None => self.read_chunks(&mut answer),
        }
        Some(answer)
    }

    /// Reads a chunked body up to its end or the first invalid chunk.
    fn read_chunks(&mut self, answer: &mut Answer) {
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim_end(), 16) else {
                answer.trailing = line;
                let _ = self.reader.read_to_string(&mut answer.trailing);
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

/// Formats a request as HTTP/1.1.
fn encode_request(line: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &[name, ": ", value, "\r\n"].concat();
    }
    if !body.is_empty() {
        text += &["content-length: ", &body.len().to_string(), "\r\n"].concat();
    }
    format!("{text}\r\n{body}")
}
