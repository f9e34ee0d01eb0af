//! How often a dispatcher measures the service time of discovery.

use lineroute_control::watch::WatchSchedule;

/// Answers that arrive while a list is watched for a whole day.
const ANSWERS: usize = 20_000;

/// The answers after which the service time is measured, where `seems_long` tells for each whether the
/// estimate is still long.
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

/// The measurements of a tier that started at the same time are spread over the renewals.
#[test]
fn measurements_of_a_tier_are_spread() {
    let mut first = [0; 4];
    for seed in 0..400 {
        first[measurements(seed, |_| true)[0]] += 1;
    }
    assert!(first.iter().all(|count| (60..140).contains(count)), "{first:?}");
}
