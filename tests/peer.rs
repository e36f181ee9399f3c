//! The mesh over real connections: delivery, reconnection, limits and invalid input.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yuccaridge::name::{EndpointName, InstanceName, JobId, PoolName};
use yuccaridge::peer::{FRAME_BYTES_MAX, Head, Hello, Mesh, Message, ReceivedMessage, Recipient};
use yuccaridge::platform::Address;

/// Longer than any operation takes even on a busy machine, so only a hang exceeds it.
const HANG_TIMEOUT: Duration = Duration::from_mins(1);
const SEEDS: [u64; 12] = [1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144, 233];

fn name(text: &str) -> InstanceName {
    InstanceName::new(text).expect("name")
}

fn start_mesh(text: &str, listen: &str, capacity: usize) -> (Mesh, flume::Receiver<ReceivedMessage>) {
    let (sender, receiver) = flume::bounded(capacity);
    let me = Hello {
        instance: name(text),
        boot: format!("boot-of-{text}"),
    };
    let mesh = Mesh::start(listen.parse().expect("address"), me, sender).expect("starts");
    (mesh, receiver)
}

fn mesh(text: &str) -> (Mesh, flume::Receiver<ReceivedMessage>) {
    start_mesh(text, "127.0.0.1:0", 1024)
}

fn ended(id: &str) -> Message {
    Message::Ended(JobId::new(id).expect("name"))
}

/// Sends a message repeatedly until it arrives, because hints sent before the connection is established may be dropped.
fn deliver(
    from: &Mesh,
    to: Recipient<'_>,
    message: &Message,
    receiver: &flume::Receiver<ReceivedMessage>,
) -> ReceivedMessage {
    for _ in 0..600 {
        from.send(to, message);
        while let Ok(event) = receiver.recv_timeout(Duration::from_millis(100)) {
            if event.message == *message {
                return event;
            }
        }
    }
    panic!("{message:?} did not arrive")
}

fn wait_until<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    for _ in 0..3000 {
        if condition() {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("timed out waiting for {what}");
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

fn hello_frame(text: &str) -> Vec<u8> {
    let mut body = vec![0x0a, text.len() as u8 + 2, 0x0a, text.len() as u8];
    body.extend_from_slice(text.as_bytes());
    frame(&body)
}

fn connect(address: Address) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connects");
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("timeout");
    stream
}

/// Reads until the other side closes or resets the connection.
fn wait_closed(stream: &mut TcpStream, what: &str) {
    let mut buffer = [0; 1024];
    for _ in 0..1000 {
        match stream.read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("{what} is still open"),
            Err(_) => return,
        }
    }
    panic!("{what} is still open and receives data");
}

/// Guards against messages that are lost, changed, or attributed to the wrong sender.
#[test]
fn messages_reach_one_peer_or_all() {
    let (a, _) = mesh("a");
    let (b, at_b) = mesh("b");
    let (c, at_c) = mesh("c");
    a.set_peers(vec![
        (name("a"), a.address()),
        (name("b"), b.address()),
        (name("c"), c.address()),
    ]);
    let mut load = BTreeMap::new();
    for n in 0..1300 {
        load.insert(EndpointName::new(format!("{n:0>64}")).expect("name"), n);
    }
    let messages = [
        Message::Head(Head {
            ticket: 4711,
            table: true,
            session: false,
        }),
        Message::Wake {
            pool: PoolName::new("night").expect("name"),
            job: JobId::new("j").expect("name"),
        },
        ended("j"),
    ];
    for message in &messages {
        let event = deliver(&a, Recipient::All, message, &at_b);
        assert_eq!(
            (event.from.instance, event.from.boot),
            (name("a"), "boot-of-a".to_owned())
        );
        deliver(&a, Recipient::One(&name("c")), message, &at_c);
    }
    // A `Load` of 1,300 endpoints exceeds a frame and arrives in parts.
    let mut seen = BTreeMap::new();
    for _ in 0..600 {
        a.send(Recipient::One(&name("c")), &Message::Load(load.clone()));
        while seen.len() < load.len()
            && let Ok(event) = at_c.recv_timeout(Duration::from_millis(100))
        {
            if let Message::Load(part) = event.message {
                seen.extend(part);
            }
        }
        if seen.len() == load.len() {
            break;
        }
    }
    assert_eq!(seen, load);
    assert!(a.counts().sent.bytes > 1300 * 64);
}

/// Guards against a peer that is not dialled again after a restart, and against messages to another instance that has
/// taken over the address of a peer.
#[test]
fn restarted_peers_are_dialled_again() {
    let (a, _) = mesh("a");
    let (b, at_b) = mesh("b");
    let address = b.address();
    a.set_peers(vec![(name("b"), address)]);
    deliver(&a, Recipient::All, &ended("before"), &at_b);
    b.stop();
    let (_b, at_b) = start_mesh("b", &address.to_string(), 1024);
    deliver(&a, Recipient::All, &ended("after"), &at_b);
    let (other, at_other) = mesh("other");
    a.set_peers(vec![(name("c"), other.address())]);
    wait_until("rejection of another instance", || {
        a.send(Recipient::All, &ended("secret"));
        a.counts().rejected > 0
    });
    assert!(at_other.is_empty(), "another instance received a message");
}

