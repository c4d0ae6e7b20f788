//! Members that fail, become unresponsive or restart: they are ejected, and get requests again once they
//! answer.

mod common;
use common::*;
use petrelgauge_policy::*;

#[test]
fn a_member_that_fails_fast_attracts_no_requests() {
    // Recorded run i8e1da6: a member that rejected attempts at once as full seemed idle and got 15% of all
    // attempts.
    let mut harness = Harness::new(settings());
    report_lags(&mut harness, [0, 10 * MS, 10 * MS], 5);
    let mut sent_to_failing = 0;
    for n in 0..200 {
        let name = format!("f{n}");
        let mut actions = harness.send_request(&name, 2, 900 * MS);
        for attempt in 0..6 {
            match sent_to(&actions) {
                Some(3) => {
                    sent_to_failing += 1;
                    actions = harness.report_attempt(&name, attempt, 3, Ending::QueueFull);
                }
                Some(member) => actions = harness.report_attempt(&name, attempt, member, Ending::Served),
                None => break,
            }
        }
        harness.advance(5 * MS);
    }
    assert!((1..20).contains(&sent_to_failing), "{sent_to_failing} sends to the member that fails fast");
}

#[test]
fn a_lowered_concurrency_limit_recovers() {
    // Recorded run i17f81a: after a period of slow answers a primary's limit stayed at one attempt, although
    // the primary was idle again.
    let mut harness = Harness::new(settings());
    for (round, took) in [(0, 400 * MS), (1, 20 * MS)] {
        for n in 0..40 {
            let mut sent = Vec::new();
            for k in 0..4 {
                sent.extend(harness.send_request(&format!("w{round}-{n}-{k}"), 4, 900 * MS));
            }
            harness.now += took;
            harness.serve_all(sent, took);
            let late = harness.advance(5 * MS);
            harness.serve_all(late, took);
        }
    }
    let in_flight: usize =
        (0..4).map(|n| sends(&harness.send_request(&format!("now{n}"), 4, 900 * MS))).sum();
    assert!(in_flight >= 4, "only {in_flight} writes may be in flight at once");
}

#[test]
fn a_silent_member_is_ejected_and_recovers() {
    let mut harness = Harness::new(settings());
    let member = sent_to(&harness.send_request("r", 2, 900 * MS)).expect("sent");
    let mut probed = false;
    for _ in 0..40 {
        let actions = harness.advance(5 * MS);
        probed |= actions.contains(&Action::Probe { member });
    }
    assert!(probed, "a silent member is probed");
    let check_failed = Event::Probed { member, ending: Ending::TimedOut, report: Report::default() };
    let actions = harness.step(check_failed);
    assert!(actions.contains(&Action::Cancel { request: "r".into(), attempt: 0 }), "its read is cancelled");
    let actions = harness.report_attempt("r", 0, member, Ending::Cancelled);
    assert!(sent_to(&actions).is_some_and(|other| other != member), "and retried at another member");
    for n in 0..20 {
        assert_ne!(sent_to(&harness.send_request(&format!("x{n}"), 2, 900 * MS)), Some(member));
    }
    let check_served = Event::Probed { member, ending: Ending::Served, report: Report::default() };
    let mut actions = harness.step(check_served);
    let mut recovered = false;
    for n in 0..200 {
        recovered |= actions.iter().any(|a| matches!(a, Action::Send { member: to, .. } if *to == member));
        harness.serve_all(actions, 20 * MS);
        harness.now += 20 * MS;
        actions = harness.send_request(&format!("y{n}"), 2, 900 * MS);
    }
    assert!(recovered, "once it answers it gets requests again, within the budget of a warming member");
}

