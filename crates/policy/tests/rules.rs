//! Tests of the five routing rules, and of failures that misbehaving members must not cause.

mod common;
use common::*;
use petrelgauge_policy::*;

#[test]
fn every_request_has_one_final_answer_before_its_client_gives_up() {
    for class in 0..6 {
        let mut harness = Harness::new(settings());
        let mut ends = 0;
        let left = 400 * MS;
        let actions = harness.send_request("r", class, left);
        ends += (rejected(&actions) || failed(&actions)) as u32;
        for step in 1..=100 {
            let actions = harness.advance(5 * MS);
            if rejected(&actions) || failed(&actions) {
                ends += 1;
                assert!(step * 5 * MS < left + 20 * MS, "class {class} got its final answer late");
            }
            assert!(ends == 0 || sends(&actions) == 0, "class {class} was sent after its final answer");
        }
        assert_eq!(ends, 1, "class {class}");
    }
}

#[test]
fn a_clients_retry_expires_by_its_own_time_left() {
    let mut harness = Harness::new(settings());
    for n in 0..20 {
        let name = format!("first{n}");
        let actions = harness.send_request(&name, 4, 1_000 * MS);
        if let Some(member) = sent_to(&actions) {
            harness.report_attempt_with(&name, 0, member, Ending::Served, None, Some(Role::Primary));
        }
    }
    harness.send_request("again", 4, 60 * MS);
    let ended = (0..12).any(|_| {
        let actions = harness.advance(5 * MS);
        failed(&actions) || rejected(&actions)
    });
    assert!(ended, "the retry must not outlive its client");
}

#[test]
fn an_unsafe_write_is_retried_only_if_it_provably_never_ran() {
    let cases = [
        (Ending::Error, false),
        (Ending::TimedOut, false),
        (Ending::ConnectionLost, false),
        (Ending::Cancelled, false),
        (Ending::QueueFull, true),
        (Ending::ConnectFailed, true),
        (Ending::NotSent, true),
        (Ending::Rejected, true),
    ];
    for (ending, never_executed) in cases {
        let mut harness = Harness::new(settings());
        let member =
            sent_to(&harness.send_request("w", 4, 900 * MS)).expect("a write is sent to the listed primary");
        let mut all = harness.report_attempt("w", 0, member, ending);
        for _ in 0..200 {
            all.extend(harness.advance(5 * MS));
        }
        if never_executed {
            // A request that is sent again and not answered must fail; otherwise it must be rejected.
            let sent_again = sends(&all) > 0;
            assert!(
                sent_again || ending == Ending::ConnectFailed,
                "{ending:?}: it was never executed, so it may be sent again"
            );
            assert_eq!((failed(&all), rejected(&all)), (sent_again, !sent_again), "{ending:?}");
        } else {
            assert_eq!(sends(&all), 0, "{ending:?}: sent again");
            assert!(failed(&all) && !rejected(&all), "{ending:?}: must fail and must not be rejected");
        }
    }
}

#[test]
fn a_keyed_write_is_retried_only_within_its_window() {
    let mut harness = Harness::new(settings());
    let member = sent_to(&harness.send_request("k", 5, 900 * MS)).expect("sent");
    harness.now += 100 * MS;
    let retry = harness.report_attempt("k", 0, member, Ending::Error);
    let mut early = sends(&retry);
    let mut late = 0;
    for step in 0..150 {
        let actions = harness.advance(5 * MS);
        match 100 * MS + (step + 1) * 5 * MS {
            at if at < 400 * MS => early += sends(&actions),
            _ => late += sends(&actions),
        }
        assert!(!rejected(&actions), "it may have run, and its scope is the group");
    }
    assert!(early > 0, "it is retried inside the window");
    assert_eq!(late, 0, "it is not retried outside the window");
}

#[test]
fn no_two_attempts_overlap_where_hedging_is_disabled() {
    let mut harness = Harness::new(settings());
    assert_eq!(sends(&harness.send_request("r", 2, 900 * MS)), 1);
    for _ in 0..50 {
        assert_eq!(sends(&harness.advance(5 * MS)), 0);
    }
}

#[test]
fn no_new_request_goes_to_a_draining_or_removed_member() {
    for status in [MemberStatus::Draining, MemberStatus::Removed] {
        let mut harness = Harness::new(settings());
        let list = [entry(2, status, false, 0), entry(3, status, false, 0)];
        harness.step(Event::List { update: Update::Partial, entries: list.into() });
        for n in 0..50 {
            let actions = harness.send_request(&format!("r{n}"), 2, 900 * MS);
            assert!(!matches!(sent_to(&actions), Some(2 | 3)), "{status:?}");
        }
    }
    // A complete list without a member removes it as well.
    let mut harness = Harness::new(settings());
    harness.step(Event::List {
        update: Update::Complete,
        entries: [entry(1, MemberStatus::Up, true, 0)].into(),
    });
    for n in 0..50 {
        assert!(matches!(
            harness.send_request(&format!("r{n}"), 2, 900 * MS).as_slice(),
            a if sent_to(a) != Some(2)
        ));
    }
}

