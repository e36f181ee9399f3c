//! Recovery of the HTTP server after the process ran out of file descriptors.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// Read timeout of the client; long enough that only a hang reaches it, even on a busy machine.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// An instance with a low limit on open file descriptors.
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

fn start_instance() -> Instance {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the local address").to_string();
    drop(listener);
    let script =
        "ulimit -n 64; exec \"$0\" serve --settings \"$1\" --set listen=$2 --set advertise=$2 --set peer=127.0.0.1:0";
    let settings = concat!(env!("CARGO_MANIFEST_DIR"), "/settings/norden.jsonc");
    let child = Command::new("sh")
        .args(["-c", script, env!("CARGO_BIN_EXE_yuccaridge"), settings, &address])
        .stderr(Stdio::null())
        .spawn()
        .expect("the instance starts");
    Instance { child, address }
}

/// Requests `/healthz` and reads the response up to the `}` that ends its body. Returns whether the status is 200 and the
/// body is complete.
fn request_health(stream: &mut TcpStream) -> bool {
    let mut response = Vec::new();
    let mut open = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").is_ok();
    while open && !response.ends_with(b"}") {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).unwrap_or(0);
        response.extend_from_slice(&buffer[..count]);
        open = count > 0;
    }
    response.starts_with(b"HTTP/1.1 200") && response.ends_with(b"}")
}

fn connect(address: &str) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read timeout is set");
    Some(stream)
}

fn wait_until_healthy(address: &str) -> TcpStream {
    for _ in 0..600 {
        if let Some(mut stream) = connect(address)
            && request_health(&mut stream)
        {
            return stream;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the instance at {address} did not become healthy")
}

/// Guards against a server that accepts no connections after `accept` has failed once for lack of file descriptors, and
/// against one that then drops the connections that it had accepted before.
#[test]
fn listener_recovers_after_descriptors_run_out() {
    let mut instance = start_instance();
    let mut earlier = wait_until_healthy(&instance.address);
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
        "no connection was refused: the instance did not run out of file descriptors"
    );
    drop(idle);
    wait_until_healthy(&instance.address);
    assert!(
        request_health(&mut earlier),
        "a connection accepted before the failure is no longer served"
    );
    assert!(
        instance
            .child
            .try_wait()
            .expect("the state of the child process")
            .is_none(),
        "the instance has exited"
    );
}
