//! Clients that all send at once and stay connected.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::socket::{setsockopt, sockopt};

/// Send buffer of a client, in bytes. Small, so that what is sent has reached the process.
const SEND_BUFFER: usize = 32 * 1024;

/// For how long no client may be able to send before the crowd stops trying.
const IDLE_LIMIT: Duration = Duration::from_secs(1);

/// Pause after a turn in which nothing could be sent.
const PAUSE: Duration = Duration::from_millis(2);

/// The time in which a test has the machine to itself; ends when dropped.
#[derive(Debug)]
pub struct Turn {
    _guard: MutexGuard<'static, ()>,
}

/// Waits until no other test of this binary runs.
pub fn turn() -> Turn {
    static LOCK: Mutex<()> = Mutex::new(());
    Turn { _guard: LOCK.lock().unwrap_or_else(PoisonError::into_inner) }
}

/// The bytes that a client sends: a head, then repetitions of a part.
#[derive(Clone, Debug, Default)]
pub struct Script {
    pub head: Vec<u8>,
    pub part: Vec<u8>,
    /// Bytes of all repetitions together.
    pub bytes: usize,
    /// Send buffer in bytes; [`SEND_BUFFER`] if there is none.
    pub send_buffer: Option<usize>,
}

impl Script {
    /// The bytes from `sent` on, at most `length`.
    fn rest(&self, sent: usize, length: usize) -> &[u8] {
        let (bytes, left) = match sent.checked_sub(self.head.len()) {
            None => (&self.head[sent..], usize::MAX),
            Some(after) => (&self.part[after % self.part.len()..], self.bytes - after),
        };
        &bytes[..bytes.len().min(left).min(length)]
    }
}

/// A client; its connection is open unless the process has closed it.
#[derive(Debug)]
struct Client {
    connection: Option<TcpStream>,
    script: Script,
    sent: usize,
}

impl Client {
    /// Sends up to `length` bytes; returns whether any could be sent.
    fn send(&mut self, length: usize) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        let rest = self.script.rest(self.sent, length);
        if rest.is_empty() {
            return false;
        }
        match connection.write(rest) {
            Ok(sent) => {
                self.sent += sent;
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.connection = None;
                false
            }
        }
    }
}

/// Clients that are connected to one process.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<Client>,
}

impl Crowd {
    /// Connects `count` clients to `address`. Those that can't connect are left out.
    pub fn connect(address: &str, count: usize, script: impl Fn(usize) -> Script) -> Self {
        let connect = |number| {
            let connection = TcpStream::connect(address).ok()?;
            connection.set_nonblocking(true).expect("a socket");
            let script = script(number);
            let buffer = script.send_buffer.unwrap_or(SEND_BUFFER);
            setsockopt(&connection, sockopt::SndBuf, &buffer).expect("a socket");
            Some(Client { connection: Some(connection), script, sent: 0 })
        };
        Self { clients: (0..count).filter_map(connect).collect() }
    }

    /// Sends in turns of up to `piece` bytes for each client, until all is sent or no client can
    /// send.
    pub fn send(&mut self, piece: usize) {
        let mut last_sent = Instant::now();
        while !self.is_finished() && last_sent.elapsed() < IDLE_LIMIT {
            let sending = self.clients.iter_mut().map(|client| client.send(piece));
            if sending.filter(|is_sent| *is_sent).count() > 0 {
                last_sent = Instant::now();
            } else {
                std::thread::sleep(PAUSE);
            }
        }
    }

    fn is_finished(&self) -> bool {
        self.clients.iter().all(|client| {
            client.connection.is_none() || client.script.rest(client.sent, 1).is_empty()
        })
    }

    /// The first bytes that each client was sent, without waiting for more.
    pub fn answers(&mut self) -> Vec<String> {
        let read = |client: &mut Client| {
            let mut bytes = [0; 64];
            let length = client.connection.as_mut()?.read(&mut bytes).ok()?;
            Some(String::from_utf8_lossy(&bytes[..length]).into_owned())
        };
        self.clients.iter_mut().filter_map(read).collect()
    }
}
