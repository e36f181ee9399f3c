//! A server whose responses a test writes byte by byte.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use serde::Serialize;
use serde_json::json;
use standin::table::MemoryTable;
use yuccaridge::platform::http::wire::{CommitReply, ReadBody, ReadReply};
use yuccaridge::platform::{Table, TableError, Version};

/// A received request.
pub struct Received {
    pub path: String,
    pub body: Vec<u8>,
}

/// Server that passes each request, with its number, to a closure and closes the connection when the closure returns.
pub struct RawServer {
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RawServer {
    pub fn start<F>(answer: F) -> Self
    where
        F: Fn(usize, Received, &mut TcpStream) + Send + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let mut stream = stream.unwrap();
                if stop_requested.load(Ordering::Relaxed) {
                    return;
                }
                if let Some(received) = receive(&mut stream) {
                    answer(number, received, &mut stream);
                }
            }
        });
        Self {
            address,
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        drop(TcpStream::connect(self.address));
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

fn receive(stream: &mut TcpStream) -> Option<Received> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.map_or(0, |length| length.trim().parse().unwrap());
        if bytes.len() >= end + 4 + length {
            return Some(Received {
                path: head.split_whitespace().nth(1)?.to_owned(),
                body: bytes.split_off(end + 4),
            });
        }
    }
}

/// Writes a complete response. Errors are ignored, since the client may have closed the connection.
pub fn reply(stream: &mut TcpStream, status: u16, body: &[u8]) {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
    drop(stream.write_all(head.as_bytes()));
    drop(stream.write_all(body));
}

fn reply_json<B>(stream: &mut TcpStream, status: u16, body: &B)
where
    B: Serialize,
{
    reply(stream, status, &serde_json::to_vec(body).unwrap());
}

/// Answers the request if it is a read, and returns whether it is.
pub fn reply_read(stream: &mut TcpStream, received: &Received, table: &MemoryTable) -> bool {
    if received.path != "/v1/table/read" {
        return false;
    }
    let body: ReadBody = serde_json::from_slice(&received.body).unwrap();
    let rows = table.read(&body.keys).unwrap();
    reply_json(stream, 200, &ReadReply { rows });
    true
}

/// Answers a commit with its result.
pub fn reply_commit(stream: &mut TcpStream, result: Result<Version, TableError>) {
    match result {
        Ok(version) => reply_json(stream, 200, &CommitReply { version }),
        Err(TableError::Conflict { key, expected, found }) => {
            let body = json!({ "code": "conflict", "key": key, "expected": expected, "found": found, "message": "" });
            reply_json(stream, 409, &body);
        }
        Err(error) => panic!("{error}"),
    }
}
