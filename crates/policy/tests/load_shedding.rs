//! What an overloaded router rejects, and in which order it sends what waits.

mod common;
use common::*;
use petrelgauge_policy::*;

#[test]
fn a_few_retries_with_more_time_left_do_not_age_first_attempts() {
    // Recorded day ia66fa8: some retries had more time left than any first attempt.
    let mut harness = Harness::new(settings());
    report_lags(&mut harness, [0, 10 * MS, 10 * MS], 5);
    for n in 0..30 {
        let name = format!("r{n}");
        let left = if n % 10 == 9 { 960 * MS } else { 450 * MS };
        let actions = harness.send_request(&name, 0, left);
        let member = sent_to(&actions).unwrap_or_else(|| panic!("request {n} was held beside idle members"));
        harness.report_attempt(&name, 0, member, Ending::Served);
        harness.advance(10 * MS);
    }
}

#[test]
fn a_marked_retry_yields_to_first_attempts() {
    // Recorded day i5bbe18: retries of hopeless reads took the capacity of first attempts.
    let mut harness = Harness::new(settings());
    for n in 0..60 {
        harness.send_request(&format!("fill{n}"), 4, 900 * MS);
    }
    let read = |name: &str, is_retry| {
        Event::Request(RequestArrival {
            request: name.into(),
            class: 3,
            group: GROUP,
            time_left: 900 * MS,
            is_retry,
            minimum_position: None,
        })
    };
    assert!(!rejected(&harness.step(read("first", false))), "a first attempt waits for capacity");
    assert!(rejected(&harness.step(read("again", true))), "a retry without a chance does not");
}

#[test]
fn overloaded_members_make_a_router_shed_reads_and_no_writes() {
    // Standard overload of graz-main-later: 60 routers with one attempt each overload every member.
    let shed = |took: Time, class: usize| {
        let mut harness = Harness::new(settings());
        let mut rejections = 0;
        for n in 0..300 {
            let name = format!("x{n}");
            let actions = harness.send_request(&name, class, 900 * MS);
            rejections += rejected(&actions) as u32;
            harness.now += took;
            harness.serve_all(actions, took);
        }
        rejections
    };
    assert_eq!(shed(50 * MS, 2), 0, "quick answers: nothing is shed");
    assert!(shed(250 * MS, 2) > 30, "slow answers everywhere: reads are shed");
    assert_eq!(shed(250 * MS, 4), 0, "writes are not");
}

// On sockets, what was held past half its time and then refused unsent cost 0.03 of a troubled day, and so did
// what had only met members that could not be reached.
#[test]
fn a_request_unsent_by_half_of_its_time_is_rejected() {
    let ends_after = |class: usize, client_round_trip: Time| {
        let mut harness = Harness::empty(Settings { client_round_trip, ..settings() });
        let mut actions = harness.send_request("r", class, 400 * MS);
        let mut steps = 0;
        while !rejected(&actions) && steps < 100 {
            actions = harness.advance(5 * MS);
            steps += 1;
        }
        steps * 5 * MS
    };
    for class in [0, 4, 5] {
        let end = ends_after(class, 0);
        assert!((150 * MS..=200 * MS).contains(&end), "class {class} ended after {end}");
        // The way here and back comes off, but no more than half of it: a long way is no reason to refuse all.
        assert_eq!(ends_after(class, 30 * MS), end - 30 * MS, "class {class}");
        assert!(ends_after(class, 1_000 * MS) >= 85 * MS, "class {class}");
    }
    let mut harness = Harness::new(Settings { may_probe: false, ..settings() });
    let mut actions = harness.send_request("w", 4, 400 * MS);
    let (mut attempt, mut steps) = (0, 0);
    while !rejected(&actions) && steps < 100 {
        actions = match sent_to(&actions) {
            Some(member) => {
                attempt += 1;
                harness.report_attempt("w", attempt - 1, member, Ending::ConnectFailed)
            }
            None => {
                steps += 1;
                harness.advance(5 * MS)
            }
        };
    }
    assert!(attempt > 0 && steps <= 40, "{attempt} attempts, refused after {steps} steps");
}

// With all their connections held, clients found none for 2762 requests of one day.
#[test]
fn requests_of_the_lowest_value_are_evicted_before_clients_run_out_of_connections() {
    let mut harness = Harness::empty(Settings { max_open_requests: 20, ..settings() });
    let rejected_of = |harness: &mut Harness, class: usize, count: usize| -> usize {
        let name = |n: usize| format!("{class}-{n}");
        (0..count).filter(|n| rejected(&harness.send_request(&name(*n), class, 900 * MS))).count()
    };
    assert_eq!(rejected_of(&mut harness, 5, 10), 0);
    assert!(rejected_of(&mut harness, 2, 20) > 8, "requests beyond the limit are rejected at once");
    let mut actions = Vec::new();
    for _ in 0..20 {
        actions.extend(harness.advance(5 * MS));
    }
    assert!(!rejected(&actions), "the others wait");
}

// In a crowd, oldest first serves each just after its latency target. Simulator, quick: 0.778 with the oldest first.
#[test]
fn of_waiting_requests_of_equal_priority_the_newest_goes_first() {
    let mut harness = Harness::empty(settings());
    // Nobody is there to take them yet.
    for n in 0..30 {
        assert_eq!(sent_to(&harness.send_request(&format!("w{n:02}"), 2, 900 * MS)), None);
        harness.now += MS;
    }
    let back = (1..=3).map(|m| entry(m, MemberStatus::Up, m == 1, 0)).collect::<Vec<_>>();
    let actions = harness.step(Event::List { update: Update::Complete, entries: back.into() });
    let sent: Vec<&str> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { request, .. } => Some(&**request),
            _ => None,
        })
        .collect();
    let newest: Vec<String> = (0..sent.len()).map(|n| format!("w{:02}", 29 - n)).collect();
    assert!(!sent.is_empty() && sent.len() < 30, "{sent:?}");
    assert_eq!(sent, newest);
}
