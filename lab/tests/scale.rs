//! Tests of the fit and the rows of a capacity report, and of simulated hollow dispatchers.

use lineroute_lab::scale::histogram::Histogram;
use lineroute_lab::scale::report::{Fit, Mechanism, Options, Role, Row, Scenario, SizeUnit, Source};
use lineroute_lab::scale::table::format_number;
use lineroute_lab::scale::watch::{simulate, DiscoveryModel, Outcome, Partition, Plan, Time, SECOND};
use lineroute_lab::scale::worker_list::WorkerList;
use lineroute_lab::scale::{find_scenarios, run, SCENARIOS};

#[test]
fn points_on_a_line_are_fitted_without_residual() {
    let fit = Fit::through(&[(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]);
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.constant - 3.0).abs() < 1e-9 && fit.residual < 1e-9);
}

#[test]
fn one_point_gives_a_constant_line() {
    assert_eq!(Fit::through(&[(4.0, 9.0)]), Fit { slope: 0.0, constant: 9.0, residual: 0.0 });
    assert_eq!(Fit::through(&[]), Fit { slope: 0.0, constant: 0.0, residual: 0.0 });
}

fn row(points: Vec<(f64, f64)>) -> Row {
    let size = (SizeUnit::Workers, 100.0);
    Row::measured(Role::Dispatcher, "state", "bytes", size, points, Mechanism::DecisionState)
}

#[test]
fn a_value_measured_at_full_size_takes_precedence_over_the_fit() {
    let measured = row(vec![(100.0, 50.0), (1.0, 0.0), (50.0, 10.0)]);
    assert_eq!((measured.at_full_size, measured.source), (50.0, Source::Measured));
    assert_eq!(measured.extrapolation, None);
}

#[test]
fn an_extrapolated_row_states_its_factor() {
    let fitted = row(vec![(1.0, 1.0), (5.0, 5.0)]);
    assert_eq!((fitted.source, fitted.extrapolation), (Source::Fitted, Some(20.0)));
    assert!((fitted.at_full_size - 100.0).abs() < 1e-9);
}

#[test]
fn a_budget_holds_at_exactly_its_limit() {
    let exact = row(vec![(100.0, 50.0)]);
    assert_eq!(exact.clone().budget(50.0).holds, Some(true));
    assert_eq!(exact.clone().budget(49.9).holds, Some(false));
    assert_eq!(exact.holds, None);
}

#[test]
fn a_falling_line_is_not_extrapolated() {
    let falling = row(vec![(1.0, 30.0), (10.0, 20.0)]);
    assert_eq!((falling.at_full_size, falling.source), (20.0, Source::Largest));
}

/// Guards against a budget that is reported to hold although nothing was measured.
#[test]
fn a_row_without_measurements_meets_no_budget() {
    let unmeasured = row(Vec::new()).budget(1.0);
    assert_eq!((unmeasured.source, unmeasured.holds), (Source::NotMeasured, None));
    assert!(unmeasured.is_missed());
}

#[test]
fn an_unknown_scenario_is_rejected_with_a_list_of_the_known_ones() {
    let error =
        find_scenarios(Some("no-such")).map(|found| found.len()).expect_err("there is no such scenario");
    assert!(error.contains("choice") && error.contains("watch"), "{error}");
    assert_eq!(find_scenarios(None).map(|all| all.len()), Ok(SCENARIOS.len()));
}

/// Guards against a simulation in virtual time that depends on anything but its seed.
#[test]
fn rows_depend_on_the_seed_alone() {
    let untimed_rows = |seed: u64| -> Vec<Row> {
        let scenarios: Vec<Scenario> = ["watch", "overrides", "load"]
            .iter()
            .flat_map(|name| find_scenarios(Some(name)).expect("known"))
            .collect();
        let options = Options { quick: true, seed };
        run(&scenarios, &options, |_| {}).rows.into_iter().filter(|row| !row.timed).collect()
    };
    let first = untimed_rows(7);
    assert_eq!(first, untimed_rows(7));
    assert_ne!(first, untimed_rows(8));
}

