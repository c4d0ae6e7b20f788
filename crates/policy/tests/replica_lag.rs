//! Routing of reads when replicas lag behind their primary.

mod common;
use common::*;
use petrelgauge_policy::*;

#[test]
fn lagging_replicas_get_eventual_reads_but_no_bounded_reads() {
    let mut harness = Harness::new(settings());
    report_lags(&mut harness, [0, 10 * MS, 900 * MS], 20);
    assert!(share_sent_to(&mut harness, 0, 3) < 0.05, "bounded reads avoid the lagging replica");
    let mut harness = Harness::new(settings());
    report_lags(&mut harness, [0, 10 * MS, 900 * MS], 20);
    assert!(share_sent_to(&mut harness, 2, 3) > 0.1, "eventual reads do not");
}

#[test]
fn a_session_read_with_an_old_minimum_position_may_use_a_lagging_replica() {
    let mut harness = Harness::new(settings());
    report_lags(&mut harness, [0, 500 * MS, 500 * MS], 20);
    let old = harness.step(request("old", 1, 900 * MS, Some(harness.now - 5_000 * MS)));
    assert!(sent_to(&old).is_some());
    for n in 0..3 {
        let recent = harness.step(request(&format!("young{n}"), 1, 900 * MS, Some(harness.now - 50 * MS)));
        assert_eq!(sent_to(&recent), Some(1), "only the primary has a write that recent");
    }
}

#[test]
fn a_sudden_lag_is_detected_within_a_few_answers() {
    let mut harness = Harness::new(settings());
    report_lags(&mut harness, [0, 10 * MS, 10 * MS], 20);
    let mut wasted = 0;
    for n in 0..60 {
        let name = format!("j{n}");
        let mut actions = harness.send_request(&name, 0, 900 * MS);
        for attempt in 0..6 {
            match sent_to(&actions) {
                Some(1) => {
                    actions = harness.report_attempt_with(
                        &name,
                        attempt,
                        1,
                        Ending::Served,
                        Some(0),
                        Some(Role::Primary),
                    )
                }
                Some(member) => {
                    wasted += 1;
                    let lag = Some(2_000 * MS);
                    actions = harness.report_attempt_with(
                        &name,
                        attempt,
                        member,
                        Ending::Rejected,
                        lag,
                        Some(Role::Replica),
                    );
                }
                None => break,
            }
        }
        harness.advance(5 * MS);
    }
    assert!((1..40).contains(&wasted), "{wasted} attempts spent on replicas with a sudden lag");
}

#[test]
fn reads_leave_the_primary_capacity_for_writes_when_all_replicas_lag() {
    // Recorded run i3ea088: when all replicas lagged, reads used up the capacity of the primary.
    let mut harness = Harness::new(settings());
    report_lags(&mut harness, [0, 900 * MS, 900 * MS], 20);
    for n in 0..60 {
        harness.send_request(&format!("read{n}"), 0, 900 * MS);
    }
    assert_eq!(
        sent_to(&harness.send_request("write", 4, 900 * MS)),
        Some(1),
        "the primary has capacity left for the write"
    );
}
