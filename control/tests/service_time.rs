//! How often one dispatcher takes a turn at discovery anew, to learn what a turn costs.

use lineroute_control::watch::WatchSchedule;

/// Answers that come after a list has been watched for a whole day.
const ANSWERS: usize = 20_000;

/// Behind which answers a turn is taken anew, where `seems_long` tells of each whether turns still seem long.
fn measurements(seed: u64, seems_long: impl Fn(usize) -> bool) -> Vec<usize> {
    let mut schedule = WatchSchedule::new(300, seed);
    (0..ANSWERS).filter(|answer| schedule.should_measure_service_time(seems_long(*answer))).collect()
}

#[test]
fn service_time_is_measured_at_most_three_times_and_early() {
    for seed in 0..200 {
        let measured = measurements(seed, |_| true);
        assert_eq!(measured.len(), 3, "seed {seed}: {measured:?}");
        assert!(
            measured[0] < 4 && measured[1] < 4 + 16 && measured[2] < 4 + 16 + 64,
            "seed {seed}: {measured:?}"
        );
    }
}

#[test]
fn a_short_service_time_is_not_measured_again() {
    assert_eq!(measurements(1, |_| false), Vec::<usize>::new());
    let until_known = measurements(1, |answer| answer < 4);
    assert_eq!(until_known.len(), 1, "{until_known:?}");
}

/// Calls of a tier that began together spread over the renewals.
#[test]
fn measurements_of_a_tier_are_spread() {
    let mut first = [0; 4];
    for seed in 0..400 {
        first[measurements(seed, |_| true)[0]] += 1;
    }
    assert!(first.iter().all(|count| (60..140).contains(count)), "{first:?}");
}