fn simulate_tier(dispatchers: u32, changes: &[Time]) -> Outcome {
    simulate(&Plan {
        configured_dispatchers: dispatchers,
        dispatchers,
        workers: 20,
        until: 120 * SECOND,
        changes,
        empty_start_span: None,
        discovery: DiscoveryModel {
            call_time: 5_000,
            link_bytes_per_second: 125e6,
            lost_per_mille: 0,
            outage: None,
        },
        partition: None,
        seed: 3,
    })
}

#[test]
fn each_dispatcher_receives_each_change_once() {
    let changes: Vec<Time> = (1..=10).map(|n| n * 5 * SECOND).collect();
    for dispatchers in [1, 8, 50] {
        let outcome = simulate_tier(dispatchers, &changes);
        assert_eq!(outcome.stale_dispatchers, 0, "{dispatchers} dispatchers");
        assert_eq!(outcome.propagation_time.count(), u64::from(dispatchers) * 10);
    }
}

#[test]
fn few_dispatchers_receive_a_change_within_a_round_trip() {
    let outcome = simulate_tier(2, &[60 * SECOND]);
    assert!(outcome.propagation_time.longest() <= 0.02, "{} s", outcome.propagation_time.longest());
}

#[test]
fn each_dispatcher_without_a_list_receives_the_full_list_once() {
    let outcome = simulate(&Plan {
        configured_dispatchers: 30,
        dispatchers: 30,
        workers: 1000,
        until: 60 * SECOND,
        changes: &[],
        empty_start_span: Some(10 * SECOND),
        discovery: DiscoveryModel {
            call_time: 5_000,
            link_bytes_per_second: 125e6,
            lost_per_mille: 0,
            outage: None,
        },
        partition: None,
        seed: 3,
    });
    assert_eq!((outcome.stale_dispatchers, outcome.first_list_time.count()), (0, 30));
    let expected = 30 * WorkerList::full(1000).bytes() as u64;
    assert!(outcome.bytes > expected && outcome.bytes < expected * 2, "{} bytes", outcome.bytes);
}

#[test]
fn dispatchers_receive_all_changes_after_a_partition() {
    let changes: Vec<Time> = (1..=100).map(|n| n * SECOND).collect();
    let partition = Partition { from: 20 * SECOND, to: 80 * SECOND, dispatchers: 3 };
    let plan = Plan {
        configured_dispatchers: 20,
        dispatchers: 20,
        workers: 20,
        until: 160 * SECOND,
        changes: &changes,
        empty_start_span: None,
        discovery: DiscoveryModel {
            call_time: 5_000,
            link_bytes_per_second: 125e6,
            lost_per_mille: 0,
            outage: None,
        },
        partition: None,
        seed: 3,
    };
    let (unpartitioned, partition) =
        (simulate(&plan), simulate(&Plan { partition: Some(partition), ..plan }));
    assert_eq!(
        (unpartitioned.stale_dispatchers, partition.stale_dispatchers, partition.propagation_time.count()),
        (0, 0, 2000)
    );
    assert!(
        partition.failed_calls > 0
            && partition.propagation_time.longest() > unpartitioned.propagation_time.longest()
    );
}

#[test]
fn histogram_quantiles_match_the_spans() {
    let mut spans = Histogram::default();
    (1..=1000).for_each(|span| spans.add(span));
    assert_eq!((spans.quantile(0.5), spans.quantile(0.999), spans.longest()), (0.5, 0.999, 1.0));
    assert_eq!(Histogram::default().quantile(0.5), 0.0);
}

#[test]
fn numbers_have_three_digits_and_thousands_separators() {
    let shown = [0.0, 0.000_685, 1.234, 12.0, 999.4, 1_334_863.0, -20_660.0].map(format_number);
    assert_eq!(shown, ["0", "0.000685", "1.23", "12", "999", "1,334,863", "-20,660"]);
}
