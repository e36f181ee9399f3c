//! The `yuccaridge` program: commands, exit codes, JSON output and diagnostics.

mod fake;

use std::io::{self, Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::{env, fs, process};

use fake::{job_body, limits, serve, wait_in_flight};
use serde_json::Value;
use yuccaridge::api::Server;

/// Temporary file, which is removed when this is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, content: &str) -> Self {
        let path = env::temp_dir().join(format!("yuccaridge-{}-{name}", process::id()));
        fs::write(&path, content).expect("temporary file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("path")
    }
}

impl Drop for TempFile {
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

fn run_with_server(server: &Server, arguments: &[&str]) -> Output {
    command(arguments)
        .env("YUCCARIDGE_SERVER", server.address().to_string())
        .output()
        .expect("runs")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("not killed")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

/// Guards against exit codes that differ from the documented ones.
#[test]
fn exit_codes_follow_the_outcome() {
    let (_fake, server) = serve(limits());
    let file = TempFile::new("codes.json", job_body());
    for (id, expected) in [
        ("queued", 0),
        ("completed", 0),
        ("unknown", 5),
        ("failed", 6),
        ("not_run", 6),
        ("cancelled", 6),
        ("panic", 5),
    ] {
        let output = run_with_server(&server, &["submit", id, "--file", file.path(), "--wait", "1"]);
        assert_eq!(exit_code(&output), expected, "{id}: {}", stderr_text(&output));
    }
    assert_eq!(exit_code(&run_with_server(&server, &["job", "absent"])), 3);
    assert_eq!(exit_code(&run_with_server(&server, &["cancel", "queued"])), 0);
    assert_eq!(
        exit_code(&run_with_server(
            &server,
            &["submit", "queued", "--file", "no such file"]
        )),
        1
    );
    assert_eq!(exit_code(&run_with_server(&server, &["job", "not an id"])), 2);
    assert_eq!(exit_code(&run_with_server(&server, &["job", "a", "--wait", "61"])), 2);
    server.start_draining();
    assert_eq!(
        exit_code(&run_with_server(&server, &["submit", "late", "--file", file.path()])),
        4
    );
}

/// Guards against a request in flight that loses its answer because the instance begins to drain.
#[test]
fn a_request_in_flight_is_answered_during_a_drain() {
    let (fake, server) = serve(limits());
    let file = TempFile::new("drain.json", job_body());
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
    server.start_draining();
    fake.release();
    let output = child.wait_with_output().expect("ends");
    assert!(
        exit_code(&output) == 0 && stdout_text(&output).contains("completed"),
        "{}",
        stdout_text(&output)
    );
}

/// Guards against output and errors that a script cannot parse.
#[test]
fn json_is_one_object_on_one_line() {
    let (_fake, server) = serve(limits());
    let file = TempFile::new("json.json", job_body());
    let output = run_with_server(&server, &["--json", "submit", "completed", "--file", file.path()]);
    let view = json(&stdout_text(&output));
    assert_eq!(
        (&view["state"], &view["outcome"]["answer"]["matches"]),
        (&"ended".into(), &3.into())
    );
    let output = run_with_server(&server, &["job", "absent", "--json"]);
    assert_eq!(json(&stderr_text(&output))["code"], "not_found");
    let output = run_with_server(&server, &["status", "--json"]);
    assert_eq!(json(&stdout_text(&output))["ticket"], 7);
    assert!(stdout_text(&run_with_server(&server, &["status"])).contains("instance fake: ticket 7"));
}

/// Guards against a refused connection that is reported as an unknown result.
#[test]
fn an_unreachable_server_means_not_run() {
    let output = run(&["status", "--json", "--server", "127.0.0.1:1"]);
    assert_eq!(exit_code(&output), 4, "{}", stderr_text(&output));
    assert_eq!(json(&stderr_text(&output))["not_run"], true);
}

/// Guards against a connection lost after the request was sent that is reported as not run.
#[test]
fn a_lost_answer_means_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address").to_string();
    let file = TempFile::new("lost.json", job_body());
    let child = command(&["submit", "a", "--file", file.path(), "--server", &address])
        .stderr(Stdio::piped())
        .spawn()
        .expect("runs");
    let (mut stream, _) = listener.accept().expect("connects");
    let mut request = Vec::new();
    while !request.ends_with(job_body().as_bytes()) {
        let mut buffer = [0; 1024];
        let count = stream.read(&mut buffer).expect("reads");
        request.extend_from_slice(&buffer[..count]);
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")
        .expect("sends");
    drop(stream);
    let output = child.wait_with_output().expect("ends");
    assert_eq!(exit_code(&output), 5, "{}", stderr_text(&output));
}

/// Guards against exit codes of the ticket commands that do not follow the result, and invalid tickets that pass
/// validation.
#[test]
fn tickets_are_applied_shown_and_validated() {
    let (_fake, server) = serve(limits());
    let text = r#"{"objects":{"kind":{"photo":{"class":"batch"}}}}"#;
    let good = TempFile::new("ticket.json", text);
    let other = TempFile::new("other.json", "{}");
    let bad = TempFile::new("bad.json", r#"{"objects":{"knid":{}}}"#);
    assert_eq!(exit_code(&run(&["ticket", "validate", good.path()])), 0);
    assert_eq!(exit_code(&run(&["ticket", "validate", other.path()])), 7);
    let output = run(&["ticket", "validate", bad.path()]);
    assert!(
        exit_code(&output) == 7 && stderr_text(&output).contains("knid"),
        "{}",
        stderr_text(&output)
    );
    assert!(
        stdout_text(&run_with_server(&server, &["ticket", "apply", "7", good.path()])).contains("in force everywhere")
    );
    assert!(stdout_text(&run_with_server(&server, &["ticket", "apply", "7", good.path()])).contains("already done"));
    assert_eq!(
        exit_code(&run_with_server(&server, &["ticket", "apply", "7", other.path()])),
        3
    );
    assert_eq!(exit_code(&run_with_server(&server, &["ticket", "show", "7"])), 0);
    assert_eq!(exit_code(&run_with_server(&server, &["ticket", "show", "8"])), 3);
    assert_eq!(exit_code(&run_with_server(&server, &["ticket", "show", "0"])), 2);
}

/// Guards against diagnostics without the location in the settings file, and overrides that are not applied.
#[test]
fn check_shows_where_settings_are_invalid() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/settings/norden.jsonc");
    let output = run(&["check", "--settings", example]);
    assert_eq!(exit_code(&output), 0, "{}", stderr_text(&output));
    let set = run(&["check", "--settings", example, "--set", "instance=lund-3"]);
    assert!(stdout_text(&set).contains("Instance lund-3"), "{}", stdout_text(&set));

    let wrong = TempFile::new(
        "wrong.jsonc",
        "{\n  // bounds\n  \"limits\": { \"body_byte\": 5 },\n}\n",
    );
    let output = run(&["check", "--settings", wrong.path()]);
    assert_eq!(exit_code(&output), 7);
    for part in [
        "line 3, column 15",
        "unknown key `limits.body_byte`",
        "limits.body_bytes",
        "\"limits\": {",
    ] {
        assert!(
            stderr_text(&output).contains(part),
            "{part} is missing in {}",
            stderr_text(&output)
        );
    }
    let output = run(&["check", "--json", "--settings", wrong.path()]);
    assert_eq!(json(&stderr_text(&output))["column"], 15);
    let output = command(&["check", "--settings", example])
        .env("YUCCARIDGE_DRAIN", "5")
        .output()
        .expect("runs");
    assert!(
        exit_code(&output) == 7 && stderr_text(&output).contains("YUCCARIDGE_DRAIN"),
        "{}",
        stderr_text(&output)
    );
    assert_eq!(exit_code(&run(&["check", "--settings", "no such file"])), 1);
    assert_eq!(exit_code(&run(&["serve"])), 7);
}

/// Guards against help texts without examples or exit codes, and completions without the commands.
#[test]
fn help_and_completions_are_complete() {
    assert!(stdout_text(&run(&["--help"])).contains("Exit codes:"));
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
        assert!(stdout_text(&run(&[name, "--help"])).contains("Example"), "{name}");
        assert!(stdout_text(&run(&["completions", "bash"])).contains(name), "{name}");
    }
    assert!(stdout_text(&run(&["check", "--keys"])).contains("YUCCARIDGE_LIMITS_BODY_BYTES"));
}

/// Guards against a panic message after `yuccaridge check --keys | head`: the reader closes the pipe before the program
/// has written everything.
#[test]
fn a_closed_standard_output_ends_the_program_quietly() {
    for arguments in [
        &["check", "--keys"][..],
        &["check", "--keys", "--json"],
        &["completions", "bash"],
    ] {
        let (reader, writer) = io::pipe().expect("a pipe");
        drop(reader);

        let output = command(arguments).stdout(writer).output().expect("runs");

        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!((exit_code(&output), &*text), (0, ""), "{arguments:?}");
    }
}