#[test]
fn with_soft_removal_a_removed_member_is_used_as_long_as_it_answers() {
    // Scenarios with a wrong list: running members listed as removed, or all members, got no requests.
    for complete in [false, true] {
        let mut harness = Harness::new(Settings { soft_removal: true, ..settings() });
        let removed: Vec<Entry> = (1..=3).map(|m| entry(m, MemberStatus::Removed, m == 1, 0)).collect();
        harness.step(if complete {
            Event::List { update: Update::Complete, entries: [].into() }
        } else {
            Event::List { update: Update::Partial, entries: removed.into() }
        });
        for n in 0..20 {
            let name = format!("g{n}");
            let member =
                sent_to(&harness.send_request(&name, 2, 900 * MS)).expect("running members get requests");
            harness.report_attempt(&name, 0, member, Ending::Served);
            harness.advance(20 * MS);
        }
        // A member that is in fact removed does not answer and is ejected.
        let member = sent_to(&harness.send_request("lost", 2, 900 * MS)).expect("sent");
        harness.report_attempt("lost", 0, member, Ending::ConnectFailed);
        harness.step(Event::Probed { member, ending: Ending::ConnectFailed, report: Report::default() });
        for n in 0..20 {
            assert_ne!(sent_to(&harness.send_request(&format!("h{n}"), 2, 900 * MS)), Some(member));
        }
    }
}

#[test]
fn a_listed_drain_persists_until_the_next_start_whatever_later_lists_say() {
    for soft_removal in [false, true] {
        let mut harness = Harness::new(Settings { soft_removal, ..settings() });
        let drain = [entry(2, MemberStatus::Draining, false, 0), entry(3, MemberStatus::Draining, false, 0)];
        harness.step(Event::List { update: Update::Partial, entries: drain.into() });
        for status in [MemberStatus::Removed, MemberStatus::Up] {
            let list = [entry(2, status, false, 0), entry(3, status, false, 0)];
            harness.step(Event::List { update: Update::Partial, entries: list.into() });
            for n in 0..20 {
                let actions = harness.send_request(&format!("{status:?}{n}"), 2, 900 * MS);
                assert!(!matches!(sent_to(&actions), Some(2 | 3)), "{status:?}, soft {soft_removal}");
            }
        }
        // A new start ends the drain; an old list that arrives again does not undo the new start.
        let start = START - 60_000 * MS;
        let old = [entry(2, MemberStatus::Draining, false, 0)];
        harness.step(Event::List { update: Update::Partial, entries: old.into() });
        let up = [entry(2, MemberStatus::Up, false, start)];
        let mut actions = harness.step(Event::List { update: Update::Partial, entries: up.into() });
        let old = [entry(2, MemberStatus::Draining, false, 0)];
        actions.extend(harness.step(Event::List { update: Update::Partial, entries: old.into() }));
        harness.now += 2_000 * MS;
        actions.extend((0..20).flat_map(|n| harness.send_request(&format!("new{n}"), 2, 900 * MS)));
        let is_sent = actions.iter().any(|a| matches!(a, Action::Send { member: 2, .. }));
        assert!(is_sent, "a restarted member gets requests");
    }
}

#[test]
fn a_warming_member_gets_no_burst_however_many_routers_there_are() {
    // Independent routers, with a warming member as the only one up. Recorded runs if22470 and i115826: a
    // minimum of two attempts from each router overloaded members where there were hundreds of routers.
    for (routers, span) in [(8, 1_500 * MS), (400, 1_500 * MS)] {
        let mut total = 0;
        for seed in 0..routers {
            let settings = Settings { routers, ..settings() };
            let mut harness = Harness::empty(settings.clone());
            harness.router = Router::new(settings, seed as u64).expect("sound");
            let warming = entry(1, MemberStatus::Up, true, START - 100 * MS);
            harness.step(Event::List { update: Update::Complete, entries: [warming].into() });
            let step = 50 * MS;
            for n in 0..span / step {
                let name = format!("r{n}");
                let actions = harness.send_request(&name, 2, 900 * MS);
                total += harness.serve_all(actions, 20 * MS);
                let later = harness.advance(step);
                total += harness.serve_all(later, 20 * MS);
            }
        }
        // The budget: 4 times 0.15 of the warm capacity of a slow member, about 30 a second, for 1.5 s.
        assert!(total <= 27, "{total} attempts of {routers} routers at a member that has just started");
        assert!(total > 0, "{routers} routers: a warming member still gets some requests");
    }
}

