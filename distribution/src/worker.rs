//! The encoding of a worker as a record value.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Which jobs a worker accepts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerState {
    /// The worker accepts new jobs.
    Up,
    /// The worker accepts no new jobs; its current jobs continue.
    Draining,
}

/// Everything the list contains about a worker except its name and zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// The listen address.
    pub address: SocketAddr,
    /// The kind of the worker.
    pub kind: String,
    /// The cell within the zone.
    pub cell: u32,
    /// Whether the worker accepts new jobs.
    pub state: WorkerState,
    /// The start time in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The capacity relative to other workers.
    pub weight: f64,
}

/// The encoded form. The bytes of the weight are swapped: most weights end in zero bytes, and small integers have a
/// short encoding.
#[derive(Deserialize, Serialize)]
struct EncodedWorker {
    address: SocketAddr,
    kind: String,
    cell: u32,
    state: WorkerState,
    started_ms: u64,
    weight: u64,
}

impl Worker {
    /// Encodes the worker.
    pub fn encode(&self) -> Vec<u8> {
        let Worker { address, kind, cell, state, started_ms, weight } = self.clone();
        let weight = weight.to_bits().swap_bytes();
        let encoded = EncodedWorker { address, kind, cell, state, started_ms, weight };
        postcard::to_stdvec(&encoded).unwrap_or_default()
    }

    /// Decodes a worker; `None` if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<Worker> {
        let Ok((encoded, [])) = postcard::take_from_bytes::<EncodedWorker>(bytes) else { return None };
        let EncodedWorker { address, kind, cell, state, started_ms, weight } = encoded;
        let weight = f64::from_bits(weight.swap_bytes());
        Some(Worker { address, kind, cell, state, started_ms, weight })
    }
}
