//! Groups whose members are all suspected: each read may be sent to one of them as a trial, and no member
//! gets more than one trial at a time.

mod common;
use common::fleet::*;
use common::*;
use petrelgauge_policy::*;

const MEMBERS: u32 = 3;
const READ: usize = 2;
const BOUNDED_READ: usize = 0;
const READ_TIME: Time = 900 * MS;
const SECOND: Time = 1_000 * MS;

/// One router and one group, of which member 1 is the primary.
fn group() -> Fleet {
    Fleet::new(1, &entries_of(1..=MEMBERS, 1, 0), members(1..=MEMBERS, Some(1), 4, 10 * MS))
}

fn run(fleet: &mut Fleet, span: Time) {
    let end = fleet.now + span;
    while fleet.now < end {
        fleet.step();
    }
}

/// Sends this number of reads, with a pause after each.
fn send_reads(fleet: &mut Fleet, reads: usize, pause: Time) {
    for _ in 0..reads {
        fleet.send_request(0, READ, READ_TIME);
        run(fleet, pause);
    }
}

fn set_silent(fleet: &mut Fleet, silent: bool) {
    fleet.members.values_mut().for_each(|member| member.silent = silent);
}

fn received(fleet: &Fleet) -> usize {
    fleet.members.values().map(|member| member.received.len()).sum()
}

/// A group that has been silent for so long that all of its members are suspected.
fn silent_group() -> Fleet {
    let mut fleet = group();
    send_reads(&mut fleet, 2, SECOND);
    assert_eq!(fleet.served, 2, "the members are healthy");
    set_silent(&mut fleet, true);
    send_reads(&mut fleet, 3, 3 * SECOND);
    fleet
}

#[test]
fn a_recovered_group_with_little_traffic_serves_the_next_read() {
    let mut fleet = silent_group();
    set_silent(&mut fleet, false);
    let served = fleet.served;
    send_reads(&mut fleet, 5, 3 * SECOND);
    assert_eq!(fleet.served - served, 5, "served reads of five, sent three seconds apart");
}

#[test]
fn a_silent_group_with_little_traffic_is_tried_with_every_read_within_its_attempts() {
    let mut fleet = silent_group();
    let before = received(&fleet);
    for _ in 0..5 {
        let earlier = received(&fleet);
        send_reads(&mut fleet, 1, 3 * SECOND);
        let attempts = received(&fleet) - earlier;
        assert!((1..=8).contains(&attempts), "{attempts} attempts of one read");
    }
    assert!(received(&fleet) - before <= 5 * MEMBERS as usize, "no read is sent to the same member twice");
}

#[test]
fn one_recovered_member_is_found_beside_silent_ones() {
    for recovered in 1..=MEMBERS {
        let mut fleet = silent_group();
        if let Some(member) = fleet.members.get_mut(&recovered) {
            member.silent = false;
        }
        let served = fleet.served;
        send_reads(&mut fleet, 6, 3 * SECOND);
        assert!(fleet.served - served >= 5, "member {recovered}: {} of 6 served", fleet.served - served);
    }
}

#[test]
fn a_busy_silent_group_gets_one_trial_at_a_time_for_each_member() {
    let mut fleet = silent_group();
    let before = received(&fleet);
    let mut most_open = 0;
    let end = fleet.now + 10 * SECOND;
    while fleet.now < end {
        fleet.send_request(0, READ, READ_TIME);
        fleet.step();
        for id in 1..=MEMBERS {
            most_open =
                most_open.max(fleet.open_attempts.values().filter(|attempt| attempt.member == id).count());
        }
    }
    // After a failed trial the next one at the same member follows 0.64 s later.
    let trials = received(&fleet) - before;
    assert_eq!(most_open, 1, "trials in flight at one member");
    assert!((10..=17 * MEMBERS as usize).contains(&trials), "{trials} trials in 10 s, of 2000 reads");
}

#[test]
fn no_trial_goes_to_a_member_that_is_draining() {
    let mut fleet = silent_group();
    let list: Vec<Entry> = (1..=MEMBERS).map(|id| entry(id, MemberStatus::Draining, id == 1, 0)).collect();
    fleet.pending_events[0].push(Event::List { update: Update::Complete, entries: list.into() });
    fleet.step();
    let before = received(&fleet);
    send_reads(&mut fleet, 5, 3 * SECOND);
    assert_eq!(received(&fleet), before);
}

fn answer(harness: &mut Harness, name: &str, attempt: u32, member: MemberId) {
    let role = if member == 1 { Role::Primary } else { Role::Replica };
    harness.report_attempt_with(name, attempt, member, Ending::Served, Some(10 * MS), Some(role));
}

/// Sends a read and waits until it is sent or rejected. Returns the member that it was sent to.
fn send_read(harness: &mut Harness, name: &str, class: usize) -> Option<MemberId> {
    let mut actions = harness.send_request(name, class, READ_TIME);
    while sent_to(&actions).is_none() && !rejected(&actions) {
        actions = harness.advance(5 * MS);
    }
    sent_to(&actions)
}

/// Where members serve stale reads, a read must not be reserved for a trial at a member to which it may not
/// be sent.
#[test]
fn a_bounded_read_is_no_trial_of_a_suspected_member_that_may_lag() {
    let settings = Settings { may_probe: false, stale_read_policy: StaleReadPolicy::Serve, ..settings() };
    let mut harness = Harness::new(settings);
    let mut lost = 0;
    for n in 0..200 {
        let name = format!("read{n}");
        match send_read(&mut harness, &name, READ) {
            Some(2) if n >= 60 => {
                lost += 1;
                let retry = harness.report_attempt(&name, 0, 2, Ending::ConnectionLost);
                sent_to(&retry).into_iter().for_each(|member| answer(&mut harness, &name, 1, member));
            }
            Some(member) => answer(&mut harness, &name, 0, member),
            None => {}
        }
        harness.now += 20 * MS;
        if lost == 2 {
            break;
        }
    }
    assert_eq!(lost, 2, "two connections in a row fail: member 2 is suspected");
    for n in 0..20 {
        harness.now += SECOND;
        let name = format!("bounded{n}");
        let member = send_read(&mut harness, &name, BOUNDED_READ);
        assert!(member.is_some_and(|member| member != 2), "read {n} went to {member:?}");
        member.into_iter().for_each(|member| answer(&mut harness, &name, 0, member));
    }
}
