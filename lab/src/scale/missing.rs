//! Load at full size of functions that no mechanism handles yet, and of failure detection. All figures are calculated,
//! none is measured.

use super::report::{Mechanism, Options, Role, Row, SizeUnit};
use super::target;

/// A reservation and its confirmation, each with a response.
const MESSAGES_PER_PLACE: f64 = 4.0;
/// Time for which a dispatcher would lease a share of a team's quota.
const QUOTA_LEASE_SECONDS: f64 = 10.0;
/// Bytes of a lease request and its response together, as the fleet's frames encode them.
const LEASE_BYTES: f64 = 120.0;
/// Health checks of each worker per second, and bytes of a check and its response.
const CHECKS_PER_SECOND: f64 = 0.2;
const CHECK_BYTES: f64 = 250.0;
/// Checks of one suspect: five a second for the 3 s that dispatchers wait for the result.
const SUSPECT_CHECKS: f64 = 15.0;
/// Workers in a rack.
const RACK_WORKERS: f64 = 40.0;
/// Bytes of a log line for a task, including timestamp, level and fields.
const LOG_BYTES: f64 = 200.0;
const LOG_LINES_PER_TASK: f64 = 2.0;

pub fn rows(_: &Options) -> Vec<Row> {
    let row = |role, quantity: &str, unit, size, slope| {
        Row::arithmetic(role, quantity, unit, size, slope, Mechanism::Missing)
    };
    let per_dispatcher = 1.0 / target::DISPATCHERS;
    let health_check_row = |role, quantity: &str, unit, size, slope| {
        Row::arithmetic(role, quantity, unit, size, slope, Mechanism::HealthChecks)
    };
    let suspects = target::FAILURES_PER_DAY + target::RESTARTS_PER_DAY;
    vec![
        health_check_row(
            Role::Prober,
            "checks of suspects on an ordinary day, all probers",
            "bytes/s",
            (SizeUnit::Workers, suspects),
            SUSPECT_CHECKS * CHECK_BYTES / target::SECONDS_PER_DAY,
        )
        .budget(target::BYTES_PER_SECOND)
        .assuming("170 failures and 710 restarts, 15 checks of each: five a second for 3 s"),
        health_check_row(
            Role::Dispatcher,
            "one dispatcher sends to the same worker once in",
            "s",
            (SizeUnit::Workers, target::WORKERS),
            target::DISPATCHERS / target::STARTS_PER_SECOND,
        )
        .assuming("even shares, 300 dispatchers (100 to 1,000): a failure shows by an attempt that fails, at each by itself"),
        health_check_row(
            Role::Client,
            "attempts that meet a failed machine on an ordinary day, if each dispatcher has to find out",
            "attempts",
            (SizeUnit::Workers, target::FAILURES_PER_DAY),
            target::DISPATCHERS,
        )
        .assuming("the upper bound: discovery lists no failure and load gossip passes on none"),
        row(
            Role::Dispatcher,
            "gangs: messages of one attempt to place the largest, all or nothing",
            "messages",
            (SizeUnit::GangMembers, target::GANG_MEMBERS),
            MESSAGES_PER_PLACE,
        )
        .assuming("a place is reserved and confirmed, each answered; a failed attempt costs as much again"),
        row(
            Role::Dispatcher,
            "quotas: bytes of leased parts of all teams' quotas",
            "bytes/s",
            (SizeUnit::Teams, target::TEAMS),
            LEASE_BYTES / QUOTA_LEASE_SECONDS,
        )
        .budget(target::BYTES_PER_SECOND)
        .assuming("each dispatcher leases a part of each team's quota for 10 s (5 to 60), 120 bytes a renewal"),
        row(
            Role::Voter,
            "quotas: renewals of leased parts at the granters, all dispatchers",
            "1/s",
            (SizeUnit::Teams, target::TEAMS),
            target::DISPATCHERS / QUOTA_LEASE_SECONDS,
        )
        .assuming("300 dispatchers (100 to 1,000); batching a dispatcher's teams divides it by 270"),
        row(
            Role::Dispatcher,
            "urgent work: a slot comes free somewhere within its 2.5 s without preemption",
            "slots",
            (SizeUnit::StartsPerSecond, target::STARTS_PER_SECOND),
            target::URGENT_START,
        )
        .assuming("ends keep up with starts; none of these slots is reserved for urgent work today"),
        row(
            Role::Prober,
            "regular health checks of all workers, one prober",
            "bytes/s",
            (SizeUnit::Workers, target::WORKERS),
            CHECKS_PER_SECOND * CHECK_BYTES,
        )
        .budget(target::BYTES_PER_SECOND)
        .assuming("a check each 5 s of 250 bytes with its answer: what fails is found after 2.5 s on average"),
        row(
            Role::Prober,
            "regular health checks of a zone's workers, one prober a zone",
            "bytes/s",
            (SizeUnit::Workers, target::WORKERS / target::ZONES),
            CHECKS_PER_SECOND * CHECK_BYTES,
        )
        .budget(target::BYTES_PER_SECOND)
        .assuming("even zones; the same check"),
        row(
            Role::Dispatcher,
            "a zone lost: seconds of all starts that its running tasks amount to",
            "s",
            (SizeUnit::RunningTasks, target::RUNNING_TASKS),
            1.0 / target::ZONES / target::STARTS_PER_SECOND,
        )
        .assuming("even zones: 2,600 tasks are started again beside the peak's 730 starts a second"),
        row(
            Role::Dispatcher,
            "a rack lost: tasks to be started again",
            "tasks",
            (SizeUnit::RunningTasks, target::RUNNING_TASKS),
            RACK_WORKERS / target::WORKERS,
        )
        .assuming("40 workers a rack (20 to 80)"),
        row(
            Role::OperatorControl,
            "regions cut for an hour: changes that the two sides make apart",
            "changes",
            (SizeUnit::ChangesPerDay, target::CHANGES_PER_DAY),
            1.0 / target::HOURS_PER_DAY,
        )
        .assuming("the mean rate; nothing says which side's change stands once they meet"),
        row(
            Role::Dispatcher,
            "logs of the peak's starts, one dispatcher",
            "bytes/s",
            (SizeUnit::StartsPerSecond, target::STARTS_PER_SECOND),
            LOG_BYTES * LOG_LINES_PER_TASK * per_dispatcher,
        )
        .assuming("two lines of 200 bytes a task, 300 dispatchers; whether logs count for control is a question"),
    ]
}
