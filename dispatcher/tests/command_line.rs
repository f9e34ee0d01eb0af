//! The command line as a process: its output and its exit codes.

mod common;

use common::admin::{file, rig, KEY};
use common::{create_temp_dir, program, SETTINGS};
use rstest::rstest;
use serde_json::Value;
use std::path::Path;
use std::process::{Command, Output, Stdio};

fn run(command: &mut Command) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } = command.stdout(Stdio::piped()).output().expect("it runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

fn check(operator: &str, config: &str) -> (Option<i32>, String, String) {
    let dir = create_temp_dir();
    std::fs::write(dir.join("config.json"), config).expect("a file");
    std::fs::write(dir.join("operator.json"), operator).expect("a file");
    let operator = dir.join("operator.json");
    run(program().env("GW_CONFIG", dir.join("config.json")).args(["check", "--operator"]).arg(operator))
}

fn config() -> String {
    format!(r#"{{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {SETTINGS}}}"#)
}

#[test]
fn check_prints_what_the_configuration_resolves_to_and_no_key() {
    let key = file("admin.key", "a-key-that-nobody-sees");
    let operator = format!(
        r#"{{"admin": {{"listen": "127.0.0.1:9101", "key_file": {key:?}}}, "overrides": {{"longest": "90m"}},
            "routes": [{{"path": "/quotes", "class": "quote"}}]}}"#
    );
    let (code, out, stderr_text) = check(&operator, &config());
    assert_eq!(code, Some(0), "{stderr_text}");
    let resolved: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(resolved["overrides"]["longest"], "1h 30m");
    assert_eq!(resolved["admin"]["listen"], "127.0.0.1:9101");
    assert_eq!(
        (&resolved["routes"][1]["class"], &resolved["classes"][2]["class"]),
        (&"quote".into(), &"order".into())
    );
    assert!(!out.contains("nobody-sees"));
}

/// Half the usual memory and descriptor limits are valid: 24 MB and 192 sockets, with the admin console on.
#[test]
fn half_the_usual_limits_are_accepted() {
    let more = r#"{"limits": {"memory_mb": 24, "sockets": 192}, "admin_addr": "127.0.0.1:0", "#;
    let (code, _, stderr_text) = check("{}", &config().replacen('{', more, 1));
    assert_eq!(code, Some(0), "{stderr_text}");
}

#[test]
fn check_reports_every_error_not_only_the_first() {
    let operator = r#"{
        "admin": {"listen": "10.0.0.1:9101", "max_connections": 0},
        "peers": {"key_file": "/nowhere/key"},
        "overrides": {"longest": "100h"},
        "state_dir": "here",
        "routes": [{"path": "quotes", "class": "quote"}, {"path": "/x", "class": "nope"}],
        "workers": [{"kind": "m", "work_tube": "no tube"}],
        "beanstalkd": {"listen": "127.0.0.1:0", "tubes": [
            {"tube": "a", "class": "nope", "answers": "b"}, {"tube": "c", "class": "quote", "tenant": "zed", "answers": "d"}]}
    }"#;
    let config = config().replacen('{', r#"{"limits": {"memory_mb": 4, "sockets": 10}, "seed": "xyz", "#, 1);
    let (code, out, stderr_text) = check(operator, &config);
    assert_eq!((code, &*out), (Some(1), ""));
    for key in [
        "admin.listen",
        "admin.max_connections",
        "peers.key_file",
        "peer_listen",
        "overrides.longest",
        "state_dir",
        "routes[0].path",
        "routes[1].class",
        "workers[0].work_tube",
        "beanstalkd.tubes[0].class",
        "beanstalkd.tubes[1].tenant",
        "limits.memory_mb",
        "limits.sockets",
        "seed",
        "allowed.peers",
    ] {
        assert!(stderr_text.contains(key), "{key} is not named:\n{stderr_text}");
    }
    assert!(stderr_text.lines().count() >= 16, "{stderr_text}");
    // All errors in the settings are reported too.
    let (_, _, stderr_text) = check(
        "{}",
        r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {
        "classes": [{"name": "a", "aim_ms": 0, "deadline_ms": 1, "effect": "sometimes"},
            {"name": "b", "aim_ms": "soon", "deadline_ms": 5, "effect": "once"},
            {"name": "c", "aim_ms": 5, "deadline_ms": 5, "effect": "never"}],
        "rules": {"cold_from": 0}, "discovery": "sideways", "allowed": {"max_attempts": 0}}}"#,
    );
    for key in ["classes[0].effect", "classes[1].aim_ms", "classes[2].effect", "discovery"] {
        assert!(stderr_text.contains(key), "{key} is not named:\n{stderr_text}");
    }
    // The same for missing settings and for a file with values of wrong types.
    let (code, _, stderr_text) =
        check(r#"{"admin": {"listen": 7}, "routes": [{"path": 1}], "hosts": {}, "more": 1}"#, "{}");
    assert_eq!(code, Some(1));
    for key in ["settings", "admin.listen", "routes[0].path", "hosts", "more"] {
        assert!(stderr_text.contains(key), "{key} is not named:\n{stderr_text}");
    }
}

