//! A minimal HTTP/1.1 request parser for the stand-ins.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::Instant;

/// A received request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// By lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub received_at: Instant,
    /// Whether it was refused without being executed.
    pub refused: bool,
}

impl Request {
    /// Whether the prompt has this part before its last one.
    pub fn has_shared_part(&self, part: &str) -> bool {
        let prompt = self.header("prompt-prefix").unwrap_or("");
        let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
        shared.split(',').any(|entry| entry.split(':').next() == Some(part))
    }

    /// Reads the next request; `None` at the end of the connection.
    pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let headers = read_headers(stream)?;
        let length = headers.get("content-length").map_or(Some(0), |value| value.parse().ok())?;
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(Self { method, target, headers, body, received_at: Instant::now(), refused: false })
    }

    /// The value of a header; `name` in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The value of a query parameter, not decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads header lines up to the empty one. Values of a repeated header are joined with commas.
pub fn read_headers(stream: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        let values: &mut String = headers.entry(name.to_ascii_lowercase()).or_default();
        if !values.is_empty() {
            values.push_str(", ");
        }
        values.push_str(value.trim());
    }
}