#[test]
fn cancelled_attempts_count_against_a_member() {
    // Recorded run i5bbe18: reads cancelled at their latency target were never counted, and limits stayed
    // high.
    let mut harness = Harness::new(settings());
    let list = [entry(2, MemberStatus::Removed, false, 0), entry(3, MemberStatus::Removed, false, 0)];
    harness.step(Event::List { update: Update::Partial, entries: list.into() });
    let at_first: usize = (0..20).map(|n| sends(&harness.send_request(&format!("a{n}"), 4, 900 * MS))).sum();
    for n in 0..at_first {
        let event = Event::Outcome(AttemptOutcome {
            request: format!("a{n}").as_str().into(),
            attempt: 0,
            member: 1,
            ending: Ending::Cancelled,
            took: 300 * MS,
            closed: true,
            position: None,
            role: None,
            report: Report::default(),
        });
        let later = harness.step(event);
        harness.serve_all(later, 300 * MS);
    }
    let after: usize = (0..20).map(|n| sends(&harness.send_request(&format!("b{n}"), 4, 900 * MS))).sum();
    assert!(at_first > 1 && after < at_first, "{at_first} at first, {after} after");
}

#[test]
fn lost_writes_do_not_use_up_the_capacity_of_a_member_that_answers() {
    // Recorded run if2b59f: a primary lost a share of its writes, which kept its concurrency limit exhausted.
    let mut harness = Harness::new(settings());
    let list = [entry(2, MemberStatus::Removed, false, 0), entry(3, MemberStatus::Removed, false, 0)];
    harness.step(Event::List { update: Update::Partial, entries: list.into() });
    let lost: usize = (0..20).map(|n| sends(&harness.send_request(&format!("l{n}"), 4, 1_000 * MS))).sum();
    assert!((1..20).contains(&lost), "the first ones fill the capacity");
    // One of them is answered; the others stay in flight past their latency target.
    harness.now += 100 * MS;
    let freed = harness.report_attempt_with("l0", 0, 1, Ending::Served, Some(0), Some(Role::Primary));
    harness.now += 250 * MS;
    harness.step(Event::Probed { member: 1, ending: Ending::Served, report: Report::default() });
    let later = harness.advance(5 * MS);
    assert!(
        sends(&freed) + sends(&later) > 1,
        "waiting requests are sent although the lost attempts are still in flight"
    );
}

#[test]
fn a_member_that_was_down_counts_as_warming_up() {
    // Recorded run ia7e9ba: a restarted member was overloaded before the endpoint list showed its start.
    let mut harness = Harness::new(settings());
    let list = [entry(2, MemberStatus::Removed, false, 0), entry(3, MemberStatus::Removed, false, 0)];
    harness.step(Event::List { update: Update::Partial, entries: list.into() });
    harness.step(Event::Probed { member: 1, ending: Ending::TimedOut, report: Report::default() });
    harness.step(Event::Probed { member: 1, ending: Ending::Served, report: Report::default() });
    let mut sent = 0;
    for n in 0..100 {
        let actions = harness.send_request(&format!("c{n}"), 2, 900 * MS);
        sent += harness.serve_all(actions, 20 * MS);
        harness.now += 5 * MS;
    }
    assert!((1..=4).contains(&sent), "{sent} sends to a member that may just have started");
}

