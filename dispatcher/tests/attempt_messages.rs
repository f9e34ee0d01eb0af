//! What an attempt tells its worker, for each worker protocol, listener and class effect. Workers recognise a repeat by its
//! idempotency key, so every attempt has to carry it.

mod common;

use common::beanstalkd::Server;
use common::{Client, Rig, Setup, Worker, SETTINGS};
use rstest::rstest;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The platform may send SIGKILL this long after SIGTERM: the longest deadline, at most 3 s, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// The worker's side of one protocol.
enum Peer {
    Platform(Worker),
    Plain(Worker),
    Beanstalkd(Server),
}

#[derive(Clone, Copy, PartialEq)]
enum Protocol {
    Platform,
    Plain,
    Beanstalkd,
}

/// How a job reaches the dispatcher.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// `POST /api`.
    Api,
    /// A route of the operator's file, which proxies if the workers are plain HTTP servers.
    Route,
    /// `put` into a tube.
    Tube,
}

/// How a worker ends an attempt.
#[derive(Clone, Copy, PartialEq)]
enum Ending {
    Result,
    /// The attempt may have run: its connection breaks, or a beanstalkd worker reports a failure.
    Break,
    /// The attempt never ran.
    Refusal,
    /// The attempt stays in work.
    None,
}

/// What one attempt told the worker.
#[derive(Debug, PartialEq)]
struct Told {
    reference: String,
    key: Option<String>,
    budget_ms: Option<u64>,
}

impl Told {
    fn from_headers(headers: &HashMap<String, String>) -> Told {
        Told {
            reference: headers["x-call-id"].clone(),
            key: headers.get("idempotency-key").cloned(),
            budget_ms: headers.get("x-budget-ms").map(|ms| ms.parse().expect("a number")),
        }
    }
}

impl Peer {
    fn start(protocol: Protocol) -> Peer {
        match protocol {
            Protocol::Platform => Peer::Platform(Worker::start("w0")),
            Protocol::Plain => Peer::Plain(Worker::start("w0")),
            Protocol::Beanstalkd => Peer::Beanstalkd(Server::start()),
        }
    }

    fn addr(&self) -> SocketAddr {
        match self {
            Peer::Platform(worker) | Peer::Plain(worker) => worker.addr,
            Peer::Beanstalkd(server) => server.addr,
        }
    }

