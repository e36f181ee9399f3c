//! A server that runs out of file descriptors.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// Longer than anything takes even on a busy machine; only a hang reaches it.
const HANG: Duration = Duration::from_mins(1);

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

fn start() -> Instance {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address").to_string();
    drop(listener);
    let script =
        "ulimit -n 64; exec \"$0\" serve --settings \"$1\" --set listen=$2 --set advertise=$2 --set peer=127.0.0.1:0";
    let settings = concat!(env!("CARGO_MANIFEST_DIR"), "/settings/norden.jsonc");
    let child = Command::new("sh")
        .args(["-c", script, env!("CARGO_BIN_EXE_yuccaridge"), settings, &address])
        .stderr(Stdio::null())
        .spawn()
        .expect("runs");
    Instance { child, address }
}

/// Asks and reads the whole answer, which ends with the only object in it.
fn ask(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut sent = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").is_ok();
    while sent && !text.ends_with(b"}") {
        let mut piece = [0; 4096];
        let count = stream.read(&mut piece).unwrap_or(0);
        text.extend_from_slice(&piece[..count]);
        sent = count > 0;
    }
    text.starts_with(b"HTTP/1.1 200") && text.ends_with(b"}")
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
        thread::sleep(Duration::from_millis(100));
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
    assert!(ask(&mut kept), "an accepted connection is no longer served");
    assert!(
        instance.child.try_wait().expect("child").is_none(),
        "the process has ended"
    );
}
