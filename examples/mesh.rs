//! Measures the cost of a full mesh of peer connections: network traffic and CPU time per instance while every instance
//! broadcasts one message per second.
//!
//! `cargo run --release --example mesh`

use std::error::Error;
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use yuccaridge::name::InstanceName;
use yuccaridge::peer::{Head, Hello, Mesh, Message, ReceivedMessage, Recipient};

/// Time for the mesh to connect before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(3);
/// Duration of the measurement.
const MEASUREMENT: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc/self/stat` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of the IPv4 and TCP headers with the timestamp option. Each frame is counted as one segment, acknowledged by
/// another one.
const HEADER_BYTES: f64 = 52.0;

/// User and system CPU time of this process.
fn cpu_seconds() -> Result<f64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let mut ticks = 0.0;
    for field in fields.split(' ').skip(11).take(2) {
        ticks += field.parse::<f64>()?;
    }
    Ok(ticks / TICKS_PER_SECOND)
}

struct Node {
    mesh: Mesh,
    messages: flume::Receiver<ReceivedMessage>,
}

fn start_nodes(count: usize) -> Result<Vec<Node>, Box<dyn Error>> {
    let mut nodes = Vec::new();
    let mut peers = Vec::new();
    for n in 0..count {
        let instance = InstanceName::new(format!("instance-{n}"))?;
        let hello = Hello {
            instance: instance.clone(),
            boot: "1".to_owned(),
        };
        let (sender, messages) = flume::bounded(1024);
        let mesh = Mesh::start("127.0.0.1:0".parse()?, hello, sender)?;
        peers.push((instance, mesh.address()));
        nodes.push(Node { mesh, messages });
    }
    for node in &nodes {
        node.mesh.set_peers(peers.clone());
    }
    Ok(nodes)
}

/// Broadcasts one message per second from every instance for `duration`. Returns the number of messages received.
fn broadcast(nodes: &[Node], duration: Duration) -> usize {
    let mut received = 0;
    let start = Instant::now();
    let mut ticket = 0;
    while start.elapsed() < duration {
        ticket += 1;
        let head = Message::Head(Head {
            ticket: 100_000 + ticket,
            table: true,
            session: true,
        });
        for node in nodes {
            node.mesh.send(Recipient::All, &head);
        }
        thread::sleep(Duration::from_secs(1));
        for node in nodes {
            received += node.messages.drain().count();
        }
    }
    received
}

/// Frames and bytes sent by all instances.
fn sent_totals(nodes: &[Node]) -> (u64, u64) {
    let (mut frames, mut bytes) = (0, 0);
    for node in nodes {
        let counts = node.mesh.counts();
        frames += counts.sent.frames;
        bytes += counts.sent.bytes;
    }
    (frames, bytes)
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("per instance:  sent B/s  frames/s  with headers and acknowledgements B/s  CPU of a core");
    for count in [3, 6, 9] {
        let nodes = start_nodes(count)?;
        broadcast(&nodes, WARM_UP);
        let (frames, bytes) = sent_totals(&nodes);
        let (cpu, start) = (cpu_seconds()?, Instant::now());
        let received = broadcast(&nodes, MEASUREMENT);
        let seconds = start.elapsed().as_secs_f64() * count as f64;
        let (cpu, after) = (cpu_seconds()? - cpu, sent_totals(&nodes));
        let (frames, bytes) = ((after.0 - frames) as f64 / seconds, (after.1 - bytes) as f64 / seconds);
        println!(
            "{count} instances:   {bytes:8.0}  {frames:8.1}  {:38.0}  {:12.3}%   ({received} messages received)",
            bytes + frames * 2.0 * HEADER_BYTES,
            100.0 * cpu / seconds,
        );
        for node in nodes {
            node.mesh.stop();
        }
    }
    Ok(())
}