#[test]
fn the_schema_is_that_of_the_operators_file() {
    let (code, out, _) = run(program().arg("schema"));
    assert_eq!(code, Some(0));
    let schema: Value = serde_json::from_str(&out).expect("JSON");
    for key in
        ["classes", "hosts", "routes", "workers", "beanstalkd", "admin", "peers", "overrides", "state_dir"]
    {
        assert!(schema["properties"][key].is_object(), "{key}");
    }
    assert_eq!(schema["additionalProperties"], false);
}

#[rstest]
#[case::help(&["--help"], 0, "overrides")]
#[case::version(&["--version"], 0, env!("CARGO_PKG_VERSION"))]
#[case::completions(&["completions", "bash"], 0, "lineroute")]
#[case::nonsense(&["sideways"], 2, "")]
#[case::for_and_until(&["overrides", "set", "--admin", "127.0.0.1:1", "--worker", "w", "--weight", "1", "--for", "1h",
    "--until", "06:00", "--by", "a", "--why", "b"], 2, "")]
#[case::neither_for_nor_until(&["overrides", "set", "--admin", "127.0.0.1:1", "--worker", "w", "--weight", "1", "--by", "a",
    "--why", "b"], 2, "")]
#[case::an_invalid_time(&["overrides", "set", "--admin", "127.0.0.1:1", "--worker", "w", "--weight", "1", "--until",
    "soon", "--by", "a", "--why", "b"], 2, "")]
#[case::a_public_address(&["workers", "--admin", "192.0.2.1:80"], 2, "")]
#[case::connection_refused(&["workers", "--admin", "127.0.0.1:1"], 3, "")]
#[case::no_socket(&["workers", "--admin", "/nowhere/admin.sock"], 3, "")]
#[case::no_key_file(&["workers", "--admin", "127.0.0.1:1", "--key-file", "/nowhere"], 1, "")]
fn commands_exit_with_the_codes_that_the_help_states(
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] words: &str,
) {
    let (got, out, stderr_text) = run(program().args(args));
    assert_eq!(got, Some(code), "{out}{stderr_text}");
    assert!(out.contains(words), "{out}");
    assert_eq!(stderr_text.is_empty(), code == 0, "{stderr_text}");
}

fn admin(at: &str, key: Option<&Path>, args: &[&str]) -> (Option<i32>, String, String) {
    let mut command = program();
    command.args(args).args(["--admin", at]);
    key.map(|key| command.arg("--key-file").arg(key));
    run(&mut command)
}

#[test]
fn overrides_are_set_listed_and_cleared_by_command() {
    let rig = rig(1, SETTINGS, "");
    let (at, key) = (rig.admin.expect("an admin listener").to_string(), file("key", KEY));
    let call = |args: &[&str]| admin(&at, Some(&key), args);
    let set = |what: &[&str]| {
        let common =
            ["overrides", "set", "--worker", "w0", "--for", "30m", "--by", "ama", "--why", "loud fan"];
        call(&[&common, what].concat())
    };
    let (code, out, stderr_text) = set(&["--weight", "0.25"]);
    assert_eq!(code, Some(0), "{stderr_text}");
    let id = out.lines().next().expect("an id").to_owned();
    assert!(out.contains("weight 0.25: in force, until"), "{out}");
    assert_eq!(set(&["--out-of-service"]).0, Some(0));
    assert_eq!(set(&["--pin", "quote/acme"]).0, Some(0));
    let (code, _, stderr_text) = set(&["--pin", "chart"]);
    assert!(
        code == Some(1) && stderr_text.contains("pin:") && stderr_text.contains("quote, statement, order"),
        "{stderr_text}"
    );
    let (_, out, _) = call(&["overrides", "list"]);
    assert_eq!(out.lines().count(), 4, "{out}");
    for words in ["w0", "weight 0.25", "out-of-service", "pinned quote/acme", "ama", "loud fan", "29m", &id] {
        assert!(out.contains(words), "{words} in\n{out}");
    }
    assert!(out.contains("worker out of service: falls back"), "{out}");
    let (_, out, _) = call(&["workers"]);
    assert!(out.contains("out-of-service, weight 0.25, pinned quote/acme"), "{out}");
    let (_, out, _) = call(&["overrides", "list", "--json"]);
    let list: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(list["overrides"].as_array().expect("a list").len(), 3);
    assert_eq!(call(&["overrides", "clear", &id]).0, Some(0));
    let (code, _, stderr_text) = call(&["overrides", "clear", &id]);
    assert!(code == Some(1) && stderr_text.contains("id:"), "{stderr_text}");
    // Without a key, or with a wrong one.
    let other = file("key", "another-key-of-the-tests");
    for key in [None, Some(other.as_path())] {
        let (code, _, stderr_text) = admin(&at, key, &["workers"]);
        assert!(code == Some(1) && stderr_text.contains("Authorization"), "{stderr_text}");
    }
}

#[test]
fn a_unix_socket_serves_the_commands_too() {
    let path = create_temp_dir().join("admin.sock");
    let operator = format!(r#"{{"admin": {{"listen": {path:?}}}}}"#);
    let setup = common::Setup { operator: Some(&operator), ..common::Setup::default() };
    let _rig = common::Rig::set_up(Vec::new(), SETTINGS, setup);
    let (code, out, stderr_text) = admin(path.to_str().expect("text"), None, &["workers"]);
    assert_eq!((code, &*out), (Some(0), "lineroute knows no worker\n"), "{stderr_text}");
}
