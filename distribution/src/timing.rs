//! Intervals, rates, and limits, which are the same for all processes.

use std::time::Duration;

/// Intervals and rates of subscribers.
#[derive(Clone, Debug)]
pub struct Timing {
    /// The interval between requests for changes.
    pub poll_interval: Duration,
    /// The minimum timeout of a request.
    pub min_timeout: Duration,
    /// The maximum timeout of a request.
    pub max_timeout: Duration,
    /// The initial upper bound of the random delay after a failure; it doubles with each consecutive failure.
    pub initial_backoff: Duration,
    /// The maximum of that bound while the replica is within the staleness bound: retries are frequent enough to keep
    /// it there.
    pub max_backoff: Duration,
    /// The maximum of that bound after the staleness bound has been exceeded, when the upstreams are probably gone.
    pub max_stale_backoff: Duration,
    /// Consecutive failures before a failover.
    pub failures_before_failover: u32,
    /// The delay after a failover before the preferred upstream is tried again.
    pub failback_delay: Duration,
    /// An upstream whose own replica is older than this is skipped if another one is known.
    pub max_upstream_age: Duration,
    /// A replica older than this must not be used alone; discovery must be queried.
    pub staleness_bound: Duration,
    /// The maximum clock drift in parts per 1,000.
    pub max_drift_permille: u32,
    /// Bytes per second for requests and replies together.
    pub bytes_per_second: u32,
    /// The maximum reply size that is requested, in bytes.
    pub max_reply_bytes: u32,
    /// Overhead of each message in bytes: the link's authentication tag and the transport headers.
    pub message_overhead: u32,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            poll_interval: Duration::from_millis(500),
            min_timeout: Duration::from_millis(100),
            max_timeout: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(200),
            max_stale_backoff: Duration::from_secs(4),
            failures_before_failover: 3,
            failback_delay: Duration::from_secs(2),
            max_upstream_age: Duration::from_secs(3),
            staleness_bound: Duration::from_secs(10),
            max_drift_permille: 20,
            // Of the 5,000 bytes per second that a dispatcher may use for all control traffic; gossip and leases need
            // a few hundred.
            bytes_per_second: 4000,
            max_reply_bytes: 2048,
            message_overhead: 80,
        }
    }
}

/// Limits of one replica. Records and messages beyond them are rejected, and old history is evicted.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The number of records in all partitions.
    pub records: usize,
    /// The number of partitions.
    pub partitions: usize,
    /// The total size of the names and values of all records in bytes.
    pub record_bytes: usize,
    /// The number of changes in the history.
    pub history_changes: usize,
    /// The size of the history in bytes.
    pub history_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            records: 65_536,
            partitions: 256,
            record_bytes: 16 << 20,
            history_changes: 8192,
            history_bytes: 1 << 20,
        }
    }
}
