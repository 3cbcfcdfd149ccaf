//! Answers of which a part never ends.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Bytes sent at once at full speed.
const BLOCK_BYTES: usize = 16 * 1024;

/// The beginning of a long event.
const LONG_BYTES: usize = 900 * 1024;

/// Time between the bytes of a drip.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);

/// The part of an answer that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// No HTTP at all.
    Garbage,
    /// The status line.
    StatusLine,
    /// Header lines.
    Headers,
    /// Interim responses.
    Interim,
    /// The digits of a chunk size.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// Chunks.
    Chunks,
    /// Trailers.
    Trailers,
    /// A body with the greatest content length.
    Length,
    /// A body without a length.
    Unframed,
    /// Bytes after a complete answer.
    Surplus,
    /// One event.
    Event,
    /// One event, of which [`LONG_BYTES`] come at once.
    LongEvent,
    /// Comments of an event stream, each followed by a blank line.
    Comments,
    /// Events without ids.
    Events,
    /// Events with consecutive ids.
    Numbered,
    /// Events with the id of the first one.
    Duplicates,
}

impl Endless {
    /// The bytes before the endless part; `head` is a head without its last line.
    fn start(self, head: &str) -> String {
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let events = format!("{head}content-type: text/event-stream\r\n\r\n");
        match self {
            Self::Garbage | Self::Interim => String::new(),
            Self::StatusLine => "HTTP/1.1 200 ".to_owned(),
            Self::Headers => head.to_owned(),
            Self::ChunkSize | Self::Chunks => chunked,
            Self::ChunkExtension => format!("{chunked}1;"),
            Self::Trailers => format!("{chunked}1\r\nx\r\n0\r\n"),
            Self::Length => format!("{head}content-length: {}\r\n\r\n", i64::MAX),
            Self::Unframed => format!("{head}connection: close\r\n\r\n"),
            Self::Surplus => format!("{head}content-length: 5\r\n\r\nwhole"),
            Self::Event => format!("{events}id: 1\ndata: "),
            Self::LongEvent => format!("{events}id: 1\ndata: {}", "x".repeat(LONG_BYTES)),
            Self::Comments | Self::Events | Self::Numbered => events,
            Self::Duplicates => format!("{events}id: 1\ndata: x\n\n"),
        }
    }

    /// The part number `number` of those that follow without end.
    fn part(self, number: u64) -> String {
        match self {
            Self::Headers | Self::Trailers => format!("x-{number}: x\r\n"),
            Self::Interim => "HTTP/1.1 103 .\r\nx: x\r\n\r\n".to_owned(),
            Self::ChunkSize => "0".to_owned(),
            Self::Chunks => format!("{BLOCK_BYTES:x}\r\n{}\r\n", "x".repeat(BLOCK_BYTES)),
            Self::Comments => ":\n\n".to_owned(),
            Self::Events => "data: x\n\n".to_owned(),
            Self::Numbered => format!("id: {number}\ndata: x\n\n"),
            Self::Duplicates => "id: 1\ndata: x\n\n".to_owned(),
            _ => "x".to_owned(),
        }
    }

    /// Sends an answer until the client disconnects: the endless part as fast as possible, or as a
    /// drip.
    pub fn send(self, writer: &mut TcpStream, head: &str, drip: bool) {
        let mut number = 0;
        let mut connected = writer.write_all(self.start(head).as_bytes()).is_ok();
        while connected {
            let mut text = String::new();
            while text.is_empty() || (!drip && text.len() < BLOCK_BYTES) {
                number += 1;
                text += &self.part(number);
            }
            connected = if drip {
                send_drip(writer, &text)
            } else {
                writer.write_all(text.as_bytes()).is_ok()
            };
        }
    }
}

/// Sends single bytes with pauses; returns whether the client stays connected.
fn send_drip(writer: &mut TcpStream, text: &str) -> bool {
    text.bytes().all(|byte| {
        std::thread::sleep(DRIP_INTERVAL);
        writer.write_all(&[byte]).is_ok()
    })
}
