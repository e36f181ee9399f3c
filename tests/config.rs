//! Settings: valid and invalid values, overrides, and the locations of errors.

use std::collections::BTreeMap;
use std::path::Path;

use yuccaridge::config::{Config, ConfigError, KEYS, LogFormat, Origin, Override, Source, from_environment};

const MINIMAL: &str = r#"{
  "instance": "a", "domain": "d", "listen": "127.0.0.1:1", "peer": "127.0.0.1:2",
  "platform": { "table": "127.0.0.1:3", "objects": "127.0.0.1:4", "list": "127.0.0.1:5" }
}"#;

fn resolve(text: &str, overrides: &[Override]) -> Result<Config, ConfigError> {
    Config::resolve(&Source::parse("test.jsonc", text)?, overrides)
}

fn minimal_with(extra: &str) -> String {
    MINIMAL.replacen("\"domain\"", &format!("{extra}, \"domain\""), 1)
}

fn set(path: &str, value: &str) -> Override {
    Override {
        path: path.to_owned(),
        value: value.to_owned(),
        origin: Origin::CommandLine,
    }
}

fn location_of(text: &str) -> (String, usize, usize) {
    match resolve(text, &[]) {
        Err(ConfigError::Text { message, location, .. }) => (message, location.line, location.column),
        other => panic!("expected an error with a location, got {other:?}"),
    }
}

/// Guards against example files that the program rejects.
#[test]
fn examples_are_valid() {
    for name in ["norden", "dakar"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("settings/{name}.jsonc"));
        let source = Source::read(&path).expect("example parses");
        Config::resolve(&source, &[]).expect("example resolves");
    }
}

/// Guards against a default outside its documented range, and a key in the table that the settings type lacks.
#[test]
fn every_key_can_be_overridden() {
    for key in KEYS {
        let value = match (key.path, key.range) {
            (_, Some((min, _))) => min.to_string(),
            ("log.format", _) => "json".to_owned(),
            ("log.level", _) => "debug".to_owned(),
            ("trace", _) => "log".to_owned(),
            (_, _) if key.unit == "IP:PORT" => "127.0.0.1:9".to_owned(),
            _ => "name".to_owned(),
        };
        resolve(MINIMAL, &[set(key.path, &value)]).unwrap_or_else(|e| panic!("{}: {e}", key.path));
    }
}

/// Guards against a misspelt key that silently leaves a default in force.
#[test]
fn unknown_keys_are_rejected_with_their_location() {
    let text = "{\n  \"limits\": {\n    \"body_byte\": 5\n  }\n}";
    assert_eq!(location_of(text), ("unknown key `limits.body_byte`".to_owned(), 3, 5));
    assert_eq!(location_of("{ \"drain\": 5 }").1, 1);
    assert_eq!(
        location_of("{\n\"\u{e9}\": 1, \"nope\": {} }"),
        ("unknown key `\u{e9}`".to_owned(), 2, 1)
    );
}

/// Guards against errors without a location, and against a panic on malformed text.
#[test]
fn malformed_text_is_rejected_with_its_location() {
    let cases = [
        ("", 1),
        ("[]", 1),
        ("{ \"instance\": }", 1),
        ("{\n \"instance\": \"a\"\n", 1),
        ("{\n \"drain_s\": \"x\"\n}", 2),
        ("{\n \"drain_s\": -1\n}", 2),
        ("{\n \"limits\": 5\n}", 2),
        ("{ \"drain_s\": 5,\n \"drain_s\": 6 }", 2),
    ];
    for (text, line) in cases {
        assert_eq!(location_of(text).1, line, "{text}");
    }
}

/// Guards against values that the rest of the program cannot use.
#[test]
fn invalid_values_are_rejected() {
    for extra in [
        r#""drain_s": 0"#,
        r#""limits": { "body_bytes": 1 }"#,
        r#""weights": { "completion": 1.5, "fragmentation": 0 }"#,
        r#""budget": { "writes": 10001 }"#,
        r#""advertise": "0.0.0.0:1""#,
    ] {
        let (_, line, _) = location_of(&minimal_with(extra));
        assert_eq!(line, 2, "{extra}");
    }
    let long = MINIMAL.replace("\"a\"", &format!("\"{}\"", "x".repeat(65)));
    assert!(location_of(&long).0.contains("at most 64"));
    let named = MINIMAL.replace("127.0.0.1:3", "table.example:3");
    assert!(location_of(&named).0.contains("socket address"));
}

/// Guards against a missing key that is noticed only at run time.
#[test]
fn missing_keys_name_their_variable() {
    let text = MINIMAL.replace("\"instance\": \"a\", ", "");
    let error = resolve(&text, &[]).expect_err("instance is missing");
    assert!(error.to_string().contains("YUCCARIDGE_INSTANCE"), "{error}");
}

/// Guards against a wrong precedence of file, environment and command line.
#[test]
fn environment_and_command_line_override_the_file() {
    let variables = BTreeMap::from([
        ("YUCCARIDGE_INSTANCE".to_owned(), "from-env".to_owned()),
        ("YUCCARIDGE_LOG_FORMAT".to_owned(), "json".to_owned()),
        ("YUCCARIDGE_SETTINGS".to_owned(), "ignored".to_owned()),
        ("PATH".to_owned(), "ignored".to_owned()),
    ]);
    let mut overrides = from_environment(&variables).expect("variables are known");
    overrides.push(set("instance", "7"));
    let config = resolve(MINIMAL, &overrides).expect("resolves");
    assert_eq!(config.instance.as_str(), "7");
    assert_eq!(config.log.format, LogFormat::Json);
    assert_eq!(config.advertise, config.listen);
}

/// Guards against a misspelt variable that is silently ignored, and an invalid override that is blamed on the file.
#[test]
fn invalid_overrides_name_their_origin() {
    let variables = BTreeMap::from([("YUCCARIDGE_INSTANCES".to_owned(), "x".to_owned())]);
    assert!(matches!(
        from_environment(&variables),
        Err(ConfigError::UnknownVariable(_))
    ));
    for over in [
        set("drain_s", "soon"),
        set("drain_s", "99999"),
        set("listen", "here"),
        set("nothing", "1"),
    ] {
        let error = resolve(MINIMAL, std::slice::from_ref(&over)).expect_err("override is rejected");
        assert!(matches!(error, ConfigError::Override { .. }), "{over:?}: {error}");
    }
}
