//! Workers that accept and serve every job and record when each was received. A job's reference begins with the number of the
//! process that sent it, as in `3-first-0`; results are reported to that process.

use super::discovery::entry;
use super::{Client, Worker};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// A job received by a worker.
#[derive(Clone, Debug)]
struct ReceivedJob {
    at: Instant,
    worker: String,
    reference: String,
}

/// The workers shared by a group of processes.
#[derive(Default)]
pub struct ServingWorkers {
    /// Ids and addresses, in order.
    pub listed: Vec<(String, SocketAddr)>,
    received: Arc<Mutex<Vec<ReceivedJob>>>,
    /// The listening address of each process.
    processes: Arc<Mutex<Vec<SocketAddr>>>,
}

impl ServingWorkers {
    /// Starts one worker for each name.
    pub fn start(names: &[&str]) -> ServingWorkers {
        let mut workers = ServingWorkers::default();
        for name in names {
            let worker = Worker::start(name);
            workers.listed.push(((*name).into(), worker.addr));
            let (received, processes) = (workers.received.clone(), workers.processes.clone());
            thread::spawn(move || serve(&worker, &received, &processes));
        }
        workers
    }

    /// Adds a process that listens at this address.
    pub fn add_process(&self, process: SocketAddr) {
        self.processes.lock().expect("a lock").push(process);
    }

    /// Changes the address of a process.
    pub fn replace_process(&self, number: usize, process: SocketAddr) {
        self.processes.lock().expect("a lock")[number] = process;
    }

    /// A worker's entry in the worker list.
    pub fn entry(&self, position: usize, state: &str) -> String {
        let (name, addr) = &self.listed[position];
        entry(name, *addr, state, 0)
    }

    /// The references of the jobs that a worker received since an instant.
    pub fn since(&self, name: &str, from: Instant) -> Vec<String> {
        let received = self.received.lock().expect("a lock");
        let own = received.iter().filter(|job| job.at >= from && job.worker == name);
        own.map(|job| job.reference.clone()).collect()
    }
}

/// The number of the process, from the beginning of a reference.
fn process_of(reference: &str) -> usize {
    reference.split('-').next().and_then(|number| number.parse().ok()).expect("the number of a process")
}

fn serve(worker: &Worker, received: &Mutex<Vec<ReceivedJob>>, processes: &Mutex<Vec<SocketAddr>>) {
    loop {
        let request = worker.next();
        if !request.message.start_line.starts_with("POST ") {
            request.respond("200 OK");
            continue;
        }
        let (at, reference) = (Instant::now(), request.reference().to_owned());
        let job = ReceivedJob { at, worker: worker.id.clone(), reference: reference.clone() };
        received.lock().expect("a lock").push(job);
        request.respond("202 Accepted");
        let to = processes.lock().expect("a lock")[process_of(&reference)];
        let body = format!(r#"{{"id":"{reference}","from":"{}","state":"done","result":"x"}}"#, worker.id);
        let mut client = Client::new(to);
        client.send("POST /_jobs/news", "", &body);
        let _ = client.try_read_response();
    }
}
