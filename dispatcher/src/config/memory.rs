//! How the platform's memory limit is divided. It kills a process that exceeds the limit, so every part has a limit of its own,
//! and all parts together fit into it.

/// Memory of a client connection without leases: buffers of the HTTP server, its tasks, and what was read with the head of a
/// request that waits for memory.
const CLIENT_CONNECTION_BYTES: usize = 32 << 10;
/// Memory of a connection to a worker: buffers of the HTTP client and its tasks.
const WORKER_CONNECTION_BYTES: usize = 16 << 10;
/// Memory of a connection of the beanstalkd listener without leases.
const BEANSTALKD_CONNECTION_BYTES: usize = 16 << 10;
/// Parts of the limit, in sixteenths.
const SIXTEENTHS: usize = 16;
const PROCESS_SIXTEENTHS: usize = 1;
const CLIENT_CONNECTIONS_SIXTEENTHS: usize = 7;
const WORKER_CONNECTIONS_SIXTEENTHS: usize = 2;
const REQUESTS_SIXTEENTHS: usize = 3;
const STREAMS_AND_BEANSTALKD_SIXTEENTHS: usize = 3;

/// The parts of the memory limit, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The platform's limit.
    pub limit: usize,
    /// The program's own data.
    pub process: usize,
    /// Connections of clients, without what is leased for their requests. Those of the beanstalkd listener come first.
    pub client_connections: usize,
    /// Connections to workers.
    pub worker_connections: usize,
    /// Leases: bodies that are received or belong to open requests, long heads, and responses that are not taken.
    pub requests: usize,
    /// Bodies that are streamed; 0 without such routes.
    pub streams: usize,
    /// Jobs and answers of the beanstalkd listener; 0 without it.
    pub beanstalkd_jobs: usize,
}

impl MemoryPlan {
    /// Divides `limit` bytes among the features that are used.
    pub fn new(limit: usize, has_streams: bool, has_beanstalkd: bool) -> MemoryPlan {
        let part = |sixteenths: usize| limit / SIXTEENTHS * sixteenths;
        let users = usize::from(has_streams) + usize::from(has_beanstalkd);
        let for_each_user = part(STREAMS_AND_BEANSTALKD_SIXTEENTHS) / users.max(1);
        let if_used = |is_used: bool| if is_used { for_each_user } else { 0 };
        MemoryPlan {
            limit,
            process: part(PROCESS_SIXTEENTHS),
            client_connections: part(CLIENT_CONNECTIONS_SIXTEENTHS),
            worker_connections: part(WORKER_CONNECTIONS_SIXTEENTHS),
            requests: part(REQUESTS_SIXTEENTHS),
            streams: if_used(has_streams),
            beanstalkd_jobs: if_used(has_beanstalkd),
        }
    }

    /// The sum of all parts, in bytes.
    pub fn sum(&self) -> usize {
        let MemoryPlan {
            limit: _,
            process,
            client_connections,
            worker_connections,
            requests,
            streams,
            beanstalkd_jobs,
        } = self;
        process + client_connections + worker_connections + requests + streams + beanstalkd_jobs
    }

    /// The number of HTTP client connections that there is memory for beside those of the beanstalkd listener.
    pub fn max_client_connections(&self, beanstalkd_connections: usize) -> usize {
        let taken = beanstalkd_connections * BEANSTALKD_CONNECTION_BYTES;
        self.client_connections.saturating_sub(taken) / CLIENT_CONNECTION_BYTES
    }

    /// The number of connections to workers that there is memory for.
    pub fn max_worker_connections(&self) -> usize {
        self.worker_connections / WORKER_CONNECTION_BYTES
    }

    /// The number of connections of the beanstalkd listener that there is memory for: half of what all clients have.
    pub fn max_beanstalkd_connections(&self) -> usize {
        self.client_connections / 2 / BEANSTALKD_CONNECTION_BYTES
    }
}

#[cfg(test)]
mod tests;
