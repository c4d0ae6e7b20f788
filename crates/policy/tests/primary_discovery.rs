//! Discovery of a group's primary, and which requests are sent to it.

mod common;
use common::*;
use petrelgauge_policy::*;

#[test]
fn waiting_writes_discover_a_changed_primary() {
    for list_role in [ListRole::Absent, ListRole::Static, ListRole::Trailing] {
        let mut harness = Harness::new(Settings { list_role, ..settings() });
        let mut actions = Vec::new();
        for n in 0..5 {
            actions.extend(harness.send_request(&format!("w{n}"), 4, 900 * MS));
        }
        let mut served = 0;
        let mut attempts = 0;
        let mut counts = std::collections::BTreeMap::new();
        for _ in 0..100 {
            let batch = std::mem::take(&mut actions);
            for action in batch {
                let Action::Send { request, member, .. } = action else { continue };
                let attempt = counts.entry(request.clone()).or_insert(0);
                attempts += 1;
                let (ending, role) = match member {
                    3 => (Ending::Served, Role::Primary),
                    _ => (Ending::Rejected, Role::Replica),
                };
                served += (member == 3) as u32;
                actions.extend(harness.report_attempt_with(
                    &request,
                    *attempt,
                    member,
                    ending,
                    Some(0),
                    Some(role),
                ));
                *attempt += 1;
            }
            actions.extend(harness.advance(5 * MS));
        }
        assert_eq!(served, 5, "{list_role:?}: all writes reach the new primary");
        assert!(attempts <= 16, "{list_role:?}: {attempts} attempts used");
    }
}

#[test]
fn a_strong_read_discovers_an_unlisted_primary() {
    // Recorded run i115826: strong reads waited for a primary to be discovered, which only writes did.
    let mut harness = Harness::new(Settings { list_role: ListRole::Absent, ..settings() });
    let mut actions = harness.send_request("s", 3, 900 * MS);
    let mut found = false;
    for attempt in 0.. {
        while sends(&actions) == 0 && harness.now < START + 250 * MS {
            actions = harness.advance(5 * MS);
        }
        let Some(member) = sent_to(&actions) else { break };
        found = member == 3;
        if found {
            break;
        }
        let role = Some(Role::Replica);
        actions = harness.report_attempt_with("s", attempt, member, Ending::Rejected, Some(0), role);
    }
    assert!(found, "it is tried at one member after another");
}

#[test]
fn most_reads_avoid_a_primary_with_writes_and_some_use_an_idle_one() {
    // Standard scenarios of the later deployments: with hundreds of routers, no router observes how loaded
    // the primary is.
    let reads_at_primary = |writes: usize| {
        let mut harness = Harness::new(settings());
        let mut sent_to_primary = 0;
        for n in 0..300 {
            for k in 0..writes {
                let actions = harness.send_request(&format!("w{n}-{k}"), 4, 900 * MS);
                harness.serve_all(actions, 40 * MS);
            }
            let actions = harness.send_request(&format!("r{n}"), 2, 900 * MS);
            sent_to_primary += (sent_to(&actions) == Some(1)) as usize;
            harness.serve_all(actions, (40 + n % 7) as Time * MS);
            harness.now += 50 * MS;
        }
        sent_to_primary
    };
    let (busy, idle) = (reads_at_primary(1), reads_at_primary(0));
    assert!(busy < 30, "{busy} of 300 reads at a primary that serves half of all requests");
    assert!((50..150).contains(&idle), "{idle} of 300 reads at an idle primary, one of three members");
}

#[test]
fn a_warming_primary_keeps_its_budget_for_writes() {
    // Standard scenario rough-2 of graz-main-later: reads used up the budget of a new primary, and writes
    // expired before they were sent.
    let mut harness = Harness::empty(settings());
    let list: Vec<Entry> = (1..=3)
        .map(|m| entry(m, MemberStatus::Up, m == 1, if m == 1 { START - 100 * MS } else { 0 }))
        .collect();
    harness.step(Event::List { update: Update::Complete, entries: list.into() });
    // Its start is newer than the list's roles: until it is known to be the primary, reads may be sent to it
    // as to any other member.
    harness.step(Event::GossipedPrimary { member: 1, at: harness.now });
    let (mut reads, mut writes) = (0, 0);
    for n in 0..600 {
        let class = if n % 2 == 0 { 2 } else { 4 };
        let actions = harness.send_request(&format!("{class}-{n}"), class, 900 * MS);
        for action in &actions {
            if let Action::Send { request, member: 1, .. } = action {
                *(if request.starts_with('2') { &mut reads } else { &mut writes }) += 1;
            }
        }
        harness.serve_all(actions, 20 * MS);
        harness.now += 10 * MS;
    }
    assert_eq!(reads, 0, "reads are sent to other members");
    assert!(writes > 20, "{writes} writes sent to it");
}
