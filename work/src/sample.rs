//! A sample record for the tests of this crate.

use crate::record::{Effect, JobId, JobRequest, Record};
use lineroute_fleet::Incarnation;
use std::time::Duration;

pub fn record(n: u8, owner: Incarnation, effect: Effect) -> Record {
    let request = JobRequest {
        class: "order".into(),
        tenant: None,
        reference: format!("r{n}"),
        key: None,
        path: "/api".into(),
        body: vec![n; 10],
        effect,
    };
    Record::new(JobId([n; 16]), request, owner, Duration::from_secs(2))
}
