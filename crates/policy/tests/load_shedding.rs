//! Which requests an overloaded router rejects, and the order in which it sends queued ones.

mod common;
use common::*;
use petrelgauge_policy::*;

#[test]
fn a_few_retries_with_more_time_left_do_not_age_first_attempts() {
    // Recorded run ia66fa8: some retries had more time left than any first attempt.
    let mut harness = Harness::new(settings());
    report_lags(&mut harness, [0, 10 * MS, 10 * MS], 5);
    for n in 0..30 {
        let name = format!("r{n}");
        let left = if n % 10 == 9 { 960 * MS } else { 450 * MS };
        let actions = harness.send_request(&name, 0, left);
        let member =
            sent_to(&actions).unwrap_or_else(|| panic!("request {n} was queued although members are idle"));
        harness.report_attempt(&name, 0, member, Ending::Served);
        harness.advance(10 * MS);
    }
}

#[test]
fn first_attempts_take_precedence_over_marked_retries() {
    // Recorded run i5bbe18: retries of reads that could not be served in time took the capacity of first
    // attempts.
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
    assert!(
        !rejected(&harness.step(read("first", false))),
        "a first attempt is queued until there is capacity"
    );
    assert!(rejected(&harness.step(read("again", true))), "a retry that cannot be served in time is not");
}

#[test]
fn overloaded_members_make_a_router_shed_reads_and_no_writes() {
    // The standard overload scenario of graz-main-later: 60 routers with one attempt each overload every
    // member.
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
    assert_eq!(shed(50 * MS, 2), 0, "fast answers: nothing is shed");
    assert!(shed(250 * MS, 2) > 30, "slow answers from all members: reads are shed");
    assert_eq!(shed(250 * MS, 4), 0, "writes are not shed");
}

// In a run with faults over real sockets, requests that were queued for more than half of their time and then
// rejected unsent cost 0.03 of the score, and so did requests that had only been tried at unreachable
// members.
#[test]
fn a_request_unsent_by_half_of_its_time_is_rejected() {
    let rejected_after = |class: usize, client_round_trip: Time| {
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
        let rejection = rejected_after(class, 0);
        assert!((150 * MS..=200 * MS).contains(&rejection), "class {class} was rejected after {rejection}");
        // The client's round trip is deducted, but only up to half of the time: a long round trip must not
        // lead to the rejection of all requests.
        assert_eq!(rejected_after(class, 30 * MS), rejection - 30 * MS, "class {class}");
        assert!(rejected_after(class, 1_000 * MS) >= 85 * MS, "class {class}");
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
    assert!(attempt > 0 && steps <= 40, "{attempt} attempts, rejected after {steps} steps");
}

// In one run, queued requests held all client connections, and 2762 requests found none free.
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
    assert!(!rejected(&actions), "the others stay queued");
}

// Under overload, serving the oldest first serves each request just after its latency target. The simulator's
// quick score was 0.778 with the oldest first.
#[test]
fn of_waiting_requests_of_equal_priority_the_newest_goes_first() {
    let mut harness = Harness::empty(settings());
    // The group has no members yet.
    for n in 0..30 {
        assert_eq!(sent_to(&harness.send_request(&format!("w{n:02}"), 2, 900 * MS)), None);
        harness.now += MS;
    }
    let list = (1..=3).map(|m| entry(m, MemberStatus::Up, m == 1, 0)).collect::<Vec<_>>();
    let actions = harness.step(Event::List { update: Update::Complete, entries: list.into() });
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
