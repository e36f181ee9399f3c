//! The program as a process: commands, exit codes, JSON and diagnostics.

mod fake;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::{env, fs, process};

use fake::{job_body, limits, serve, wait_in_flight};
use serde_json::Value;
use yuccaridge::api::Server;

/// A file that is removed when the test ends.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str, content: &str) -> Self {
        let path = env::temp_dir().join(format!("yuccaridge-{}-{name}", process::id()));
        fs::write(&path, content).expect("scratch file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("path")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        drop(fs::remove_file(&self.0));
    }
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccaridge"));
    for (name, _) in env::vars() {
        if name.starts_with("YUCCARIDGE_") {
            command.env_remove(name);
        }
    }
    command.args(arguments).stdin(Stdio::null());
    command
}

fn run(arguments: &[&str]) -> Output {
    command(arguments).output().expect("runs")
}

fn ask(server: &Server, arguments: &[&str]) -> Output {
    command(arguments)
        .env("YUCCARIDGE_SERVER", server.address().to_string())
        .output()
        .expect("runs")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("not killed")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

/// Guards against exit codes that differ from the documented ones.
#[test]
fn exit_codes_follow_the_outcome() {
    let (_fake, server) = serve(limits());
    let file = Scratch::new("codes.json", job_body());
    for (id, expected) in [
        ("queued", 0),
        ("completed", 0),
        ("unknown", 5),
        ("failed", 6),
        ("not_run", 6),
        ("cancelled", 6),
        ("panic", 5),
    ] {
        let output = ask(&server, &["submit", id, "--file", file.path(), "--wait", "1"]);
        assert_eq!(code(&output), expected, "{id}: {}", err(&output));
    }
    assert_eq!(code(&ask(&server, &["job", "absent"])), 3);
    assert_eq!(code(&ask(&server, &["cancel", "queued"])), 0);
    assert_eq!(code(&ask(&server, &["submit", "queued", "--file", "no such file"])), 1);
    assert_eq!(code(&ask(&server, &["job", "not an id"])), 2);
    assert_eq!(code(&ask(&server, &["job", "a", "--wait", "61"])), 2);
    server.refuse();
    assert_eq!(code(&ask(&server, &["submit", "late", "--file", file.path()])), 4);
}

/// Guards against a caller that loses its answer because the instance begins to drain.
#[test]
fn a_drain_does_not_disturb_a_submit() {
    let (fake, server) = serve(limits());
    let file = Scratch::new("drain.json", job_body());
    let child = command(&[
        "submit",
        "slow.1",
        "--file",
        file.path(),
        "--server",
        &server.address().to_string(),
    ])
    .stdout(Stdio::piped())
    .spawn()
    .expect("runs");
    wait_in_flight(&server, 1);
    server.refuse();
    fake.release();
    let output = child.wait_with_output().expect("ends");
    assert!(
        code(&output) == 0 && out(&output).contains("completed"),
        "{}",
        out(&output)
    );
}

/// Guards against answers and errors that a script cannot read.
#[test]
fn json_is_one_object_on_one_line() {
    let (_fake, server) = serve(limits());
    let file = Scratch::new("json.json", job_body());
    let output = ask(&server, &["--json", "submit", "completed", "--file", file.path()]);
    let view = json(&out(&output));
    assert_eq!(
        (&view["state"], &view["outcome"]["answer"]["matches"]),
        (&"ended".into(), &3.into())
    );
    let output = ask(&server, &["job", "absent", "--json"]);
    assert_eq!(json(&err(&output))["code"], "not_found");
    let output = ask(&server, &["status", "--json"]);
    assert_eq!(json(&out(&output))["ticket"], 7);
    assert!(out(&ask(&server, &["status"])).contains("instance fake: ticket 7"));
}

/// Guards against a port without a server that is reported as an unknown result.
#[test]
fn an_unreachable_server_means_not_run() {
    let output = run(&["status", "--json", "--server", "127.0.0.1:1"]);
    assert_eq!(code(&output), 4, "{}", err(&output));
    assert_eq!(json(&err(&output))["not_run"], true);
}

/// Guards against a cut connection that is reported as not run.
#[test]
fn a_lost_answer_means_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address").to_string();
    let file = Scratch::new("lost.json", job_body());
    let child = command(&["submit", "a", "--file", file.path(), "--server", &address])
        .stderr(Stdio::piped())
        .spawn()
        .expect("runs");
    let (mut stream, _) = listener.accept().expect("connects");
    let mut request = Vec::new();
    while !request.ends_with(job_body().as_bytes()) {
        let mut piece = [0; 1024];
        let count = stream.read(&mut piece).expect("reads");
        request.extend_from_slice(&piece[..count]);
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")
        .expect("sends");
    drop(stream);
    let output = child.wait_with_output().expect("ends");
    assert_eq!(code(&output), 5, "{}", err(&output));
}

/// Guards against tickets that are sent wrongly or accepted in a wrong form.
#[test]
fn tickets_are_applied_shown_and_validated() {
    let (_fake, server) = serve(limits());
    let text = r#"{"objects":{"kind":{"photo":{"class":"batch"}}}}"#;
    let good = Scratch::new("ticket.json", text);
    let other = Scratch::new("other.json", "{}");
    let bad = Scratch::new("bad.json", r#"{"objects":{"knid":{}}}"#);
    assert_eq!(code(&run(&["ticket", "validate", good.path()])), 0);
    assert_eq!(code(&run(&["ticket", "validate", other.path()])), 7);
    let output = run(&["ticket", "validate", bad.path()]);
    assert!(code(&output) == 7 && err(&output).contains("knid"), "{}", err(&output));
    assert!(out(&ask(&server, &["ticket", "apply", "7", good.path()])).contains("in force everywhere"));
    assert!(out(&ask(&server, &["ticket", "apply", "7", good.path()])).contains("already done"));
    assert_eq!(code(&ask(&server, &["ticket", "apply", "7", other.path()])), 3);
    assert_eq!(code(&ask(&server, &["ticket", "show", "7"])), 0);
    assert_eq!(code(&ask(&server, &["ticket", "show", "8"])), 3);
    assert_eq!(code(&ask(&server, &["ticket", "show", "0"])), 2);
}

/// Guards against a diagnostic without the source, and against an override that is not applied.
#[test]
fn check_shows_where_settings_are_wrong() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/settings/norden.jsonc");
    let output = run(&["check", "--settings", example]);
    assert_eq!(code(&output), 0, "{}", err(&output));
    let set = run(&["check", "--settings", example, "--set", "instance=lund-3"]);
    assert!(out(&set).contains("Instance lund-3"), "{}", out(&set));

    let wrong = Scratch::new(
        "wrong.jsonc",
        "{\n  // bounds\n  \"limits\": { \"body_byte\": 5 },\n}\n",
    );
    let output = run(&["check", "--settings", wrong.path()]);
    assert_eq!(code(&output), 7);
    for part in [
        "line 3, column 15",
        "unknown key `limits.body_byte`",
        "limits.body_bytes",
        "\"limits\": {",
    ] {
        assert!(err(&output).contains(part), "{part} is missing in {}", err(&output));
    }
    let output = run(&["check", "--json", "--settings", wrong.path()]);
    assert_eq!(json(&err(&output))["column"], 15);
    let output = command(&["check", "--settings", example])
        .env("YUCCARIDGE_DRAIN", "5")
        .output()
        .expect("runs");
    assert!(
        code(&output) == 7 && err(&output).contains("YUCCARIDGE_DRAIN"),
        "{}",
        err(&output)
    );
    assert_eq!(code(&run(&["check", "--settings", "no such file"])), 1);
    assert_eq!(code(&run(&["serve"])), 7);
}

/// Guards against help without examples and exit codes, and completions that do not name the commands.
#[test]
fn help_and_completions_are_complete() {
    assert!(out(&run(&["--help"])).contains("Exit codes:"));
    for name in [
        "serve",
        "check",
        "submit",
        "job",
        "cancel",
        "ticket",
        "status",
        "completions",
    ] {
        assert!(out(&run(&[name, "--help"])).contains("Example"), "{name}");
        assert!(out(&run(&["completions", "bash"])).contains(name), "{name}");
    }
    assert!(out(&run(&["check", "--keys"])).contains("YUCCARIDGE_LIMITS_BODY_BYTES"));
}
