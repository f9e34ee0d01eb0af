//! How the platform's memory limit is divided. It kills a process that exceeds the limit, so every part has a limit of its own,
//! and all parts together fit into it.

/// Memory of a client connection without leases: buffers of the HTTP server, its tasks, and what was read with the head of a
/// request that waits for memory.
const CLIENT_CONNECTION_BYTES: usize = 32 << 10;
/// Memory of a connection to a worker: buffers of the HTTP client and its tasks.
const WORKER_CONNECTION_BYTES: usize = 16 << 10;
/// Memory of a connection of the beanstalkd listener without leases.
const BEANSTALKD_CONNECTION_BYTES: usize = 16 << 10;
/// Memory of a connection of the admin listener: the HTTP server holds a head of up to 128 KiB, and a body has 16 KiB at most.
const ADMIN_CONNECTION_BYTES: usize = 160 << 10;
/// Memory of a connection of the admin console without leases.
const CONSOLE_CONNECTION_BYTES: usize = 4 << 10;
/// What the program takes under any limit: its own data, memory that the allocator does not reuse at once, and connections that are
/// being closed while others have their slots.
const MIN_PROCESS_BYTES: usize = 3 << 20;
/// Parts of the limit, in sixteenths.
const SIXTEENTHS: usize = 16;
const PROCESS_SIXTEENTHS: usize = 1;
const CLIENT_CONNECTIONS_SIXTEENTHS: usize = 7;
const WORKER_CONNECTIONS_SIXTEENTHS: usize = 2;
const REQUESTS_SIXTEENTHS: usize = 3;
const STREAMS_AND_BEANSTALKD_SIXTEENTHS: usize = 3;

/// Connections of the listeners beside the one for HTTP clients; 0 where there is no such listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherConnections {
    pub beanstalkd: usize,
    pub admin: usize,
    pub console: usize,
}

impl OtherConnections {
    /// The memory that they take without leases, in bytes.
    fn bytes(&self) -> usize {
        self.beanstalkd * BEANSTALKD_CONNECTION_BYTES
            + self.admin * ADMIN_CONNECTION_BYTES
            + self.console * CONSOLE_CONNECTION_BYTES
    }
}

/// The parts of the memory limit, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The platform's limit.
    pub limit: usize,
    /// The program's own data.
    pub process: usize,
    /// Connections of clients and operators, without what is leased for their requests. Those of HTTP clients come last.
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
        let process = part(PROCESS_SIXTEENTHS).max(MIN_PROCESS_BYTES);
        let taken_from_connections = process - part(PROCESS_SIXTEENTHS);
        MemoryPlan {
            limit,
            process,
            client_connections: part(CLIENT_CONNECTIONS_SIXTEENTHS).saturating_sub(taken_from_connections),
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

    /// The number of HTTP client connections that there is memory for beside the connections of other listeners.
    pub fn max_client_connections(&self, others: OtherConnections) -> usize {
        self.client_connections.saturating_sub(others.bytes()) / CLIENT_CONNECTION_BYTES
    }

    /// The number of connections of the admin listener that there is memory for: half of what the beanstalkd listener leaves.
    pub fn max_admin_connections(&self, beanstalkd: usize) -> usize {
        let taken = OtherConnections { beanstalkd, ..OtherConnections::default() }.bytes();
        self.client_connections.saturating_sub(taken) / 2 / ADMIN_CONNECTION_BYTES
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
