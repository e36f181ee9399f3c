//! A server that runs out of file descriptors.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// Longer than anything takes even on a busy machine; only a hang reaches it.
const HANG: Duration = Duration::from_mins(1);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// An instance that may open few files.
struct Instance {
    child: Child,
    address: String,
}

impl Drop for Instance {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    listener.local_addr().expect("address").to_string()
}

fn start() -> Instance {
    let address = free_address();
    let nowhere = "127.0.0.1:1";
    let child = Command::new("sh")
        .args([
            "-c",
            "ulimit -n 64; exec \"$0\" serve",
            env!("CARGO_BIN_EXE_yuccaridge"),
        ])
        .env("YUCCARIDGE_INSTANCE", "few-files")
        .env("YUCCARIDGE_DOMAIN", "d")
        .env("YUCCARIDGE_LISTEN", &address)
        .env("YUCCARIDGE_PEER", "127.0.0.1:0")
        .env("YUCCARIDGE_PLATFORM_TABLE", nowhere)
        .env("YUCCARIDGE_PLATFORM_OBJECTS", nowhere)
        .env("YUCCARIDGE_PLATFORM_LIST", nowhere)
        .stderr(Stdio::null())
        .spawn()
        .expect("runs");
    Instance { child, address }
}

fn ask(stream: &mut TcpStream) -> bool {
    let mut start = [0; 12];
    let sent = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    sent.is_ok() && stream.read_exact(&mut start).is_ok() && start == *b"HTTP/1.1 200"
}

fn connect(address: &str) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(HANG)).expect("timeout");
    Some(stream)
}

fn wait_healthy(address: &str) -> TcpStream {
    for _ in 0..600 {
        if let Some(mut stream) = connect(address)
            && ask(&mut stream)
        {
            return stream;
        }
        thread::sleep(PAUSE);
    }
    panic!("no answer from {address}")
}

/// Guards against a server that stays deaf after accepting has failed once, and against one that drops the connections
/// that it had accepted before.
#[test]
fn the_listener_comes_back() {
    let mut instance = start();
    let mut kept = wait_healthy(&instance.address);
    let mut idle = Vec::new();
    let mut was_refused = false;
    for _ in 0..200 {
        match connect(&instance.address) {
            Some(stream) => idle.push(stream),
            None => was_refused = true,
        }
    }
    assert!(
        was_refused,
        "the files did not run out, so that this test shows nothing"
    );
    drop(idle);
    wait_healthy(&instance.address);
    assert!(ask_again(&mut kept), "an accepted connection is no longer served");
    assert!(
        instance.child.try_wait().expect("child").is_none(),
        "the process has ended"
    );
}

/// Reads the rest of the first answer, then asks again.
fn ask_again(stream: &mut TcpStream) -> bool {
    let mut piece = [0; 4096];
    let mut text = Vec::new();
    while !text.ends_with(b"}") {
        match stream.read(&mut piece) {
            Ok(count) if count > 0 => text.extend_from_slice(&piece[..count]),
            _ => return false,
        }
    }
    ask(stream)
}
