//! The source: the process that holds the source lease, watches discovery, and writes the log.

use crate::message::{Service, Versions};
use crate::position::{Epoch, Position};
use crate::record::{Change, Partition};
use crate::replica::Replica;
use crate::server::{Server, ServingContext};
use crate::store::StoreError;
use crate::subscriber::with_drift;
use crate::timing::Timing;
use crate::{Time, Token};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Why a change was not published.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PublishError {
    /// A limit was exceeded.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// All sequence numbers and generations of this lease are exhausted. The lease must be released and acquired
    /// again.
    #[error("the log of this lease is exhausted")]
    LogExhausted,
}

/// A worker as listed by discovery.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedWorker {
    /// The zone.
    pub zone: String,
    /// The name, unique across all zones.
    pub name: String,
    /// The encoded properties.
    pub value: Vec<u8>,
}

/// Writes the log.
#[derive(Clone, Debug)]
pub struct Publisher {
    replica: Replica,
    server: Server,
    timing: Timing,
    /// When the last request that discovery answered was sent.
    confirmed_at: Option<Time>,
    /// The zone of each worker; a worker that moves is removed from its previous zone.
    zones: BTreeMap<String, String>,
}

impl Publisher {
    /// Starts an epoch under a token of the source lease, with the records that this process already has. Nothing is
    /// served until discovery has confirmed them.
    pub fn new(
        mut replica: Replica,
        token: Token,
        bytes_per_second: u32,
        versions: Versions,
        timing: Timing,
        now: Time,
    ) -> Publisher {
        replica.become_source(Position { epoch: Epoch { token, generation: 0 }, sequence: 0 });
        let zones = replica.records().filter_map(|(partition, name, _)| match partition {
            Partition::Zone(zone) => Some((name.to_owned(), zone.clone())),
            Partition::Configuration => None,
        });
        let zones = zones.collect();
        let server = Server::new(Service::Source, bytes_per_second, versions, &timing, now);
        Publisher { replica, server, timing, confirmed_at: None, zones }
    }

    /// The replica that is served.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the replica after the lease has ended.
    pub fn into_replica(self) -> Replica {
        self.replica
    }

    /// Restarts the log in another generation, after this sequence number.
    ///
    /// # Errors
    /// No generations are left under this token.
    pub fn start_new_generation(&mut self, sequence: u64) -> Result<(), PublishError> {
        let epoch = self.replica.position().unwrap_or_default().epoch;
        let epoch = epoch.next_generation().ok_or(PublishError::LogExhausted)?;
        self.replica.become_source(Position { epoch, sequence });
        Ok(())
    }

    /// Records that the response of discovery to a request sent at this time has been published.
    pub fn confirm(&mut self, requested_at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// The maximum age of the replica; `None` until discovery has confirmed it.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| with_drift(now.saturating_sub(at), &self.timing))
    }

    /// Publishes a complete list: workers that are not in it are removed. Returns the number of changes.
    ///
    /// # Errors
    /// A worker exceeds a limit, or the log is exhausted. Earlier changes remain published.
    pub fn publish_list(&mut self, workers: Vec<ListedWorker>) -> Result<usize, PublishError> {
        let listed: BTreeSet<&str> = workers.iter().map(|worker| worker.name.as_str()).collect();
        let is_removed = |name: &&String| !listed.contains(name.as_str());
        let removed: Vec<String> = self.zones.keys().filter(is_removed).cloned().collect();
        let mut changes = 0;
        for name in removed {
            changes += self.remove_worker(&name)?;
        }
        for worker in workers {
            changes += self.publish_worker(worker)?;
        }
        Ok(changes)
    }

    /// Publishes a new or changed worker. Returns the number of changes: two if the worker moved to another zone.
    ///
    /// # Errors
    /// The worker exceeds a limit, or the log is exhausted.
    pub fn publish_worker(&mut self, worker: ListedWorker) -> Result<usize, PublishError> {
        let ListedWorker { zone, name, value } = worker;
        let has_moved = self.zones.get(&name).is_some_and(|before| *before != zone);
        let removed = if has_moved { self.remove_worker(&name)? } else { 0 };
        let partition = Partition::Zone(zone.clone());
        let set = self.append(Change { partition, name: name.clone(), value: Some(value) })?;
        self.zones.insert(name, zone);
        Ok(removed + set)
    }

    /// Removes a worker if it is present.
    ///
    /// # Errors
    /// The log is exhausted.
    pub fn remove_worker(&mut self, name: &str) -> Result<usize, PublishError> {
        let Some(zone) = self.zones.remove(name) else { return Ok(0) };
        self.append(Change { partition: Partition::Zone(zone), name: name.to_owned(), value: None })
    }

    /// Publishes a configuration entry, or removes it.
    ///
    /// # Errors
    /// The entry exceeds a limit, or the log is exhausted.
    pub fn publish_configuration(
        &mut self,
        name: &str,
        value: Option<Vec<u8>>,
    ) -> Result<usize, PublishError> {
        self.append(Change { partition: Partition::Configuration, name: name.to_owned(), value })
    }

    /// Replies to a message, under the token of the source lease held at this moment.
    pub fn serve(&mut self, now: Time, token: Option<Token>, bytes: &[u8]) -> Option<Vec<u8>> {
        // A log written under a previous token must not be served as the log of the current one.
        let epoch = self.replica.position().unwrap_or_default().epoch;
        let token = token.filter(|token| *token == epoch.token);
        let context = ServingContext { token, age: self.age(now) };
        self.server.serve(now, bytes, &self.replica, context)
    }

    fn append(&mut self, change: Change) -> Result<usize, PublishError> {
        let position = self.replica.position().unwrap_or_default();
        if position.sequence == u64::MAX {
            self.start_new_generation(0)?;
        }
        Ok(usize::from(self.replica.append(change)?))
    }
}
