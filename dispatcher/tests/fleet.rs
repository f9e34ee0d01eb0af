//! Three dispatcher processes, with a relay between them that drops, duplicates and reorders datagrams.

mod common;

use common::admin::{call, clear, file, list_overrides, operator, set, standing, unix_ms, wait_for};
use common::{Rig, Setup, Worker, SETTINGS, WAIT_TIMEOUT};
use lineroute_lab::relay::{UdpConditions, UdpRelay};
use serde_json::json;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const HOUR: Duration = Duration::from_secs(3600);
const OLD: &str = "abababababababababababababababababababababababababababababababab";
const NEW: &str = "cdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcd";

struct Fleet {
    relay: UdpRelay,
    rigs: Vec<Rig>,
    workers: Vec<Worker>,
    keys: PathBuf,
}

fn lossy() -> UdpConditions {
    UdpConditions { lost: 30, doubled: 10, late: 10, ..UdpConditions::default() }
}

impl Fleet {
    fn start(conditions: UdpConditions) -> Fleet {
        let workers = (0..2).map(|i| Worker::start(&format!("w{i}"))).collect();
        let keys = file("peers.key", OLD);
        let mut fleet = Fleet { relay: UdpRelay::new(3), rigs: Vec::new(), workers, keys };
        fleet.relay.set(conditions);
        for at in 0..3 {
            let rig = fleet.dispatcher(at, "");
            fleet.rigs.push(rig);
        }
        fleet
    }