    /// Receives an attempt, and ends it after some time.
    fn attempt(&self, rig: &Rig, ending: Ending, after: Duration) -> Told {
        match self {
            Peer::Platform(worker) | Peer::Plain(worker) => {
                let request = next_post(worker);
                let told = Told::from_headers(&request.message.headers);
                thread::sleep(after);
                match (ending, self) {
                    (Ending::Break, _) => drop(request),
                    (Ending::Refusal, _) => request.respond("503 No\r\nX-Rejected: 1"),
                    (Ending::Result, Peer::Plain(_)) => request.respond("200 OK"),
                    // The connection stays open.
                    (Ending::None, Peer::Plain(_)) => std::mem::forget(request),
                    (Ending::Result | Ending::None, _) => request.respond("202 Accepted"),
                }
                if ending == Ending::Result && matches!(self, Peer::Platform(_)) {
                    rig.send_job_update_from("w0", &told.reference, "done", r#","result":"x""#);
                }
                told
            }
            Peer::Beanstalkd(server) => {
                let job = server.reserve_job();
                thread::sleep(after);
                match ending {
                    Ending::Result => server.report(&job, "served", ""),
                    Ending::Break => server.report(&job, "failed", ""),
                    Ending::Refusal => server.report(&job, "refused", ""),
                    Ending::None => server.report(&job, "started", ""),
                }
                let key = Some(job.key).filter(|key| key != "-");
                Told { reference: job.reference, key, budget_ms: None }
            }
        }
    }
}

/// Waits for the next attempt, confirming cancellations.
fn next_post(worker: &Worker) -> common::WorkerRequest {
    loop {
        let request = worker.next();
        if request.message.start_line.starts_with("POST ") {
            return request;
        }
        request.respond("200 OK");
    }
}

fn start(protocol: Protocol) -> (Peer, Rig) {
    let workers = match protocol {
        Protocol::Platform => "",
        Protocol::Plain => r#"{"kind": "m", "protocol": "http"}"#,
        Protocol::Beanstalkd => r#"{"kind": "m"}"#,
    };
    let each = |text: &dyn Fn(&str) -> String| ["quote", "statement", "order"].map(text).join(", ");
    let classes = each(&|class| {
        let (effect, more) = match class {
            "quote" => ("repeatable", ""),
            "statement" => ("by_key", r#", "group": "all", "key_ttl_ms": 9000"#),
            _ => ("once", ""),
        };
        format!(
            r#"{{"name": "routed-{class}", "kind": "m", "aim_ms": 500, "deadline_ms": 8000, "effect": "{effect}"{more}, "late_share": 0.5}}"#
        )
    });
    let routes = each(&|class| format!(r#"{{"path": "/{class}", "class": "routed-{class}"}}"#));
    let tubes = each(&|class| format!(r#"{{"tube": "{class}", "class": "{class}", "answers": "done"}}"#));
    let operator = format!(
        r#"{{"workers": [{workers}], "classes": [{classes}], "routes": [{routes}],
            "beanstalkd": {{"listen": "127.0.0.1:0", "tubes": [{tubes}]}}}}"#
    );
    let peer = Peer::start(protocol);
    let setup = Setup { operator: Some(&operator), ..Setup::default() };
    let rig = Rig::set_up(vec![("w0".into(), peer.addr())], SETTINGS, setup);
    (peer, rig)
}

/// Submits a job and returns the client, which waits for the answer.
fn submit(rig: &Rig, way: Way, class: &str, headers: &str) -> Client {
    match way {
        Way::Api => rig.post("c1", class, headers),
        Way::Route => {
            let mut client = rig.connect();
            let headers = format!("X-Call-Id: c1\r\n{headers}");
            client.send(&format!("POST /{class}"), &headers, "payload");
            client
        }
        Way::Tube => {
            let mut client = Client::new(rig.beanstalkd_addr.expect("the listener is enabled"));
            assert_eq!(client.command(&format!("use {class}")), format!("USING {class}"));
            assert!(client.command("put 0 0 60 7\r\npayload").starts_with("INSERTED"));
            client.command("watch done");
            client
        }
    }
}

/// Reads the final answer; whether it is a result.
fn is_served(client: &mut Client, way: Way) -> bool {
    match way {
        Way::Api | Way::Route => client.read_response().status() == 200,
        Way::Tube => client.reserve().1.contains(" served "),
    }
}

/// Guards against repeating a keyed job without its key (`review/1`): plain HTTP workers were sent no key with jobs from `/api` and
/// from tubes, so a worker could not recognise the repeat and executed the job twice.
#[rstest]
fn every_attempt_carries_the_id_and_the_key_of_its_job(
    #[values(Protocol::Platform, Protocol::Plain, Protocol::Beanstalkd)] protocol: Protocol,
    #[values(Way::Api, Way::Route, Way::Tube)] way: Way,
    #[values("quote", "statement", "order")] class: &str,
    #[values(Ending::Break, Ending::Refusal)] ending: Ending,
) {
    let (peer, rig) = start(protocol);
    // A client that names the key as a field of the hop must not make it disappear.
    let mut client = submit(&rig, way, class, "Idempotency-Key: k1\r\nConnection: idempotency-key\r\n");
    let first = peer.attempt(&rig, ending, Duration::ZERO);
    if way == Way::Tube {
        assert!(first.key.is_some() && first.reference.ends_with("-1"), "{first:?}");
    } else {
        assert_eq!((&*first.reference, first.key.as_deref()), ("c1", Some("k1")));
    }
    let is_repeated = class != "order" || ending == Ending::Refusal;
    if is_repeated {
        let second = peer.attempt(&rig, Ending::Result, Duration::ZERO);
        assert_eq!((&second.reference, &second.key), (&first.reference, &first.key));
    }
    assert_eq!(is_served(&mut client, way), is_repeated);
}

/// Whatever listener a job came by and whatever its worker speaks, the client is not left without an answer, nor is it told that a
/// job which is in work can safely be sent again.
#[rstest]
fn a_job_in_work_at_sigterm_fails_before_the_earliest_kill(
    #[values(Protocol::Platform, Protocol::Plain, Protocol::Beanstalkd)] protocol: Protocol,
    #[values(Way::Api, Way::Route, Way::Tube)] way: Way,
    #[values("quote", "statement", "order")] class: &str,
) {
    let (peer, mut rig) = start(protocol);
    let mut client = submit(&rig, way, class, "");
    peer.attempt(&rig, Ending::None, Duration::ZERO);
    rig.terminate();
    let terminated_at = Instant::now();
    match way {
        Way::Api | Way::Route => assert_eq!(client.read_response().status(), 504),
        Way::Tube => {
            let (id, answer) = client.reserve();
            assert!(answer.contains(" failed "), "{answer}");
            assert_eq!(client.command(&format!("delete {id}")), "DELETED");
        }
    }
    assert!(terminated_at.elapsed() < EARLIEST_KILL, "{:?}", terminated_at.elapsed());
    assert!(rig.wait_for_exit().success());
    // An attempt that takes long is cancelled and repeated where the class permits it.
    if let (Peer::Platform(worker) | Peer::Plain(worker), "order") = (&peer, class) {
        assert!(worker.request_lines().iter().all(|line| !line.starts_with("POST ")));
    }
}

/// Guards against a key that splits the first line of a job in a tube, or that reads there as the word for no key: the worker
/// could not recognise a repeat. Different keys stay different.
#[rstest]
#[case::with_a_space("k 1", "k%201")]
#[case::like_an_encoded_one("k%201", "k%25201")]
#[case::the_word_for_no_key("-", "%2D")]
fn a_key_is_one_word_in_a_tube_whatever_its_characters(#[case] key: &str, #[case] word: &str) {
    let (peer, rig) = start(Protocol::Beanstalkd);
    let mut client = submit(&rig, Way::Api, "statement", &format!("Idempotency-Key: {key}\r\n"));
    assert_eq!(peer.attempt(&rig, Ending::Result, Duration::ZERO).key.as_deref(), Some(word));
    assert!(is_served(&mut client, Way::Api));
}

/// Guards against repeating a job of a `by_key` class whose client sent no key, which executes it twice.
#[rstest]
fn a_keyed_job_that_comes_without_a_key_is_repeated_with_one(
    #[values(Protocol::Platform, Protocol::Plain, Protocol::Beanstalkd)] protocol: Protocol,
    #[values(Way::Api, Way::Route)] way: Way,
    #[values(("statement", true), ("quote", false))] (class, is_keyed): (&str, bool),
) {
    let (peer, rig) = start(protocol);
    let mut client = submit(&rig, way, class, "");
    let first = peer.attempt(&rig, Ending::Break, Duration::ZERO);
    assert_eq!(first.key.is_some(), is_keyed, "{first:?}");
    assert_eq!(peer.attempt(&rig, Ending::Result, Duration::ZERO).key, first.key);
    assert!(is_served(&mut client, way));
}

/// Guards against passing on the time that the client stated to an attempt that begins later: the worker would work for a client
/// that no longer waits.
#[rstest]
fn an_attempt_states_the_time_that_its_client_still_waits(
    #[values(Protocol::Platform, Protocol::Plain)] protocol: Protocol,
    #[values(Way::Api, Way::Route)] way: Way,
) {
    let (peer, rig) = start(protocol);
    let (budget_ms, held_ms, slack_ms) = (3000, 400, 150);
    let mut client = submit(&rig, way, "quote", &format!("X-Budget-Ms: {budget_ms}\r\n"));
    let first =
        peer.attempt(&rig, Ending::Break, Duration::from_millis(held_ms)).budget_ms.expect("a stated time");
    let second = peer.attempt(&rig, Ending::Result, Duration::ZERO).budget_ms.expect("a stated time");
    assert!(first <= budget_ms && second <= budget_ms - held_ms + slack_ms, "{first} ms, then {second} ms");
    assert!(is_served(&mut client, way));
}