/// Guards against queues that grow without limit while a peer is unreachable or a receiver is too slow.
#[test]
fn queues_are_bounded() {
    let (a, _) = mesh("a");
    a.set_peers(vec![(name("away"), "127.0.0.1:1".parse().expect("address"))]);
    for n in 0..300 {
        a.send(Recipient::All, &ended(&format!("j{n}")));
    }
    assert!(a.counts().dropped.frames >= 40, "{:?}", a.counts());

    let (b, at_b) = start_mesh("b", "127.0.0.1:0", 1);
    a.set_peers(vec![(name("b"), b.address())]);
    deliver(&a, Recipient::All, &ended("first"), &at_b);
    wait_until("an overrun", || {
        a.send(Recipient::All, &ended("more"));
        b.counts().overrun > 0
    });
}

/// Guards against invalid frames that end the process, disturb other connections, or are taken for messages.
#[test]
fn invalid_frames_close_only_their_connection() {
    let (a, _) = mesh("a");
    let (b, at_b) = mesh("b");
    a.set_peers(vec![(name("b"), b.address())]);
    deliver(&a, Recipient::All, &ended("before"), &at_b);

    let too_long = vec![b'x'; 65];
    let mut long_name = vec![0x0a, 67, 0x0a, 65];
    long_name.extend_from_slice(&too_long);
    let after_hello = |body: &[u8]| [hello_frame("x"), frame(body)].concat();
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("largest length", u32::MAX.to_be_bytes().to_vec()),
        ("oversize frame", frame(&vec![0; FRAME_BYTES_MAX + 1])),
        ("no hello", frame(&[0x22, 0x03, 0x0a, 0x01, b'j'])),
        ("empty name", frame(&[0x0a, 0x00])),
        ("name too long", frame(&long_name)),
        ("second hello", [hello_frame("x"), hello_frame("x")].concat()),
        ("invalid job id", after_hello(&[0x22, 0x03, 0x0a, 0x01, b' '])),
        ("invalid UTF-8", after_hello(&[0x22, 0x03, 0x0a, 0x01, 0xff])),
        ("wrong wire type", after_hello(&[0x22, 0x02, 0x08, 0x01])),
        ("length beyond the frame", after_hello(&[0x22, 0x7f, 0x0a])),
        ("group without end", after_hello(&[0x23, 0x23, 0x23])),
        ("HTTP", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
    ];
    let expected = cases.len() as u64;
    for (what, bytes) in cases {
        let mut stream = connect(b.address());
        // The other side may close the connection before everything is written.
        drop(stream.write_all(&bytes));
        wait_closed(&mut stream, what);
    }
    wait_until("the count of rejections", || b.counts().rejected >= expected);

    deliver(&a, Recipient::All, &ended("after"), &at_b);
    assert_eq!(a.counts().rejected, 0);
}

/// Guards against random bytes that end the process, and against silent connections and partial frames that keep a
/// connection open.
#[test]
fn random_and_partial_frames_do_not_end_the_process() {
    let (a, _) = mesh("a");
    let (b, at_b) = mesh("b");
    a.set_peers(vec![(name("b"), b.address())]);
    let mut streams = vec![("silent".to_owned(), connect(b.address()))];
    for seed in SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut bytes = vec![0; random.random_range(1..2000)];
        random.fill(bytes.as_mut_slice());
        let partial = frame(&bytes)[..random.random_range(1..bytes.len() + 4)].to_vec();
        let mut framed = hello_frame("x");
        framed.extend_from_slice(&frame(&bytes));
        for (what, sent) in [("raw", bytes), ("partial frame", partial), ("frame", framed)] {
            let mut stream = connect(b.address());
            drop(stream.write_all(&sent));
            streams.push((format!("{what} of seed {seed}"), stream));
        }
    }
    for (what, stream) in &mut streams {
        wait_closed(stream, what);
    }
    deliver(&a, Recipient::All, &ended("after"), &at_b);
}

/// Guards against a stop that leaves the port open or waits for connected peers.
#[test]
fn stop_closes_the_port_and_all_connections() {
    let (a, _) = mesh("a");
    let (b, at_b) = mesh("b");
    a.set_peers(vec![(name("b"), b.address())]);
    deliver(&a, Recipient::All, &ended("before"), &at_b);
    let address = b.address();
    let mut open = connect(address);
    b.stop();
    wait_closed(&mut open, "a connection after the stop");
    assert!(
        TcpStream::connect_timeout(&address, HANG_TIMEOUT).is_err(),
        "still listens"
    );
    a.stop();
}