#[test]
fn where_members_serve_stale_reads_a_read_goes_only_to_data_known_to_be_fresh() {
    let mut harness = Harness::new(Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() });
    for n in 0..40 {
        let actions = harness.send_request(&format!("r{n}"), 0, 900 * MS);
        assert!(!matches!(sent_to(&actions), Some(2 | 3)), "the positions of the replicas are not known yet");
    }
}

#[test]
fn a_former_primary_that_reports_as_replica_gets_no_strong_reads() {
    let mut harness = Harness::new(Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() });
    let member = sent_to(&harness.send_request("w", 4, 900 * MS)).expect("sent");
    assert_eq!(member, 1);
    harness.report_attempt_with("w", 0, 1, Ending::Rejected, Some(0), Some(Role::Replica));
    harness.now += 200 * MS;
    for n in 0..10 {
        assert_ne!(sent_to(&harness.send_request(&format!("s{n}"), 3, 900 * MS)), Some(1));
    }
}

// Found by the exhaustive models: without a class of reads, the share of requests rejected unsent was
// computed as 0 to the power of 0.
#[test]
fn a_deployment_with_writes_only_is_served() {
    let set = settings();
    let writes: Vec<Class> = set.classes.iter().filter(|class| class.need == Need::Write).cloned().collect();
    let mut harness = Harness::new(Settings { classes: writes, ..set });
    assert_eq!(sent_to(&harness.send_request("w", 1, 900 * MS)), Some(1));
}

// With nothing in flight and no attempt left, or after the window of its key, a request stayed queued until
// it expired although it could not be sent any more.
#[test]
fn a_request_that_cannot_be_retried_is_finished_at_once() {
    let mut once = settings();
    once.classes.iter_mut().for_each(|class| class.attempts = 1);
    for class in [0, 2, 4, 5] {
        let mut harness = Harness::new(once.clone());
        let member = sent_to(&harness.send_request("r", class, 900 * MS)).expect("sent");
        let mut all = harness.report_attempt("r", 0, member, Ending::Rejected);
        (0..4).for_each(|_| all.extend(harness.advance(5 * MS)));
        assert_eq!(
            (rejected(&all), sends(&all)),
            (true, 0),
            "class {class}: it was never executed, and may not be sent again"
        );
    }
    let mut many = settings();
    many.classes[5].attempts = 1_000;
    let mut harness = Harness::new(many);
    let mut next = sent_to(&harness.send_request("k", 5, 900 * MS));
    let (mut attempts, mut ended) = (0, None);
    for step in 0..180 {
        let mut actions = Vec::new();
        if let Some(member) = next.take() {
            actions = harness.report_attempt("k", attempts, member, Ending::Error);
            attempts += 1;
        }
        actions.extend(harness.advance(5 * MS));
        next = sent_to(&actions);
        assert!(!rejected(&actions), "it may have run, and its scope is the group");
        ended = ended.or(failed(&actions).then_some(step * 5));
    }
    assert!(attempts > 1, "it is retried inside the window");
    assert!(ended.is_some_and(|at| (380..=405).contains(&at)), "its window of 400 ms is over: {ended:?}");
}

/// Settings for members that serve reads from stale data.
fn serving_stale_reads() -> Settings {
    Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }
}

#[test]
fn a_known_position_becomes_stale_while_an_attempt_connects() {
    // Class 0 is bounded by 200 ms.
    let mut harness = Harness::new(serving_stale_reads());
    let replica = sent_to(&harness.send_request("t", 2, 900 * MS)).expect("sent");
    harness.report_attempt_with("t", 0, replica, Ending::Served, Some(50 * MS), Some(Role::Replica));
    harness.advance(5 * MS);
    for n in 0..20 {
        let name: RequestId = format!("r{n}").as_str().into();
        if sent_to(&harness.send_request(&name, 0, 900 * MS)) == Some(replica) {
            let at = harness.now;
            assert!(harness.router.is_fresh(at + 140 * MS, &name, replica));
            assert!(
                !harness.router.is_fresh(at + 150 * MS, &name, replica),
                "its data was 50 ms old at the send"
            );
            return;
        }
    }
    panic!("no read went to the member that is known to be fresh");
}

