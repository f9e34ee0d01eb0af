use super::*;

/// Guards against parts that do not know of each other: together they must fit into the limit, for every use.
#[test]
fn the_parts_fit_into_the_limit() {
    for limit in [16, 32, 48, 192].map(|megabytes: usize| megabytes << 20) {
        for (streams, beanstalkd) in [(false, false), (true, false), (false, true), (true, true)] {
            let plan = MemoryPlan::new(limit, streams, beanstalkd);
            assert!(plan.sum() <= limit, "{plan:?}");
            assert_eq!((plan.streams > 0, plan.beanstalkd_jobs > 0), (streams, beanstalkd));
            let beanstalkd = if beanstalkd { plan.max_beanstalkd_connections() } else { 0 };
            let admin = plan.max_admin_connections(beanstalkd);
            for others in [
                OtherConnections { beanstalkd, admin: 0, console: 0 },
                OtherConnections { beanstalkd, admin, console: crate::admin::console::MAX_CONNECTIONS },
            ] {
                let clients = plan.max_client_connections(others) * CLIENT_CONNECTION_BYTES;
                assert!(clients + others.bytes() <= plan.client_connections && clients > 0, "{plan:?}");
            }
        }
    }
}

/// With the limits that the platform gives on most days, descriptors limit the connections and not memory.
#[test]
fn memory_does_not_limit_connections_where_there_is_enough() {
    let plan = MemoryPlan::new(48 << 20, true, true);
    assert!(
        plan.max_client_connections(OtherConnections { beanstalkd: 64, ..OtherConnections::default() })
            >= 600,
        "{plan:?}"
    );
    assert!(plan.max_worker_connections() >= 360, "{plan:?}");
}

/// Guards against a program whose own needs are in no part where the limit is small: parts that were all in use then took a
/// process with 16 MB over it.
#[test]
fn the_program_itself_has_memory_under_each_limit() {
    for limit in [16, 32, 48, 192].map(|megabytes: usize| megabytes << 20) {
        let plan = MemoryPlan::new(limit, true, true);
        assert!(plan.process >= 3 << 20, "{plan:?}");
        let slots = plan.max_client_connections(OtherConnections::default());
        assert!(slots >= 150, "{slots} slots: {plan:?}");
    }
}
