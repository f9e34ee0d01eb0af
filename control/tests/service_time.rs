//! How often one dispatcher takes a turn at discovery anew, to learn what a turn costs.

use lineroute_control::watch::WatchSchedule;

/// Answers that come after a list has been watched for a whole day.
const ANSWERS: usize = 20_000;

/// Behind which answers a turn is taken anew, where `seems_long` tells of each whether turns still seem long.
fn turns_taken(seed: u64, seems_long: impl Fn(usize) -> bool) -> Vec<usize> {
    let mut schedule = WatchSchedule::new(300, seed);
    (0..ANSWERS).filter(|answer| schedule.should_measure_service_time(seems_long(*answer))).collect()
}

#[test]
fn a_dispatcher_takes_three_turns_anew_at_most_and_soon() {
    for seed in 0..200 {
        let taken = turns_taken(seed, |_| true);
        assert_eq!(taken.len(), 3, "seed {seed}: {taken:?}");
        assert!(taken[0] < 4 && taken[1] < 4 + 16 && taken[2] < 4 + 16 + 64, "seed {seed}: {taken:?}");
    }
}

#[test]
fn none_is_taken_where_a_turn_is_known_to_be_short() {
    assert_eq!(turns_taken(1, |_| false), Vec::<usize>::new());
    let until_known = turns_taken(1, |answer| answer < 4);
    assert_eq!(until_known.len(), 1, "{until_known:?}");
}

/// Calls of a tier that began together spread over the renewals.
#[test]
fn the_turns_of_a_tier_are_spread() {
    let mut first = [0; 4];
    for seed in 0..400 {
        first[turns_taken(seed, |_| true)[0]] += 1;
    }
    assert!(first.iter().all(|count| (60..140).contains(count)), "{first:?}");
}
