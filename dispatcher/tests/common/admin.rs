//! Calls to the admin listener.

use super::{create_temp_dir, Client, Message, Rig, Setup, Worker, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const KEY: &str = "key-of-the-tests-0123";

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64
}

/// Writes a file into a temporary directory of its own.
pub fn file(name: &str, text: &str) -> PathBuf {
    let path = create_temp_dir().join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// The operator's file with an admin listener; `more` holds additional keys, each preceded by a comma.
pub fn operator(more: &str) -> String {
    let key = file("admin.key", KEY);
    format!(r#"{{"admin": {{"listen": "127.0.0.1:0", "key_file": {key:?}}}{more}}}"#)
}

/// Starts a dispatcher with the given number of workers and an admin listener.
pub fn rig(workers: usize, settings: &str, more: &str) -> Rig {
    let workers: Vec<Worker> = (0..workers).map(|i| Worker::start(&format!("w{i}"))).collect();
    let listed = workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
    let operator = operator(more);
    let mut rig = Rig::set_up(listed, settings, Setup { operator: Some(&operator), ..Setup::default() });
    rig.workers = workers;
    rig
}

/// Calls the admin listener with the given key; an empty key sends no `Authorization` field.
pub fn call_as(addr: SocketAddr, key: &str, first: &str, body: &str) -> Message {
    let mut client = Client::new(addr);
    let key = if key.is_empty() { String::new() } else { format!("Authorization: Bearer {key}\r\n") };
    client.send(first, &key, body);
    client.read_response()
}

pub fn call(rig: &Rig, first: &str, body: &str) -> (u16, Value) {
    let answer = call_as(rig.admin.expect("an admin listener"), KEY, first, body);
    (answer.status(), serde_json::from_str(&answer.body).expect("JSON"))
}

/// Sets an override for the given time; returns its id and its expiry in Unix milliseconds.
pub fn set(rig: &Rig, worker: &str, what: Value, span: Duration) -> (String, u64) {
    try_set(rig, worker, what, span).expect("the override is accepted")
}

/// Like `set`, but returns the response body if the override is rejected.
pub fn try_set(rig: &Rig, worker: &str, what: Value, span: Duration) -> Result<(String, u64), Value> {
    let until = unix_ms() + span.as_millis() as u64;
    let mut order = json!({"worker": worker, "until_ms": until, "by": "ama", "why": "test"});
    order.as_object_mut().expect("an object").extend(what.as_object().expect("an object").clone());
    let (status, answer) = call(rig, "POST /overrides", &order.to_string());
    if status != 201 {
        return Err(answer);
    }
    Ok((answer["id"].as_str().expect("an id").into(), until))
}

pub fn clear(rig: &Rig, id: &str) -> (u16, Value) {
    call(rig, &format!("DELETE /overrides/{id}"), "")
}

/// The overrides that a dispatcher lists, without the remaining time, which differs between calls.
pub fn list_overrides(rig: &Rig) -> Vec<Value> {
    let (status, mut answer) = call(rig, "GET /overrides", "");
    assert_eq!(status, 200);
    let lines = answer["overrides"].as_array_mut().expect("a list");
    lines.iter_mut().for_each(|l| drop(l.as_object_mut().expect("an object").remove("left_ms")));
    std::mem::take(lines)
}

/// The `standing` of an override at a dispatcher; `None` if it is not listed.
pub fn standing(rig: &Rig, id: &str) -> Option<String> {
    let lines = list_overrides(rig);
    lines.iter().find(|l| l["id"] == id).map(|l| l["standing"].as_str().expect("a word").into())
}

/// Waits for a condition and returns how long that took.
pub fn wait_for(what: &str, mut met: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !met() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
    start.elapsed()
}