    /// Starts a dispatcher without state, or with that in its `state_dir`.
    fn dispatcher(&self, at: usize, more: &str) -> Rig {
        let settings = SETTINGS.replace(r#""cancel": true"#, r#""cancel": true, "peers": true"#);
        let operator = operator(&format!(r#", "peers": {{"key_file": {:?}}}{more}"#, self.keys));
        let listed = self.workers.iter().map(|w| (w.id.clone(), w.addr)).collect();
        let more = format!(
            r#""name": "n{at}", "peer_listen": "127.0.0.1:0", "peers": {}, "#,
            json!(self.relay.peers(at))
        );
        let setup = Setup { operator: Some(&operator), extra_config: more, ..Setup::default() };
        let rig = Rig::set_up(listed, &settings, setup);
        self.relay.set_dispatcher_addr(at, rig.peer.expect("it talks"));
        rig
    }

    fn all(&self, met: impl Fn(&Rig) -> bool) -> bool {
        self.rigs.iter().all(met)
    }

    fn agreed(&self) -> Vec<serde_json::Value> {
        wait_for("all show the same", || {
            let first = list_overrides(&self.rigs[0]);
            self.rigs[1..].iter().all(|r| list_overrides(r) == first)
        });
        list_overrides(&self.rigs[0])
    }
}

#[test]
fn an_override_is_in_force_everywhere_and_ends_everywhere() {
    let fleet = Fleet::start(lossy());
    let (id, until) = set(&fleet.rigs[1], "w0", json!({"out_of_service": true}), Duration::from_millis(2500));
    wait_for("in force on all", || fleet.all(|r| standing(r, &id).as_deref() == Some("in force")));
    wait_for("ended on all", || {
        let ended = fleet.all(|r| standing(r, &id).is_none());
        assert!(!ended || unix_ms() >= until, "ended before its time");
        ended
    });
    // An override can be cleared at another dispatcher than the one where it was set.
    let (id, _) = set(&fleet.rigs[0], "w0", json!({"weight": 0.5}), HOUR);
    wait_for("known to all", || fleet.all(|r| standing(r, &id).is_some()));
    assert_eq!(clear(&fleet.rigs[2], &id).0, 200);
    wait_for("cleared on all", || fleet.all(|r| standing(r, &id).is_none()));
}

#[test]
fn conflicts_set_during_a_partition_are_resolved_equally_once_it_ends() {
    let fleet = Fleet::start(lossy());
    let (known, _) = set(&fleet.rigs[0], "w1", json!({"pin": "quote"}), HOUR);
    wait_for("known to all", || fleet.all(|r| standing(r, &known).is_some()));
    fleet.relay.set(UdpConditions { cut: vec![0, 1, 2], ..lossy() });
    let (first, _) = set(&fleet.rigs[0], "w0", json!({"weight": 0.5}), HOUR);
    let (second, _) = set(&fleet.rigs[1], "w0", json!({"weight": 3}), HOUR);
    assert_eq!(clear(&fleet.rigs[1], &known).0, 200);
    assert_eq!(standing(&fleet.rigs[0], &first).as_deref(), Some("in force"));
    assert_eq!((standing(&fleet.rigs[2], &first), standing(&fleet.rigs[2], &second)), (None, None));
    fleet.relay.set(lossy());
    let lines = wait_for("the third knows", || standing(&fleet.rigs[2], &second).is_some());
    println!("healed after {lines:?}");
    let lines = fleet.agreed();
    let by_id = |id: &str| lines.iter().find(|l| l["id"] == id);
    assert_eq!(by_id(&second).expect("shown")["standing"], "in force");
    let beaten = &by_id(&first).expect("shown")["beaten"];
    assert_eq!((&beaten["id"], &beaten["by"]), (&json!(second), &json!("ama")));
    assert!(by_id(&known).is_none(), "cleared while cut off");
}

#[test]
fn overrides_of_a_killed_dispatcher_stay_and_a_restarted_one_learns_them() {
    let mut fleet = Fleet::start(lossy());
    let (id, _) = set(&fleet.rigs[0], "w0", json!({"out_of_service": true}), HOUR);
    wait_for("known to all", || fleet.all(|r| standing(r, &id).is_some()));
    // Two are killed: one stays away, the other is restarted without state.
    drop(fleet.rigs.remove(0));
    drop(fleet.rigs.remove(0));
    let again = fleet.dispatcher(1, "");
    fleet.rigs.insert(0, again);
    wait_for("learnt", || standing(&fleet.rigs[0], &id).as_deref() == Some("in force"));
    // It applies the override that it learnt.
    let rig = &fleet.rigs[0];
    let client = rig.post("c1", "quote", "");
    assert_eq!(fleet.workers[1].accept_job(), "c1");
    drop(client);
}

#[test]
fn keys_are_replaced_while_dispatchers_exchange_datagrams() {
    let fleet = Fleet::start(UdpConditions::default());
    for (step, text) in [format!("{OLD}\n{NEW}"), format!("{NEW}\n{OLD}"), NEW.into()].iter().enumerate() {
        for (at, rig) in fleet.rigs.iter().enumerate() {
            rig.reload_file(&fleet.keys, text);
            let (id, _) = set(rig, &format!("s{step}{at}"), json!({"weight": 2}), HOUR);
            wait_for("known to all", || fleet.all(|r| standing(r, &id).is_some()));
        }
    }
    // An invalid key file changes nothing.
    std::fs::write(&fleet.keys, "no key").expect("a file");
    let rig = &fleet.rigs[0];
    rig.reload_file(&fleet.keys, "no key");
    let (id, _) = set(rig, "last", json!({"weight": 2}), HOUR);
    wait_for("known to all", || fleet.all(|r| standing(r, &id).is_some()));
    let unauthentic = |r: &Rig| call(r, "GET /flows", "").1["peers"]["unauthentic"] == 0;
    assert!(fleet.all(unauthentic));
}

/// Sends this many forged datagrams at ten thousand a second: of every length from empty to too long, half of them with a
/// valid header and a wrong tag.
fn forge(relay: &UdpRelay, count: u32) {
    let start = Instant::now();
    for i in 0..count {
        let mut bytes: Vec<u8> = (0..i % 300).map(|b| (b ^ i) as u8).collect();
        if i % 2 == 0 {
            bytes.iter_mut().zip(*b"L\x01").for_each(|(b, head)| *b = head);
        }
        relay.forge(1, 0, &bytes);
        let due = Duration::from_micros(u64::from(i) * 100);
        std::thread::sleep(due.saturating_sub(start.elapsed()));
    }
}

/// Serves a job at the first dispatcher, and returns the time from its request to its answer.
fn serve(fleet: &Fleet, id: &str) -> Duration {
    let (rig, start) = (&fleet.rigs[0], Instant::now());
    let mut client = rig.post(id, "quote", "");
    let worker = loop {
        if let Some(at) = fleet.workers.iter().position(|w| !w.has_no_request_for(id)) {
            break at;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "no worker is asked");
        std::thread::sleep(Duration::from_micros(50));
    };
    rig.send_job_update_from(&fleet.workers[worker].id, id, "done", r#","result":"a chart""#);
    assert_eq!(client.read_response().status(), 200);
    start.elapsed()
}

/// Ten thousand a second for two seconds: clients are served, the overrides do not change, and the datagrams are counted.
#[test]
fn a_flood_of_forged_datagrams_changes_nothing_and_delays_no_client() {
    let fleet = Fleet::start(UdpConditions::default());
    let (id, _) = set(&fleet.rigs[0], "w0", json!({"weight": 0.5}), HOUR);
    wait_for("known to all", || fleet.all(|r| standing(r, &id).is_some()));
    let rig = &fleet.rigs[0];
    let before = list_overrides(rig);
    let relay = &fleet.relay;
    std::thread::scope(|scope| {
        let flood = scope.spawn(|| forge(relay, 20_000));
        let mut count = 0;
        while !flood.is_finished() {
            count += 1;
            serve(&fleet, &format!("c{count}"));
        }
        assert!(count > 10, "{count} served during the flood");
    });
    let counts = call(rig, "GET /flows", "").1["peers"].clone();
    let of = |key: &str| counts[key].as_u64().expect("a count");
    assert!(of("malformed") > 0 && of("unauthentic") > 0, "{counts}");
    assert_eq!(list_overrides(rig), before);
}

/// The figures of `docs/measurements/overrides.md`: how soon overrides take effect and end on three
/// dispatchers, at 30% loss. Run by name, with `--ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measure_how_soon_overrides_take_effect_and_end() {
    let fleet = Fleet::start(lossy());
    let (mut effect, mut end) = (Vec::new(), Vec::new());
    for round in 0..30 {
        let span = Duration::from_millis(2500);
        let (id, until) = set(&fleet.rigs[round % 3], "w0", json!({"weight": 0.5}), span);
        let start = unix_ms();
        let mut ended = [0; 3];
        let mut known = [0; 3];
        while ended.contains(&0) {
            for (at, rig) in fleet.rigs.iter().enumerate() {
                let now = unix_ms();
                match standing(rig, &id) {
                    Some(_) if known[at] == 0 => known[at] = now.max(start),
                    None if ended[at] == 0 && now >= until => ended[at] = now,
                    _ => {}
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        assert!(!known.contains(&0), "one never knew: {known:?}");
        effect.push(known.iter().max().expect("three") - start);
        end.push(ended.iter().max().expect("three") - until);
    }
    for (what, mut all) in [("in force on all after", effect), ("ended on all after its time", end)] {
        all.sort_unstable();
        println!(
            "{what}: median {} ms, longest {} ms of {}",
            all[all.len() / 2],
            all[all.len() - 1],
            all.len()
        );
    }
}

/// Duration of jobs without and with ten thousand forged datagrams a second, alternately.
#[test]
#[ignore = "a measurement"]
fn measure_what_a_flood_costs_clients() {
    let fleet = Fleet::start(UdpConditions::default());
    let (relay, mut ratios) = (&fleet.relay, Vec::new());
    for round in 0..7 {
        let run = |name: &str| {
            let mut times: Vec<Duration> =
                (0..2500).map(|i| serve(&fleet, &format!("{name}{round}-{i}"))).collect();
            times.sort_unstable();
            times[times.len() / 2]
        };
        let without_flood = run("calm");
        let with_flood = std::thread::scope(|scope| {
            let flood = scope.spawn(|| forge(relay, 30_000));
            let with_flood = run("flood");
            assert!(!flood.is_finished(), "the flood lasts longer");
            with_flood
        });
        ratios.push(with_flood.as_secs_f64() / without_flood.as_secs_f64());
        println!("median of 2,500 jobs: {without_flood:?} without, {with_flood:?} with the flood");
    }
    ratios.sort_by(f64::total_cmp);
    println!("ratio: median {:.3}, from {:.3} to {:.3}", ratios[3], ratios[0], ratios[6]);
}
