//! A small HTTP/1.1 server and client, with a thread for each connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Status and body; status 0 for an answer that is lost, after which the connection delivers nothing further, and status 1
/// for a connection that is closed instead.
pub type Reply = (u16, String);

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = connection(stream, &handler);
            });
        }
    });
}

fn connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some((first, headers, body)) = message(&mut reader)? {
        let mut words = first.split(' ');
        let target = words.nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            path: path.to_owned(),
            query: pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect(),
            headers,
            body,
        };
        let (status, body) = handler(request);
        if status == 0 {
            thread::sleep(Duration::from_secs(60));
            return Ok(());
        }
        if status == 1 {
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

/// First line, headers and body of a message.
type Message = (String, BTreeMap<String, String>, Vec<u8>);

fn message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|digits| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a new connection.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> std::io::Result<Reply> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-type: application/json\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    let closed = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    let (first, _, body) = message(&mut BufReader::new(stream))?.ok_or_else(closed)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .ok_or_else(closed)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