#[test]
fn a_member_that_reports_as_replica_is_not_fresh_enough_for_strong_reads() {
    let mut harness = Harness::new(serving_stale_reads());
    let name: RequestId = "strong".into();
    assert_eq!(sent_to(&harness.send_request(&name, 3, 900 * MS)), Some(1));
    assert!(harness.router.is_fresh(harness.now, &name, 1));
    harness.send_request("any", 2, 900 * MS);
    harness.step(Event::Probed {
        member: 1,
        ending: Ending::Served,
        report: Report { position: Some(harness.now), role: Some(Role::Replica), ..Report::default() },
    });
    assert!(!harness.router.is_fresh(harness.now, &name, 1));
    // A closed request is not sent.
    harness.step(Event::Abandoned { request: name.clone() });
    assert!(!harness.router.is_fresh(harness.now, &name, 1));
}

// Deployment variant dike-log: the only attempt of a request was treated as the last of several, which is
// sent to the primary, so that all reads were sent there.
#[test]
fn with_one_attempt_a_request_reads_use_replicas_and_a_lost_primary_is_discovered() {
    let mut once = settings();
    once.classes.iter_mut().for_each(|class| class.attempts = 1);
    let mut harness = Harness::new(once.clone());
    let mut at = [0; 4];
    for n in 0..60 {
        let name = format!("r{n}");
        if let Some(member) = sent_to(&harness.send_request(&name, 2, 900 * MS)) {
            at[member as usize] += 1;
            let role = if member == 1 { Role::Primary } else { Role::Replica };
            harness.report_attempt_with(&name, 0, member, Ending::Served, Some(0), Some(role));
        }
        harness.advance(20 * MS);
    }
    assert!(at[2] + at[3] >= 20, "{at:?}");
    // No primary is known: a write discovers it.
    let mut harness = Harness::empty(Settings { list_role: ListRole::Absent, ..once });
    let list = (1..=3).map(|m| entry(m, MemberStatus::Up, false, 0)).collect::<Vec<_>>();
    harness.step(Event::List { update: Update::Complete, entries: list.into() });
    assert!(sent_to(&harness.send_request("w", 5, 900 * MS)).is_some());
}

// An answer counts as known 0.1 s after it was given, even if it is lost: a member that is taken for the
// primary may have reported in the meantime that it is not.
#[test]
fn a_primary_needs_recent_evidence_while_one_of_its_answers_may_be_lost() {
    let mut harness = Harness::new(serving_stale_reads());
    let first = sent_to(&harness.send_request("w", 5, 900 * MS)).expect("sent");
    harness.report_attempt_with("w", 0, first, Ending::Served, Some(0), Some(Role::Primary));
    assert_eq!((first, sent_to(&harness.send_request("out", 5, 900 * MS))), (1, Some(1)));
    let name: RequestId = "strong".into();
    harness.send_request(&name, 3, 900 * MS);
    let now = harness.now;
    assert!(harness.router.is_fresh(now + 99 * MS, &name, 1));
    assert!(!harness.router.is_fresh(now + 150 * MS, &name, 1), "the write has been in flight for longer");
    harness.now += 150 * MS;
    harness.report_attempt_with("out", 0, 1, Ending::Served, Some(0), Some(Role::Primary));
    assert!(harness.router.is_fresh(harness.now, &name, 1), "it has answered since");
}

// Deployment variant tide-tables, scenario split: the list shows the roles at the start of the run, and the
// old primary was restarted as a replica (`list host=3 up_since_ms=1796183494291 role=primary`). Reads were
// then sent there and answered from stale data.
#[test]
fn a_restarted_member_is_not_taken_for_the_primary_that_a_static_list_names() {
    let strong_read_sent_to = |role: ListRole, reported_role: Option<Role>| {
        let mut harness = Harness::new(Settings { list_role: role, ..serving_stale_reads() });
        if let Some(reported_role) = reported_role {
            let report =
                Report { position: Some(harness.now), role: Some(reported_role), ..Report::default() };
            harness.step(Event::Probed { member: 1, ending: Ending::Served, report });
        }
        let restarted = entry(1, MemberStatus::Up, true, harness.now);
        harness.step(Event::List { update: Update::Partial, entries: [restarted].into() });
        harness.now += 20_000 * MS;
        sent_to(&harness.send_request("strong", 3, 900 * MS))
    };
    assert_eq!(strong_read_sent_to(ListRole::Static, None), None);
    // A list that follows role changes may be right, unless the member itself has reported that it is not the
    // primary.
    assert_eq!(strong_read_sent_to(ListRole::Trailing, None), Some(1));
    assert_eq!(strong_read_sent_to(ListRole::Trailing, Some(Role::Replica)), None);
}