// A network partition between data centres left reads in flight at silent members for up to 2 s, and clients
// ran out of connections.
#[test]
fn reads_at_a_silent_member_are_cancelled_early_and_one_short_trial_restores_it() {
    let mut harness = Harness::new(Settings { may_probe: false, ..settings() });
    report_lags(&mut harness, [0, 10 * MS, 10 * MS], 5);
    let names: Vec<String> = (0..12).map(|n| format!("q{n}")).collect();
    let sent: Vec<_> = names
        .iter()
        .filter_map(|name| Some((name, sent_to(&harness.send_request(name, 2, 900 * MS))?)))
        .collect();
    let sent_to_two = sent.iter().filter(|(_, member)| *member == 2).count();
    assert!(sent_to_two > 1, "{sent_to_two} reads at the member that falls silent");
    harness.advance(20 * MS);
    for (name, member) in sent.iter().filter(|(_, member)| *member != 2) {
        harness.report_attempt(name, 0, *member, Ending::Served);
    }
    let mut cancelled = 0;
    for _ in 0..50 {
        let actions = harness.advance(5 * MS);
        for action in &actions {
            if let Action::Cancel { request, attempt } = action {
                cancelled += 1;
                harness.report_attempt(request, *attempt, 2, Ending::Cancelled);
            }
        }
    }
    assert_eq!(cancelled, sent_to_two, "they are cancelled before their latency target is over");
    // One trial at a time, limited to half its latency target; other reads go to other members.
    let (mut trials, mut sent_to_others) = (Vec::new(), 0);
    for n in 0..40 {
        let name = format!("x{n}");
        for action in harness.send_request(&name, 2, 900 * MS) {
            match action {
                Action::Send { request, member: 2, until } => trials.push((request, until - harness.now)),
                Action::Send { request, member, .. } => {
                    sent_to_others += 1;
                    harness.report_attempt(&request, 0, member, Ending::Served);
                }
                _ => {}
            }
        }
        harness.now += MS;
    }
    assert!(
        trials.len() == 1 && trials[0].1 <= 150 * MS && sent_to_others > 30,
        "{trials:?} {sent_to_others}"
    );
    harness.report_attempt(&trials[0].0.clone(), 0, 2, Ending::Served);
    assert!(share_sent_to(&mut harness, 2, 2) > 0.1, "it gets reads again after its answer");
}

// After a network partition between data centres a silent primary stayed ejected for twice as long as now.
#[test]
fn a_silent_primary_that_may_not_be_probed_is_retried_soon() {
    let mut harness = Harness::new(Settings { may_probe: false, ..settings() });
    assert_eq!(sent_to(&harness.send_request("lost", 5, 300 * MS)), Some(1));
    (0..60).for_each(|_| drop(harness.advance(5 * MS)));
    harness.report_attempt("lost", 0, 1, Ending::TimedOut);
    let mut actions = harness.send_request("next", 5, 900 * MS);
    let (mut steps, mut attempt) = (0, 0);
    while sent_to(&actions) != Some(1) && steps < 150 {
        if let Some(other) = sent_to(&actions) {
            harness.report_attempt_with("next", attempt, other, Ending::Rejected, None, Some(Role::Replica));
            attempt += 1;
        }
        actions = harness.advance(5 * MS);
        steps += 1;
    }
    let span = steps * 5 * MS;
    assert!(span > 100 * MS && span < 450 * MS, "retried after {span}");
}

// In a long run hosts are replaced all the time: the state kept about them must not grow with its duration.
#[test]
fn a_member_removed_long_ago_is_forgotten_and_one_just_removed_is_not() {
    let is_used_again_after = |span: Time| {
        let mut harness = Harness::new(settings());
        for status in [MemberStatus::Draining, MemberStatus::Removed] {
            let list = (1..=3).map(|m| entry(m, status, m == 1, 0)).collect::<Vec<_>>();
            harness.step(Event::List { update: Update::Complete, entries: list.into() });
        }
        harness.advance(span);
        let list = (1..=3).map(|m| entry(m, MemberStatus::Up, m == 1, 0)).collect::<Vec<_>>();
        harness.step(Event::List { update: Update::Complete, entries: list.into() });
        sent_to(&harness.send_request("r", 2, 900 * MS)).is_some()
    };
    assert!(!is_used_again_after(10_000 * MS), "an old list does not undo a drain");
    assert!(is_used_again_after(61_000 * MS), "a member that is listed again later is a new one");
}

#[test]
fn without_a_slow_start_span_no_member_is_limited() {
    let mut harness = Harness::new(Settings { slow_start_span: 0, ..settings() });
    let sent: usize = (0..6).map(|n| sends(&harness.send_request(&format!("r{n}"), 2, 900 * MS))).sum();
    assert_eq!(sent, 6, "members that started long ago are warm");
}
