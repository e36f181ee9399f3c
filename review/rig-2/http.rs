//! HTTP/1.1 with a thread for each connection.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    /// Path and query.
    pub target: String,
    /// Fields by name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Fields of the query.
    pub fn query(&self) -> BTreeMap<String, String> {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let fields = query.split('&').filter_map(|pair| pair.split_once('='));
        fields
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
            .collect()
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = (*first == b'%' && tail.len() >= 2)
            .then(|| std::str::from_utf8(&tail[..2]).ok())
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Status and body of an answer; `None` closes the connection without one.
pub type Answer = Option<(u16, String)>;

/// The sockets of a server.
#[derive(Clone, Default)]
pub struct Sockets {
    open: Arc<Mutex<Vec<TcpStream>>>,
    ended: Arc<AtomicBool>,
    address: Option<SocketAddr>,
}

impl Sockets {
    /// Closes all connections, as the end of the process would.
    pub fn close_connections(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the connections and the port for good.
    pub fn close(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _ = self.address.map(TcpStream::connect);
        self.close_connections();
    }
}

/// Answers the requests to `listener` for as long as the process runs.
pub fn serve<H>(listener: TcpListener, handler: H) -> Sockets
where
    H: Fn(&Request) -> Answer + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let sockets = Sockets {
        address: listener.local_addr().ok(),
        ..Sockets::default()
    };
    let shared = sockets.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if shared.ended.load(Ordering::SeqCst) {
                return;
            }
            let handler = Arc::clone(&handler);
            shared.open.lock().unwrap().extend(stream.try_clone());
            thread::spawn(move || drop(serve_connection(stream, &*handler)));
        }
    });
    sockets
}

fn serve_connection<H>(stream: TcpStream, handler: &H) -> io::Result<()>
where
    H: Fn(&Request) -> Answer,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let target = words.nth(1).unwrap_or_default().to_owned();
        let (headers, body) = read_message(&mut reader)?;
        let request = Request { target, headers, body };
        let Some((status, body)) = handler(&request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
}

/// Fields and body after the first line of a message.
fn read_message<R>(reader: &mut R) -> io::Result<(BTreeMap<String, String>, String)>
where
    R: BufRead,
{
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends a request on a connection of its own; `None` without an answer.
pub fn call(address: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &str, limit: Duration) -> Answer {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let fields: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{fields}content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_message(&mut reader).ok()?;
    Some((status, body))
}
